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

// Times of grants.
const (
	// grantLength is the time that a request or renewal extends a grant by, at most to the lease's end.
	grantLength = 400 * time.Millisecond
	// renewAhead is the time before the end at which a grant in use is renewed.
	renewAhead = 200 * time.Millisecond
	// grantTimeout bounds the exchange of a grant.
	grantTimeout = 300 * time.Millisecond
	// driftPerMille is the most that a backend server's clock may be faster than the VM's.
	driftPerMille = 5
)

// holding is what a grant gives.
type holding struct {
	slices map[id.Slice]bool
	keys   map[table.Hash]bool
	except map[table.Hash]bool
}

func holdingOf(t *table.Table, name id.Server) (h holding) {
	h = holding{slices: map[id.Slice]bool{}, keys: map[table.Hash]bool{}, except: map[table.Hash]bool{}}
	for _, s := range t.SlicesOf(id.Owner(name)) {
		h.slices[s] = true
	}
	for _, k := range t.KeysOf(id.Owner(name)) {
		h.keys[k] = true
	}
	for k := range t.Keys {
		if !h.keys[k] && h.slices[t.SliceOf(k)] {
			h.except[k] = true
		}
	}
	return h
}

// wantedOf returns what a table gives the server; it is worked out once for each table.
func (s *server) wantedOf(t *table.Table) holding {
	if s.wantedFor != t {
		s.wanted, s.wantedFor = holdingOf(t, s.name), t
	}
	return s.wanted
}

func (h holding) equal(other holding) bool {
	return maps.Equal(h.slices, other.slices) && maps.Equal(h.keys, other.keys) && maps.Equal(h.except, other.except)
}

func (h holding) covers(t *table.Table, k table.Hash) bool {
	if h.keys[k] {
		return true
	}
	return !h.except[k] && h.slices[t.SliceOf(k)]
}

// grant is the newest grant of a server, as far as the holder knows.
type grant struct {
	acked   bool
	busy    bool
	fence   id.Fence
	holding holding
	// reading is the server's clock, read no later than readAt of the own clock.
	reading clock.Instant
	readAt  clock.Instant
	// expiry is the latest end that any message to the server has carried, by the own clock.
	expiry clock.Instant
}

// remote converts an instant of the own clock to a reading of the server's that is not later.
func (n grant) remote(at clock.Instant) clock.Instant {
	d := at.Sub(n.readAt)
	return n.reading.Add(d - d*driftPerMille/1000)
}

// covers reports whether the server's grant covers a keyed request.
func (g *Group) covers(s *server, r *exchange.Request) bool {
	t, ok := g.directory.View().Tables[g.service]
	return ok && s.grant.acked && s.grant.holding.covers(t, r.Key)
}

// expiryLocked returns the end of a grant that is given now.
func (g *Group) expiryLocked() clock.Instant {
	return min(g.options.Clock.Boot().Add(grantLength), g.options.Lease.Expiry())
}

// syncGrant starts an exchange with a server whose grant isn't what the table says.
func (g *Group) syncGrant(ctx context.Context, s *server, t *table.Table, fenced bool) {
	wanted := s.wantedOf(t)
	s.blocked = false
	if s.grant.busy || s.condition == lost {
		return
	}
	if s.grant.acked && s.grant.holding.equal(wanted) {
		g.renew(ctx, s, fenced)
		return
	}
	if s.grant.acked && g.inFlight(s, wanted, t) {
		s.blocked = true
		return
	}
	fence := id.Fence{Term: g.options.Lease.Term(), Version: t.Version}
	if !fenced {
		g.accept(s, grant{acked: true, fence: fence, holding: wanted}, t)
		return
	}
	g.exchange(ctx, s, backend.Grant{
		Service:    g.service,
		Term:       fence.Term,
		Version:    fence.Version,
		SliceCount: len(t.Slices),
		Slices:     slices.Sorted(maps.Keys(wanted.slices)),
		Keys:       slices.Sorted(maps.Keys(wanted.keys)),
		Except:     slices.Sorted(maps.Keys(wanted.except)),
	}, wanted, t)
}

// inFlight reports whether the server runs a request that the wanted holding no longer covers.
func (g *Group) inFlight(s *server, wanted holding, t *table.Table) bool {
	for k := range s.keys {
		if !wanted.covers(t, k) {
			return true
		}
	}
	return false
}

// renew extends a grant that requests in flight depend on.
func (g *Group) renew(ctx context.Context, s *server, fenced bool) {
	now := g.options.Clock.Boot()
	if !fenced || s.running == 0 || s.condition != up || s.grant.expiry.Sub(now) > renewAhead {
		return
	}
	t := g.directory.View().Tables[g.service]
	g.exchange(ctx, s, backend.Grant{
		Service: g.service,
		Term:    s.grant.fence.Term,
		Version: s.grant.fence.Version,
		Renew:   true,
	}, s.grant.holding, t)
}

