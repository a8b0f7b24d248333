package leader_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/state/clock"
)

const (
	settleTime = 4 * time.Second
	cutTime    = 15 * time.Second
	// addPeriod is the time between two VMs that are added during a cut.
	addPeriod = 150 * time.Millisecond
	// goneWithin is the time from a cut until a new leader knows that former ones are gone: the lease, the campaign and the last report.
	goneWithin = leader.LeaseTTL + leader.LeaderTimeout + leader.ReportTTL + 400*time.Millisecond
)

// newCutModel returns a model with some VMs in each failure domain, the first of which leads.
func newCutModel(t *testing.T, seed uint64, sizes []int) *model {
	t.Helper()
	size := 0
	for _, n := range sizes {
		size += n
	}
	m := newModel(seed, size, 1, noFault)
	m.registry, m.lossRate, m.candidate = &registry{domains: len(sizes)}, 0, m.vms[0]
	next := 0
	for d, n := range sizes {
		for range n {
			m.vms[next].domain = domainOf(d, len(sizes))
			next++
		}
	}
	for _, v := range m.vms {
		m.register(v)
	}
	for _, v := range m.vms {
		m.newElector(v)
	}
	m.runFor(t, settleTime)
	if m.holder != m.candidate {
		t.Fatal("the first VM doesn't lead")
	}
	return m
}

func (m *model) runFor(t *testing.T, d time.Duration) {
	t.Helper()
	for until := m.now.Add(d); m.now < until; {
		if problem := m.step(); problem != "" {
			t.Fatal(problem)
		}
	}
}

// cutDomain cuts the VMs of a failure domain from the others and from the store; without power they don't run either.
func (m *model) cutDomain(of *modelVM, hasPower bool) {
	for _, a := range m.vms {
		if a.domain != of.domain {
			continue
		}
		a.served = false
		if !hasPower {
			a.frozenUntil = m.now.Add(time.Hour)
		}
		for _, b := range m.vms {
			if b.domain != of.domain {
				m.cut[[2]*modelVM{a, b}], m.cut[[2]*modelVM{b, a}] = true, true
			}
		}
	}
}

// addDuringCut starts a VM in the failure domain of another one, which a cut separates from others as well.
func (m *model) addDuringCut(beside *modelVM) *modelVM {
	m.start()
	v := m.vms[len(m.vms)-1]
	v.domain, v.served = beside.domain, true
	for _, b := range m.vms {
		if m.cut[[2]*modelVM{beside, b}] {
			m.cut[[2]*modelVM{v, b}], m.cut[[2]*modelVM{b, v}] = true, true
		}
	}
	return v
}

// formerGoneAt returns from when on no former leader acts, as far as a VM that leads knows.
func (m *model) formerGoneAt(v *modelVM) (at clock.Instant, known bool) {
	since, known := v.elector.FollowedSince(m.membersOf(v))
	return leader.FormerLeaderUntil(v.electedAt, since).Add(-v.offset), known
}

// Guards against two leaders, and against keys without owner, where the VM is elected that knows least while the largest failure domain is lost.
func TestLeaderThatStartedDuringACut(t *testing.T) {
	for _, sizes := range [][]int{{1, 1}, {2, 1}, {1, 1, 1}, {3, 1}, {2, 2}, {2, 1, 1}, {1, 1, 1, 1}, {4, 1}, {3, 2}, {3, 1, 1}, {2, 2, 1}, {2, 1, 1, 1}} {
		for added := range 4 {
			for name, hasPower := range map[string]bool{"cut off": true, "without power": false} {
				t.Run(fmt.Sprintf("%v VMs, %s, %d added", sizes, name, added), func(t *testing.T) {
					for seed := range uint64(3) {
						is := is.New(t)
						m := newCutModel(t, seed, sizes)
						former, last := m.vms[0], m.vms[len(m.vms)-1]
						m.candidate = nil
						m.cutDomain(former, hasPower)
						cutAt := m.now
						for range added {
							m.runFor(t, addPeriod)
							last = m.addDuringCut(last)
							m.candidate = last
						}
						for m.holder == nil || m.holder == former {
							m.runFor(t, modelTick)
						}
						m.runFor(t, cutTime)
						at, known := m.formerGoneAt(m.holder)
						is.True(known)
						t.Log("no former leader acts after", at.Sub(cutAt))
						is.True(at.Sub(cutAt) <= goneWithin)
						clear(m.cut)
						for _, v := range m.vms {
							v.served = true
						}
						m.runFor(t, settleTime)
					}
				})
			}
		}
	}
}
