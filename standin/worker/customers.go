package worker

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Header fields that a test's caller adds to a request, so that the worker knows what the VM must have sent.
const (
	// HeaderExpectedCustomer is the name of the customer that sent the request, or Public.
	HeaderExpectedCustomer = "Expected-Customer"
	// HeaderSentAt is when the caller sent the request, in Unix microseconds.
	HeaderSentAt = "Sent-At"
)

// Public is the value of HeaderExpectedCustomer in a request on a public route, which belongs to no customer.
const Public = "-"

// Header fields for the API key of a caller and for the name of the customer.
const (
	headerAPIKey   = "Key"
	headerCustomer = "Tenant"
)

// CustomerRun is one run of a customer's request.
type CustomerRun struct {
	// SentAt is when the caller sent the request, and ReachedAt when it reached the worker.
	SentAt, ReachedAt time.Time
}

// RunsOf returns the runs of a customer's requests, in no particular order. A request that ran twice is listed twice.
func (j *Journal) RunsOf(customer string) []CustomerRun {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.byCustomer[customer])
}

// recordCustomer records the customer that the VM names; one that differs from what the caller expects, or an API key that was passed on,
// is a violation. A request without HeaderExpectedCustomer isn't checked.
func (j *Journal) recordCustomer(w *Worker, r *http.Request, reachedAt time.Time) {
	want := r.Header.Get(HeaderExpectedCustomer)
	if want == "" {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	id, got := r.Header.Get("Attempt-Id"), r.Header.Values(headerCustomer)
	if len(r.Header.Values(headerAPIKey)) > 0 {
		j.violations = append(j.violations, fmt.Sprintf("request %s reached %s with an API key", id, w.ID))
	}
	wanted := []string{want}
	if want == Public {
		wanted = nil
	}
	if !slices.Equal(got, wanted) {
		j.violations = append(j.violations, fmt.Sprintf("request %s reached %s as one of customer %q, but belongs to %q", id, w.ID, got, wanted))
	}
	if micros, err := strconv.ParseInt(r.Header.Get(HeaderSentAt), 10, 64); err == nil && want != Public {
		j.byCustomer[want] = append(j.byCustomer[want], CustomerRun{SentAt: time.UnixMicro(micros), ReachedAt: reachedAt})
	}
}

// MaxInWindow returns the largest number of runs that were both sent and reached their worker within any window of time that begins in
// the period from begin, included, to end.
func MaxInWindow(runs []CustomerRun, window time.Duration, begin, end time.Time) (most int) {
	runs = slices.Clone(runs)
	slices.SortFunc(runs, func(a, b CustomerRun) int { return a.SentAt.Compare(b.SentAt) })
	for i, first := range runs {
		if first.SentAt.Before(begin) || !first.SentAt.Before(end) {
			continue
		}
		most = max(most, countUntil(runs[i:], first.SentAt.Add(window)))
	}
	return most
}

// countUntil returns the number of runs that reached their worker no later than until. The runs are sorted by SentAt.
func countUntil(runs []CustomerRun, until time.Time) (n int) {
	for _, r := range runs {
		if r.SentAt.After(until) {
			break
		}
		if !r.ReachedAt.After(until) {
			n++
		}
	}
	return n
}
