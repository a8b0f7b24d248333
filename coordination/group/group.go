// Package group sends requests to the backend servers of one group on behalf of its lease holder.
//
// Only the lease holder runs a Group, so it sees every request in flight at
// its backend servers: it counts their slots exactly, paces those that are
// cold, and is the one place where all sendings of a request meet.
//
// # Usage
//
//	g := group.NewGroup("plans.east", "plans", dir, link, group.WithClock(c), group.WithLease(held))
//	go func() { done <- g.Run(ctx) }()
//	answer, err := g.Serve(ctx, request)
package group

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/coordination/budget"
	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/coordination/idempotency"
	"github.com/hickorylug/hickorylug/protocol/backend"
	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
	"github.com/hickorylug/hickorylug/state/task"
)

// Transport reaches backend servers; its function fields are seams for tests.
type Transport struct {
	// Send sends one request. An error that errors.Is ErrNotSent means that no byte was written.
	Send func(ctx context.Context, s config.Server, limit int, r *http.Request) (*http.Response, error)
	// Probe asks whether the backend server is up and returns its process.
	Probe func(ctx context.Context, s config.Server, path string) (id.Incarnation, error)
	// Grant gives or renews slices.
	Grant func(ctx context.Context, s config.Server, g backend.Grant) (backend.GrantResponse, error)
	// Close cuts all connections; it may be nil.
	Close func()
}

// Lease tells whether the process may act for the group, and until when.
type Lease struct {
	// Term returns the term of the lease; it rises when the holder replaces a witness.
	Term func() id.Term
	// Valid reports whether the lease is held now.
	Valid func() bool
	// Expiry returns the end of the lease as far as it is known.
	Expiry func() clock.Instant
}

// Group is the lease holder's side of one group; it is safe for concurrent use.
type Group struct {
	name      id.Group
	service   id.Service
	directory *directory.Directory
	link      *Transport
	options   Options

	memory  *idempotency.Deduplicator
	retries *budget.Budget
	hedges  *budget.Budget
	// suspects lets one suspect of the poison tracker run at a time.
	suspects chan struct{}

	tasks *task.Set

	mu       sync.Mutex
	servers  map[id.Server]*server
	shared   *lane
	stopping bool
	active   int
	idle     chan struct{}
	loads    *loads
	latency  *window
	wake     chan struct{}
	// running is the context of Run, or nil before it.
	running context.Context
	// settled is closed and replaced whenever a grant changes.
	settled chan struct{}
	// known holds the slices that the group owned in the newest table seen.
	known map[id.Slice]bool
	// before is that table.
	before *table.Table
	// gained holds when and from which group a slice came.
	gained map[id.Slice]origin
	// claims counts the requests in flight, by slice, that resends have to meet here.
	claims map[id.Slice]int
}

// origin is where a slice came from; the zero value means that the group has had it all along.
type origin struct {
	at   time.Time
	from id.Group
}

// NewGroup returns the group of a service for the process that holds its lease.
func NewGroup(name id.Group, service id.Service, d *directory.Directory, link *Transport, opts ...Option) *Group {
	o := newOptions(opts)
	g := &Group{
		name:      name,
		service:   service,
		directory: d,
		link:      link,
		options:   o,
		memory:    idempotency.NewDeduplicator(o.Since, o.Memory...),
		retries:   budget.NewBudget(retryShare, retrySaved),
		hedges:    budget.NewBudget(hedgeShare, hedgeSaved),
		suspects:  make(chan struct{}, 1),
		servers:   map[id.Server]*server{},
		loads:     newLoads(),
		latency:   newWindow(),
		wake:      make(chan struct{}, 1),
		settled:   make(chan struct{}),
		gained:    map[id.Slice]origin{},
		claims:    map[id.Slice]int{},
		tasks:     task.NewSet(),
	}
	g.shared = newLane(0)
	g.configure()
	return g
}

// Name returns the group's name.
func (g *Group) Name() id.Group { return g.name }

// Service returns the group's service.
func (g *Group) Service() id.Service { return g.service }

// Term returns the term of the lease that the group works under.
func (g *Group) Term() id.Term { return g.options.Lease.Term() }

// Serve answers a request or says what became of it.
func (g *Group) Serve(ctx context.Context, r *exchange.Request) (answer *exchange.Response, err error) {
	if err := g.enter(r); err != nil {
		return nil, err
	}
	defer g.leave()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	if r.Idempotent || r.IdempotencyKey == "" {
		answer, err = g.dispatch(ctx, r)
	} else {
		answer, err = g.once(ctx, r)
	}
	if err != nil {
		cancel()
		return nil, err
	}
	// The context must outlive the body, which is still being read.
	answer.Body = exchange.OnClose(answer.Body, cancel)
	g.keepBusy(answer)
	return answer, nil
}

// mayServe reports whether a request may be sent now.
//
// A holder that is cut off goes on with requests that need no exclusive
// sender: those without a key that may be repeated.
func (g *Group) mayServe(r *exchange.Request) bool {
	return g.options.Lease.Valid() || r.Idempotent && !r.Keyed && g.options.Detached()
}

// enter counts a request in, unless the group is being handed over.
func (g *Group) enter(r *exchange.Request) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping || !g.mayServe(r) {
		return outcome.NotRun(outcome.Moved, "this VM does not hold the lease of group %s", g.name)
	}
	g.active++
	return nil
}

func (g *Group) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	if g.active == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// keepBusy keeps the group busy until the answer's body is closed.
func (g *Group) keepBusy(answer *exchange.Response) {
	g.mu.Lock()
	g.active++
	g.mu.Unlock()
	answer.Body = exchange.OnClose(answer.Body, g.leave)
}

// Stop refuses new requests as moved and returns a channel that is closed when none is in flight.
func (g *Group) Stop() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	done := make(chan struct{})
	if g.active == 0 {
		close(done)
		return done
	}
	if g.idle != nil {
		return g.idle
	}
	g.idle = done
	g.refuseWaiting()
	return done
}

// Memory returns the memory of requests that must run at most once.
func (g *Group) Memory() *idempotency.Deduplicator { return g.memory }

// Load returns the state of the group for the callers of Serve.
func (g *Group) Load() exchange.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.loadLocked()
}

func (g *Group) loadLocked() (l exchange.Load) {
	l.Waiting = g.shared.queue.Len()
	for _, s := range g.servers {
		l.Waiting += s.lane.queue.Len()
		if s.open() {
			l.Running += s.running
			l.Limit += s.ramp.Limit()
		}
	}
	return l
}

// Run follows the directory, keeps grants and probes up to date, and ends with the context.
func (g *Group) Run(ctx context.Context) (err error) {
	changed := g.directory.Changed()
	for {
		g.configure()
		g.maintain(ctx)
		select {
		case <-ctx.Done():
			g.tasks.Wait()
			return nil
		case <-changed:
			changed = g.directory.Changed()
		case <-g.wake:
		case <-g.options.Clock.After(maintainPeriod):
		}
	}
}

// maintainPeriod is the time between two looks at grants and idle backend servers.
const maintainPeriod = 50 * time.Millisecond

func (g *Group) poke() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
