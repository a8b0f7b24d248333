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

// waitQueue is a queue of requests for one server, or for any server of the group.
type waitQueue struct {
	waiters *queue.Fair[*waiter]
}

func newWaitQueue(limit int) *waitQueue {
	return &waitQueue{waiters: queue.NewFair[*waiter](limit)}
}

// waiter is a request that waits for a slot of a server.
type waiter struct {
	request *exchange.Request
	avoid   id.Server
	// ready receives the server with a slot taken, or nil where the request was evicted or refused.
	ready chan *server
	err   error
}

// retryAfterOverload is the Retry-After time of requests refused because of overload.
const retryAfterOverload = time.Second

// acquire takes a slot, waiting for it up to the request's wait limit.
//
// A keyed request waits for the owner of its key. For other requests, avoid
// is a server that has already been tried, or is empty.
func (g *Group) acquire(ctx context.Context, r *exchange.Request, avoid id.Server) (s *server, err error) {
	w := &waiter{request: r, avoid: avoid, ready: make(chan *server, 1)}
	q, s, err := g.acquireOrEnqueue(w)
	if err != nil || s != nil {
		return s, err
	}
	timer := g.options.Clock.After(min(r.Wait, r.Deadline.Sub(g.options.Clock.Now())))
	select {
	case s := <-w.ready:
		return s, w.err
	case <-timer:
		err = outcome.NotRun(outcome.Overloaded, "no backend server of service %s was free in time", g.service).WithRetryAfter(retryAfterOverload)
	case <-ctx.Done():
		err = outcome.NotRun(outcome.CallerDisconnected, "the caller left while the request was waiting")
	}
	return g.cancelWait(q, w, err)
}

// cancelWait removes a waiter from its queue; a slot that was assigned in the meantime is used.
func (g *Group) cancelWait(q *waitQueue, w *waiter, cause error) (s *server, err error) {
	g.mu.Lock()
	removed := q.waiters.Remove(w)
	g.mu.Unlock()
	if removed {
		return nil, cause
	}
	return <-w.ready, w.err
}

// acquireOrEnqueue takes a free slot or adds the waiter to a queue.
//
// Only one of the results is set: the queue, the server, or the error.
func (g *Group) acquireOrEnqueue(w *waiter) (q *waitQueue, s *server, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.request.Keyed {
		owner, err := g.ownerOf(w.request)
		if err != nil {
			return nil, nil, err
		}
		if owner.hasFreeSlot() && owner.queue.waiters.Len() == 0 && g.covers(owner, w.request) {
			g.takeSlot(owner, w.request)
			return nil, owner, nil
		}
		q = owner.queue
	} else {
		if g.sharedQueue.waiters.Len() == 0 {
			if s := g.pickServer(w); s != nil {
				g.takeSlot(s, w.request)
				return nil, s, nil
			}
		}
		if !g.hasAvailableServer() {
			return nil, nil, outcome.NotRun(outcome.NoServer, "no backend server of group %s is in service", g.name)
		}
		q = g.sharedQueue
	}
	evicted, full, ok := q.waiters.Push(flowName(w.request), w)
	if full {
		evicted.err = outcome.NotRun(outcome.Overloaded, "the queue of service %s is full", g.service).WithRetryAfter(retryAfterOverload)
	}
	if !ok {
		return nil, nil, evicted.err
	}
	if full {
		evicted.ready <- nil
	}
	return q, nil, nil
}

// flowName returns the name of a request's flow: its route and, for a keyed request, its key.
func flowName(r *exchange.Request) string {
	if r.Keyed {
		return fmt.Sprintf("%s %x", r.Route, r.Key)
	}
	return string(r.Route)
}

// ownerOf returns the server that currently owns the key of a request.
func (g *Group) ownerOf(r *exchange.Request) (s *server, err error) {
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
	if !s.isAvailable() {
		return nil, outcome.NotRun(outcome.NoServer, "backend server %s, which owns the key, is not in service", owner)
	}
	return s, nil
}

func (g *Group) sortedServers() []id.Server {
	return slices.Sorted(maps.Keys(g.servers))
}

func (g *Group) hasAvailableServer() bool {
	for _, s := range g.servers {
		if s.isAvailable() {
			return true
		}
	}
	return false
}

