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

// condition is what the holder thinks of a backend server.
type condition int

const (
	up condition = iota
	// suspected means that a request waits unusually long; a probe is on its way.
	suspected
	// leaving means that the backend server has said that it drains.
	leaving
	// lost means that neither requests nor probes are answered.
	lost
)

// server is the holder's state of one backend server, guarded by the group's lock.
type server struct {
	name   id.Server
	config config.Server
	ramp   *ramp.Limiter
	lane   *lane
	boot   id.Incarnation

	condition condition
	probing   bool
	lastHeard clock.Instant
	running   int
	reported  int
	// removed says that the configuration no longer names the server.
	removed bool
	out     bool
	keys    map[table.Hash]int
	grant   grant
	// wanted is what the table wantedFor gives the server.
	wanted    holding
	wantedFor *table.Table
	// blocked says that a smaller grant waits for requests in flight.
	blocked bool
	flights map[*flight]struct{}
	work    time.Duration
}

func newServer(name id.Server, service config.Service) *server {
	return &server{
		name:    name,
		ramp:    ramp.NewLimiter(service.ColdSlots, service.Slots),
		lane:    newLane(service.QueuePerServer),
		keys:    map[table.Hash]int{},
		flights: map[*flight]struct{}{},
	}
}

// open reports whether the server may get new work.
func (s *server) open() bool {
	return !s.removed && !s.out && (s.condition == up || s.condition == suspected)
}

// free reports whether the server can take one more request now.
func (s *server) free() bool {
	return s.open() && s.condition == up && s.running < s.ramp.Limit()
}

func (s *server) candidate() pick.Candidate {
	return pick.Candidate{
		Running:      s.running,
		Limit:        s.ramp.Limit(),
		ReportedLoad: s.reported,
		Latency:      s.ramp.SmoothedLatency(),
	}
}

// sawBoot notes the process that answered and returns whether it is a new one.
func (s *server) sawBoot(boot id.Incarnation) (fresh bool) {
	if boot == "" || boot == s.boot {
		return false
	}
	fresh = s.boot != ""
	s.boot = boot
	if fresh {
		s.ramp.Reset()
		s.grant = grant{}
	}
	return fresh
}

// configure takes over what the configuration says of the group's servers.
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
			s.lastHeard = g.options.Clock.Boot()
			if boot, warm := g.options.LastKnownLimit(name); boot != "" {
				s.boot = boot
				s.ramp.RaiseLimit(warm)
			}
			g.servers[name] = s
		}
		s.config, s.removed, s.out = c, false, c.Out || group.Out
		s.ramp.SetBounds(service.ColdSlots, service.Slots)
		s.lane.queue.SetLimit(service.QueuePerServer)
		limit += service.QueuePerServer
	}
	g.shared.queue.SetLimit(limit)
	g.noteSlices(view)
	for _, s := range g.servers {
		g.sweep(s)
	}
	g.sweepShared()
	g.dispatchWaiting()
}

// noteSlices notes the time at which slices came from other groups, whose memory is not here.
func (g *Group) noteSlices(view *directory.View) {
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
		if g.known != nil && !g.known[slice] {
			g.gained[slice] = origin{at: g.options.Clock.Now(), from: g.ownerBefore(view, slice)}
		}
	}
	g.known, g.before = owned, t
}

// ownerBefore returns the group that had a slice in the table seen before, or an empty name.
func (g *Group) ownerBefore(view *directory.View, slice id.Slice) id.Group {
	if g.before == nil || int(slice) >= len(g.before.Slices) {
		return ""
	}
	owner := g.before.OwnerAt(g.before.Slices[slice].Owner)
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
