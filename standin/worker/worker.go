// Package worker implements a stand-in for the users' backend servers, for tests and the soak test.
//
// A Worker accepts grants of key ranges, runs requests and records both in a
// Journal, which detects violated guarantees.
//
// # Usage
//
//	j := worker.NewJournal()
//	w := worker.New("i-1", "plans", j, worker.WithKeys())
//	go http.Serve(listener, w)
//	violations := j.Violations()
package worker

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Journal records the grants and requests of all workers and the violations among them. It is safe for concurrent use.
type Journal struct {
	mu         sync.Mutex
	runs       map[string]int
	byCustomer map[string][]CustomerRun
	grants     map[string][]grant
	violations []string
}

// grant is a key range, with both bounds included, that a worker owns until its expiry.
type grant struct {
	worker   *Worker
	from, to int
	fence    int64
	expiry   time.Time
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{runs: map[string]int{}, byCustomer: map[string][]CustomerRun{}, grants: map[string][]grant{}}
}

// Runs returns how many times a request was started, over all workers.
func (j *Journal) Runs(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runs[id]
}

// Violations describes the violated guarantees: at-most-once requests that ran again, and keys granted to two workers
// at the same time.
func (j *Journal) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.violations...)
}

// recordStart records the start of a request; a second start of an at-most-once request is a violation.
func (j *Journal) recordStart(w *Worker, id string, atMostOnce bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id]++
	if atMostOnce && j.runs[id] > 1 {
		j.violations = append(j.violations, fmt.Sprintf("request %s ran %d times, last at %s", id, j.runs[id], w.ID))
	}
}

// recordGrant records a grant; a key that another running worker still owns is a violation.
func (j *Journal) recordGrant(g grant) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	var remaining []grant
	for _, other := range j.grants[g.worker.Service] {
		if other.expiry.Before(now) || other.worker.stopped.Load() || other.worker == g.worker && other.from == g.from && other.to == g.to {
			continue
		}
		if other.worker != g.worker && other.from <= g.to && g.from <= other.to {
			j.violations = append(j.violations, fmt.Sprintf("%s was granted keys %d to %d with fence %d while %s owned %d to %d with fence %d",
				g.worker.ID, g.from, g.to, g.fence, other.worker.ID, other.from, other.to, other.fence))
		}
		remaining = append(remaining, other)
	}
	j.grants[g.worker.Service] = append(remaining, g)
}

// recordRelease removes a key range from the grants of a worker, which keep their keys outside of it.
func (j *Journal) recordRelease(w *Worker, from, to int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var remaining []grant
	for _, g := range j.grants[w.Service] {
		if g.worker != w || g.to < from || g.from > to {
			remaining = append(remaining, g)
			continue
		}
		if g.from < from {
			remaining = append(remaining, grant{w, g.from, from - 1, g.fence, g.expiry})
		}
		if g.to > to {
			remaining = append(remaining, grant{w, to + 1, g.to, g.fence, g.expiry})
		}
	}
	j.grants[w.Service] = remaining
}

// holdsKey reports whether an unexpired grant of the worker covers key.
func (j *Journal) holdsKey(w *Worker, key int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, g := range j.grants[w.Service] {
		if g.worker == w && g.from <= key && key <= g.to && time.Now().Before(g.expiry) {
			return true
		}
	}
	return false
}

// Worker is one incarnation of a backend server. It is safe for concurrent use.
type Worker struct {
	ID      string
	Service string

	keyed           bool
	abortsResponses bool
	serviceTime     time.Duration
	onRequest       func(r *http.Request)
	slots           chan struct{}
	journal         *Journal
	stopped         atomic.Bool
	queued          atomic.Int64

	mu sync.Mutex
	// seenFences holds the key ranges and fences of all accepted commands.
	seenFences []grant
}

// Slots is the number of requests that a worker runs concurrently.
const Slots = 4

// MaxQueued is the number of requests that wait at a worker before it rejects further ones.
const MaxQueued = 16

