package leader_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	modelTick = 10 * time.Millisecond
	// coordinateTicks is the number of ticks between two runs of a VM's coordination.
	coordinateTicks = 5
	// storeTimeout is how long the store is silent before a VM reports it.
	storeTimeout = 800 * time.Millisecond
	maxDelay     = 60 * time.Millisecond
	// maxQueue is the number of datagrams that wait at a VM that doesn't read.
	maxQueue = 200
)

// fault is a deliberate mistake in counting, which the check must find.
type fault int

const (
	noFault fault = iota
	// countsByReceipt counts reports from when they are read.
	countsByReceipt
	// countsLaterTerms counts VMs that know a later term.
	countsLaterTerms
	// countsAnyFollower takes each VM that is heard for a follower.
	countsAnyFollower
)

// datagram is a heartbeat on its way.
type datagram struct {
	at       clock.Instant
	from, to *modelVM
	content  leader.Heartbeat
	// stamps are the newest stamps that the sender had read, by term.
	stamps map[id.Revision]leader.Stamp
	// listed is the sender's copy of the registrations if it leads.
	listed registrations
}

// response is one of the store's on its way to a VM's process.
type response struct {
	at   clock.Instant
	to   *modelVM
	boot int
	// apply is called with the VM's own time once the VM reads the response.
	apply func(now clock.Instant)
}

// modelVM is a VM with a clock of its own.
type modelVM struct {
	id      id.VM
	domain  id.Domain
	elector *leader.Elector
	// offset is how much its clock is ahead.
	offset time.Duration
	// frozenUntil is until when it doesn't run, and slowUntil until when it reads few datagrams.
	frozenUntil, slowUntil clock.Instant
	served                 bool
	// answeredAt is when the store last answered the VM, or 0 before the first time.
	answeredAt             clock.Instant
	heartbeatAt, renewedAt clock.Instant
	electedAt              clock.Instant
	campaigning            bool
	// proposing says that a call that records its voters is under way, and proposedAt when the last one began.
	proposing  bool
	proposedAt clock.Instant
	// boot counts the VM's processes.
	boot      int
	datagrams []datagram
	responses []response
	stamps    map[id.Revision]leader.Stamp
	// list is the VM's copy of the registrations, if the model has them.
	list memberList
}

// model is a model of VMs, their links and the store; times are its own unless they are passed to an elector.
type model struct {
	random *rand.Rand
	// votersRandom is the source of what belongs to the record of the voters.
	votersRandom *rand.Rand
	fault        fault
	// candidate is the only VM that may campaign; nil means that all may.
	candidate *modelVM
	now       clock.Instant
	ticks     int
	vms       []*modelVM
	// registry holds the registrations in the store; nil means that the VMs are always the same.
	registry  *registry
	members   map[id.VM]id.Domain
	cut       map[[2]*modelVM]bool
	datagrams []datagram
	responses []response
	lossRate  float64
	// storeDown says that the store answers nobody, and pausesLeases that leases don't run meanwhile.
	storeDown, pausesLeases bool
	holder                  *modelVM
	term, revision          id.Revision
	leaseEnd                clock.Instant
	// formerUntil is until when the leader of a term believes that a former one may act.
	formerUntil map[id.Revision]clock.Instant
	// overlaps counts the ticks in which a former leader acted after a later election.
	overlaps int
	// restorations counts how often the store came back from an older copy.
	restorations int
}

// newModel returns a model whose voters are always the same, spread over some failure domains.
func newModel(seed uint64, size, domains int, f fault) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 44)), votersRandom: rand.New(rand.NewPCG(seed, 45)), fault: f, revision: 1, members: map[id.VM]id.Domain{}, now: start, cut: map[[2]*modelVM]bool{}, lossRate: 0.03,
		formerUntil: map[id.Revision]clock.Instant{},
	}
	m.pausesLeases = m.random.IntN(2) == 0
	for i := range size {
		v := &modelVM{
			id: id.VM(fmt.Sprintf("vm%d", i)), domain: domainOf(i, domains), offset: time.Duration(i) * 1000 * time.Second, served: true, answeredAt: start,
			stamps: map[id.Revision]leader.Stamp{},
		}
		m.vms, m.members[v.id] = append(m.vms, v), v.domain
	}
	for _, v := range m.vms {
		m.newElector(v)
	}
	return m
}