// pickServer returns a server with a free slot for a request without a key, or nil.
//
// The server that is to be avoided is used only where no other one is available.
func (g *Group) pickServer(w *waiter) *server {
	var free []*server
	var candidates []pick.Candidate
	for _, name := range g.sortedServers() {
		s := g.servers[name]
		if s.hasFreeSlot() && name != w.avoid {
			free = append(free, s)
			candidates = append(candidates, s.candidate())
		}
	}
	if len(free) == 0 {
		if w.avoid != "" {
			if s := g.servers[w.avoid]; s != nil && s.hasFreeSlot() && !g.hasOtherAvailable(w.avoid) {
				return s
			}
		}
		return nil
	}
	return free[g.options.Pick(candidates)]
}

func (g *Group) hasOtherAvailable(name id.Server) bool {
	for n, s := range g.servers {
		if n != name && s.isAvailable() {
			return true
		}
	}
	return false
}

func (g *Group) takeSlot(s *server, r *exchange.Request) {
	s.running++
	if r.Keyed {
		s.keysInFlight[r.Key]++
	}
}

// releaseSlot releases a slot and dispatches the next queued request.
func (g *Group) releaseSlot(s *server, r *exchange.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.running--
	if r.Keyed {
		if s.keysInFlight[r.Key]--; s.keysInFlight[r.Key] <= 0 {
			delete(s.keysInFlight, r.Key)
			if s.grantBlocked {
				g.wakeRun()
			}
		}
	}
	g.dispatchQueued()
}

// dispatchQueued assigns free slots to queued requests.
func (g *Group) dispatchQueued() {
	for _, s := range g.servers {
		g.dispatchServerQueue(s)
	}
	for g.sharedQueue.waiters.Len() > 0 && g.hasFreeServer() {
		w, _ := g.sharedQueue.waiters.Pop()
		s := g.pickServer(w)
		if s == nil {
			// Only the avoided server has a free slot; it is used rather than to wait longer.
			s = g.servers[w.avoid]
		}
		g.takeSlot(s, w.request)
		w.ready <- s
	}
}

func (g *Group) hasFreeServer() bool {
	for _, s := range g.servers {
		if s.hasFreeSlot() {
			return true
		}
	}
	return false
}

// dispatchServerQueue assigns the free slots of a server to the requests queued for it.
func (g *Group) dispatchServerQueue(s *server) {
	for s.hasFreeSlot() && s.queue.waiters.Len() > 0 {
		w, _ := s.queue.waiters.Pop()
		if g.refuseMisplaced(s, w) {
			continue
		}
		if !g.covers(s, w.request) {
			s.queue.waiters.Push(flowName(w.request), w)
			return
		}
		g.takeSlot(s, w.request)
		w.ready <- s
	}
}

// purgeServerQueue refuses the queued requests whose key the server doesn't own any more, or all where it is not available.
func (g *Group) purgeServerQueue(s *server) {
	for range s.queue.waiters.Len() {
		w, _ := s.queue.waiters.Pop()
		if !g.refuseMisplaced(s, w) {
			s.queue.waiters.Push(flowName(w.request), w)
		}
	}
}

// purgeSharedQueue refuses the requests of the shared queue where no server is available.
func (g *Group) purgeSharedQueue() {
	if g.hasAvailableServer() {
		return
	}
	for w, ok := g.sharedQueue.waiters.Pop(); ok; w, ok = g.sharedQueue.waiters.Pop() {
		w.err = outcome.NotRun(outcome.NoServer, "no backend server of group %s is in service", g.name)
		w.ready <- nil
	}
}

// refuseMisplaced refuses a request that is queued for the wrong server, and reports whether it did.
func (g *Group) refuseMisplaced(s *server, w *waiter) bool {
	owner, err := g.ownerOf(w.request)
	if err == nil && owner != s {
		err = outcome.NotRun(outcome.Moved, "the key was moved to backend server %s", owner.name)
	}
	if err == nil {
		return false
	}
	w.err = err
	w.ready <- nil
	return true
}

// refuseQueued refuses all queued requests because the lease is handed over.
func (g *Group) refuseQueued() {
	queues := []*waitQueue{g.sharedQueue}
	for _, s := range g.servers {
		queues = append(queues, s.queue)
	}
	for _, q := range queues {
		for w, ok := q.waiters.Pop(); ok; w, ok = q.waiters.Pop() {
			w.err = outcome.NotRun(outcome.Moved, "the lease of group %s is handed over", g.name)
			w.ready <- nil
		}
	}
}
