package dispatch

import (
	"slices"
	"time"

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
	// connectionShare is the share of a backend server's connections that all VMs together may use.
	connectionShare = 0.9
)

// choose reserves a slot at the best backend server, or returns nil while none has capacity; a refusal means that waiting can't help.
func (d *Dispatcher) choose(now clock.Instant, s *service, demand Demand) (slot *Slot, refusal *Refusal) {
	if demand.Keyed {
		return d.chooseOwner(now, s, demand)
	}
	if len(demand.AvoidedVersions) > 0 {
		without := demand
		without.ExcludedVersions, without.AvoidedVersions = slices.Concat(demand.ExcludedVersions, demand.AvoidedVersions), nil
		if slot, _ := d.choose(now, s, without); slot != nil {
			return slot, nil
		}
	}
	p := d.preference(s.name)
	extra := d.queuePlaces(now, s, demand, maxQueuedPerServer)
	var chosen candidate
	for i := range tierCount {
		if i > preferredTier && !p.informed[i] && s.outside.value(now) >= d.maxOutsideLoad(now, p) {
			continue
		}
		c := d.chooseFrom(now, s, tier{servers: d.eligible(now, p, i, demand, extra), informed: p.informed[i]})
		switch {
		case c.server == nil:
			continue
		case chosen.server == nil || c.score+s.serviceTime <= chosen.score:
			chosen = c
		}
		// The next tiers cost more: they are farther away, or this VM knows less of their load.
		if chosen.score < time.Duration(localObjectiveShare*float64(demand.Objective.Sub(now))) {
			break
		}
	}
	if chosen.server == nil {
		return nil, d.refusePaused(now, s, demand)
	}
	s.order.Charge(now, demand.Customer)
	slot = d.reserveSlot(now, chosen.server, s)
	slot.outside = chosen.outside
	return slot, nil
}

const (
	// maxOutsideLoad is the average load per slot from which backend servers of which this VM is not informed get no requests, as their
	// own groups need the slots that are free.
	maxOutsideLoad = 0.5
	// maxOutsideLoadWithoutOwn is the same for a VM whose preferred backend servers are all unavailable.
	maxOutsideLoadWithoutOwn = 1.0
)

// maxOutsideLoad returns the average load from which backend servers of which this VM is not informed get no requests.
func (d *Dispatcher) maxOutsideLoad(now clock.Instant, p *preference) float64 {
	for _, c := range p.tiers[preferredTier] {
		if d.isAvailable(now, c) && !c.isEjected(now) {
			return maxOutsideLoad
		}
	}
	return maxOutsideLoadWithoutOwn
}

// tier is a set of backend servers that may run a request. Tiers are tried in order of their distance.
type tier struct {
	servers []*server
	// informed says that this VM hears of the requests of the other VMs that prefer these backend servers. Otherwise the VMs with the same
	// late reports would all choose the same backend server.
	informed bool
}

// Tiers of the backend servers of a service, in the order in which they are tried.
const (
	// preferredTier holds those that this VM's group prefers, nearTier the others of its failure domain, and farTier all others.
	preferredTier = iota
	nearTier
	farTier
	// avoidedTier holds those of the failure domain that a request avoids, out of the other tiers.
	avoidedTier
	tierCount
)

// maxInformedVMs is the number of VMs up to which each of them hears in time of the requests of all others.
const maxInformedVMs = 16

// sampleSize is the number of backend servers drawn at random from a tier of which this VM is not informed.
const sampleSize = 2

// chooseFrom returns the best backend server of a tier, or the better one of two drawn at random if this VM is not informed of their load.
func (d *Dispatcher) chooseFrom(now clock.Instant, s *service, t tier) (best candidate) {
	n := len(t.servers)
	if !t.informed {
		n = min(n, sampleSize)
		for i := range n {
			j := i + int(d.options.Random()*float64(len(t.servers)-i))
			t.servers[i], t.servers[j] = t.servers[j], t.servers[i]
		}
	}
	for _, c := range t.servers[:n] {
		score := c.expectedLatency(now, s.serviceTime) + time.Duration(d.options.Random()*tieBreakShare*float64(s.serviceTime))
		if best.server == nil || score < best.score {
			best = candidate{server: c, score: score, outside: !t.informed}
		}
	}
	return best
}

// candidate is a backend server with its score; a lower score is better.
type candidate struct {
	server *server
	score  time.Duration
	// outside says that this VM is not informed of the backend server's load.
	outside bool
}

