// Package worker implements a stand-in for the users' backend servers, for tests and the soak test.
//
// A Worker accepts grants of key ranges, runs requests and records both in a
// Journal, which detects violated guarantees. It is as unhelpful as the users'
// pages allow: a release records no fence, and the clock that measures a hold
// is slow. With WithLateOrders it also carries orders out late.
//
// # Usage
//
//	j := worker.NewJournal()
//	w := worker.New("i-1", "plans", j, worker.WithKeys())
//	go http.Serve(listener, w)
//	violations := j.Violations()
package worker

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Worker is one incarnation of a backend server. It is safe for concurrent use.
type Worker struct {
	ID      string
	Service string

	keyed           bool
	abortsResponses bool
	serviceTime     func(r *http.Request) time.Duration
	dropsRequests   bool
	onRequest       func(r *http.Request)
	slots           chan struct{}
	journal         *Journal
	// stopped is closed when the process ends.
	stopped chan struct{}
	queued  atomic.Int64

	// lateGrants is the fraction of grants that are carried out late. random is nil if no order is held up.
	lateGrants float64
	mu         sync.Mutex
	random     *rand.Rand
}

// Slots is the number of requests that a worker runs concurrently.
const Slots = 4

// DefaultServiceTime is the time for which a worker runs each request.
const DefaultServiceTime = 20 * time.Millisecond

// MaxQueued is the number of requests that wait at a worker before it rejects further ones.
const MaxQueued = 16

// Option changes one option of a worker.
type Option func(*Worker)

// WithKeys makes a worker reject requests without a key and requests whose key it does not own.
func WithKeys() Option { return func(w *Worker) { w.keyed = true } }

// WithServiceTime sets the service time of each request.
func WithServiceTime(d time.Duration) Option {
	return WithServiceTimes(func(*http.Request) time.Duration { return d })
}

// WithServiceTimes sets the function that returns the service time of a request.
func WithServiceTimes(f func(r *http.Request) time.Duration) Option {
	return func(w *Worker) { w.serviceTime = f }
}

// WithDroppedRequests makes a worker drop a request when its connection ends, both while it is queued and while it runs.
func WithDroppedRequests() Option { return func(w *Worker) { w.dropsRequests = true } }

// WithAbortedResponses makes a worker close the connection without a response after it has run a request.
func WithAbortedResponses() Option { return func(w *Worker) { w.abortsResponses = true } }

// WithOnRequest sets a function that is called with each request before it is handled.
func WithOnRequest(f func(r *http.Request)) Option { return func(w *Worker) { w.onRequest = f } }

// WithLateOrders makes a worker carry out the given fraction of the grants late and without an answer, and hold up all other orders for a
// moment. seed determines which.
func WithLateOrders(lateGrants float64, seed uint64) Option {
	return func(w *Worker) { w.lateGrants, w.random = lateGrants, rand.New(rand.NewPCG(seed, 1)) }
}

// New returns a worker with the given instance ID and service.
func New(id, service string, j *Journal, opts ...Option) *Worker {
	w := &Worker{ID: id, Service: service, journal: j, slots: make(chan struct{}, Slots), stopped: make(chan struct{})}
	WithServiceTime(DefaultServiceTime)(w)
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Stop ends the incarnation: the worker rejects all requests, carries out no order any more, and its grants no longer count.
func (w *Worker) Stop() { w.journal.recordStop(w) }

// hasStopped reports whether the incarnation has ended.
func (w *Worker) hasStopped() bool {
	select {
	case <-w.stopped:
		return true
	default:
		return false
	}
}

// ServeHTTP handles a request, or a grant or release command.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if w.onRequest != nil {
		w.onRequest(r)
	}
	head := out.Header()
	head.Set("Instance-Id", w.ID)
	head.Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.ID || w.hasStopped() {
		reject(out, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/hickorylug/grant", "/hickorylug/release":
		w.handleOrder(out, r)
	default:
		w.handleRequest(out, r)
	}
}

// reject answers a request that was not run.
func reject(out http.ResponseWriter, status int) {
	out.Header().Set("Not-Executed", "1")
	out.WriteHeader(status)
}

// handleRequest runs a request if the queue has capacity and, for a keyed service, the worker owns the key.
func (w *Worker) handleRequest(out http.ResponseWriter, r *http.Request) {
	reachedAt := time.Now()
	arrival := w.journal.recordArrival(w, r, reachedAt)
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
	dropped := w.dropped(r)
	select {
	case w.slots <- struct{}{}:
		w.queued.Add(-1)
	case <-dropped:
		w.queued.Add(-1)
		panic(http.ErrAbortHandler)
	}
	defer func() { <-w.slots }()
	d := w.serviceTime(r)
	w.journal.recordStart(w, id, arrival, d)
	select {
	case <-time.After(d):
		w.journal.recordEnd(w, arrival, true)
	case <-dropped:
		w.journal.recordEnd(w, arrival, false)
		panic(http.ErrAbortHandler)
	}
	if w.abortsResponses {
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", len(w.slots), w.queued.Load(), Slots))
	out.Header().Set("Response-Signature", "signed."+id)
	_, _ = io.WriteString(out, ResponseBody(id, r.URL.Path, body))
}

// dropped returns a channel that is closed when the worker is to drop a request; nil if it never is.
func (w *Worker) dropped(r *http.Request) <-chan struct{} {
	if !w.dropsRequests {
		return nil
	}
	return r.Context().Done()
}

// ResponseBody returns the body of the response to a request.
func ResponseBody(id, path string, body []byte) string {
	return fmt.Sprintf("answer to %s at %s with %d bytes", id, path, len(body))
}
