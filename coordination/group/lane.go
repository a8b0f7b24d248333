package group

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/coordination/pick"
	"github.com/hickorylug/hickorylug/coordination/queue"
	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/id"
)

// lane is a queue of requests for one server, or for any server of the group.
type lane struct {
	queue *queue.Fair[*ticket]
}

func newLane(limit int) *lane {
	return &lane{queue: queue.NewFair[*ticket](limit)}
}

// ticket is a request that waits for a slot.
type ticket struct {
	request *exchange.Request
	avoid   id.Server
	// ready receives the server, with its slot taken, or nil where the ticket was evicted.
	ready chan *server
	err   error
}

// retryAfterOverload is what a refused caller is told to wait.
const retryAfterOverload = time.Second

// acquire takes a slot, waiting for it as long as the request may wait.
//
// For a keyed request the server is the owner of its key. For others, avoid
// names a server that has already been tried, or is empty.
func (g *Group) acquire(ctx context.Context, r *exchange.Request, avoid id.Server) (s *server, err error) {
	t := &ticket{request: r, avoid: avoid, ready: make(chan *server, 1)}
	l, s, err := g.place(t)
	if err != nil || s != nil {
		return s, err
	}
	timer := g.options.Clock.After(min(r.Wait, r.Deadline.Sub(g.options.Clock.Now())))
	select {
	case s := <-t.ready:
		return s, t.err
	case <-timer:
		err = outcome.NotRun(outcome.Overloaded, "no backend server of service %s was free in time", g.service).WithRetryAfter(retryAfterOverload)
	case <-ctx.Done():
		err = outcome.NotRun(outcome.CallerDisconnected, "the caller left while the request was waiting")
	}
	return g.withdraw(l, t, err)
}

// withdraw takes a ticket out of its queue; a slot that came meanwhile is used.
func (g *Group) withdraw(l *lane, t *ticket, cause error) (s *server, err error) {
	g.mu.Lock()
	removed := l.queue.Remove(t)
	g.mu.Unlock()
	if removed {
		return nil, cause
	}
	return <-t.ready, t.err
}

// place takes a slot at once or puts the ticket into a queue.
func (g *Group) place(t *ticket) (l *lane, s *server, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.request.Keyed {
		owner, err := g.owner(t.request)
		if err != nil {
			return nil, nil, err
		}
		if owner.free() && owner.lane.queue.Len() == 0 && g.covers(owner, t.request) {
			g.occupy(owner, t.request)
			return nil, owner, nil
		}
		l = owner.lane
	} else {
		if g.shared.queue.Len() == 0 {
			if s := g.choose(t); s != nil {
				g.occupy(s, t.request)
				return nil, s, nil
			}
		}
		if !g.anyOpen() {
			return nil, nil, outcome.NotRun(outcome.NoServer, "no backend server of group %s is in service", g.name)
		}
		l = g.shared
	}
	evicted, full, ok := l.queue.Push(flowOf(t.request), t)
	if full {
		evicted.err = outcome.NotRun(outcome.Overloaded, "the queue of service %s is full", g.service).WithRetryAfter(retryAfterOverload)
	}
	if !ok {
		return nil, nil, evicted.err
	}
	if full {
		evicted.ready <- nil
	}
	return l, nil, nil
}

// flowOf names the flow of a request: its route and, where there is one, its key.
func flowOf(r *exchange.Request) string {
	if r.Keyed {
		return fmt.Sprintf("%s %x", r.Route, r.Key)
	}
	return string(r.Route)
}

// owner returns the server that owns a keyed request now.
func (g *Group) owner(r *exchange.Request) (s *server, err error) {
	t, ok := g.directory.View().Tables[g.service]
	if !ok {
		return nil, outcome.NotRun(outcome.NoOwner, "service %s has no slice table yet", g.service)
	}
	owner, ok := t.Owner(r.Key)
	if !ok {
		return nil, outcome.NotRun(outcome.NoOwner, "the key's slice of service %s is being moved", g.service)
	}
	s, ok = g.servers[id.Server(owner)]
	if !ok {
		return nil, outcome.NotRun(outcome.Moved, "the key belongs to another group than %s", g.name)
	}
	if !s.open() {
		return nil, outcome.NotRun(outcome.NoServer, "backend server %s, which owns the key, is not in service", owner)
	}
	return s, nil
}

