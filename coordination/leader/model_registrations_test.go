package leader_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// retentionTime is how long VMs that an older copy of the store lacks stay listed.
const retentionTime = 2200 * time.Millisecond

// registrations is a version of the registered VMs and the voters in the store; it is never changed.
type registrations struct {
	position id.Revision
	vms      map[id.VM]id.Domain
	voters   fleet.Voters
}

// registry is the part of the store that holds the registrations.
type registry struct {
	current registrations
	// copies are earlier versions, from which the store may come back.
	copies []registrations
	era    id.Era
	// number is the store's own number of the latest revision, and added the number of VMs that were ever started.
	number  uint64
	added   int
	domains int
}

// memberList is a VM's copy of the registrations.
type memberList struct {
	current registrations
	// retained are the VMs that were listed before the store came back from an older copy, until a time.
	retained      map[id.VM]id.Domain
	retainedUntil clock.Instant
	// members are the VMs that are listed, with and without the VM itself if it isn't registered; nil if they have changed.
	members, listed map[id.VM]id.Domain
}

// adopt takes over later registrations.
func (l *memberList) adopt(now clock.Instant, next registrations) {
	if next.position <= l.current.position {
		return
	}
	if next.position.Era() > l.current.position.Era() && l.current.position > 0 {
		l.retained = maps.Clone(l.current.vms)
		l.retainedUntil = now.Add(retentionTime)
	}
	l.current, l.members = next, nil
}

// afterRestart returns the list of a VM's new process.
func (l *memberList) afterRestart() memberList { return memberList{} }

// membersOf returns the VMs that a VM counts.
func (m *model) membersOf(v *modelVM) map[id.VM]id.Domain {
	if m.registry == nil {
		return m.members
	}
	l := &v.list
	if l.retainedUntil > 0 && m.now >= l.retainedUntil {
		l.retainedUntil, l.members = 0, nil
	}
	if l.members == nil {
		all := maps.Clone(l.current.vms)
		if l.retainedUntil > 0 {
			maps.Copy(all, l.retained)
		}
		if all == nil {
			all = map[id.VM]id.Domain{}
		}
		l.listed, l.members = all, all
		if _, isListed := all[v.id]; !isListed {
			l.members = maps.Clone(all)
			l.members[v.id] = v.domain
		}
	}
	return l.members
}

// recordMembers tells a VM's elector of the VMs that it counts.
func (m *model) recordMembers(v *modelVM) {
	if m.registry != nil {
		m.membersOf(v)
		v.elector.RecordMembers(m.local(v), v.list.current.position, v.list.listed)
		v.elector.RecordVoters(m.local(v), v.list.current.voters)
	}
}

// isListed reports whether a VM knows the address of another one.
func (m *model) isListed(from, to *modelVM) bool {
	_, isListed := m.membersOf(from)[to.id]
	return m.registry == nil || isListed
}

func (m *model) registrations() registrations {
	if m.registry == nil {
		return registrations{}
	}
	return m.registry.current
}

// nextRevision returns the revision of the next write.
func (m *model) nextRevision() id.Revision {
	m.registry.number++
	m.revision = m.registry.era.Revision(m.registry.number)
	return m.revision
}

// register writes the registration of a VM.
func (m *model) register(v *modelVM) {
	r := m.registry
	next := registrations{m.nextRevision(), maps.Clone(r.current.vms), r.current.voters}
	if next.vms == nil {
		next.vms = map[id.VM]id.Domain{}
	}
	next.vms[v.id] = v.domain
	r.current, r.copies = next, append(r.copies, r.current)
}

// synchronize reads the store, if the VM watches it, and registers the VM where necessary.
func (m *model) synchronize(v *modelVM) {
	if m.registry == nil {
		return
	}
	if m.reachesStore(v) {
		if vm, term, fresh := v.elector.Leader(m.local(v)); vm == v.id || !fresh || v.list.current.position == 0 {
			v.list.adopt(m.now, m.registry.current)
			if vm == v.id && term.Era() < m.registry.era {
				v.elector.EraEnded(m.local(v))
			}
		}
		if _, isListed := v.list.current.vms[v.id]; !isListed && v.list.current.position > 0 && m.random.IntN(4) == 0 {
			m.register(v)
		}
	}
	m.recordMembers(v)
}

// proposePeriod is the time between two calls of a leader that record its voters.
const proposePeriod = time.Second

// propose makes a leader record its voters where necessary.
func (m *model) propose(v *modelVM) {
	now := m.local(v)
	if m.registry == nil || v.proposing || !m.reachesStore(v) || now.Sub(v.proposedAt) < proposePeriod {
		return
	}
	next, ok := v.elector.Propose(m.membersOf(v))
	if !ok {
		return
	}
	term, before := v.elector.Term(), v.list.current.voters.Revision
	v.proposing, v.proposedAt = true, now
	m.callWith(m.votersRandom, v, func() func(now clock.Instant) {
		r := m.registry
		if m.holder == v && m.term == term && r.current.voters.Revision == before {
			r.current.position = m.nextRevision()
			next.Revision = r.current.position
			r.current.voters = next
		}
		current := r.current
		return func(clock.Instant) {
			v.proposing = false
			v.list.adopt(m.now, current)
			m.recordMembers(v)
		}
	}, func(clock.Instant) { v.proposing = false })
}

