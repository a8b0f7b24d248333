package dispatch

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// queueAhead is the number of requests that may wait at a backend server, so that a free slot is filled at once.
	queueAhead = 1
	// keyedAhead bounds the requests that wait at the owner of a key; backend servers queue few.
	keyedAhead = 8
	// lateReserve is the number of slots that requests whose objective has passed leave free for others.
	lateReserve = 1
	// nearShare is the part of the time to the objective within which a backend server near by is good enough.
	nearShare = 0.6
	// tieShare is the part of the expected time that is decided by chance, so that VMs don't all choose the same.
	tieShare = 0.1
	// maxColdSenders bounds the VMs that send to one cold backend server.
	maxColdSenders = 5
	// connectionShare is the share of a backend server's connections that all VMs use together.
	connectionShare = 0.9
)

// choose takes room at the best backend server, or returns nil; a refusal says that waiting is in vain.
func (d *Dispatcher) choose(now clock.Instant, s *service, demand Demand) (slot *Slot, refusal *Refusal) {
	if demand.Keyed {
		return d.chooseOwner(now, s, demand)
	}
	var best, near scored
	for c := range d.able(now, s, demand) {
		score := c.expected(now, s.work) + time.Duration(d.options.Random()*tieShare*float64(s.work))
		if c.Domain == d.domain {
			near.improve(c, score)
		}
		best.improve(c, score)
	}
	if best.server == nil {
		return nil, nil
	}
	// Traffic between failure domains is dear and slower, so the near server is taken where it is fast enough.
	if near.server != nil && (near.score < time.Duration(nearShare*float64(demand.Objective.Sub(now))) || near.score < best.score+s.work) {
		best = near
	}
	return d.occupy(now, best.server, s), nil
}

// scored is a backend server with the time that a request would take there.
type scored struct {
	server *server
	score  time.Duration
}

// improve takes a backend server over that has a lower score.
func (b *scored) improve(c *server, score time.Duration) {
	if b.server == nil || score < b.score {
		b.server, b.score = c, score
	}
}

// able yields the backend servers that may get a request now.
func (d *Dispatcher) able(now clock.Instant, s *service, demand Demand) iter.Seq[*server] {
	ahead := queueAhead
	if demand.late(now) {
		ahead = -lateReserve
	}
	ejecting := d.ejectsFew(now, s.name)
	return func(yield func(*server) bool) {
		for _, name := range d.snapshot.ByService[s.name] {
			c := d.servers[name]
			if c == nil || slices.Contains(demand.Avoid, name) || ejecting && c.isEjected(now) || !d.hasRoom(now, c, ahead) {
				continue
			}
			if !yield(c) {
				return
			}
		}
	}
}

// ejectsFew reports whether at most half of a service's backend servers are ejected; where most fail, each is as good as another.
func (d *Dispatcher) ejectsFew(now clock.Instant, name id.Service) bool {
	ejected, all := d.countServers(name, func(c *server) bool { return c.isEjected(now) })
	return 2*ejected <= all
}

// countServers returns how many of a service's backend servers match, and how many there are.
func (d *Dispatcher) countServers(name id.Service, matches func(c *server) bool) (matching, all int) {
	names := d.snapshot.ByService[name]
	for _, n := range names {
		if c := d.servers[n]; c != nil && matches(c) {
			matching++
		}
	}
	return matching, len(names)
}

// chooseOwner takes room at the owner of a key.
func (d *Dispatcher) chooseOwner(now clock.Instant, s *service, demand Demand) (slot *Slot, refusal *Refusal) {
	owner := d.owner(s.name, demand.Key)
	ahead := keyedAhead
	if demand.late(now) {
		ahead = -lateReserve
	}
	if owner == nil || !d.hasRoom(now, owner, ahead) {
		return nil, nil
	}
	finish := now.Add(owner.expected(now, s.work))
	late := owner.load(now) >= owner.Slots && finish > demand.Objective && !demand.late(now)
	if finish > demand.Deadline || late && owner.pressure.lasts(now) {
		refusal := d.refuse(now, s, demand)
		refusal.Final = true
		return nil, refusal
	}
	return d.occupy(now, owner, s), nil
}