func (g *Group) sortedServers() []id.Server {
	return slices.Sorted(maps.Keys(g.servers))
}

func (g *Group) anyOpen() bool {
	for _, s := range g.servers {
		if s.open() {
			return true
		}
	}
	return false
}

// choose returns a free server for a request that any one may answer, or nil.
func (g *Group) choose(t *ticket) *server {
	var free []*server
	var candidates []pick.Candidate
	for _, name := range g.sortedServers() {
		s := g.servers[name]
		if s.free() && name != t.avoid {
			free = append(free, s)
			candidates = append(candidates, s.candidate())
		}
	}
	if len(free) == 0 {
		if t.avoid != "" {
			if s := g.servers[t.avoid]; s != nil && s.free() && !g.othersOpen(t.avoid) {
				return s
			}
		}
		return nil
	}
	return free[g.options.Pick(candidates)]
}

func (g *Group) othersOpen(name id.Server) bool {
	for n, s := range g.servers {
		if n != name && s.open() {
			return true
		}
	}
	return false
}

func (g *Group) occupy(s *server, r *exchange.Request) {
	s.running++
	if r.Keyed {
		s.keys[r.Key]++
	}
}

// vacate gives a slot back and lets the next request take it.
func (g *Group) vacate(s *server, r *exchange.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.running--
	if r.Keyed {
		if s.keys[r.Key]--; s.keys[r.Key] <= 0 {
			delete(s.keys, r.Key)
			if s.blocked {
				g.poke()
			}
		}
	}
	g.dispatchWaiting()
}

// dispatchWaiting gives free slots to the requests that wait for them.
func (g *Group) dispatchWaiting() {
	for _, s := range g.servers {
		g.dispatchLane(s)
	}
	for g.shared.queue.Len() > 0 && g.anyFree() {
		t, _ := g.shared.queue.Pop()
		s := g.choose(t)
		if s == nil {
			// Only the server that it avoids is free; it will do.
			s = g.servers[t.avoid]
		}
		g.occupy(s, t.request)
		t.ready <- s
	}
}

func (g *Group) anyFree() bool {
	for _, s := range g.servers {
		if s.free() {
			return true
		}
	}
	return false
}

// dispatchLane serves the queue of one server.
func (g *Group) dispatchLane(s *server) {
	for s.free() && s.lane.queue.Len() > 0 {
		t, _ := s.lane.queue.Pop()
		if g.misplaced(s, t) {
			continue
		}
		if !g.covers(s, t.request) {
			s.lane.queue.Push(flowOf(t.request), t)
			return
		}
		g.occupy(s, t.request)
		t.ready <- s
	}
}

// sweep refuses what waits for a server that no longer owns it or can't serve it.
func (g *Group) sweep(s *server) {
	for range s.lane.queue.Len() {
		t, _ := s.lane.queue.Pop()
		if !g.misplaced(s, t) {
			s.lane.queue.Push(flowOf(t.request), t)
		}
	}
}

// sweepShared refuses what waits for any server where none is in service any more.
func (g *Group) sweepShared() {
	if g.anyOpen() {
		return
	}
	for t, ok := g.shared.queue.Pop(); ok; t, ok = g.shared.queue.Pop() {
		t.err = outcome.NotRun(outcome.NoServer, "no backend server of group %s is in service", g.name)
		t.ready <- nil
	}
}

// misplaced refuses a ticket that waits for the wrong server.
func (g *Group) misplaced(s *server, t *ticket) bool {
	owner, err := g.owner(t.request)
	if err == nil && owner != s {
		err = outcome.NotRun(outcome.Moved, "the key was moved to backend server %s", owner.name)
	}
	if err == nil {
		return false
	}
	t.err = err
	t.ready <- nil
	return true
}

// refuseWaiting refuses all that waits, because the lease is given up.
func (g *Group) refuseWaiting() {
	lanes := []*lane{g.shared}
	for _, s := range g.servers {
		lanes = append(lanes, s.lane)
	}
	for _, l := range lanes {
		for t, ok := l.queue.Pop(); ok; t, ok = l.queue.Pop() {
			t.err = outcome.NotRun(outcome.Moved, "the lease of group %s is handed over", g.name)
			t.ready <- nil
		}
	}
}
