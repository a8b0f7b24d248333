package backend

import (
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/state/id"
)

// Header fields with which test callers identify requests and control how the stand-in runs them.
const (
	// HeaderRequest is the ID of a request; all attempts carry the same ID.
	HeaderRequest = "X-Request"
	// HeaderAttempt is the ID of one attempt by the caller.
	HeaderAttempt = "X-Attempt"
	// HeaderOnce is set if the request must run at most once.
	HeaderOnce = "X-Once"
	// HeaderKill is set if the request crashes the backend server that runs it.
	HeaderKill = "X-Kill"
)

// Run records one execution of a request by a backend server.
type Run struct {
	Server  id.Server
	Domain  id.Domain
	Service id.Service
	Boot    id.Incarnation
	Key     string
	Fence   id.Fence
	Request string
	Attempt string
	Once    bool
	Start   time.Time
	End     time.Time
	// Done reports whether the request took effect.
	Done bool
}

// Event records something other than a run, for the checks of tests.
type Event struct {
	Server id.Server
	Kind   EventKind
	At     time.Time
}

// EventKind identifies the kind of an Event.
type EventKind string

// Kinds of events.
const (
	// EventColdOverload means that a cold backend server got more requests than its concurrency limit.
	EventColdOverload EventKind = "cold overload"
	// EventDraining means that a backend server has started to drain.
	EventDraining EventKind = "draining"
)

// Journal records the runs and events of backend servers. It is safe for concurrent use.
type Journal struct {
	mu     sync.Mutex
	runs   []Run
	events []Event
	sink   func(any)
}

// NewJournal returns an empty journal. If sink is not nil, it is called with each finished Run and each Event.
func NewJournal(sink func(any)) *Journal { return &Journal{sink: sink} }

// Begin records the start of a run and returns its index for Finish.
func (j *Journal) Begin(r Run) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, r)
	return len(j.runs) - 1
}

// Finish records the end of the run at index.
func (j *Journal) Finish(index int, end time.Time, done bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[index].End, j.runs[index].Done = end, done
	if j.sink != nil {
		j.sink(j.runs[index])
	}
}

// AddEvent records an event.
func (j *Journal) AddEvent(e Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, e)
	if j.sink != nil {
		j.sink(e)
	}
}

// Runs returns a copy of all runs in start order.
func (j *Journal) Runs() []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Run(nil), j.runs...)
}

// Events returns a copy of all events.
func (j *Journal) Events() []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Event(nil), j.events...)
}