// preference is the order in which this VM tries the backend servers of a service, as long as the snapshot's backend servers and VMs stay
// the same.
type preference struct {
	// tiers holds the backend servers of all tiers but avoidedTier.
	tiers [avoidedTier][]*server
	// informed says for each tier that this VM hears of the requests of the other VMs that send there.
	informed [tierCount]bool
	// senders holds the VMs, with this one, that prefer the backend servers of preferredTier.
	senders []id.VM
}

// all yields the backend servers of all tiers.
func (p *preference) all(yield func(c *server) bool) {
	for _, servers := range p.tiers {
		for _, c := range servers {
			if !yield(c) {
				return
			}
		}
	}
}

// prefers reports whether this VM's group prefers a backend server.
func (p *preference) prefers(c *server) bool { return slices.Contains(p.tiers[preferredTier], c) }

// preference returns the preference for a service in the current snapshot.
func (d *Dispatcher) preference(name id.Service) *preference {
	if p, ok := d.preferences[name]; ok {
		return p
	}
	local := d.localServers(name)
	preferred, exclusive := d.division.Servers(d.vm, local)
	p := &preference{}
	if len(preferred) > 0 {
		p.senders = d.division.Senders(preferred[0], local)
	}
	p.informed[preferredTier] = exclusive
	p.informed[nearTier] = exclusive && d.division.Groups() == 1
	p.informed[farTier] = len(d.snapshot.Peers) <= maxInformedVMs
	p.informed[avoidedTier] = p.informed[farTier]
	for _, n := range d.snapshot.ByService[name] {
		c := d.servers[n]
		switch {
		case c == nil:
		case c.Domain != d.domain:
			p.tiers[farTier] = append(p.tiers[farTier], c)
		case slices.Contains(preferred, n):
			p.tiers[preferredTier] = append(p.tiers[preferredTier], c)
		default:
			p.tiers[nearTier] = append(p.tiers[nearTier], c)
		}
	}
	d.preferences[name] = p
	return p
}

// localServers returns the backend servers of a service in this VM's failure domain.
func (d *Dispatcher) localServers(name id.Service) (out []id.Server) {
	for _, n := range d.snapshot.ByService[name] {
		if d.snapshot.Servers[n].Domain == d.domain {
			out = append(out, n)
		}
	}
	return out
}

// IsDivided reports whether the VMs of this failure domain are divided into groups.
func (d *Dispatcher) IsDivided() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.division.Groups() > 1
}

// Neighbours returns the VMs that prefer the same backend servers as this one; they need its load reports.
func (d *Dispatcher) Neighbours() []id.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.division.Neighbours(d.vm)
}

// eligible returns the backend servers of a tier that a request may be sent to now, with up to extra requests beyond their slots.
func (d *Dispatcher) eligible(now clock.Instant, p *preference, tier int, demand Demand, extra int) (out []*server) {
	skipEjected := hasFewEjected(now, p)
	add := func(c *server) bool {
		avoided := demand.AvoidDomain != "" && c.Domain == demand.AvoidDomain
		if avoided == (tier == avoidedTier) && !slices.Contains(demand.Avoid, c.Incarnation.Server) && !slices.Contains(demand.ExcludedVersions, c.Version) && (!skipEjected || !c.isEjected(now)) && d.hasCapacity(now, c, extra) {
			out = append(out, c)
		}
		return true
	}
	switch {
	case tier < avoidedTier:
		for _, c := range p.tiers[tier] {
			add(c)
		}
	case demand.AvoidDomain != "":
		p.all(add)
	}
	return out
}

// hasFewEjected reports whether at most half of a service's backend servers are ejected. Otherwise ejections are ignored:
// where most backend servers fail, none is a better choice than another.
func hasFewEjected(now clock.Instant, p *preference) bool {
	ejected, all := countServers(p, func(c *server) bool { return c.isEjected(now) })
	return 2*ejected <= all
}

// countServers returns the number of a service's backend servers that match, and the number of all.
func countServers(p *preference, matches func(c *server) bool) (matching, all int) {
	for c := range p.all {
		all++
		if matches(c) {
			matching++
		}
	}
	return matching, all
}

