// Package dispatch chooses a backend server for each request, queues requests, and sheds those that can't be served in time.
//
// Every VM sends to backend servers directly. It estimates their load from its
// own requests in flight, from those that other VMs report, and from the load
// reports of the backend servers. A request is queued here, not at a backend
// server, until one has capacity. It is refused at once if it can't be served
// in time.
//
// # Usage
//
//	d := dispatch.NewDispatcher("vm1", "east", dispatch.WithClock(c))
//	d.Update(snapshot)
//	slot, err := d.Acquire(ctx, dispatch.Demand{Service: "plans", Deadline: deadline})
//	if err != nil {
//		return err
//	}
//	defer slot.Done(dispatch.Answered, report)
package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/coordination/fairshare"
	"github.com/hickorylug/hickorylug/coordination/subset"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// Demand is a request that needs a backend server.
type Demand struct {
	Service id.Service
	// Priority orders the queue; 0 is the highest.
	Priority int
	// Customer is the customer that sent the request, or empty; customers of the same priority are served in turn.
	Customer id.Customer
	// Weight is the rate that the customer is entitled to over all VMs, in requests per second; 0 means that its usual rate counts alone.
	Weight float64
	// Keyed says that only the owner of Key may run the request.
	Keyed bool
	Key   fleet.Key
	// Arrived is when the VM received the request.
	Arrived clock.Instant
	// Deadline is when the caller stops waiting for the answer.
	Deadline clock.Instant
	// Objective is the time by which the request should be answered; a later answer is worth little to the caller.
	Objective clock.Instant
	// Avoid holds the backend servers that were already tried.
	Avoid []id.Server
	// Runs are the attempts of a keyed request that backend servers may have run.
	Runs []Run
	// AvoidDomain is a failure domain whose backend servers are used only if there are no others, or empty.
	AvoidDomain id.Domain
	// ExcludedVersions are the versions of the software that must not run the request.
	ExcludedVersions []id.SoftwareVersion
	// AvoidedVersions are versions that run the request only while no other one has capacity.
	AvoidedVersions []id.SoftwareVersion
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Retry says that the request was sent before, so that it is queued ahead of first attempts.
	Retry bool
}

// Run is an attempt that a backend server may have run as the owner of the request's key, under a fence.
type Run struct {
	Server id.Server
	Fence  fleet.Fence
}

// ranEarlier reports whether a backend server may have run the request under an earlier grant of its key.
func (d Demand) ranEarlier(server id.Server, fence fleet.Fence) bool {
	return slices.ContainsFunc(d.Runs, func(r Run) bool { return r.Server == server && r.Fence < fence })
}

// Dispatcher chooses backend servers for the requests of one VM. It is safe for concurrent use.
type Dispatcher struct {
	options Options
	vm      id.VM
	domain  id.Domain

	mu       sync.Mutex
	snapshot *fleet.Snapshot
	// division is the division of this VM's failure domain, and preferences what follows from it, as far as it was needed yet.
	division    subset.Division
	preferences map[id.Service]*preference
	servers     map[id.Server]*server
	services    map[id.Service]*service
	peers       map[id.VM]*peer
	movedFences map[id.Service]map[fleet.Fence]bool
	keyCounts   map[id.Service]map[fleet.Key]int
	admissions  admissions
	pauses      pauses
	// returnedAt is when the latest evacuation of a failure domain ended.
	returnedAt map[id.Domain]clock.Instant
}

// service is the queue and the measurements of one service.
type service struct {
	name    id.Service
	waiting []*waiter
	// order is the order of the customers of queued requests.
	order *fairshare.Order
	// tolerance is the level of use above which a customer exceeds its share.
	tolerance tolerance
	// serviceTime is the average service time of a request at a slowdown of normalSlowdown.
	serviceTime time.Duration
	// throughput measures the requests per second that were answered through this VM.
	throughput meter
	served     int64
	overload   overloadDetector
	outside    outsideLoad
	saturation saturation
}

// waiter is a queued request.
type waiter struct {
	demand  Demand
	service *service
	// until is when its wait ends.
	until clock.Instant
	// rank orders it among the requests of other customers.
	rank  fairshare.Rank
	ready chan decision
}

// decision ends the wait of a queued request: either a slot or a refusal.
type decision struct {
	slot    *Slot
	refusal *Refusal
}

// Slot is a reservation for one request at a backend server.
type Slot struct {
	// Server is the backend server that is to run the request.
	Server fleet.Server
	// Fence is that of the grant under which the backend server owns the request's key; 0 for requests without a key.
	Fence fleet.Fence
	// MaxConnections is this VM's share of the backend server's connections; 0 means no limit.
	MaxConnections int
	// ExpectedLatency and Load are the inputs of the choice: the expected latency, and the requests that the backend server already had.
	ExpectedLatency time.Duration
	Load            int

	dispatcher *Dispatcher
	acquiredAt clock.Instant
	// queueFactor is the factor by which requests queued ahead were expected to extend the service time.
	queueFactor float64
	// outside says that the VM was not informed of the backend server's load.
	outside bool
	done    bool
}