func domainOf(vm, domains int) id.Domain { return id.Domain('a' + rune(vm%domains)) }

// newElector gives a VM the elector of a new process.
func (m *model) newElector(v *modelVM) {
	v.elector = leader.NewElector(v.id, m.local(v))
	if m.registry == nil {
		v.elector.RecordVoters(m.local(v), fleet.Voters{VotersID: fleet.VotersID{Term: 1, Number: 1}, Members: m.members})
	}
}

func (m *model) local(v *modelVM) clock.Instant { return m.now.Add(v.offset) }

func (m *model) delay() time.Duration { return delayFrom(m.random) }

func delayFrom(random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(maxDelay))) + time.Millisecond
}

func (m *model) reachesStore(v *modelVM) bool { return !m.storeDown && v.served }

// heartbeat returns what a VM sends now.
func (m *model) heartbeat(v *modelVM) leader.Heartbeat {
	now := m.local(v)
	stamp := v.elector.Stamp(now)
	h := leader.Heartbeat{Position: v.list.current.position, Leading: v.elector.Leads(now), StoreUnreachable: v.answeredAt > 0 && m.now.Sub(v.answeredAt) > storeTimeout, KnownTerm: v.elector.KnownTerm(), Stamp: &stamp}
	if h.Leading {
		h.Term = v.elector.Term()
	}
	return h
}

func (m *model) send(from *modelVM, to ...*modelVM) {
	h := m.heartbeat(from)
	for _, v := range to {
		if v == nil || v == from || m.cut[[2]*modelVM{from, v}] || !m.isListed(from, v) || m.random.Float64() < m.lossRate {
			continue
		}
		stamps := map[id.Revision]leader.Stamp{}
		for term, s := range from.stamps {
			stamps[term] = s
		}
		m.datagrams = append(m.datagrams, datagram{m.now.Add(m.delay()), from, v, h, stamps, from.list.current})
	}
}

func (m *model) find(vm id.VM) *modelVM {
	at := slices.IndexFunc(m.vms, func(v *modelVM) bool { return v.id == vm })
	if at < 0 {
		return nil
	}
	return m.vms[at]
}

// withFault returns a heartbeat as a VM with the model's fault would judge it.
func (m *model) withFault(d datagram) leader.Heartbeat {
	h, e, now := d.content, d.to.elector, m.local(d.to)
	own := e.Term()
	if e.Stamp(now) != (leader.Stamp{Term: own, SentAt: now}) {
		return h
	}
	switch m.fault {
	case countsByReceipt:
		if h.Stamp.Term == own {
			h.Stamp = &leader.Stamp{Term: own, SentAt: now}
		}
	case countsLaterTerms:
		if h.KnownTerm > own {
			stamp := d.stamps[own]
			h.Leading, h.KnownTerm, h.Stamp = false, own, &stamp
		}
	case countsAnyFollower:
		h.KnownTerm = max(h.KnownTerm, own)
	case noFault:
	}
	return h
}

// read makes a VM handle a datagram.
func (m *model) read(d datagram) {
	v, now := d.to, m.local(d.to)
	if s := *d.content.Stamp; s.SentAt > v.stamps[s.Term].SentAt {
		v.stamps[s.Term] = s
	}
	oldVM, oldTerm, _ := v.elector.Leader(now)
	h := m.withFault(d)
	v.elector.RecordHeartbeat(now, d.from.id, h)
	vm, term, _ := v.elector.Leader(now)
	if h.Leading {
		v.list.adopt(m.now, d.listed)
	}
	isNew := vm == d.from.id && (vm != oldVM || term != oldTerm)
	if isNew || h.Leading && h.Term < v.elector.KnownTerm() {
		m.send(v, d.from)
	}
}