// registrationDisruptions is the number of kinds of disruptRegistrations.
const registrationDisruptions = 4

// disruptRegistrations changes which VMs there are, or the store's copy of the registrations.
func (m *model) disruptRegistrations(kind int) {
	switch kind {
	case 0:
		m.replace(m.vms[m.random.IntN(len(m.vms))])
	case 1:
		m.restore()
	case 2:
		m.add()
	case 3:
		m.split()
	}
}

// start starts a VM, which registers once it has read the store.
func (m *model) start() {
	m.registry.added++
	v := &modelVM{
		id: id.VM(fmt.Sprintf("new%d", m.registry.added)), domain: domainOf(m.registry.added, m.registry.domains), offset: time.Duration(m.registry.added) * -time.Second, served: m.random.IntN(4) > 0, stamps: map[id.Revision]leader.Stamp{},
	}
	m.newElector(v)
	m.vms = append(m.vms, v)
}

// add starts some VMs, unless there are many.
func (m *model) add() {
	for range 1 + m.random.IntN(3) {
		if len(m.vms) < 9 {
			m.start()
		}
	}
}

// replace ends a VM without notice, and starts another one.
func (m *model) replace(v *modelVM) {
	for i, other := range m.vms {
		if other == v && len(m.vms) > 2 {
			m.vms = append(m.vms[:i:i], m.vms[i+1:]...)
			v.boot++
			m.start()
			return
		}
	}
}

// split cuts the VMs into two halves, of which the store answers one. Half of the time it keeps failure domains together, if there are several.
func (m *model) split() {
	sides, byDomain := map[*modelVM]bool{}, map[id.Domain]bool{}
	for d := range m.registry.domains {
		byDomain[domainOf(d, m.registry.domains)] = m.votersRandom.IntN(2) == 0
	}
	keepsDomains := m.registry.domains > 1 && m.votersRandom.IntN(2) == 0
	for _, v := range m.vms {
		sides[v] = m.random.IntN(2) == 0
		if keepsDomains {
			sides[v] = byDomain[v.domain]
		}
		v.served = sides[v]
	}
	for _, a := range m.vms {
		for _, b := range m.vms {
			m.cut[[2]*modelVM{a, b}] = sides[a] != sides[b]
		}
	}
}

// restore brings the store back from an older copy.
func (m *model) restore() {
	r := m.registry
	if len(r.copies) < 2 {
		return
	}
	r.era++
	at := 1 + m.random.IntN(len(r.copies)-1)
	r.current, r.copies = r.copies[at], r.copies[:at]
	r.current.position = m.nextRevision()
	r.current.voters.Revision = r.era.Revision(r.current.voters.Revision.Number())
	m.holder = nil
	m.restorations++
}

// newRegistrationModel returns a model whose VMs have registered one after the other.
func newRegistrationModel(seed uint64, size, domains int) *model {
	m := newModel(seed, size, domains, noFault)
	m.registry = &registry{domains: domains}
	for _, at := range m.random.Perm(size) {
		m.register(m.vms[at])
	}
	for _, v := range m.vms {
		m.newElector(v)
		v.list.adopt(m.now, m.registry.current)
	}
	return m
}

// Guards against a later leader that counts other VMs than a former one, and takes it for gone too early.
func TestFormerLeaderWithOtherRegistrationsActsNoLonger(t *testing.T) {
	for domains, histories := range map[int]uint64{1: 700, 2: 200, 3: 200, 4: 200} {
		t.Run(fmt.Sprintf("%d failure domains", domains), func(t *testing.T) {
			is := is.New(t)
			overlaps, restorations := 0, 0
			for seed := range histories {
				m := newRegistrationModel(seed, 3+2*int(seed%2), domains)
				if problem := m.play(); problem != "" {
					t.Errorf("seed %d: %s", seed, problem)
				}
				overlaps, restorations = overlaps+m.overlaps, restorations+m.restorations
			}
			t.Log("ticks in which a former leader acted beside a later one:", overlaps, "restorations:", restorations)
			is.True(overlaps > 0)
			is.True(restorations > int(histories))
		})
	}
}

// Guards against a former leader that counts by a list of VMs which the next leader never had.
func TestFormerLeaderWithUnknownListActsNoLonger(t *testing.T) {
	for _, seed := range []uint64{1127, 1168, 1764, 3357, 3578, 4176} {
		m := newRegistrationModel(seed, 3+2*int(seed%2), 1)
		if problem := m.play(); problem != "" {
			t.Errorf("seed %d: %s", seed, problem)
		}
	}
}