// NewDispatcher returns a dispatcher without backend servers; Update sets them.
func NewDispatcher(vm id.VM, domain id.Domain, opts ...Option) *Dispatcher {
	return &Dispatcher{
		options: newOptions(opts), vm: vm, domain: domain,
		snapshot: &fleet.Snapshot{}, servers: map[id.Server]*server{}, services: map[id.Service]*service{},
		division: subset.Divide([]id.VM{vm}), preferences: map[id.Service]*preference{},
		peers: map[id.VM]*peer{}, movedFences: map[id.Service]map[fleet.Fence]bool{}, keyCounts: map[id.Service]map[fleet.Key]int{}, pauses: pauses{}, returnedAt: map[id.Domain]clock.Instant{},
	}
}

func (d *Dispatcher) service(name id.Service) *service {
	s, ok := d.services[name]
	if !ok {
		s = &service{name: name, serviceTime: initialServiceTime, order: fairshare.NewOrder(d.options.Clock.Boot()), tolerance: maxTolerance}
		d.services[name] = s
	}
	return s
}

// Update replaces the snapshot of the deployment. Measurements of backend servers are kept while their incarnation stays the same.
func (d *Dispatcher) Update(s *fleet.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.snapshot
	d.snapshot = s
	if !fleet.IsSameMap(old.Servers, s.Servers) || !fleet.IsSameMap(old.Peers, s.Peers) {
		d.updateServers(s)
		d.divide()
	}
	for name := range d.services {
		d.wake(name)
	}
}

// updateServers follows the backend servers of a snapshot.
func (d *Dispatcher) updateServers(s *fleet.Snapshot) {
	now := d.options.Clock.Boot()
	for name, known := range d.servers {
		if next, ok := s.Servers[name]; !ok || next.Incarnation != known.Incarnation {
			delete(d.servers, name)
		}
	}
	for name, next := range s.Servers {
		known, ok := d.servers[name]
		if !ok {
			known = newServer()
			d.servers[name] = known
		}
		left := known.update(next)
		if !ok {
			d.presumeCold(now, known, s.Configuration)
		}
		if left > 0 {
			d.warmUp(now, known, left)
		}
	}
}

// divide derives the division of the failure domain from the snapshot.
func (d *Dispatcher) divide() {
	vms := []id.VM{d.vm}
	for vm, p := range d.snapshot.Peers {
		if p.Domain == d.domain && vm != d.vm {
			vms = append(vms, vm)
		}
	}
	d.division, d.preferences = subset.Divide(vms), map[id.Service]*preference{}
	now := d.options.Clock.Boot()
	for _, c := range d.servers {
		if c.limitBucket != nil {
			c.sharedRate = 0
			d.followRequestLimit(now, c, false)
		}
	}
}

// MarkMoved records that the new owner has accepted the fence of moving keys, so that requests for them may be sent.
func (d *Dispatcher) MarkMoved(service id.Service, fence fleet.Fence) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fences := d.movedFences[service]
	if fences == nil {
		fences = map[fleet.Fence]bool{}
		d.movedFences[service] = fences
	}
	if fences[fence] {
		return
	}
	if len(fences) >= maxMovedFences {
		clear(fences)
	}
	fences[fence] = true
	d.wake(service)
}

// IsMoved reports whether the new owner of moving keys has accepted their fence, as far as this VM has heard.
func (d *Dispatcher) IsMoved(service id.Service, fence fleet.Fence) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.movedFences[service][fence]
}

// maxMovedFences limits the recorded fences of finished moves; the key tables in the store drop such moves soon.
const maxMovedFences = 4096

// Acquire returns a slot at a backend server, after a wait in the queue if needed, or a *Refusal.
func (d *Dispatcher) Acquire(ctx context.Context, demand Demand) (slot *Slot, err error) {
	slot, w, err := d.acquireOrQueue(demand)
	if w == nil {
		return slot, err
	}
	return d.await(ctx, w)
}

// acquireOrQueue returns a slot, a refusal, or the waiter of a request that it has queued.
func (d *Dispatcher) acquireOrQueue(demand Demand) (slot *Slot, queued *waiter, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(demand.Service)
	now := d.options.Clock.Boot()
	if !demand.Retry {
		s.order.Arrive(now, demand.Customer)
	}
	if demand.Keyed && !demand.Retry {
		d.countKey(demand)
		if !d.admits(now, demand) {
			return nil, nil, &Refusal{Reason: Overloaded, RetryAfter: throttledRetryAfter, ServiceTime: s.serviceTime, Final: true}
		}
	}
	w := &waiter{demand: demand, service: s, rank: d.rank(now, s, demand), ready: make(chan decision, 1)}
	if d.mayOvertake(now, s, w) {
		slot, refusal := d.choose(now, s, demand)
		d.observeTolerance(now, s, demand, slot != nil)
		if !demand.Keyed && !demand.Retry {
			s.saturation.observe(now, slot != nil)
		}
		if slot != nil || refusal != nil && refusal.Final {
			return slot, nil, refusal.err()
		}
	} else {
		d.observeTolerance(now, s, demand, false)
		if !demand.Keyed && !demand.Retry {
			s.saturation.observe(now, false)
		}
	}
	until, refusal := d.waitLimit(now, s, w)
	if !d.options.MayWait(demand) {
		refusal = &Refusal{Reason: Stopping, Waiting: len(s.waiting), ServiceTime: s.serviceTime, Final: true}
	}
	if refusal != nil {
		return nil, nil, refusal
	}
	w.until = until
	d.enqueue(now, s, w)
	return nil, w, nil
}

