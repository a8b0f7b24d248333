package group

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/protocol/backend"
	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// Durations and bounds of grants.
const (
	// grantDuration is the time by which a request or renewal extends a grant, at most up to the expiry of the lease.
	grantDuration = 400 * time.Millisecond
	// renewBefore is the time before its expiry at which a grant in use is renewed.
	renewBefore = 200 * time.Millisecond
	// grantTimeout bounds one grant call to a backend server.
	grantTimeout = 300 * time.Millisecond
	// maxClockDriftPerMille bounds by how much a backend server's clock may run faster than the VM's.
	maxClockDriftPerMille = 5
)

// scope is the part of the key space that a grant covers: slices, single keys, and keys excepted from the slices.
type scope struct {
	slices map[id.Slice]bool
	keys   map[table.Hash]bool
	except map[table.Hash]bool
}

// scopeOf returns the scope that a table assigns to a server.
func scopeOf(t *table.Table, name id.Server) (sc scope) {
	sc = scope{slices: map[id.Slice]bool{}, keys: map[table.Hash]bool{}, except: map[table.Hash]bool{}}
	for _, s := range t.SlicesOf(id.Owner(name)) {
		sc.slices[s] = true
	}
	for _, k := range t.KeysOf(id.Owner(name)) {
		sc.keys[k] = true
	}
	for k := range t.Keys {
		if !sc.keys[k] && sc.slices[t.SliceOf(k)] {
			sc.except[k] = true
		}
	}
	return sc
}

// wantedFrom returns the scope that a table assigns to the server; it is computed once for each table.
func (s *server) wantedFrom(t *table.Table) scope {
	if s.wantedTable != t {
		s.wantedScope, s.wantedTable = scopeOf(t, s.name), t
	}
	return s.wantedScope
}

func (sc scope) equal(other scope) bool {
	return maps.Equal(sc.slices, other.slices) && maps.Equal(sc.keys, other.keys) && maps.Equal(sc.except, other.except)
}

func (sc scope) covers(t *table.Table, k table.Hash) bool {
	if sc.keys[k] {
		return true
	}
	return !sc.except[k] && sc.slices[t.SliceOf(k)]
}

// grant is the newest grant of a server, as known to the lease holder.
type grant struct {
	// acked is true while the grant is in force: accepted by the server, or applied without a call where the service isn't fenced.
	acked bool
	// pending is true while a grant call is in flight.
	pending bool
	fence   id.Fence
	scope   scope
	// serverClock is a reading of the server's clock, taken no later than at serverClockAt of the VM's clock.
	serverClock   clock.Instant
	serverClockAt clock.Instant
	// expiry is the latest expiry that any message to the server has carried, on the VM's clock.
	expiry clock.Instant
}

// toServerClock converts an instant of the VM's clock to a reading of the server's clock that is not later.
//
// The server's clock may drift, so the time since the last reading is reduced by the maximum drift.
func (gr grant) toServerClock(at clock.Instant) clock.Instant {
	elapsed := at.Sub(gr.serverClockAt)
	return gr.serverClock.Add(elapsed - elapsed*maxClockDriftPerMille/1000)
}

// covers reports whether the server's grant covers a keyed request.
func (g *Group) covers(s *server, r *exchange.Request) bool {
	t, ok := g.directory.View().Tables[g.service]
	return ok && s.grant.acked && s.grant.scope.covers(t, r.Key)
}

// grantExpiryLocked returns the expiry of a grant that is given or extended now.
func (g *Group) grantExpiryLocked() clock.Instant {
	return min(g.options.Clock.Boot().Add(grantDuration), g.options.Lease.Expiry())
}

// syncGrant sends a grant to a server whose current grant differs from the table, or renews the current one.
//
// A grant that no longer covers a request in flight is sent after that request has ended.
func (g *Group) syncGrant(ctx context.Context, s *server, t *table.Table, fenced bool) {
	wanted := s.wantedFrom(t)
	s.grantBlocked = false
	if s.grant.pending || s.state == lost {
		return
	}
	if s.grant.acked && s.grant.scope.equal(wanted) {
		g.renewGrant(ctx, s, fenced)
		return
	}
	if s.grant.acked && g.hasInFlightOutside(s, wanted, t) {
		s.grantBlocked = true
		return
	}
	fence := id.Fence{Term: g.options.Lease.Term(), Version: t.Version}
	if !fenced {
		g.applyGrant(s, grant{acked: true, fence: fence, scope: wanted}, t)
		return
	}
	g.sendGrant(ctx, s, backend.Grant{
		Service:    g.service,
		Term:       fence.Term,
		Version:    fence.Version,
		SliceCount: len(t.Slices),
		Slices:     slices.Sorted(maps.Keys(wanted.slices)),
		Keys:       slices.Sorted(maps.Keys(wanted.keys)),
		Except:     slices.Sorted(maps.Keys(wanted.except)),
	}, wanted, t)
}

// hasInFlightOutside reports whether the server runs a request that the wanted scope doesn't cover.
func (g *Group) hasInFlightOutside(s *server, wanted scope, t *table.Table) bool {
	for k := range s.keysInFlight {
		if !wanted.covers(t, k) {
			return true
		}
	}
	return false
}

// renewGrant extends a grant under which requests are in flight, shortly before it expires.
func (g *Group) renewGrant(ctx context.Context, s *server, fenced bool) {
	now := g.options.Clock.Boot()
	if !fenced || s.running == 0 || s.state != up || s.grant.expiry.Sub(now) > renewBefore {
		return
	}
	t := g.directory.View().Tables[g.service]
	g.sendGrant(ctx, s, backend.Grant{
		Service: g.service,
		Term:    s.grant.fence.Term,
		Version: s.grant.fence.Version,
		Renew:   true,
	}, s.grant.scope, t)
}