// chooseOwner reserves a slot at the owner of a key.
func (d *Dispatcher) chooseOwner(now clock.Instant, s *service, demand Demand) (slot *Slot, refusal *Refusal) {
	owner, fence := d.ownerAndFence(s.name, demand.Key)
	if owner == nil {
		return nil, nil
	}
	if demand.ranEarlier(owner.Server.Server, fence) {
		return nil, &Refusal{Reason: RanEarlier, ServiceTime: s.serviceTime, Final: true}
	}
	if slices.Contains(demand.ExcludedVersions, owner.Version) {
		return nil, &Refusal{Reason: VersionExcluded, ServiceTime: s.serviceTime, Final: true}
	}
	if left := d.pauses.left(now, owner.Incarnation); left > 0 && d.snapshot.UsableForKeys(now, owner.Server) {
		return nil, d.refusePausedOwner(now, s, demand, left)
	}
	if !d.hasOwnerCapacity(now, owner, d.queuePlaces(now, s, demand, maxQueuedAtOwner)) {
		return nil, nil
	}
	finish := now.Add(owner.expectedLatency(now, s.serviceTime))
	if !demand.isLate(now) && d.leavesOwner(now, s, demand, owner, finish) {
		return nil, nil
	}
	late := owner.load(now) >= owner.Slots && finish > demand.Objective && !demand.isLate(now)
	if finish > demand.Deadline || late && owner.overload.observeLate(now) {
		refusal := d.refuse(now, s, demand)
		refusal.Final = true
		return nil, refusal
	}
	s.order.Charge(now, demand.Customer)
	slot = d.reserveSlot(now, owner, s)
	slot.Fence = fence
	return slot, nil
}

// owner returns the backend server that owns a key, or nil while none does.
func (d *Dispatcher) owner(name id.Service, key fleet.Key) *server {
	c, _ := d.ownerAndFence(name, key)
	return c
}

// ownerAndFence returns the backend server that owns a key and the fence under which it does, or nil while none does.
func (d *Dispatcher) ownerAndFence(name id.Service, key fleet.Key) (c *server, fence fleet.Fence) {
	t := d.snapshot.Tables[name]
	if t == nil {
		return nil, 0
	}
	r, ok := t.Find(key)
	if !ok || r.Moving() && !d.movedFences[name][r.Fence] {
		return nil, 0
	}
	c = d.servers[r.Owner.Server]
	if c == nil || c.Incarnation != r.Owner {
		return nil, 0
	}
	return c, r.Fence
}

// hasCapacity reports whether a backend server may get one more request, with up to extra requests beyond its slots; a negative extra
// leaves slots free.
func (d *Dispatcher) hasCapacity(now clock.Instant, c *server, extra int) bool {
	return d.snapshot.Usable(c.Server) && d.hasOwnerCapacity(now, c, extra)
}

// hasOwnerCapacity reports the same for requests for the keys that the backend server owns.
func (d *Dispatcher) hasOwnerCapacity(now clock.Instant, c *server, extra int) bool {
	return d.isOwnerAvailable(now, c) && c.load(now) < c.Slots+extra && (!c.isCold(now) || d.allowsWarmup(now, c, c.Service)) &&
		d.requestLimitWait(now, c, 1) == 0
}

// isAvailable reports whether a backend server may get new requests.
func (d *Dispatcher) isAvailable(now clock.Instant, c *server) bool {
	return d.snapshot.Usable(c.Server) && d.isOwnerAvailable(now, c)
}

// isOwnerAvailable reports whether a backend server may get new requests for the keys that it owns.
func (d *Dispatcher) isOwnerAvailable(now clock.Instant, c *server) bool {
	return d.snapshot.UsableForKeys(now, c.Server) && now >= c.pausedUntil && d.pauses.left(now, c.Incarnation) == 0
}

// IsUsable reports whether the backend server of a slot may still get its request: it is in use, wants requests, and owns the request's key
// under the same grant if it is keyed.
func (d *Dispatcher) IsUsable(slot *Slot, keyed bool, key fleet.Key) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, inc := d.options.Clock.Boot(), slot.Server.Incarnation
	c, ok := d.servers[inc.Server]
	if !ok || c.Incarnation != inc || d.pauses.left(now, inc) > 0 {
		return false
	}
	if !keyed {
		return d.snapshot.Usable(c.Server)
	}
	owner, fence := d.ownerAndFence(slot.Server.Service, key)
	return owner == c && fence == slot.Fence && d.snapshot.UsableForKeys(now, c.Server)
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
	c.sends.add(now)
	c.sinceReport++
	if c.limitBucket != nil {
		c.limitBucket.Take(now)
	}
	if c.isCold(now) && c.warmupLimiter != nil {
		c.warmupLimiter.AllowN(d.options.Clock.Now(), 1)
	}
	maxConnections := d.snapshot.Configuration.Services[s.name].MaxConnections
	if maxConnections > 0 {
		maxConnections = max(1, int(connectionShare*float64(maxConnections))/max(1, d.options.Peers()))
	}
	return &Slot{Server: c.Server, MaxConnections: maxConnections, ExpectedLatency: expected, Load: load, dispatcher: d, acquiredAt: now, queueFactor: factor}
}
