package edge

import (
	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
)

// trouble is what the leader has seen of a backend server that doesn't carry orders out.
type trouble struct {
	failures int
	since    clock.Instant
	refused  clock.Instant
	// denied says that a process at its address has turned an order down, as one that doesn't know keys does.
	denied bool
}

// noteLives learns which lives are over: an id that shows a later start has lost what it held.
//
// An entry with an earlier start is late news of a former life and proves nothing.
func (k *keys) noteLives(s *fleet.Snapshot) {
	for name, server := range s.Servers {
		was, ok := k.lives[name]
		switch {
		case !ok:
			k.appeared = k.edge.clock.Boot()
		case server.Born < was.Born:
			continue
		case server.Born > was.Born:
			k.dead[was] = true
		}
		k.lives[name] = server.Incarnation
		if server.Born >= k.listeners[server.Address].Born {
			k.listeners[server.Address] = server.Incarnation
		}
	}
}

// over reports whether a life has ended: its id shows a later start, or its address does and denies to be it.
func (k *keys) over(s *fleet.Snapshot, l fleet.Incarnation) bool {
	if server, ok := s.Servers[l.Server]; k.dead[l] || ok && server.Born > l.Born {
		return true
	}
	t, troubled := k.troubles[l]
	last, known := k.addresses[l.Server]
	if !troubled || !t.denied || !known || last.Incarnation != l {
		return false
	}
	next := k.listeners[last.Address]
	return next.Server != l.Server && next.Born > l.Born
}

// suspended reports whether a backend server may have been started anew without its entry showing it yet.
func (k *keys) suspended(now clock.Instant, l fleet.Incarnation) bool {
	t, ok := k.troubles[l]
	return ok && t.refused > 0 && now.Sub(t.refused) < settledFor
}

// lost reports whether a backend server has left so many orders unanswered that it loses its keys.
func (k *keys) lost(now clock.Instant, l fleet.Incarnation) bool {
	t, ok := k.troubles[l]
	return ok && (t.failures >= troubledAfter || t.refused > 0) && now.Sub(t.since) > evictAfter
}

// deny notes that a process at the address of a backend server has turned an order down.
func (k *keys) deny(l fleet.Incarnation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t, ok := k.troubles[l]; ok {
		t.denied = true
	}
}

func (k *keys) noteTrouble(now clock.Instant, l fleet.Incarnation, outcome ownership.Outcome, refused bool) {
	if outcome != ownership.Unanswered {
		delete(k.troubles, l)
		return
	}
	t, ok := k.troubles[l]
	if !ok {
		t = &trouble{since: now}
		k.troubles[l] = t
	}
	t.failures++
	if refused {
		t.refused = now
	}
}