// await waits for a decision on a queued request until its wait ends or until ctx ends.
func (d *Dispatcher) await(ctx context.Context, w *waiter) (slot *Slot, err error) {
	s := w.service
	timer := d.options.Clock.After(w.until.Sub(d.options.Clock.Boot()))
	select {
	case got := <-w.ready:
		return got.slot, got.refusal.err()
	case <-timer:
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case got := <-w.ready:
		return got.slot, got.refusal.err()
	default:
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(other *waiter) bool { return other == w })
	s.order.Dequeue(w.demand.Customer)
	if ctx.Err() != nil {
		return nil, &Refusal{Reason: CallerGone}
	}
	return nil, d.refuse(d.options.Clock.Boot(), s, w.demand)
}

// enqueue inserts a waiter in front of those that it precedes, so that equals are served in order of arrival.
func (d *Dispatcher) enqueue(now clock.Instant, s *service, w *waiter) {
	w.rank = s.order.Enqueue(now, w.demand.Customer, d.entitlement(w.demand))
	at := len(s.waiting)
	for at > 0 && w.precedes(now, s.waiting[at-1]) {
		at--
	}
	s.waiting = slices.Insert(s.waiting, at, w)
}

// precedes reports whether a waiter is served before another one: retries first, requests past their objective last, otherwise by
// priority, and within a priority in the fair order of the customers.
func (w *waiter) precedes(now clock.Instant, other *waiter) bool {
	a, b := w.demand, other.demand
	switch {
	case a.Retry != b.Retry:
		return a.Retry
	case a.isLate(now) != b.isLate(now):
		return b.isLate(now)
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	default:
		return a.Customer != b.Customer && w.rank < other.rank
	}
}

// wake assigns the free capacity of a service to its queued requests, in the order of the queue.
func (d *Dispatcher) wake(name id.Service) {
	s, ok := d.services[name]
	if !ok || len(s.waiting) == 0 {
		return
	}
	now := d.options.Clock.Boot()
	all, rest, kept := s.waiting, s.waiting, s.waiting[:0]
	defer func() {
		// After a panic, the requests behind the one that caused it stay queued. That one is decided by the end of its wait.
		s.waiting = append(kept, rest...)
		clear(all[len(s.waiting):])
	}()
	// blocked says that no request gets a slot, and exceedingBlocked that none of a customer beyond its share does.
	blocked, exceedingBlocked := false, false
	for len(rest) > 0 {
		w := rest[0]
		rest = rest[1:]
		if !d.options.MayWait(w.demand) {
			s.order.Dequeue(w.demand.Customer)
			w.ready <- decision{refusal: &Refusal{Reason: Stopping, Waiting: len(s.waiting), ServiceTime: s.serviceTime, Final: true}}
			continue
		}
		if !w.demand.Keyed && (blocked || exceedingBlocked && d.exceedsShare(now, s, w.demand)) {
			kept = append(kept, w)
			continue
		}
		slot, refusal := d.choose(now, s, w.demand)
		if slot == nil && (refusal == nil || !refusal.Final) {
			if !w.demand.Keyed && len(w.demand.Avoid) == 0 {
				exceedingBlocked = true
				blocked = !d.exceedsShare(now, s, w.demand)
			}
			kept = append(kept, w)
			continue
		}
		s.order.Dequeue(w.demand.Customer)
		w.ready <- decision{slot, refusal}
	}
}

// Tick retries the queued requests, since pauses, ejections and token buckets free capacity by time alone, and refuses those that may no
// longer wait.
func (d *Dispatcher) Tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.services {
		d.wake(name)
	}
}

// Versions returns the versions of the software that the usable backend servers of a service run.
func (d *Dispatcher) Versions(name id.Service) (versions []id.SoftwareVersion) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range d.snapshot.ByService[name] {
		if s := d.snapshot.Servers[n]; d.snapshot.Usable(s) && !slices.Contains(versions, s.Version) {
			versions = append(versions, s.Version)
		}
	}
	return versions
}

// Waiting returns the number of queued requests of a service.
func (d *Dispatcher) Waiting(name id.Service) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.services[name]; ok {
		return len(s.waiting)
	}
	return 0
}
