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
	// maxQueuedPerServer is the number of requests that may queue at a backend server, so that a free slot is filled at once.
	maxQueuedPerServer = 1
	// maxQueuedAtOwner is the number of requests that may queue at the owner of a key, since backend servers have short queues.
	maxQueuedAtOwner = 8
	// lateReservedSlots is the number of slots that requests past their objective leave free for requests that can still be in time.
	lateReservedSlots = 1
	// localObjectiveShare is the part of the time left to the objective within which a local backend server is fast enough.
	localObjectiveShare = 0.6
	// tieBreakShare limits the random part of a score, as a share of the average service time; it keeps VMs from all choosing the same
	// backend server.
	tieBreakShare = 0.1
	// maxWarmupSenders is the maximum number of VMs that send to one cold backend server.
	maxWarmupSenders = 5
	// connectionShare is the share of a backend server's connections that all VMs together may use.
	connectionShare = 0.9
)

// choose reserves a slot at the best backend server, or returns nil while none has capacity; a refusal means that waiting can't help.
func (d *Dispatcher) choose(now clock.Instant, s *service, demand Demand) (slot *Slot, refusal *Refusal) {
	if demand.Keyed {
		return d.chooseOwner(now, s, demand)
	}
	var best, local candidate
	for c := range d.eligible(now, s, demand) {
		score := c.expectedLatency(now, s.serviceTime) + time.Duration(d.options.Random()*tieBreakShare*float64(s.serviceTime))
		if c.Domain == d.domain {
			local.keepBest(c, score)
		}
		best.keepBest(c, score)
	}
	if best.server == nil {
		return nil, nil
	}
	// Traffic between failure domains costs more and is slower, so a local backend server is preferred where it is fast enough.
	if local.server != nil && (local.score < time.Duration(localObjectiveShare*float64(demand.Objective.Sub(now))) || local.score < best.score+s.serviceTime) {
		best = local
	}
	return d.reserveSlot(now, best.server, s), nil
}

// candidate is a backend server with its score; a lower score is better.
type candidate struct {
	server *server
	score  time.Duration
}

// keepBest replaces the candidate if the given backend server has a lower score.
func (b *candidate) keepBest(c *server, score time.Duration) {
	if b.server == nil || score < b.score {
		b.server, b.score = c, score
	}
}

// eligible yields the backend servers that a request may be sent to now.
func (d *Dispatcher) eligible(now clock.Instant, s *service, demand Demand) iter.Seq[*server] {
	extra := maxQueuedPerServer
	if demand.isLate(now) {
		extra = -lateReservedSlots
	}
	skipEjected := d.hasFewEjected(now, s.name)
	return func(yield func(*server) bool) {
		for _, name := range d.snapshot.ByService[s.name] {
			c := d.servers[name]
			if c == nil || slices.Contains(demand.Avoid, name) || skipEjected && c.isEjected(now) || !d.hasCapacity(now, c, extra) {
				continue
			}
			if !yield(c) {
				return
			}
		}
	}
}

// hasFewEjected reports whether at most half of a service's backend servers are ejected. Otherwise ejections are ignored:
// where most backend servers fail, none is a better choice than another.
func (d *Dispatcher) hasFewEjected(now clock.Instant, name id.Service) bool {
	ejected, all := d.countServers(name, func(c *server) bool { return c.isEjected(now) })
	return 2*ejected <= all
}

// countServers returns the number of a service's backend servers that match, and the number of all.
func (d *Dispatcher) countServers(name id.Service, matches func(c *server) bool) (matching, all int) {
	names := d.snapshot.ByService[name]
	for _, n := range names {
		if c := d.servers[n]; c != nil && matches(c) {
			matching++
		}
	}
	return matching, len(names)
}

// chooseOwner reserves a slot at the owner of a key.
func (d *Dispatcher) chooseOwner(now clock.Instant, s *service, demand Demand) (slot *Slot, refusal *Refusal) {
	owner := d.owner(s.name, demand.Key)
	extra := maxQueuedAtOwner
	if demand.isLate(now) {
		extra = -lateReservedSlots
	}
	if owner == nil || !d.hasCapacity(now, owner, extra) {
		return nil, nil
	}
	finish := now.Add(owner.expectedLatency(now, s.serviceTime))
	late := owner.load(now) >= owner.Slots && finish > demand.Objective && !demand.isLate(now)
	if finish > demand.Deadline || late && owner.overload.observeLate(now) {
		refusal := d.refuse(now, s, demand)
		refusal.Final = true
		return nil, refusal
	}
	return d.reserveSlot(now, owner, s), nil
}

