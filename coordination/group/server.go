package group

import (
	"time"

	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/coordination/pick"
	"github.com/hickorylug/hickorylug/coordination/ramp"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// serverState is the state of a backend server as seen by the lease holder.
type serverState int

const (
	up serverState = iota
	// suspected means that a request or call failed or was not answered in time; a probe is in flight.
	suspected
	// draining means that the backend server has answered that it is draining.
	draining
	// lost means that consecutive probes were not answered.
	lost
)

// server is the lease holder's state of one backend server, guarded by the group's lock.
type server struct {
	name    id.Server
	config  config.Server
	limiter *ramp.Limiter
	queue   *waitQueue
	boot    id.Incarnation

	state   serverState
	probing bool
	// lastChecked is the time of the last answer or of the last probe result.
	lastChecked clock.Instant
	// running is the number of slots in use.
	running      int
	reportedLoad int
	// removed is true where the configuration no longer contains the server.
	removed bool
	// out is true where the configuration has taken the server or its group out of service.
	out bool
	// keysInFlight counts the requests in flight by key.
	keysInFlight map[table.Hash]int
	grant        grant
	// wantedScope is the scope that wantedTable assigns to the server.
	wantedScope scope
	wantedTable *table.Table
	// grantBlocked is true while a smaller grant waits for requests in flight that it wouldn't cover.
	grantBlocked bool
	attempts     map[*attempt]struct{}
	// serviceTime is the sum of the latencies of all answers.
	serviceTime time.Duration
}

func newServer(name id.Server, service config.Service) *server {
	return &server{
		name:         name,
		limiter:      ramp.NewLimiter(service.ColdSlots, service.Slots),
		queue:        newWaitQueue(service.QueuePerServer),
		keysInFlight: map[table.Hash]int{},
		attempts:     map[*attempt]struct{}{},
	}
}

// isAvailable reports whether new requests may be queued for the server.
func (s *server) isAvailable() bool {
	return !s.removed && !s.out && (s.state == up || s.state == suspected)
}

// hasFreeSlot reports whether one more request may be sent to the server now.
func (s *server) hasFreeSlot() bool {
	return s.isAvailable() && s.state == up && s.running < s.limiter.Limit()
}

func (s *server) candidate() pick.Candidate {
	return pick.Candidate{
		Running:      s.running,
		Limit:        s.limiter.Limit(),
		ReportedLoad: s.reportedLoad,
		Latency:      s.limiter.SmoothedLatency(),
	}
}

// recordBoot records the incarnation that answered and reports whether the server has restarted.
//
// A restarted server is cold and has lost its grant.
func (s *server) recordBoot(boot id.Incarnation) (restarted bool) {
	if boot == "" || boot == s.boot {
		return false
	}
	restarted = s.boot != ""
	s.boot = boot
	if restarted {
		s.limiter.Reset()
		s.grant = grant{}
	}
	return restarted
}

// configure applies the configuration and the slice table to the group's servers and queues.
func (g *Group) configure() {
	view := g.directory.View()
	group, service := view.Groups[g.name], view.Site.Services[g.service]
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, s := range g.servers {
		if _, ok := group.Servers[name]; !ok {
			s.removed = true
		}
	}
	limit := 0
	for name, c := range group.Servers {
		s, ok := g.servers[name]
		if !ok || s.config.Address != c.Address {
			s = newServer(name, service)
			s.lastChecked = g.options.Clock.Boot()
			if boot, lastLimit := g.options.LastKnownLimit(name); boot != "" {
				s.boot = boot
				s.limiter.RaiseLimit(lastLimit)
			}
			g.servers[name] = s
		}
		s.config, s.removed, s.out = c, false, c.Out || group.Out
		s.limiter.SetBounds(service.ColdSlots, service.Slots)
		s.queue.waiters.SetLimit(service.QueuePerServer)
		limit += service.QueuePerServer
	}
	g.sharedQueue.waiters.SetLimit(limit)
	g.recordGainedSlices(view)
	for _, s := range g.servers {
		g.purgeServerQueue(s)
	}
	g.purgeSharedQueue()
	g.dispatchQueued()
}

// recordGainedSlices records when slices were received from other groups, whose deduplication state this group doesn't have.
func (g *Group) recordGainedSlices(view *directory.View) {
	t, ok := view.Tables[g.service]
	if !ok {
		return
	}
	owned := map[id.Slice]bool{}
	for i, e := range t.Slices {
		slice := id.Slice(i)
		if !g.owns(view, t.OwnerAt(e.Owner)) {
			continue
		}
		owned[slice] = true
		if g.ownedSlices != nil && !g.ownedSlices[slice] {
			g.gainedSlices[slice] = sliceOrigin{at: g.options.Clock.Now(), from: g.previousOwner(view, slice)}
		}
	}
	g.ownedSlices, g.lastTable = owned, t
}

// previousOwner returns the group that owned a slice in lastTable, or an empty name.
func (g *Group) previousOwner(view *directory.View, slice id.Slice) id.Group {
	if g.lastTable == nil || int(slice) >= len(g.lastTable.Slices) {
		return ""
	}
	owner := g.lastTable.OwnerAt(g.lastTable.Slices[slice].Owner)
	if from, ok := view.GroupOfServer(g.service, id.Server(owner)); ok {
		return from
	}
	return id.Group(owner)
}

// owns reports whether an owner is the group or one of its servers.
func (g *Group) owns(view *directory.View, owner id.Owner) bool {
	_, ok := view.Groups[g.name].Servers[id.Server(owner)]
	return ok || owner == id.Owner(g.name)
}
