package edge

import (
	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
)

// failureState describes the failed calls of the leader to one incarnation of a backend server.
type failureState struct {
	failures  int
	since     clock.Instant
	refusedAt clock.Instant
	// rejected is set once a process at its address rejected a call, for example a process of another service that doesn't support keys.
	rejected bool
}

// recordIncarnations records which incarnations have ended: an entry with a later start time ends the former incarnation of the server.
//
// An entry with an earlier start time is a stale update about a former incarnation and is ignored.
func (k *keyManager) recordIncarnations(s *fleet.Snapshot) {
	for name, server := range s.Servers {
		previous, ok := k.incarnations[name]
		switch {
		case !ok:
			k.lastAppearedAt = k.edge.clock.Boot()
		case server.Born < previous.Born:
			continue
		case server.Born > previous.Born:
			k.ended[previous] = true
		}
		k.incarnations[name] = server.Incarnation
		if server.Born >= k.latestAtAddress[server.Address].Born {
			k.latestAtAddress[server.Address] = server.Incarnation
		}
	}
}

// hasEnded reports whether an incarnation has ended: the entry of its server shows a later start time, or another server that started later at its address rejected a call for it.
func (k *keyManager) hasEnded(s *fleet.Snapshot, inc fleet.Incarnation) bool {
	if server, ok := s.Servers[inc.Server]; k.ended[inc] || ok && server.Born > inc.Born {
		return true
	}
	state, hasFailed := k.failureStates[inc]
	last, known := k.lastEntries[inc.Server]
	if !hasFailed || !state.rejected || !known || last.Incarnation != inc {
		return false
	}
	latest := k.latestAtAddress[last.Address]
	return latest.Server != inc.Server && latest.Born > inc.Born
}

// successor returns the incarnation that has started under the id of an ended one. Calls that were meant for the ended one have reached it.
func (k *keyManager) successor(s *fleet.Snapshot, inc fleet.Incarnation) (next fleet.Incarnation, ok bool) {
	next = k.incarnations[inc.Server]
	if server, listed := s.Servers[inc.Server]; listed && server.Born > next.Born {
		next = server.Incarnation
	}
	return next, next.Born > inc.Born
}

// isSuspended reports whether a backend server may have restarted without its entry showing it yet.
func (k *keyManager) isSuspended(now clock.Instant, inc fleet.Incarnation) bool {
	state, ok := k.failureStates[inc]
	return ok && state.refusedAt > 0 && now.Sub(state.refusedAt) < refusalCooldown
}

// isLost reports whether calls to an incarnation have failed so often and so long that it loses its keys.
func (k *keyManager) isLost(now clock.Instant, inc fleet.Incarnation) bool {
	state, ok := k.failureStates[inc]
	return ok && (state.failures >= maxFailedCalls || state.refusedAt > 0) && now.Sub(state.since) > evictionDelay
}

// recordRejection records that a process at the address of a backend server rejected a call.
func (k *keyManager) recordRejection(inc fleet.Incarnation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if state, ok := k.failureStates[inc]; ok {
		state.rejected = true
	}
}

func (k *keyManager) recordCallOutcome(now clock.Instant, inc fleet.Incarnation, outcome ownership.Outcome, connectionRefused bool) {
	if outcome.IsAnswered() {
		delete(k.failureStates, inc)
		return
	}
	state, ok := k.failureStates[inc]
	if !ok {
		state = &failureState{since: now}
		k.failureStates[inc] = state
	}
	state.failures++
	if connectionRefused {
		state.refusedAt = now
	}
}
