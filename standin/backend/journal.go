package backend

import (
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/state/id"
)

// Header fields by which the stand-in's callers name their requests.
const (
	// HeaderRequest names a request; all sendings of it carry the same name.
	HeaderRequest = "X-Request"
	// HeaderAttempt names one sending by the caller.
	HeaderAttempt = "X-Attempt"
	// HeaderOnce is set where the request must run at most once.
	HeaderOnce = "X-Once"
	// HeaderKill is set where the request crashes the backend server that runs it.
	HeaderKill = "X-Kill"
)

// Run is one run of a request at a backend server.
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
	// Done says that the run had its effect.
	Done bool
}

// Event is something other than a run that a verdict needs.
type Event struct {
	Server id.Server
	Kind   EventKind
	At     time.Time
}

// EventKind is the kind of an event.
type EventKind string

// The kinds of events.
const (
	// EventColdOverload means that a cold backend server got more than it bears.
	EventColdOverload EventKind = "cold overload"
	// EventDraining means that a backend server has begun to leave.
	EventDraining EventKind = "draining"
)

// Journal is what backend servers have run; it is safe for concurrent use.
type Journal struct {
	mu     sync.Mutex
	runs   []Run
	events []Event
	sink   func(any)
}

// NewJournal returns an empty journal; sink, where it isn't nil, is told of each entry.
func NewJournal(sink func(any)) *Journal { return &Journal{sink: sink} }

// Begin notes the start of a run and returns its place.
func (j *Journal) Begin(r Run) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, r)
	return len(j.runs) - 1
}

// Finish notes the end of a run.
func (j *Journal) Finish(place int, end time.Time, done bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[place].End, j.runs[place].Done = end, done
	if j.sink != nil {
		j.sink(j.runs[place])
	}
}

// AddEvent adds an event.
func (j *Journal) AddEvent(e Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, e)
	if j.sink != nil {
		j.sink(e)
	}
}

// Runs returns a copy of all runs, in the order of their starts.
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