// sendGrant starts a grant call to a server; the caller holds the lock, the call itself runs in a task without it.
func (g *Group) sendGrant(ctx context.Context, s *server, message backend.Grant, wanted scope, t *table.Table) {
	if !g.options.Lease.Valid() {
		return
	}
	expiry := g.grantExpiryLocked()
	if s.grant.serverClockAt != 0 {
		message.Expiry = s.grant.toServerClock(expiry)
		s.grant.expiry = max(s.grant.expiry, expiry)
	}
	s.grant.pending = true
	boot, target := s.boot, s.config
	g.tasks.Go(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, grantTimeout)
		defer cancel()
		reading, err := g.transport.Grant(ctx, target, message)
		g.handleGrantAnswer(s, boot, message, wanted, t, reading, err)
	})
}

// handleGrantAnswer updates the state of a server with its answer to a grant call.
func (g *Group) handleGrantAnswer(s *server, boot id.Incarnation, message backend.Grant, wanted scope, t *table.Table, reading backend.GrantResponse, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Boot()
	s.grant.pending = false
	if err != nil {
		g.options.Log.Debug("backend server did not answer the grant call", "group", g.name, "server", s.name, "error", err)
		g.suspectLocked(s)
		return
	}
	s.lastChecked = now
	restarted := s.recordBoot(reading.Boot) || boot != reading.Boot
	first := s.grant.serverClockAt == 0
	s.grant.serverClock, s.grant.serverClockAt = reading.Clock, now
	if restarted || first {
		// The message carried no valid expiry, because this incarnation's clock had not been read yet.
		// The next call uses the reading of this answer.
		g.wakeRun()
		return
	}
	if !reading.Accepted {
		g.options.Log.Warn("backend server rejected the grant: it has accepted a newer fence", "group", g.name, "server", s.name,
			"sent", id.Fence{Term: message.Term, Version: message.Version}.String(), "newest", reading.Newest.String())
		s.grant.acked = false
		return
	}
	if message.Renew {
		return
	}
	next := s.grant
	next.acked, next.scope = true, wanted
	next.fence = id.Fence{Term: message.Term, Version: message.Version}
	g.applyGrant(s, next, t)
}

// applyGrant makes a grant the server's current one and dispatches queued requests that it covers.
func (g *Group) applyGrant(s *server, next grant, t *table.Table) {
	s.grant = next
	g.options.Log.Debug("grant accepted", "group", g.name, "server", s.name,
		"fence", next.fence.String(), "slices", len(next.scope.slices), "table", t.Version)
	g.dispatchQueued()
	g.notifyStateChangedLocked()
}

// notifyStateChangedLocked wakes the callers that wait in Release and AwaitClaims.
func (g *Group) notifyStateChangedLocked() {
	close(g.stateChanged)
	g.stateChanged = make(chan struct{})
}

// Release waits until no server of the group serves keys that the newest table assigns elsewhere.
//
// It returns false where the lease or the context ends first.
func (g *Group) Release(ctx context.Context, version id.Version) bool {
	g.configure()
	g.wakeRun()
	for {
		g.mu.Lock()
		done, changed := g.isReleased(version), g.stateChanged
		g.mu.Unlock()
		if !g.options.Lease.Valid() {
			return false
		}
		if done {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		case <-g.options.Clock.After(releasePollPeriod):
		}
	}
}

// releasePollPeriod is the time between two checks whether the grants of unreachable servers have expired.
const releasePollPeriod = 20 * time.Millisecond

// isReleased reports whether the grants of all servers are within the newest table.
//
// The grant of a server that doesn't answer counts as released once it has expired.
func (g *Group) isReleased(version id.Version) bool {
	view := g.directory.View()
	t, ok := view.Tables[g.service]
	if !ok || t.Version < version {
		return false
	}
	service := view.Site.Services[g.service]
	if !service.Keyed {
		return !g.hasClaimsElsewhere(t)
	}
	fenced := service.Fenced
	for _, s := range g.servers {
		wanted := s.wantedFrom(t)
		if g.hasInFlightOutside(s, wanted, t) && (!fenced || !g.isGrantExpired(s)) {
			return false
		}
		if s.grant.acked && isWithin(s.grant.scope, wanted) {
			continue
		}
		if s.grant.pending && s.state != lost {
			return false
		}
		if fenced && !g.isGrantExpired(s) {
			return false
		}
	}
	return true
}

// hasClaimsElsewhere reports whether an at-most-once request is in flight whose duplicates are routed to another group.
func (g *Group) hasClaimsElsewhere(t *table.Table) bool {
	for slice := range g.claims {
		e := t.Slices[slice]
		if e.IsMoving() || t.OwnerAt(e.Owner) != id.Owner(g.name) {
			return true
		}
	}
	return false
}

// isGrantExpired reports whether the expiry of every message to the server has passed.
func (g *Group) isGrantExpired(s *server) bool {
	return g.options.Clock.Boot().After(s.grant.expiry)
}

// isWithin reports whether a scope covers nothing outside of another one.
func isWithin(inner, outer scope) bool {
	for s := range inner.slices {
		if !outer.slices[s] {
			return false
		}
	}
	for k := range inner.keys {
		if !outer.keys[k] {
			return false
		}
	}
	for k := range outer.except {
		if !inner.except[k] {
			return false
		}
	}
	return true
}