// owner returns the backend server that owns a key, or nil while none does.
func (d *Dispatcher) owner(name id.Service, key fleet.Key) *server {
	t := d.snapshot.Tables[name]
	if t == nil {
		return nil
	}
	r, ok := t.Find(key)
	if !ok || r.Moving() && !d.movedFences[name][r.Fence] {
		return nil
	}
	c := d.servers[r.Owner.Server]
	if c == nil || c.Incarnation != r.Owner {
		return nil
	}
	return c
}

// hasCapacity reports whether a backend server may get one more request, with up to extra requests beyond its slots; a negative extra
// leaves slots free.
func (d *Dispatcher) hasCapacity(now clock.Instant, c *server, extra int) bool {
	return d.isAvailable(now, c) && c.load(now) < c.Slots+extra && (!c.isCold(now) || d.allowsWarmup(now, c, c.Service))
}

// isAvailable reports whether a backend server may get new requests.
func (d *Dispatcher) isAvailable(now clock.Instant, c *server) bool {
	return d.snapshot.Usable(c.Server) && now >= c.pausedUntil
}

// hasUsableServer reports whether the snapshot has a usable backend server of a service.
func (d *Dispatcher) hasUsableServer(name id.Service) bool {
	return slices.ContainsFunc(d.snapshot.ByService[name], func(n id.Server) bool {
		c := d.servers[n]
		return c != nil && d.snapshot.Usable(c.Server)
	})
}

// reserveSlot counts one more request in flight at a backend server and returns its slot.
func (d *Dispatcher) reserveSlot(now clock.Instant, c *server, s *service) *Slot {
	expected, load, factor := c.expectedLatency(now, s.serviceTime), c.load(now), c.queueFactor(now)
	c.inFlight++
	c.sinceReport++
	if c.isCold(now) && c.warmupLimiter != nil {
		c.warmupLimiter.AllowN(d.options.Clock.Now(), 1)
	}
	maxConnections := d.snapshot.Configuration.Services[s.name].MaxConnections
	if maxConnections > 0 {
		maxConnections = max(1, int(connectionShare*float64(maxConnections))/max(1, d.options.Peers()))
	}
	return &Slot{Server: c.Server, MaxConnections: maxConnections, ExpectedLatency: expected, Load: load, dispatcher: d, acquiredAt: now, queueFactor: factor}
}

// allowsWarmup reports whether this VM may send a request to a cold backend server now.
//
// A few VMs of its failure domain share its warm-up rate, so that all of them
// together stay below the limit even if each sends its requests at once.
func (d *Dispatcher) allowsWarmup(now clock.Instant, c *server, name id.Service) bool {
	if c.Domain != d.domain || c.load(now) >= c.Slots {
		return false
	}
	if c.warmupLimiter == nil {
		share := d.warmupShare(c, d.snapshot.Configuration.Services[name].WarmupRate)
		if share <= 0 {
			return false
		}
		c.warmupLimiter = rate.NewLimiter(rate.Limit(share), 1)
	}
	return c.warmupLimiter.TokensAt(d.options.Clock.Now()) >= 1
}

// warmupShare returns this VM's share of the warm-up rate of a cold backend server, in requests per second; 0 means that it may send none.
func (d *Dispatcher) warmupShare(c *server, warmupRate float64) float64 {
	senders := []id.VM{d.vm}
	for vm, p := range d.snapshot.Peers {
		// Unreachable VMs count too: they may be partitioned from this VM and still send.
		if p.Domain == d.domain && vm != d.vm {
			senders = append(senders, vm)
		}
	}
	score := func(vm id.VM) uint64 { return xxhash.Sum64String(string(c.Incarnation.Server) + "\x00" + string(vm)) }
	slices.SortFunc(senders, func(a, b id.VM) int { return cmp.Compare(score(a), score(b)) })
	// Each sender's token bucket allows a burst of one request on top of its rate.
	limit := min(maxWarmupSenders, int((d.options.WarmOverage-1)*warmupRate+d.options.WarmSlack))
	senders = senders[:max(1, min(len(senders), limit))]
	if !slices.Contains(senders, d.vm) {
		return 0
	}
	return warmupRate / float64(len(senders))
}
