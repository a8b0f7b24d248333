// Package worker is a stand-in of the users' backend servers, for tests and the soak.
//
// A Worker takes grants of keys, runs requests and writes everything that it
// does into a Journal, which tells whether a promise was broken.
//
// # Usage
//
//	j := worker.NewJournal()
//	w := worker.New("i-1", "plans", j, worker.WithKeys())
//	go http.Serve(listener, w)
//	problems := j.Problems()
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

// Journal is what all workers have seen; it is safe for concurrent use.
type Journal struct {
	mu       sync.Mutex
	runs     map[string]int
	holders  map[string][]hold
	problems []string
}

// hold is a run of keys that a worker holds until a time.
type hold struct {
	worker   *Worker
	from, to int
	fence    int64
	until    time.Time
}

// NewJournal returns an empty journal.
func NewJournal() *Journal { return &Journal{runs: map[string]int{}, holders: map[string][]hold{}} }

// Runs returns how often a request was begun.
func (j *Journal) Runs(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runs[id]
}

// Violations returns the promises that were broken.
func (j *Journal) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.problems...)
}

// began notes the start of a request; one that isn't idempotent may run once.
func (j *Journal) began(w *Worker, id string, once bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id]++
	if once && j.runs[id] > 1 {
		j.problems = append(j.problems, fmt.Sprintf("request %s ran %d times, last at %s", id, j.runs[id], w.ID))
	}
}

// granted notes a grant and whether another worker holds one of its keys.
func (j *Journal) granted(h hold) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	var kept []hold
	for _, other := range j.holders[h.worker.Service] {
		if other.until.Before(now) || other.worker.stopped.Load() || other.worker == h.worker && other.from == h.from && other.to == h.to {
			continue
		}
		if other.worker != h.worker && other.from <= h.to && h.from <= other.to {
			j.problems = append(j.problems, fmt.Sprintf("%s got keys %d to %d with fence %d while %s holds %d to %d with fence %d",
				h.worker.ID, h.from, h.to, h.fence, other.worker.ID, other.from, other.to, other.fence))
		}
		kept = append(kept, other)
	}
	j.holders[h.worker.Service] = append(kept, h)
}

// released notes that a worker holds keys no longer.
func (j *Journal) released(w *Worker, from, to int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var kept []hold
	for _, h := range j.holders[w.Service] {
		if h.worker != w || h.to < from || h.from > to {
			kept = append(kept, h)
			continue
		}
		if h.from < from {
			kept = append(kept, hold{w, h.from, from - 1, h.fence, h.until})
		}
		if h.to > to {
			kept = append(kept, hold{w, to + 1, h.to, h.fence, h.until})
		}
	}
	j.holders[w.Service] = kept
}

func (j *Journal) holds(w *Worker, key int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, h := range j.holders[w.Service] {
		if h.worker == w && h.from <= key && key <= h.to && time.Now().Before(h.until) {
			return true
		}
	}
	return false
}

// Worker is one life of a backend server; it is safe for concurrent use.
type Worker struct {
	ID      string
	Service string

	keyed   bool
	breaks  bool
	work    time.Duration
	slots   chan struct{}
	journal *Journal
	stopped atomic.Bool
	waiting atomic.Int64

	mu   sync.Mutex
	seen []hold
}

// Slots is the number of requests that a worker runs at once.
const Slots = 4

// MaxQueued is the number of requests that wait at a worker before it turns others away.
const MaxQueued = 16

// Option changes one setting of a worker.
type Option func(*Worker)

// WithKeys makes a worker run only requests whose key it holds.
func WithKeys() Option { return func(w *Worker) { w.keyed = true } }

// WithServiceTime sets the time of one request.
func WithServiceTime(d time.Duration) Option { return func(w *Worker) { w.work = d } }

// WithAbortedResponses makes a worker break the connection off after it has run a request.
func WithAbortedResponses() Option { return func(w *Worker) { w.breaks = true } }

// New returns a worker.
func New(id, service string, j *Journal, opts ...Option) *Worker {
	w := &Worker{ID: id, Service: service, journal: j, work: 20 * time.Millisecond, slots: make(chan struct{}, Slots)}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Stop ends the worker's life: it holds nothing any more.
func (w *Worker) Stop() { w.stopped.Store(true) }

// ServeHTTP answers a request or an order.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	head := out.Header()
	head.Set("Instance-Id", w.ID)
	head.Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.ID || w.stopped.Load() {
		reject(out, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/hickorylug/grant", "/hickorylug/release":
		w.order(out, r)
	default:
		w.run(out, r)
	}
}

func reject(out http.ResponseWriter, status int) {
	out.Header().Set("Not-Executed", "1")
	out.WriteHeader(status)
}

// order carries a grant or a release out, unless a higher fence was seen.
func (w *Worker) order(out http.ResponseWriter, r *http.Request) {
	var o struct {
		From, Target int
		Fence        int64 `json:"fence"`
		HoldS        float64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	release := r.URL.Path == "/hickorylug/release"
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.seen {
		if !release && h.from <= o.Target && o.From <= h.to && h.fence > o.Fence {
			out.WriteHeader(http.StatusConflict)
			return
		}
	}
	w.seen = append(w.seen, hold{w, o.From, o.Target, o.Fence, time.Time{}})
	if release {
		w.journal.released(w, o.From, o.Target)
		out.Header().Set("Handover", "warm")
		return
	}
	w.journal.granted(hold{w, o.From, o.Target, o.Fence, time.Now().Add(time.Duration(o.HoldS * float64(time.Second)))})
}

// run runs a request where there is room and the key is held here.
func (w *Worker) run(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	if w.keyed {
		key, err := strconv.Atoi(r.Header.Get("Shard-Key"))
		if err != nil || !w.journal.holds(w, key) {
			reject(out, http.StatusMisdirectedRequest)
			return
		}
	}
	if w.waiting.Add(1) > MaxQueued {
		w.waiting.Add(-1)
		reject(out, http.StatusServiceUnavailable)
		return
	}
	w.slots <- struct{}{}
	w.waiting.Add(-1)
	defer func() { <-w.slots }()
	w.journal.began(w, id, r.Method == http.MethodPost)
	time.Sleep(w.work)
	if w.breaks {
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", len(w.slots), w.waiting.Load(), Slots))
	out.Header().Set("Response-Signature", "signed."+id)
	_, _ = io.WriteString(out, ResponseBody(id, r.URL.Path, body))
}

// ResponseBody is the body of the answer to a request.
func ResponseBody(id, path string, body []byte) string {
	return fmt.Sprintf("answer to %s at %s with %d bytes", id, path, len(body))
}