// owner returns the backend server that owns a key, or nil while nobody does.
func (d *Dispatcher) owner(name id.Service, key fleet.Key) *server {
	t := d.snapshot.Tables[name]
	if t == nil {
		return nil
	}
	r, ok := t.Find(key)
	if !ok || r.Moving() && !d.moved[name][r.Fence] {
		return nil
	}
	c := d.servers[r.Owner.Server]
	if c == nil || c.Incarnation != r.Owner {
		return nil
	}
	return c
}

// hasRoom reports whether a backend server may get one more request, with some waiting there.
func (d *Dispatcher) hasRoom(now clock.Instant, c *server, ahead int) bool {
	return d.open(now, c) && c.load(now) < c.Slots+ahead && (!c.isCold(now) || d.mayWarm(now, c, c.Service))
}

// open reports whether a backend server may get new work.
func (d *Dispatcher) open(now clock.Instant, c *server) bool {
	return d.snapshot.Usable(c.Server) && now >= c.pausedUntil
}

func (d *Dispatcher) anyUsable(name id.Service) bool {
	return slices.ContainsFunc(d.snapshot.ByService[name], func(n id.Server) bool {
		c := d.servers[n]
		return c != nil && d.snapshot.Usable(c.Server)
	})
}

// occupy takes room at a backend server.
func (d *Dispatcher) occupy(now clock.Instant, c *server, s *service) *Slot {
	expected, load, turns := c.expected(now, s.work), c.load(now), c.turns(now)
	c.inFlight++
	c.sinceReport++
	if c.isCold(now) && c.cold != nil {
		c.cold.AllowN(d.options.Clock.Now(), 1)
	}
	bound := d.snapshot.Configuration.Services[s.name].MaxConnections
	if bound > 0 {
		bound = max(1, int(connectionShare*float64(bound))/max(1, d.options.Peers()))
	}
	return &Slot{Server: c.Server, MaxConnections: bound, ExpectedLatency: expected, Load: load, dispatcher: d, taken: now, turns: turns}
}

// mayWarm reports whether this VM may send a request to a cold backend server now.
//
// A few VMs of its failure domain share what it bears, so that all together
// stay below the bound even where each sends its requests at once.
func (d *Dispatcher) mayWarm(now clock.Instant, c *server, name id.Service) bool {
	if c.Domain != d.domain || c.load(now) >= c.Slots {
		return false
	}
	if c.cold == nil {
		share := d.warmShare(c, d.snapshot.Configuration.Services[name].WarmupRate)
		if share <= 0 {
			return false
		}
		c.cold = rate.NewLimiter(rate.Limit(share), 1)
	}
	return c.cold.TokensAt(d.options.Clock.Now()) >= 1
}

// warmShare returns this VM's share of the rate of a cold backend server.
func (d *Dispatcher) warmShare(c *server, bears float64) float64 {
	senders := []id.VM{d.vm}
	for vm, p := range d.snapshot.Peers {
		// VMs that aren't heard count too: they may be cut off and send all the same.
		if p.Domain == d.domain && vm != d.vm {
			senders = append(senders, vm)
		}
	}
	score := func(vm id.VM) uint64 { return xxhash.Sum64String(string(c.Incarnation.Server) + "\x00" + string(vm)) }
	slices.SortFunc(senders, func(a, b id.VM) int { return cmp.Compare(score(a), score(b)) })
	// Each sender may send one request at once on top of its rate.
	limit := min(maxColdSenders, int((d.options.WarmOverage-1)*bears+d.options.WarmSlack))
	senders = senders[:max(1, min(len(senders), limit))]
	if !slices.Contains(senders, d.vm) {
		return 0
	}
	return bears / float64(len(senders))
}