// campaign tries to write the leader's record.
func (m *model) campaign(v *modelVM) {
	begun := m.local(v)
	v.campaigning = true
	m.call(v, func() func(now clock.Instant) {
		if m.holder != nil {
			return func(now clock.Instant) { v.campaigning = false; v.elector.CampaignFailed(now) }
		}
		if m.registry != nil {
			m.nextRevision()
		} else {
			m.revision++
		}
		m.holder, m.term, m.leaseEnd = v, m.revision, m.now.Add(leader.LeaseTTL)
		term := m.term
		listed := m.registrations()
		return func(now clock.Instant) {
			v.campaigning, v.electedAt = false, now
			v.list.adopt(m.now, listed)
			m.recordMembers(v)
			v.elector.Won(begun, term)
			m.send(v, m.vms...)
		}
	}, func(now clock.Instant) { v.campaigning = false; v.elector.CampaignFailed(now) })
}

// renew renews the lease on the leader's record.
func (m *model) renew(v *modelVM) {
	sent, term := m.local(v), v.elector.Term()
	m.call(v, func() func(now clock.Instant) {
		if m.holder != v || m.term != term {
			return func(now clock.Instant) {
				if v.elector.Term() == term {
					v.elector.LeaseEnded(now)
				}
			}
		}
		m.leaseEnd = m.now.Add(leader.LeaseTTL)
		return func(clock.Instant) {
			if v.elector.Term() == term {
				v.elector.Renewed(sent)
			}
		}
	}, func(clock.Instant) {})
}

// call makes a call to the store, which carries it out when it arrives; execute returns what the VM does with the response.
func (m *model) call(v *modelVM, execute func() func(now clock.Instant), failed func(now clock.Instant)) {
	m.callWith(m.random, v, execute, failed)
}

func (m *model) callWith(random *rand.Rand, v *modelVM, execute func() func(now clock.Instant), failed func(now clock.Instant)) {
	boot := v.boot
	m.responses = append(m.responses, response{at: m.now.Add(delayFrom(random)), apply: func(clock.Instant) {
		if !m.reachesStore(v) {
			m.responses = append(m.responses, response{m.now.Add(storeTimeout), v, boot, failed})
			return
		}
		m.responses = append(m.responses, response{m.now.Add(delayFrom(random)), v, boot, execute()})
	}})
}

func (m *model) mayCampaign(v *modelVM) bool {
	return !v.campaigning && (m.candidate == nil || m.candidate == v)
}

// coordinate is one run of a VM's coordination.
func (m *model) coordinate(v *modelVM) {
	now := m.local(v)
	if m.reachesStore(v) {
		isFirst := v.answeredAt == 0
		v.answeredAt = m.now
		if m.holder != nil && (isFirst || m.random.IntN(4) == 0) {
			v.elector.LearnTerm(now, m.term)
		}
	}
	m.synchronize(v)
	vm, _, fresh := v.elector.Leader(now)
	leads := vm == v.id
	if !fresh && m.mayCampaign(v) && v.elector.ShouldCampaign(now, m.random.IntN(len(m.vms))) && m.now == v.answeredAt {
		m.campaign(v)
	}
	if leads && now.Sub(v.renewedAt) >= leader.RenewPeriod {
		v.renewedAt = now
		m.renew(v)
	}
	if leads {
		m.propose(v)
	}
	period := reportPeriod
	if leads {
		period = leader.HeartbeatPeriod
	}
	if now.Sub(v.heartbeatAt) < period {
		return
	}
	v.heartbeatAt = now
	if leads || !fresh {
		m.send(v, m.vms...)
	} else {
		m.send(v, m.find(vm))
	}
}

// deliver moves what has arrived to the VMs; the store's calls are carried out.
func (m *model) deliver() {
	datagrams, responses := m.datagrams, m.responses
	m.datagrams, m.responses = nil, nil
	for _, d := range datagrams {
		switch {
		case d.at > m.now:
			m.datagrams = append(m.datagrams, d)
		case len(d.to.datagrams) < maxQueue:
			d.to.datagrams = append(d.to.datagrams, d)
		}
	}
	for _, r := range responses {
		switch {
		case r.at > m.now:
			m.responses = append(m.responses, r)
		case r.to == nil:
			r.apply(m.now)
		case r.boot == r.to.boot:
			r.to.responses = append(r.to.responses, r)
		}
	}
}

