// Package dispatch chooses the backend server for each request, and decides who waits and who is refused.
//
// Every VM sends to backend servers itself. It counts its own requests in
// flight, hears from the VMs near by what they have in flight, and reads the
// backend servers' own reports. A request waits here, not at a backend server,
// until one has room; it is refused at once where it can't be served in time.
//
// # Usage
//
//	d := dispatch.NewDispatcher("vm1", "east", dispatch.WithClock(c))
//	d.Update(snapshot)
//	slot, err := d.Acquire(ctx, dispatch.Demand{Service: "plans", Deadline: deadline})
//	if err != nil {
//		return err
//	}
//	defer slot.Done(dispatch.Answered, latency)
package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// Demand is a request that needs a backend server.
type Demand struct {
	Service  id.Service
	Priority int
	// Keyed says that only the owner of Key may run the request.
	Keyed bool
	Key   fleet.Key
	// Arrived is when the request came.
	Arrived clock.Instant
	// Deadline is when the caller gives up.
	Deadline clock.Instant
	// Objective is when the answer loses most of its worth.
	Objective clock.Instant
	// Avoid holds the backend servers that have already been tried.
	Avoid []id.Server
	// Retry says that the request was sent before, so that it goes before those that wait.
	Retry bool
}

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	options Options
	vm      id.VM
	domain  id.Domain

	mu       sync.Mutex
	snapshot *fleet.Snapshot
	servers  map[id.Server]*server
	services map[id.Service]*service
	peers    map[id.VM]*peer
	moved    map[id.Service]map[fleet.Fence]bool
	keys     map[id.Service]map[fleet.Key]int
}

// service is the state of a service.
type service struct {
	name    id.Service
	waiting []*waiter
	// work is the usual time of one request at a usual backend server.
	work time.Duration
	// rate is the number of requests per second that this VM gets through.
	rate     meter
	served   int64
	pressure pressure
}

// waiter is a request that waits for room.
type waiter struct {
	demand Demand
	ready  chan room
}

// room is what a waiter gets: a slot or a refusal.
type room struct {
	slot    *Slot
	refusal *Refusal
}

// Slot is room for one request at a backend server.
type Slot struct {
	// Server is the backend server that is to run the request.
	Server fleet.Server
	// MaxConnections is this VM's share of the connections that the server accepts.
	MaxConnections int
	// ExpectedLatency and Load are what the choice was made from: the time that the request would take, and the requests already there.
	ExpectedLatency time.Duration
	Load            int

	dispatcher *Dispatcher
	taken      clock.Instant
	// turns is how many times the usual work the request was expected to take.
	turns float64
	done  bool
}

// NewDispatcher returns a dispatcher that knows no backend servers.
func NewDispatcher(vm id.VM, domain id.Domain, opts ...Option) *Dispatcher {
	return &Dispatcher{
		options: newOptions(opts), vm: vm, domain: domain,
		snapshot: &fleet.Snapshot{}, servers: map[id.Server]*server{}, services: map[id.Service]*service{},
		peers: map[id.VM]*peer{}, moved: map[id.Service]map[fleet.Fence]bool{}, keys: map[id.Service]map[fleet.Key]int{},
	}
}

func (d *Dispatcher) service(name id.Service) *service {
	s, ok := d.services[name]
	if !ok {
		s = &service{name: name, work: initialWork}
		d.services[name] = s
	}
	return s
}

// Update takes a newer state of the deployment over.
func (d *Dispatcher) Update(s *fleet.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Boot()
	d.snapshot = s
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
		known.update(now, next)
	}
	for name := range d.services {
		d.wake(name)
	}
}

// MarkMoved notes the fences of moving keys that their new owners have taken.
func (d *Dispatcher) MarkMoved(service id.Service, fence fleet.Fence) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fences := d.moved[service]
	if fences == nil {
		fences = map[fleet.Fence]bool{}
		d.moved[service] = fences
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

// maxMovedFences bounds the memory of finished moves; tables in the store drop them soon.
const maxMovedFences = 4096

// Acquire returns room at a backend server, waiting for it where that helps, or a refusal.
func (d *Dispatcher) Acquire(ctx context.Context, demand Demand) (slot *Slot, err error) {
	d.mu.Lock()
	s := d.service(demand.Service)
	now := d.options.Clock.Boot()
	if demand.Keyed && !demand.Retry {
		d.countKey(demand)
	}
	if len(s.waiting) == 0 || demand.Keyed || demand.Retry {
		slot, refusal := d.choose(now, s, demand)
		if slot != nil || refusal != nil && refusal.Final {
			d.mu.Unlock()
			return slot, refusal.err()
		}
	}
	until, refusal := d.patience(now, s, demand)
	if refusal != nil {
		d.mu.Unlock()
		return nil, refusal
	}
	w := &waiter{demand: demand, ready: make(chan room, 1)}
	d.enqueue(s, w)
	d.mu.Unlock()
	return d.await(ctx, s, w, until)
}

// await waits for a slot until a time.
func (d *Dispatcher) await(ctx context.Context, s *service, w *waiter, until clock.Instant) (slot *Slot, err error) {
	timer := d.options.Clock.After(until.Sub(d.options.Clock.Boot()))
	select {
	case r := <-w.ready:
		return r.slot, r.refusal.err()
	case <-timer:
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case r := <-w.ready:
		return r.slot, r.refusal.err()
	default:
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(other *waiter) bool { return other == w })
	if ctx.Err() != nil {
		return nil, &Refusal{Reason: CallerGone}
	}
	return nil, d.refuse(d.options.Clock.Boot(), s, w.demand)
}

// enqueue puts a waiter behind those of its priority; one that was sent before goes to the front, one that is late to the end.
func (d *Dispatcher) enqueue(s *service, w *waiter) {
	at := len(s.waiting)
	now := d.options.Clock.Boot()
	for at > 0 && goesBefore(now, w.demand, s.waiting[at-1].demand) {
		at--
	}
	s.waiting = slices.Insert(s.waiting, at, w)
}

func goesBefore(now clock.Instant, a, b Demand) bool {
	switch {
	case a.Retry != b.Retry:
		return a.Retry
	case a.late(now) != b.late(now):
		return b.late(now)
	default:
		return a.Priority < b.Priority
	}
}

// wake gives room to those that wait.
func (d *Dispatcher) wake(name id.Service) {
	s, ok := d.services[name]
	if !ok || len(s.waiting) == 0 {
		return
	}
	now := d.options.Clock.Boot()
	kept := s.waiting[:0]
	blocked := false
	for _, w := range s.waiting {
		if blocked && !w.demand.Keyed {
			kept = append(kept, w)
			continue
		}
		slot, refusal := d.choose(now, s, w.demand)
		if slot == nil && (refusal == nil || !refusal.Final) {
			blocked = blocked || !w.demand.Keyed && len(w.demand.Avoid) == 0
			kept = append(kept, w)
			continue
		}
		w.ready <- room{slot, refusal}
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
}

// Tick lets those that wait try again, since rooms also free by time alone.
func (d *Dispatcher) Tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.services {
		d.wake(name)
	}
}

// Waiting returns the number of requests that wait for a service.
func (d *Dispatcher) Waiting(name id.Service) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.services[name]; ok {
		return len(s.waiting)
	}
	return 0
}
