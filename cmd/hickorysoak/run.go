package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/standin/worker"
)

const (
	callerCount   = 12
	callerTimeout = 1500 * time.Millisecond
	// serveTimeout is the maximum time until the VMs serve requests, after the start and after the last fault.
	serveTimeout = 30 * time.Second
	// settleDelay is the wait after the last request, so that delayed attempts still reach a backend server before the checks.
	settleDelay = 2 * time.Second
	// requiredSuccesses is the number of consecutive responses with status 200 after which the VMs count as serving.
	requiredSuccesses = 20
)

// notRunStatuses are the statuses that promise that a request wasn't run.
var notRunStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized}

// result counts the requests of one seed and describes its faults and violations.
type result struct {
	mu                                 sync.Mutex
	requests, served, refused, unknown int
	faults                             string
	violations                         []string
	refusedNotRun                      []string
	// cutOff are the requests whose connection ended without an answer before their time was up.
	cutOff []string
	// traces are the log lines that concern the first conflicts between backend servers.
	traces []string
}

// addViolation records a violated guarantee.
func (r *result) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// runSeed runs one seed: it starts the environment, injects the selected faults under load, and checks the guarantees.
func runSeed(seed uint64, c command, selected []fault) (r *result, err error) {
	e, err := newEnvironment(seed, c, selected)
	if err != nil {
		return nil, err
	}
	if e.customers == nil {
		selected = slices.DeleteFunc(slices.Clone(selected), func(f fault) bool { return f.needsCustomers })
		if len(selected) == 0 {
			return nil, errors.New("--faults: all selected ones need customers, which only even seeds have")
		}
	}
	r = &result{}
	random := rand.New(rand.NewPCG(seed, 2))
	if !e.waitUntilServing(r) {
		r.addViolation("the VMs don't serve requests %s after the start", serveTimeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Time)
	var wg sync.WaitGroup
	for i := range callerCount {
		wg.Go(func() { e.runCaller(ctx, r, i, rand.New(rand.NewPCG(seed, uint64(100+i)))) })
	}
	r.faults = e.injectFaults(ctx, random, selected, c.Grouped || seed/2%2 == 1)
	wg.Wait()
	e.crashed.Wait()
	cancel()
	e.clearFaults()
	if !e.waitUntilServing(r) {
		r.addViolation("the VMs don't serve requests again %s after the last fault", serveTimeout)
	}
	if e.customers != nil {
		e.waitUntilCustomersAreServed(r)
	}
	time.Sleep(settleDelay)
	e.checkGuarantees(r, selected)
	e.close()
	if len(r.violations) > 0 {
		err = os.Rename(e.folder, filepath.Join(makeLogFolder(c.Logs), fmt.Sprintf("seed-%d", seed)))
	} else {
		err = os.RemoveAll(e.folder)
	}
	return r, err
}

// makeLogFolder creates the folder of logs and returns it.
func makeLogFolder(folder string) string {
	// If the folder can't be created, the rename that follows reports the error.
	_ = os.MkdirAll(folder, 0o755)
	return folder
}

// checkGuarantees adds the violations that can only be detected after all requests have ended.
func (e *environment) checkGuarantees(r *result, injected []fault) {
	isPlannedWork := !slices.ContainsFunc(injected, func(f fault) bool { return !f.isPlanned })
	for _, id := range r.cutOff {
		if isPlannedWork && e.journal.Runs(id) > 0 {
			r.addViolation("request %s has run, but its connection was cut off, although only planned work took place", id)
		}
	}
	if isPlannedWork {
		e.checkLostResponses(r)
	}
	for _, id := range r.refusedNotRun {
		if e.journal.Runs(id) > 0 {
			r.addViolation("request %s was refused as not run, but has run", id)
		}
	}
	if !slices.ContainsFunc(injected, func(f fault) bool { return !f.keepsEvidence }) {
		r.faults += "; " + e.crashes.check(r)
	}
	if e.measuresDepartures {
		r.faults += "; " + e.checkDepartures(r)
	}
	r.violations = append(r.violations, e.journal.Violations()...)
	e.traceConflicts(r)
	if e.customers != nil {
		r.faults += "; " + e.checkAllotments(r)
		e.checkLogs(r)
	}
}

// checkLostResponses adds a violation for each response that a VM says it has not written. Callers don't see all of them: net/http's client sends
// an idempotent request again if its connection ends.
func (e *environment) checkLostResponses(r *result) {
	for _, v := range e.vms {
		data, err := os.ReadFile(v.log.Name())
		if err != nil {
			r.addViolation("the log of %s can't be read: %v", v.name, err)
		}
		for line := range bytes.Lines(data) {
			if bytes.Contains(line, []byte(`"level":"ERROR"`)) && bytes.Contains(line, []byte("a connection ended without the response")) {
				r.addViolation("%s lost a response: %s", v.name, bytes.TrimSpace(line))
			}
		}
	}
}

// waitUntilServing sends requests of both kinds to the VMs in turn until requiredSuccesses consecutive ones are answered
// with status 200; it reports false after serveTimeout.
func (e *environment) waitUntilServing(r *result) bool {
	client := &http.Client{Timeout: callerTimeout}
	deadline := time.Now().Add(serveTimeout)
	for n, successes := 0, 0; time.Now().Before(deadline); n++ {
		v := e.vms[n%len(e.vms)]
		status := e.sendRequest(client, r, v, request{id: fmt.Sprintf("probe-%p-%d-%d", r, time.Now().UnixNano(), n), atMostOnce: n%2 == 0, key: n * 997 % 65536, identity: e.customers.probe()})
		if successes++; status != http.StatusOK {
			successes = 0
			time.Sleep(50 * time.Millisecond)
		}
		if successes >= requiredSuccesses {
			return true
		}
	}
	return false
}

// runCaller sends requests until the context ends. It changes to another VM after a failed request, and reuses
// connections until they break.
func (e *environment) runCaller(ctx context.Context, r *result, caller int, random *rand.Rand) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	v := e.vms[random.IntN(len(e.vms))]
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", random.Uint64())
		q := request{id: id, atMostOnce: random.IntN(2) == 0, key: random.IntN(65536), identity: e.customers.pick(random, caller)}
		status := e.sendRequest(client, r, v, q)
		if status != http.StatusOK {
			v = e.vms[random.IntN(len(e.vms))]
		}
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

// request is a request of a caller.
type request struct {
	id string
	// atMostOnce is set if it must run at most once. It has no effect on a public route, whose requests may be repeated.
	atMostOnce bool
	// key is the routing key of a request that may be repeated.
	key int
	identity
}

// target returns the method, path and body of the request: a POST if it must run at most once, and otherwise a GET.
func (q *request) target() (method, path, body string) {
	switch {
	case q.isPublic:
		return http.MethodGet, "/open/" + q.id, ""
	case q.atMostOnce:
		return http.MethodPost, "/renew/" + q.id, "renew " + q.id
	default:
		return http.MethodGet, "/view/" + q.id, ""
	}
}

// setHeader sets the header fields of the request.
func (q *request) setHeader(h http.Header, method string) {
	h.Set("Attempt-Id", q.id)
	h.Set("Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	if method == http.MethodGet {
		h.Set("Shard-Key", fmt.Sprint(q.key))
	}
	q.sign(h)
}

// sendRequest sends one request and checks the response; it returns the status, or 0 if there was no response.
func (e *environment) sendRequest(client *http.Client, r *result, v *vm, q request) (status int) {
	method, path, body := q.target()
	req, err := http.NewRequest(method, "http://"+v.callerAddress+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	// Without GetBody, net/http doesn't retry a request with a body after a connection failure.
	req.GetBody = nil
	q.setHeader(req.Header, method)
	resp, err := client.Do(req)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	switch {
	case err != nil:
		r.unknown++
		if !errors.Is(err, context.DeadlineExceeded) {
			r.cutOff = append(r.cutOff, q.id)
		}
		return 0
	case resp.StatusCode == http.StatusOK:
		r.served++
		if want := worker.ResponseBody(q.id, path, []byte(body)); string(text) != want {
			r.violations = append(r.violations, fmt.Sprintf("request %s got the response %q", q.id, text))
		}
	case slices.Contains(notRunStatuses, resp.StatusCode):
		r.refused++
		if method == http.MethodPost {
			r.refusedNotRun = append(r.refusedNotRun, q.id)
		}
	default:
		r.unknown++
	}
	if violation := e.customers.violation(q.identity, resp.StatusCode); violation != "" {
		r.violations = append(r.violations, fmt.Sprintf("request %s at %s %s", q.id, v.name, violation))
	}
	return resp.StatusCode
}
