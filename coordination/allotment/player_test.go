package allotment

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// mutation is a fault put into the protocol on purpose. The check of the upper bound must catch each.
type mutation string

const (
	intact          mutation = ""
	noReservation   mutation = "the granter doesn't reserve the shares of silent VMs"
	fullBucket      mutation = "a new granter begins with full buckets and whole allotments"
	earlyHandover   mutation = "a lowered share is given to another VM before it is confirmed"
	unlimitedAhead  mutation = "tokens ahead of need have no limit"
	forgottenShares mutation = "a new granter takes no notice of reported shares"
)

// fault is a kind of trouble in a play.
type fault string

const (
	leaderKilled fault = "leader killed"
	leaderFrozen fault = "leader frozen"
	leaderCut    fault = "leader cut off"
	leaderDouble fault = "former leader goes on beside the new one"
	vmCut        fault = "VM cut off"
	vmDeaf       fault = "VM gets no answers"
	vmFrozen     fault = "VM frozen"
	vmRestarted  fault = "VM restarted"
	domainCut    fault = "failure domain cut off"
	domainDeaf   fault = "failure domain gets no answers"
	halves       fault = "two halves"
	lateMessages fault = "late messages"
	limitLowered fault = "limit lowered"
	limitRaised  fault = "limit raised"
)

var allFaults = []fault{
	leaderKilled, leaderFrozen, leaderCut, leaderDouble, vmCut, vmDeaf, vmFrozen, vmRestarted, domainCut, domainDeaf, halves, lateMessages, limitLowered, limitRaised,
}

const (
	playDomains = 3
	// playLease is the TTL of the leader's lease, and playApply the time within which all VMs have a new configuration.
	playLease = 1200 * time.Millisecond
	playApply = 2500 * time.Millisecond
	// playHeartbeat is the time between two heartbeats of the leader.
	playHeartbeat = 150 * time.Millisecond
	halvesTime    = 10 * time.Second
	playStart     = clock.Instant(time.Hour)
	// playWarmup is the time at the start in which refusals don't count: VMs have just been started.
	playWarmup = 3 * time.Second
)

// playOptions describe a play.
type playOptions struct {
	seed     uint64
	vms      int
	length   time.Duration
	limits   []fleet.Allotment
	faults   int
	kinds    []fault
	mutation mutation
	// usage is the mean demand as a fraction of the allotment; surge is the probability of a spell with up to 6 times of it.
	usage, surge float64
	// spread is the number of VMs at which a customer is active.
	spread int
	// settled keeps a customer at the same VMs; its division among them still changes.
	settled bool
	loss    float64
	// script, if set, gives the requests per second at each VM instead of spells at random.
	script func(since time.Duration) []float64
	// deafFrom is when the last VM stops to get answers; 0 means never.
	deafFrom time.Duration
	// halvesAt is when the fleet is cut in two halves for halvesTime; 0 means never.
	halvesAt time.Duration
	// counted makes the play encode all messages to count their bytes.
	counted bool
}

// playVM is an entry VM of a play.
type playVM struct {
	index, incarnation  int
	name                id.VM
	domain              int
	holder              *Holder
	granter             *Granter
	leadsUntil          clock.Instant
	term                id.Revision
	leader              int
	frozenUntil, downTo clock.Instant
	timerAt             clock.Instant
	limits              map[id.Customer]fleet.Allotment
	versions            map[id.Customer]int
}

// cut is a time in which messages between two sets of VMs are lost; deaf loses only those to the first set.
type cut struct {
	from, to clock.Instant
	inside   func(v *playVM) bool
	deaf     bool
}