// run makes a VM handle what has arrived.
func (m *model) run(v *modelVM) {
	responses := v.responses
	v.responses = nil
	for _, r := range responses {
		r.apply(m.local(v))
	}
	count := len(v.datagrams)
	if m.now < v.slowUntil {
		count = min(count, m.random.IntN(2))
	}
	datagrams := v.datagrams[:count]
	v.datagrams = v.datagrams[count:]
	for _, d := range datagrams {
		m.read(d)
	}
}

// step is one tick; it returns a description of a former leader that acts too late, or an empty string.
func (m *model) step() string {
	m.now = m.now.Add(modelTick)
	m.ticks++
	if m.storeDown && m.pausesLeases {
		m.leaseEnd = m.leaseEnd.Add(modelTick)
	}
	if m.holder != nil && m.now >= m.leaseEnd {
		m.holder = nil
	}
	m.deliver()
	// A VM that runs again may act before it has read what is queued.
	if problem := m.check(); problem != "" {
		return problem
	}
	for i, v := range m.vms {
		if m.now < v.frozenUntil {
			continue
		}
		// Datagrams, responses and the coordination are handled by tasks of their own, in any order after a freeze.
		isDue := (m.ticks+i)%coordinateTicks == 0
		if coordinatesFirst := m.random.IntN(2) == 0; isDue && coordinatesFirst {
			m.coordinate(v)
			isDue = false
		}
		m.run(v)
		if isDue {
			m.coordinate(v)
		}
	}
	return m.check()
}

// check compares the leaders that act with what later ones believe.
func (m *model) check() string {
	for _, v := range m.vms {
		if since, ok := v.elector.FollowedSince(m.membersOf(v)); ok && m.now >= v.frozenUntil {
			if _, known := m.formerUntil[v.elector.Term()]; !known {
				m.formerUntil[v.elector.Term()] = leader.FormerLeaderUntil(v.electedAt, since).Add(-v.offset)
			}
		}
	}
	for _, v := range m.vms {
		if m.now < v.frozenUntil || !v.elector.Leads(m.local(v)) {
			continue
		}
		if v.elector.Term() < m.term {
			m.overlaps++
		}
		for term, until := range m.formerUntil {
			if v.elector.Term() < term && m.now > until {
				return fmt.Sprintf("%s acts in term %d at %v, the leader of term %d believes until %v", v.id, v.elector.Term(), m.now.Sub(start), term, until.Sub(start))
			}
		}
	}
	return ""
}

// disrupt changes a link, the store or a VM at random.
func (m *model) disrupt() {
	pick := func() *modelVM { return m.vms[m.random.IntN(len(m.vms))] }
	upTo := func(d time.Duration) clock.Instant { return m.now.Add(time.Duration(m.random.Int64N(int64(d)))) }
	kinds := 10
	if m.registry != nil {
		kinds += registrationDisruptions
	}
	switch kind := m.random.IntN(kinds); kind {
	case 0, 1:
		a, b := pick(), pick()
		m.cut[[2]*modelVM{a, b}] = true
		if m.random.IntN(2) == 0 {
			m.cut[[2]*modelVM{b, a}] = true
		}
	case 2:
		a := pick()
		for _, b := range m.vms {
			m.cut[[2]*modelVM{a, b}] = true
		}
	case 3:
		clear(m.cut)
	case 4:
		pick().frozenUntil = upTo(4 * time.Second)
	case 5:
		pick().slowUntil = upTo(3 * time.Second)
	case 6:
		m.storeDown = !m.storeDown
	case 7:
		m.storeDown = false
		for _, v := range m.vms {
			v.served = m.random.IntN(3) == 0
		}
	case 8:
		for _, v := range m.vms {
			v.served = true
		}
	case 9:
		m.restart(pick())
	default:
		m.disruptRegistrations(kind - 10)
	}
}