// Option changes one option of a worker.
type Option func(*Worker)

// WithKeys makes a worker reject requests without a key and requests whose key it does not own.
func WithKeys() Option { return func(w *Worker) { w.keyed = true } }

// WithServiceTime sets the service time of each request.
func WithServiceTime(d time.Duration) Option { return func(w *Worker) { w.serviceTime = d } }

// WithAbortedResponses makes a worker close the connection without a response after it has run a request.
func WithAbortedResponses() Option { return func(w *Worker) { w.abortsResponses = true } }

// WithOnRequest sets a function that is called with each request before it is handled.
func WithOnRequest(f func(r *http.Request)) Option { return func(w *Worker) { w.onRequest = f } }

// New returns a worker with the given instance ID and service.
func New(id, service string, j *Journal, opts ...Option) *Worker {
	w := &Worker{ID: id, Service: service, journal: j, serviceTime: 20 * time.Millisecond, slots: make(chan struct{}, Slots)}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Stop ends the incarnation: the worker rejects all requests, and its grants no longer count.
func (w *Worker) Stop() { w.stopped.Store(true) }

// ServeHTTP handles a request, or a grant or release command.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if w.onRequest != nil {
		w.onRequest(r)
	}
	head := out.Header()
	head.Set("Instance-Id", w.ID)
	head.Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.ID || w.stopped.Load() {
		reject(out, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/hickorylug/grant", "/hickorylug/release":
		w.handleCommand(out, r)
	default:
		w.handleRequest(out, r)
	}
}

// reject answers a request that was not run.
func reject(out http.ResponseWriter, status int) {
	out.Header().Set("Not-Executed", "1")
	out.WriteHeader(status)
}

// handleCommand applies a grant or release command; a grant with a lower fence than one seen for its keys is rejected.
func (w *Worker) handleCommand(out http.ResponseWriter, r *http.Request) {
	var command struct {
		From, Target int
		Fence        int64 `json:"fence"`
		HoldS        float64
	}
	if json.NewDecoder(r.Body).Decode(&command) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	release := r.URL.Path == "/hickorylug/release"
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, g := range w.seenFences {
		if !release && g.from <= command.Target && command.From <= g.to && g.fence > command.Fence {
			out.WriteHeader(http.StatusConflict)
			return
		}
	}
	w.seenFences = append(w.seenFences, grant{w, command.From, command.Target, command.Fence, time.Time{}})
	if release {
		w.journal.recordRelease(w, command.From, command.Target)
		out.Header().Set("Handover", "warm")
		return
	}
	w.journal.recordGrant(grant{w, command.From, command.Target, command.Fence, time.Now().Add(time.Duration(command.HoldS * float64(time.Second)))})
}

// handleRequest runs a request if the queue has capacity and, for a keyed service, the worker owns the key.
func (w *Worker) handleRequest(out http.ResponseWriter, r *http.Request) {
	reachedAt := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	if w.keyed {
		key, err := strconv.Atoi(r.Header.Get("Shard-Key"))
		if err != nil || !w.journal.holdsKey(w, key) {
			reject(out, http.StatusMisdirectedRequest)
			return
		}
	}
	if w.queued.Add(1) > MaxQueued {
		w.queued.Add(-1)
		reject(out, http.StatusServiceUnavailable)
		return
	}
	w.journal.recordCustomer(w, r, reachedAt)
	w.slots <- struct{}{}
	w.queued.Add(-1)
	defer func() { <-w.slots }()
	w.journal.recordStart(w, id, r.Method == http.MethodPost)
	time.Sleep(w.serviceTime)
	if w.abortsResponses {
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", len(w.slots), w.queued.Load(), Slots))
	out.Header().Set("Response-Signature", "signed."+id)
	_, _ = io.WriteString(out, ResponseBody(id, r.URL.Path, body))
}

// ResponseBody returns the body of the response to a request.
func ResponseBody(id, path string, body []byte) string {
	return fmt.Sprintf("answer to %s at %s with %d bytes", id, path, len(body))
}