type event struct {
	at  clock.Instant
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// limitChange is a limit in force from a time on.
type limitChange struct {
	at clock.Instant
	fleet.Allotment
}

// customerLog records what happened to a customer's requests.
type customerLog struct {
	admitted []clock.Instant
	arrived  []clock.Instant
	// arrivedAt holds the index of the VM of each arrival.
	arrivedAt []int
	limits    []limitChange
	waited    int
	// refusals are the Retry-After of refusals.
	refusals []time.Duration
}

// player plays the VMs of a fleet in virtual time.
type player struct {
	playOptions
	rng      *rand.Rand
	now      clock.Instant
	seq      int
	queue    eventQueue
	vms      []*playVM
	settings Settings
	lastTerm id.Revision
	cuts     []cut
	lateTo   clock.Instant
	current  map[id.Customer]fleet.Allotment
	logs     map[id.Customer]*customerLog
	journal  []string
	messages int
	bytes    int
}

func newPlayer(o playOptions) *player {
	p := &player{
		playOptions: o, rng: rand.New(rand.NewPCG(o.seed, 1)), now: playStart, current: map[id.Customer]fleet.Allotment{}, logs: map[id.Customer]*customerLog{},
		settings: Settings{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
	}
	for i, a := range o.limits {
		c := id.Customer(fmt.Sprintf("customer-%02d", i))
		p.current[c] = a
		p.logs[c] = &customerLog{limits: []limitChange{{at: 0, Allotment: a}}}
	}
	for i := range o.vms {
		v := &playVM{index: i, name: id.VM(fmt.Sprint("vm", i)), domain: i % playDomains, leader: -1}
		p.vms = append(p.vms, v)
		p.start(v)
	}
	return p
}

// start starts a VM's process.
func (p *player) start(v *playVM) {
	v.incarnation++
	v.limits, v.versions = map[id.Customer]fleet.Allotment{}, map[id.Customer]int{}
	for c, a := range p.current {
		v.limits[c], v.versions[c] = a, len(p.logs[c].limits)
	}
	lookup := func(c id.Customer) (fleet.Allotment, bool) { a, ok := v.limits[c]; return a, ok }
	v.holder = NewHolder(p.protocolSettings(), lookup)
	v.holder.SetFleet(len(p.vms))
	v.granter, v.leader, v.leadsUntil, v.timerAt, v.frozenUntil = nil, -1, 0, 0, 0
}

// protocolSettings are those that granter and holders use.
func (p *player) protocolSettings() Settings {
	s := p.settings
	if p.mutation == unlimitedAhead {
		s.Slack = 4000
	}
	return s
}

func (p *player) at(t clock.Instant, run func()) {
	p.seq++
	heap.Push(&p.queue, event{at: t, seq: p.seq, run: run})
}

func (p *player) in(d time.Duration, run func()) { p.at(p.now.Add(d), run) }

// onVM runs a step of a VM's process: later if the VM is frozen, never if it has ended.
func (p *player) onVM(v *playVM, t clock.Instant, run func()) {
	incarnation := v.incarnation
	p.at(t, func() {
		switch {
		case v.incarnation != incarnation || p.now < v.downTo:
		case p.now < v.frozenUntil:
			p.onVM(v, v.frozenUntil, run)
		default:
			run()
		}
	})
}

func (p *player) chance(x float64) bool { return p.rng.Float64() < x }

func (p *player) between(a, b time.Duration) time.Duration {
	return a + time.Duration(p.rng.Int64N(int64(b-a)+1))
}

// isCut reports whether a message is lost in a cut.
func (p *player) isCut(from, to *playVM) bool {
	for _, c := range p.cuts {
		if p.now < c.from || p.now >= c.to || c.inside(from) == c.inside(to) {
			continue
		}
		if !c.deaf || c.inside(to) {
			return true
		}
	}
	return false
}

// send delivers a message, unless it is lost.
func (p *player) send(from, to *playVM, m any, deliver func()) {
	p.messages++
	if p.counted && m != nil {
		data, err := cbor.Marshal(m)
		if err != nil {
			panic(err)
		}
		p.bytes += len(data) + datagramBytes
	}
	if from == to {
		deliver()
		return
	}
	if p.isCut(from, to) || p.chance(p.loss) {
		return
	}
	delay := p.between(500*time.Microsecond, 4*time.Millisecond)
	if p.now < p.lateTo && p.chance(0.5) {
		delay = p.between(20*time.Millisecond, 3*time.Second)
	}
	p.onVM(to, p.now.Add(delay), func() {
		if !p.isCut(from, to) {
			deliver()
		}
	})
}

// datagramBytes are the bytes of the message around an ask or answer, with the sender's name, incarnation and domain, and of the UDP and IP headers.
const datagramBytes = 64

// schedule sets the timer of a VM's next ask.
func (p *player) schedule(v *playVM) {
	d, ok := v.holder.NextAskIn(p.now)
	at := p.now.Add(d)
	if !ok || v.timerAt > p.now && v.timerAt <= at {
		return
	}
	v.timerAt = at
	p.onVM(v, at, func() {
		if v.timerAt == at {
			v.timerAt = 0
		}
		if ask, due := v.holder.NextAsk(p.now); due && v.leader >= 0 {
			p.sendAsk(v, p.vms[v.leader], ask)
		}
		p.schedule(v)
	})
}

func (p *player) sendAsk(v, to *playVM, ask Ask) {
	p.mutateAsk(&ask)
	incarnation := id.Incarnation(fmt.Sprint(v.incarnation))
	p.send(v, to, ask, func() {
		if to.granter == nil || p.now >= to.leadsUntil {
			return
		}
		p.mutateGranter(to.granter)
		answer, ok := to.granter.Answer(p.now, v.name, incarnation, ask)
		to.granter.SetMembers(p.now, p.members())
		p.mutateGranter(to.granter)
		if !ok {
			return
		}
		p.send(to, v, answer, func() {
			v.holder.Receive(p.now, answer)
			p.schedule(v)
		})
	})
}

// hoard is the number of tokens that a VM asks for ahead of need in a mutation.
const hoard = 100

// mutateAsk changes an ask for a mutation.
func (p *player) mutateAsk(ask *Ask) {
	for i := range ask.Entries {
		switch p.mutation {
		case forgottenShares:
			ask.Entries[i].Share = 0
		case unlimitedAhead:
			ask.Entries[i].Ahead = hoard
		default:
		}
	}
}

// mutateGranter changes the state of a granter for a mutation.
func (p *player) mutateGranter(g *Granter) {
	switch p.mutation {
	case noReservation:
		for _, v := range g.vms {
			v.contactAt = p.now
		}
	case fullBucket, forgottenShares:
		if !g.hasKnown {
			g.known, g.hasKnown = 1, true
		}
		// A bucket is smaller by the parts of VMs without contact, which at first are all VMs.
		if p.now.Sub(g.since) < time.Second {
			for _, v := range g.vms {
				v.contactAt = p.now
			}
		}
	case earlyHandover:
		for _, v := range g.vms {
			for _, h := range v.holdings {
				h.confirmed = h.offered
			}
		}
	default:
	}
}

func (p *player) members() (out []id.VM) {
	for _, v := range p.vms {
		out = append(out, v.name)
	}
	return out
}

// elect makes a VM the leader.
func (p *player) elect(v *playVM) {
	p.lastTerm++
	v.term, v.leader, v.leadsUntil = p.lastTerm, v.index, math.MaxInt64
	v.granter = NewGranter(p.protocolSettings(), func(c id.Customer) (fleet.Allotment, bool) { a, ok := v.limits[c]; return a, ok }, v.term, p.now)
	v.holder.SetGranter(v.term, true)
	p.note("%s leads in term %d", v.name, v.term)
	p.schedule(v)
	p.heartbeat(v, v.term)
}

// heartbeat makes the VMs that hear the leader follow it.
func (p *player) heartbeat(l *playVM, term id.Revision) {
	if l.term != term || p.now >= l.leadsUntil {
		return
	}
	for _, v := range p.vms {
		if v != l && p.now >= v.downTo {
			p.send(l, v, nil, func() {
				if term >= v.holder.term {
					v.leader = l.index
					v.holder.SetGranter(term, true)
					p.schedule(v)
				}
			})
			p.messages--
		}
	}
	p.onVM(l, p.now.Add(playHeartbeat), func() { p.heartbeat(l, term) })
}

func (p *player) note(format string, args ...any) {
	p.journal = append(p.journal, fmt.Sprintf("%.2f s: ", p.now.Sub(playStart).Seconds())+fmt.Sprintf(format, args...))
}

// leader returns the VM that leads, or nil.
func (p *player) leader() *playVM {
	for _, v := range p.vms {
		if v.term == p.lastTerm && p.now < v.leadsUntil && p.now >= v.downTo {
			return v
		}
	}
	return nil
}

// replaceLeader ends a leadership at a time and elects another VM some time later.
func (p *player) replaceLeader(l *playVM, end clock.Instant, eligible func(v *playVM) bool) {
	l.leadsUntil = end
	p.at(max(end, p.now).Add(p.between(0, 1800*time.Millisecond)), func() {
		for {
			v := p.vms[p.rng.IntN(len(p.vms))]
			if v != l && p.now >= v.downTo && p.now >= v.frozenUntil && eligible(v) {
				p.elect(v)
				return
			}
		}
	})
}

func anyVM(*playVM) bool { return true }

// restart ends a VM's process and starts it again.
func (p *player) restart(v *playVM, after time.Duration) {
	v.downTo = p.now.Add(after)
	v.granter = nil
	p.at(v.downTo, func() { p.start(v) })
}

// apply makes a fault happen.
func (p *player) apply(f fault) {
	l := p.leader()
	v := p.vms[p.rng.IntN(len(p.vms))]
	long := p.between(5*time.Second, 12*time.Second)
	if l == nil || v == l && f != lateMessages {
		return
	}
	p.note("%s (%s, leader %s) for %v", f, v.name, l.name, long)
	single := func(x *playVM) func(*playVM) bool { return func(y *playVM) bool { return x == y } }
	addCut := func(inside func(v *playVM) bool, deaf bool) {
		p.cuts = append(p.cuts, cut{from: p.now, to: p.now.Add(long), inside: inside, deaf: deaf})
	}
	switch f {
	case leaderKilled, leaderFrozen, leaderCut, leaderDouble:
		p.applyToLeader(f, l, addCut)
	case vmCut:
		addCut(single(v), false)
	case vmDeaf:
		addCut(single(v), true)
	case vmFrozen:
		v.frozenUntil = p.now.Add(p.between(300*time.Millisecond, 12*time.Second))
	case vmRestarted:
		p.restart(v, p.between(200*time.Millisecond, 3*time.Second))
	case domainCut:
		addCut(func(x *playVM) bool { return x.domain == (l.domain+1)%playDomains }, false)
	case domainDeaf:
		addCut(func(x *playVM) bool { return x.domain == (l.domain+1)%playDomains }, true)
	case halves:
		addCut(func(x *playVM) bool { return x.index*2 < len(p.vms) }, false)
	case lateMessages:
		p.lateTo = p.now.Add(p.between(time.Second, 4*time.Second))
	case limitLowered:
		p.changeLimit(0.4)
	case limitRaised:
		p.changeLimit(2.5)
	}
}

// applyToLeader makes a fault of the leader happen.
func (p *player) applyToLeader(f fault, l *playVM, addCut func(inside func(v *playVM) bool, deaf bool)) {
	switch f {
	case leaderKilled:
		p.restart(l, p.between(time.Second, 4*time.Second))
		p.replaceLeader(l, p.now.Add(playLease), anyVM)
	case leaderFrozen:
		frozen := p.between(300*time.Millisecond, 6*time.Second)
		l.frozenUntil = p.now.Add(frozen)
		if frozen >= playLease {
			p.replaceLeader(l, p.now.Add(playLease), anyVM)
		}
	case leaderCut:
		addCut(func(v *playVM) bool { return v == l }, false)
		p.replaceLeader(l, p.now.Add(playLease), anyVM)
	case leaderDouble:
		// Half of the VMs don't hear the new leader for a second and go on with the former one.
		p.cuts = append(p.cuts, cut{from: p.now, to: p.now.Add(2 * time.Second), inside: func(v *playVM) bool { return v.index%2 == l.index%2 }})
		p.replaceLeader(l, p.now, func(v *playVM) bool { return v.index%2 != l.index%2 })
		l.leadsUntil = p.now.Add(2 * time.Second)
	default:
	}
}

// changeLimit changes the limit of a customer by a factor; the VMs learn of it within playApply.
func (p *player) changeLimit(factor float64) {
	c := p.customers()[p.rng.IntN(len(p.current))]
	a := p.current[c]
	a.Rate, a.Burst = a.Rate*factor, a.Burst*factor
	p.current[c] = a
	p.logs[c].limits = append(p.logs[c].limits, limitChange{at: p.now, Allotment: a})
	version := len(p.logs[c].limits)
	for _, v := range p.vms {
		p.onVM(v, p.now.Add(p.between(0, playApply)), func() {
			// An older version of the configuration never comes back into force.
			if version > v.versions[c] {
				v.limits[c], v.versions[c] = a, version
			}
		})
	}
}

func (p *player) customers() (out []id.Customer) {
	for c := range p.logs {
		out = append(out, c)
	}
	slices.Sort(out)
	return out
}

// demand sends a customer's requests in spells, each with its own rate and its own division among VMs.
func (p *player) demand(c id.Customer, spellEnd clock.Instant, rate float64, weights []float64) {
	switch {
	case p.script != nil:
		rate, weights = normalize(p.script(p.now.Sub(playStart)))
	case p.now >= spellEnd:
		a := p.current[c]
		rate = a.Rate * p.usage * (0.5 + p.rng.Float64())
		if p.chance(p.surge) {
			rate *= 1 + 5*p.rng.Float64()
		}
		weights = p.divide(weights)
		spellEnd = p.now.Add(p.between(2*time.Second, 8*time.Second))
	}
	p.in(time.Duration(p.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		x := p.rng.Float64()
		for i, w := range weights {
			if x -= w; x < 0 {
				p.request(p.vms[i], c)
				break
			}
		}
		p.demand(c, spellEnd, rate, weights)
	})
}

// divide returns the part of each VM in a customer's requests in the next spell.
func (p *player) divide(before []float64) []float64 {
	weights := make([]float64, len(p.vms))
	if p.settled && before != nil {
		for i := range weights {
			weights[i] = before[i] * (0.5 + 1.5*p.rng.Float64())
		}
	} else {
		for range p.spread {
			weights[p.rng.IntN(len(p.vms))] += math.Pow(p.rng.Float64(), 2) + 0.05
		}
	}
	_, weights = normalize(weights)
	return weights
}

// normalize returns the sum of weights, and each as a fraction of it.
func normalize(weights []float64) (total float64, fractions []float64) {
	for _, w := range weights {
		total += w
	}
	for _, w := range weights {
		fractions = append(fractions, w/total)
	}
	return total, fractions
}

// request sends one request to a VM.
func (p *player) request(v *playVM, c id.Customer) {
	if p.now < v.downTo || p.now < v.frozenUntil {
		return
	}
	l := p.logs[c]
	l.arrived, l.arrivedAt = append(l.arrived, p.now), append(l.arrivedAt, v.index)
	settle := func(d Verdict) {
		if !d.Granted {
			l.refusals = append(l.refusals, d.RetryAfter)
			return
		}
		if p.chance(0.02) {
			p.onVM(v, p.now, func() { v.holder.Release(p.now, c) })
			return
		}
		l.admitted = append(l.admitted, p.now)
	}
	w := &Waiter{Settle: settle}
	d := v.holder.Take(p.now, c, w)
	p.schedule(v)
	if !d.Waits {
		settle(d)
		return
	}
	l.waited++
	p.onVM(v, p.now.Add(MaxWait), func() {
		if d, decided := v.holder.GiveUp(p.now, c, w); decided {
			settle(d)
		}
	})
}

// play plays the fleet to the end.
func (p *player) play() *player {
	for _, c := range p.customers() {
		p.demand(c, 0, 0, nil)
	}
	p.elect(p.vms[0])
	if p.deafFrom > 0 {
		last := p.vms[len(p.vms)-1]
		p.cuts = append(p.cuts, cut{from: playStart.Add(p.deafFrom), to: math.MaxInt64, deaf: true, inside: func(v *playVM) bool { return v == last }})
	}
	if p.halvesAt > 0 && p.halvesAt < p.length {
		from := playStart.Add(p.halvesAt)
		p.cuts = append(p.cuts, cut{from: from, to: from.Add(halvesTime), inside: func(v *playVM) bool { return v.index*2 >= len(p.vms) }})
	}
	for range p.faults {
		f := p.kinds[p.rng.IntN(len(p.kinds))]
		p.in(p.between(4*time.Second, p.length-6*time.Second), func() { p.apply(f) })
	}
	end := playStart.Add(p.length)
	for len(p.queue) > 0 && p.queue[0].at < end {
		e := heap.Pop(&p.queue).(event)
		p.now = max(p.now, e.at)
		e.run()
	}
	return p
}

// bound returns the number of requests of a customer allowed in the window that begins at a time.
func (p *player) bound(l *customerLog, from clock.Instant) (most float64) {
	to := from.Add(p.settings.Window)
	for i, c := range l.limits {
		ended := clock.Instant(math.MaxInt64)
		if i+1 < len(l.limits) {
			ended = l.limits[i+1].at.Add(playApply + p.settings.Window)
		}
		if c.at < to && from < ended {
			most = max(most, (c.Rate*p.settings.Window.Seconds()+c.Burst)*(1+p.settings.Overage)+p.settings.Slack)
		}
	}
	return most
}

// worst returns the largest excess of a window over its bound, in requests, and the largest use of the excess that is allowed, as a fraction.
func (p *player) worst() (excess, fraction float64, text string) {
	excess = math.Inf(-1)
	for _, c := range p.customers() {
		l := p.logs[c]
		slices.Sort(l.admitted)
		for i, j := 0, 0; i < len(l.admitted); i++ {
			for j < len(l.admitted) && l.admitted[j].Sub(l.admitted[i]) < p.settings.Window {
				j++
			}
			bound := p.bound(l, l.admitted[i])
			allowed := (bound - p.settings.Slack) / (1 + p.settings.Overage)
			fraction = max(fraction, (float64(j-i)-allowed)/(bound-allowed))
			if over := float64(j-i) - bound; over > excess {
				excess = over
				text = fmt.Sprintf("%s: %d requests in the window from %.2f s, %.0f are allowed", c, j-i, l.admitted[i].Sub(playStart).Seconds(), bound)
			}
		}
	}
	return excess, fraction, text
}

// refusedBelow returns the requests that a single bucket would have admitted and the VMs didn't, as a fraction, without those at the start.
func (p *player) refusedBelow() float64 {
	var ideal, actual float64
	for _, l := range p.logs {
		level, at, limit := l.limits[0].Burst, playStart, 0
		for _, t := range l.arrived {
			for limit+1 < len(l.limits) && l.limits[limit+1].at <= t {
				limit++
			}
			a := l.limits[limit]
			level = min(max(1, a.Burst), level+a.Rate*elapsed(at, t))
			at = t
			if level >= 1 {
				level--
				if t.Sub(playStart) > playWarmup {
					ideal++
				}
			}
		}
		for _, t := range l.admitted {
			if t.Sub(playStart) > playWarmup {
				actual++
			}
		}
	}
	// 2 in 100 of those admitted were given back and are not in actual.
	return max(0, 1-actual/0.98/max(1, ideal))
}

// waitedFraction returns the fraction of the requests that waited for an answer.
func (p *player) waitedFraction() float64 {
	waited, all := 0, 0
	for _, l := range p.logs {
		waited, all = waited+l.waited, all+len(l.arrived)
	}
	return float64(waited) / float64(max(1, all))
}
