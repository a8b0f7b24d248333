// Package group sends requests to the backend servers of one group on behalf of its lease holder.
//
// Only the lease holder runs a Group, so every request in flight at these
// backend servers passes through it. It counts their slots exactly, limits the
// concurrency of cold servers, and deduplicates all attempts of a request.
//
// # Usage
//
//	g := group.NewGroup("plans.east", "plans", dir, transport, group.WithClock(c), group.WithLease(held))
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

// Transport sends calls to backend servers; its function fields can be replaced in tests.
type Transport struct {
	// Send sends one request, with at most limit connections to the server.
	//
	// An error that matches ErrNotSent means that no byte was written.
	Send func(ctx context.Context, s config.Server, limit int, r *http.Request) (*http.Response, error)
	// Probe checks whether the backend server is up and returns its incarnation.
	Probe func(ctx context.Context, s config.Server, path string) (id.Incarnation, error)
	// Grant grants or renews slices and keys, and returns a reading of the server's clock.
	Grant func(ctx context.Context, s config.Server, g backend.Grant) (backend.GrantResponse, error)
	// Close closes all connections; it may be nil.
	Close func()
}

// Lease reports whether the process holds the group's lease, and until when.
type Lease struct {
	// Term returns the term of the lease, which increases when the holder replaces a witness.
	Term func() id.Term
	// Valid reports whether the lease is held now.
	Valid func() bool
	// Expiry returns the latest known expiry of the lease.
	Expiry func() clock.Instant
}

// Group serves requests to one group on its lease holder; it is safe for concurrent use.
type Group struct {
	name      id.Group
	service   id.Service
	directory *directory.Directory
	transport *Transport
	options   Options

	memory  *idempotency.Deduplicator
	retries *budget.Budget
	hedges  *budget.Budget
	// suspects is a semaphore that lets one suspected poison request run at a time.
	suspects chan struct{}

	tasks *task.Set

	mu          sync.Mutex
	servers     map[id.Server]*server
	sharedQueue *waitQueue
	stopping    bool
	active      int
	idle        chan struct{}
	loads       *loadCounts
	latencies   *latencyWindow
	wake        chan struct{}
	// runCtx is the context of Run, or nil before Run has started.
	runCtx context.Context
	// stateChanged is closed and replaced whenever a grant, the state of a server or a claim changes.
	stateChanged chan struct{}
	// ownedSlices holds the slices that the group owns in lastTable.
	ownedSlices map[id.Slice]bool
	// lastTable is the newest table that has been applied.
	lastTable *table.Table
	// gainedSlices holds when, and from which group, each slice was received.
	gainedSlices map[id.Slice]sliceOrigin
	// claims counts the at-most-once requests in flight by slice; their duplicates must be routed to this group.
	claims map[id.Slice]int
}

// sliceOrigin is when, and from which group, a slice was received; it is zero for a slice held from the start.
type sliceOrigin struct {
	at   time.Time
	from id.Group
}

// NewGroup returns the group of a service for the process that holds its lease.
func NewGroup(name id.Group, service id.Service, d *directory.Directory, transport *Transport, opts ...Option) *Group {
	o := newOptions(opts)
	g := &Group{
		name:         name,
		service:      service,
		directory:    d,
		transport:    transport,
		options:      o,
		memory:       idempotency.NewDeduplicator(o.CompleteSince, o.DeduplicatorOptions...),
		retries:      budget.NewBudget(retryTokenRatio, maxRetryTokens),
		hedges:       budget.NewBudget(hedgeTokenRatio, maxHedgeTokens),
		suspects:     make(chan struct{}, 1),
		servers:      map[id.Server]*server{},
		loads:        newLoadCounts(),
		latencies:    newLatencyWindow(),
		wake:         make(chan struct{}, 1),
		stateChanged: make(chan struct{}),
		gainedSlices: map[id.Slice]sliceOrigin{},
		claims:       map[id.Slice]int{},
		tasks:        task.NewSet(),
	}
	g.sharedQueue = newWaitQueue(0)
	g.configure()
	return g
}

// Name returns the group's name.
func (g *Group) Name() id.Group { return g.name }

// Service returns the group's service.
func (g *Group) Service() id.Service { return g.service }

// Term returns the current term of the group's lease.
func (g *Group) Term() id.Term { return g.options.Lease.Term() }

// Serve sends a request to a backend server and returns its answer.
//
// An error says whether the request was not run or its outcome is unknown. The
// group counts the request as in flight until the body of the answer is closed.
func (g *Group) Serve(ctx context.Context, r *exchange.Request) (answer *exchange.Response, err error) {
	if err := g.admit(r); err != nil {
		return nil, err
	}
	defer g.requestDone()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	if r.Idempotent || r.IdempotencyKey == "" {
		answer, err = g.sendWithRetries(ctx, r)
	} else {
		answer, err = g.serveAtMostOnce(ctx, r)
	}
	if err != nil {
		cancel()
		return nil, err
	}
	// The body is read after Serve returns, so the context ends when the body is closed.
	answer.Body = exchange.OnClose(answer.Body, cancel)
	g.trackBody(answer)
	return answer, nil
}

// mayServe reports whether a request may be sent now.
//
// A detached holder, which can't renew its lease, still serves requests that
// are safe without mutual exclusion: idempotent ones without a key.
func (g *Group) mayServe(r *exchange.Request) bool {
	return g.options.Lease.Valid() || r.Idempotent && !r.Keyed && g.options.Detached()
}

// admit counts a request as active, or refuses it while the group is handed over or its lease isn't held.
func (g *Group) admit(r *exchange.Request) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping || !g.mayServe(r) {
		return outcome.NotRun(outcome.Moved, "this VM does not hold the lease of group %s", g.name)
	}
	g.active++
	return nil
}

// requestDone ends a request that admit or trackBody has counted.
func (g *Group) requestDone() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	if g.active == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// trackBody counts a request as active until the answer's body is closed.
func (g *Group) trackBody(answer *exchange.Response) {
	g.mu.Lock()
	g.active++
	g.mu.Unlock()
	answer.Body = exchange.OnClose(answer.Body, g.requestDone)
}

// Stop refuses new and queued requests as moved, and returns a channel that is closed when no request is in flight.
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
	g.refuseQueued()
	return done
}

// Deduplicator returns the deduplication state of requests that must run at most once.
func (g *Group) Deduplicator() *idempotency.Deduplicator { return g.memory }

// Load returns the numbers of running and queued requests and the concurrency limit of the available servers.
func (g *Group) Load() exchange.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.loadLocked()
}

// loadLocked is Load for callers that hold the lock.
func (g *Group) loadLocked() (l exchange.Load) {
	l.Waiting = g.sharedQueue.waiters.Len()
	for _, s := range g.servers {
		l.Waiting += s.queue.waiters.Len()
		if s.isAvailable() {
			l.Running += s.running
			l.Limit += s.limiter.Limit()
		}
	}
	return l
}

// Run applies directory changes, renews grants and probes servers until the context ends.
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
		case <-g.options.Clock.After(maintenancePeriod):
		}
	}
}

// maintenancePeriod is the longest time between two checks of the grants and the liveness of backend servers.
const maintenancePeriod = 50 * time.Millisecond

// wakeRun makes Run check all servers now; it doesn't block.
func (g *Group) wakeRun() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