// restart replaces a VM's process, which forgets all that it knew.
func (m *model) restart(v *modelVM) {
	*v = modelVM{id: v.id, offset: v.offset, served: v.served, boot: v.boot + 1, domain: v.domain, stamps: map[id.Revision]leader.Stamp{}, list: v.list.afterRestart()}
	m.newElector(v)
}

// play plays a history of 14 s.
func (m *model) play() string {
	for range 1400 {
		if m.random.IntN(30) == 0 {
			m.disrupt()
		}
		if problem := m.step(); problem != "" {
			return problem
		}
	}
	return ""
}

// firstFinding plays histories until one shows a former leader that acts too late.
func firstFinding(f fault, histories uint64) (problem string, overlaps int) {
	for seed := range histories {
		m := newModel(seed, 3+2*int(seed%2), 1, f)
		problem = m.play()
		overlaps += m.overlaps
		if problem != "" {
			return fmt.Sprintf("seed %d: %s", seed, problem), overlaps
		}
	}
	return "", overlaps
}

// No former leader may act later than the next one believes.
func TestFormerLeadersActNoLonger(t *testing.T) {
	const histories = 1000
	t.Run("the election", func(t *testing.T) {
		is := is.New(t)
		problem, overlaps := firstFinding(noFault, histories)
		is.Equal(problem, "")
		t.Log("ticks in which a former leader acted beside a later one:", overlaps)
		is.True(overlaps > 0)
	})
	for name, f := range map[string]fault{
		"reports count from when they are read": countsByReceipt,
		"VMs that know a later term count":      countsLaterTerms,
		"any VM that is heard is a follower":    countsAnyFollower,
	} {
		t.Run(name, func(t *testing.T) {
			problem, _ := firstFinding(f, histories)
			t.Log(problem)
			is.New(t).True(problem != "")
		})
	}
}

// In an outage of the store a leader must lead on, also if one heartbeat in ten is lost. Where one VM is alone in one of two failure domains, the
// leader needs its reports, and may pause for less than the time within which a key is to be served again.
func TestLeadsThroughAnOutage(t *testing.T) {
	const histories, settle, outage, maxPause = 20, 6 * time.Second, 60 * time.Second, time.Second
	for _, test := range []struct {
		size, domains int
		lossRate      float64
		maxPause      time.Duration
	}{
		{size: 3, domains: 1},
		{size: 3, domains: 1, lossRate: 0.1},
		{size: 5, domains: 1},
		{size: 5, domains: 1, lossRate: 0.1},
		{size: 9, domains: 1},
		{size: 9, domains: 1, lossRate: 0.1},
		{size: 3, domains: 2},
		{size: 3, domains: 2, lossRate: 0.1, maxPause: maxPause},
		{size: 5, domains: 3},
		{size: 5, domains: 3, lossRate: 0.1},
		{size: 9, domains: 4},
		{size: 9, domains: 4, lossRate: 0.1},
	} {
		t.Run(fmt.Sprintf("%d VMs, %d failure domains, loss %v", test.size, test.domains, test.lossRate), func(t *testing.T) {
			is := is.New(t)
			longest, idle := time.Duration(0), 0
			for seed := range uint64(histories) {
				m := newModel(seed, test.size, test.domains, noFault)
				m.lossRate = test.lossRate
				for m.now.Sub(start) < settle/2 {
					is.Equal(m.step(), "")
				}
				v, gap := m.holder, time.Duration(0)
				is.True(v != nil)
				m.storeDown = true
				for m.now.Sub(start) < settle {
					is.Equal(m.step(), "")
				}
				for m.now.Sub(start) < settle+outage {
					is.Equal(m.step(), "")
					if v.elector.Leads(m.local(v)) {
						gap = 0
						continue
					}
					idle++
					gap += modelTick
					longest = max(longest, gap)
				}
			}
			t.Log("longest time without a leader:", longest, "of the outages:", time.Duration(idle)*modelTick)
			is.True(longest <= test.maxPause)
		})
	}
}