// exchange sends a grant; the lock is held, the sending happens beside it.
func (g *Group) exchange(ctx context.Context, s *server, message backend.Grant, h holding, t *table.Table) {
	if !g.options.Lease.Valid() {
		return
	}
	end := g.expiryLocked()
	if s.grant.readAt != 0 {
		message.Expiry = s.grant.remote(end)
		s.grant.expiry = max(s.grant.expiry, end)
	}
	s.grant.busy = true
	boot, target := s.boot, s.config
	g.tasks.Go(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, grantTimeout)
		defer cancel()
		reading, err := g.link.Grant(ctx, target, message)
		g.granted(s, boot, message, h, t, reading, err)
	})
}

// granted takes a server's answer to a grant.
func (g *Group) granted(s *server, boot id.Incarnation, message backend.Grant, h holding, t *table.Table, reading backend.GrantResponse, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Clock.Boot()
	s.grant.busy = false
	if err != nil {
		g.options.Log.Debug("backend server did not answer a grant", "group", g.name, "server", s.name, "error", err)
		g.suspectLocked(s)
		return
	}
	s.lastHeard = now
	fresh := s.sawBoot(reading.Boot) || boot != reading.Boot
	first := s.grant.readAt == 0
	s.grant.reading, s.grant.readAt = reading.Clock, now
	if fresh || first {
		// The expiry was not in this process's clock; the next exchange has a reading.
		g.poke()
		return
	}
	if !reading.Accepted {
		g.options.Log.Warn("backend server has seen a newer fence", "group", g.name, "server", s.name,
			"sent", id.Fence{Term: message.Term, Version: message.Version}.String(), "newest", reading.Newest.String())
		s.grant.acked = false
		return
	}
	if message.Renew {
		return
	}
	next := s.grant
	next.acked, next.holding = true, h
	next.fence = id.Fence{Term: message.Term, Version: message.Version}
	g.accept(s, next, t)
}

// accept makes a grant the server's newest and lets requests use it.
func (g *Group) accept(s *server, next grant, t *table.Table) {
	s.grant = next
	g.options.Log.Debug("grant is in force", "group", g.name, "server", s.name,
		"fence", next.fence.String(), "slices", len(next.holding.slices), "table", t.Version)
	g.dispatchWaiting()
	g.settledLocked()
}

// settledLocked wakes those who wait for a release.
func (g *Group) settledLocked() {
	close(g.settled)
	g.settled = make(chan struct{})
}

// Release waits until no server of the group serves what its newest table moves away.
//
// It returns false where the lease ended first.
func (g *Group) Release(ctx context.Context, version id.Version) bool {
	g.configure()
	g.poke()
	for {
		g.mu.Lock()
		done, changed := g.isSettled(version), g.settled
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
		case <-g.options.Clock.After(releasePoll):
		}
	}
}

// releasePoll is the time between two looks at servers that can't be reached.
const releasePoll = 20 * time.Millisecond

// isSettled reports whether every server's grant is within the newest table.
func (g *Group) isSettled(version id.Version) bool {
	view := g.directory.View()
	t, ok := view.Tables[g.service]
	if !ok || t.Version < version {
		return false
	}
	service := view.Site.Services[g.service]
	if !service.Keyed {
		return !g.claimsAway(t)
	}
	fenced := service.Fenced
	for _, s := range g.servers {
		wanted := s.wantedOf(t)
		if g.inFlight(s, wanted, t) && (!fenced || !g.expired(s)) {
			return false
		}
		if s.grant.acked && within(s.grant.holding, wanted) {
			continue
		}
		if s.grant.busy && s.condition != lost {
			return false
		}
		if fenced && !g.expired(s) {
			return false
		}
	}
	return true
}

// claimsAway reports whether a request is in flight whose resends another group has to answer.
func (g *Group) claimsAway(t *table.Table) bool {
	for slice := range g.claims {
		e := t.Slices[slice]
		if e.Moving() || t.OwnerAt(e.Owner) != id.Owner(g.name) {
			return true
		}
	}
	return false
}

// expired reports whether no message to the server can still be in force.
func (g *Group) expired(s *server) bool {
	return g.options.Clock.Boot().After(s.grant.expiry)
}

// within reports whether a holding gives nothing beyond another.
func within(h, bound holding) bool {
	for s := range h.slices {
		if !bound.slices[s] {
			return false
		}
	}
	for k := range h.keys {
		if !bound.keys[k] {
			return false
		}
	}
	for k := range bound.except {
		if !h.except[k] {
			return false
		}
	}
	return true
}
