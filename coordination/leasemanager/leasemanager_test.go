package leasemanager_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/lease"
	"github.com/hickorylug/hickorylug/coordination/leasemanager"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

const tick = 50 * time.Millisecond

// site runs the lease managers of several VMs in virtual time; datagrams arrive immediately unless they are dropped.
type site struct {
	now      clock.Instant
	members  []leasemanager.Member
	managers map[id.VM]*leasemanager.Manager
	records  map[id.Group]lease.Record
	running  map[id.Group]map[id.VM]bool
	stopped  map[id.VM]bool
	// drops reports whether datagrams from one VM to another are lost.
	drops func(from, to id.VM) bool
	// swap reports whether a write reaches the store and whether its result reaches the VM.
	swap     func(r lease.Record) (reaches, answered bool)
	revision id.Revision
	leaving  map[id.VM]bool
	groups   map[id.Group]id.Domain
}

func newSite(domains ...id.Domain) *site {
	s := &site{
		now: clock.Instant(time.Hour), managers: map[id.VM]*leasemanager.Manager{}, records: map[id.Group]lease.Record{},
		running: map[id.Group]map[id.VM]bool{}, stopped: map[id.VM]bool{}, leaving: map[id.VM]bool{},
		drops:  func(id.VM, id.VM) bool { return false },
		swap:   func(lease.Record) (bool, bool) { return true, true },
		groups: map[id.Group]id.Domain{"g": domains[0]},
	}
	for n, d := range domains {
		m := leasemanager.Member{VM: id.VM(rune('a' + n)), Incarnation: "1", FailureDomain: d, CanWitness: true}
		s.members = append(s.members, m)
		s.managers[m.VM] = leasemanager.NewManager(m, s.now)
	}
	return s
}

func (s *site) snapshot(vm id.VM) leasemanager.Snapshot {
	snapshot := leasemanager.Snapshot{Groups: s.groups, Records: s.records, Leaving: s.leaving[vm]}
	for _, m := range s.members {
		if !s.stopped[m.VM] {
			snapshot.Live = append(snapshot.Live, m)
		}
	}
	return snapshot
}

// send delivers a message and the reply to it.
func (s *site) send(from, to id.VM, m leasemanager.Message) {
	if m.IsEmpty() || s.stopped[to] || s.stopped[from] || s.drops(from, to) {
		return
	}
	s.send(to, from, s.managers[to].Receive(s.now, from, m))
}

// step runs one tick of all VMs; it fails the test if a group has two holders.
func (s *site) step(t *testing.T) {
	t.Helper()
	for _, m := range s.members {
		if s.stopped[m.VM] {
			continue
		}
		for _, a := range s.managers[m.VM].Tick(s.now, s.snapshot(m.VM)) {
			s.perform(m.VM, a)
		}
	}
	for g := range s.groups {
		if holders := s.holders(g); len(holders) > 1 {
			t.Fatalf("group %s has several holders: %v", g, holders)
		}
	}
	s.now = s.now.Add(tick)
}

func (s *site) perform(vm id.VM, a leasemanager.Action) {
	switch {
	case a.Send != nil:
		s.send(vm, a.Send.To, a.Send.Message)
	case a.Swap != nil:
		r := a.Swap.Record
		reaches, answered := s.swap(r)
		won := reaches && s.records[r.Group].Revision == r.Revision
		if won {
			s.revision++
			r.Revision = s.revision
			s.records[r.Group] = r
		}
		if answered {
			s.managers[vm].HandleSwapResult(s.now, r, won)
		}
	}
}

func (s *site) holders(g id.Group) (out []id.VM) {
	for _, m := range s.members {
		if !s.stopped[m.VM] && s.managers[m.VM].HoldsLease(s.now, g) {
			out = append(out, m.VM)
		}
	}
	return out
}

// run runs the site for a time and returns the longest continuous time without a holder of group g.
func (s *site) run(t *testing.T, d time.Duration) (gap time.Duration) {
	t.Helper()
	var vacant time.Duration
	for range int(d / tick) {
		s.step(t)
		if len(s.holders("g")) > 0 {
			vacant = 0
			continue
		}
		vacant += tick
		gap = max(gap, vacant)
	}
	return gap
}

func (s *site) restart(vm id.VM, incarnation id.Incarnation) {
	for n := range s.members {
		if s.members[n].VM == vm {
			s.members[n].Incarnation = incarnation
			s.managers[vm] = leasemanager.NewManager(s.members[n], s.now)
		}
	}
	s.stopped[vm] = false
}

// maxUnavailability is the longest time without a lease holder that is allowed after a loss, since a key must be served again
// within a second.
const maxUnavailability = time.Second

// newStartedSite returns a site that has run until group g has a holder.
func newStartedSite(t *testing.T, domains ...id.Domain) *site {
	t.Helper()
	s := newSite(domains...)
	s.run(t, 8*time.Second)
	if len(s.holders("g")) != 1 {
		t.Fatal("no VM holds the lease")
	}
	return s
}

func sixVMs() []id.Domain { return []id.Domain{"east", "east", "west", "west", "north", "north"} }

func TestHolderLoss(t *testing.T) {
	s := newStartedSite(t, sixVMs()...)
	s.stopped[s.holders("g")[0]] = true
	if gap := s.run(t, 5*time.Second); gap > maxUnavailability {
		t.Fatalf("no holder for %s", gap)
	}
}

func TestWitnessLossDoesNotInterruptLease(t *testing.T) {
	s := newStartedSite(t, sixVMs()...)
	s.stopped[s.records["g"].Witnesses[1]] = true
	is.New(t).Equal(s.run(t, 5*time.Second), time.Duration(0))
}

func TestSuccessiveWitnessLosses(t *testing.T) {
	s := newStartedSite(t, sixVMs()...)
	for range 3 {
		s.stopped[s.records["g"].Witnesses[2]] = true
		s.run(t, 5*time.Second)
	}
	is.New(t).Equal(len(s.holders("g")), 1)
}

func TestFailureDomainLossVacatesLease(t *testing.T) {
	i := is.New(t)
	s := newStartedSite(t, sixVMs()...)
	s.stopped["a"], s.stopped["b"] = true, true
	s.run(t, maxUnavailability-tick)
	i.True(s.records["g"].IsVacant()) // the planner can move the keys now
	s.restart("a", "2")
	s.restart("b", "2")
	s.run(t, 10*time.Second)
	i.Equal(len(s.holders("g")), 1)
}

func TestRestartOfAllVMs(t *testing.T) {
	s := newStartedSite(t, sixVMs()...)
	for _, m := range s.members {
		s.restart(m.VM, "2")
	}
	s.run(t, 12*time.Second)
	is.New(t).Equal(len(s.holders("g")), 1)
}

func TestStoreOutage(t *testing.T) {
	i := is.New(t)
	s := newStartedSite(t, sixVMs()...)
	s.swap = func(lease.Record) (bool, bool) { return false, false }
	i.Equal(s.run(t, 10*time.Minute), time.Duration(0)) // the holder keeps its lease without the store
	s.stopped[s.holders("g")[0]] = true
	i.True(s.run(t, 10*time.Second) >= 8*time.Second) // a successor needs the store
	s.swap = func(lease.Record) (bool, bool) { return true, true }
	s.run(t, 10*time.Second)
	i.Equal(len(s.holders("g")), 1)
}

func TestLostSwapResult(t *testing.T) {
	s := newStartedSite(t, sixVMs()...)
	s.stopped[s.holders("g")[0]] = true
	writes := 0
	s.swap = func(lease.Record) (bool, bool) {
		writes++
		return true, writes > 2 // the first two take effect, but their results are lost
	}
	s.run(t, 20*time.Second)
	is.New(t).Equal(len(s.holders("g")), 1)
}

func TestPartitions(t *testing.T) {
	inEast := func(vm id.VM) bool { return vm == "a" || vm == "b" }
	tests := map[string]func(from, to id.VM) bool{
		"failure domain unreachable":           func(from, to id.VM) bool { return inEast(from) != inEast(to) },
		"messages from a failure domain lost":  func(from, to id.VM) bool { return inEast(from) && !inEast(to) },
		"messages to a failure domain lost":    func(from, to id.VM) bool { return !inEast(from) && inEast(to) },
		"messages to the holder lost":          func(_, to id.VM) bool { return to == "a" },
		"messages from the holder lost":        func(from, _ id.VM) bool { return from == "a" },
		"no messages within a failure domain":  func(from, to id.VM) bool { return inEast(from) && inEast(to) },
		"no messages between odd and even VMs": func(from, to id.VM) bool { return (from[0]+to[0])%2 == 1 },
	}
	for name, drops := range tests {
		t.Run(name, func(t *testing.T) {
			s := newStartedSite(t, sixVMs()...)
			s.drops = drops
			s.run(t, 5*time.Second) // step fails if there are two holders
			s.drops = func(id.VM, id.VM) bool { return false }
			s.run(t, 10*time.Second)
			is.New(t).Equal(len(s.holders("g")), 1)
		})
	}
}

func TestHolderLossWithWitnessRestart(t *testing.T) {
	s := newStartedSite(t, sixVMs()...)
	holder, witness := s.holders("g")[0], s.records["g"].Witnesses[0]
	s.stopped[holder] = true
	s.restart(witness, "2") // the preferred successor loses its state as a witness
	s.run(t, 12*time.Second)
	is.New(t).Equal(len(s.holders("g")), 1)
}

func TestOwnRecordArrivesBeforeSwapResult(t *testing.T) {
	i := is.New(t)
	s := newSite("east")
	s.run(t, 8*time.Second)
	manager := leasemanager.NewManager(leasemanager.Member{VM: "z", Incarnation: "1", FailureDomain: "east"}, s.now)
	old := lease.Record{Group: "h", Term: 3, Holder: "y", Witnesses: []id.VM{"y"}, Revision: 9}
	snapshot := leasemanager.Snapshot{Groups: map[id.Group]id.Domain{"h": "east"}, Records: map[id.Group]lease.Record{"h": old}}
	actions := manager.AcceptHandover(s.now, snapshot, old)
	i.Equal(len(actions), 1)
	next := actions[0].Swap.Record
	next.Revision = 10
	snapshot.Records = map[id.Group]lease.Record{"h": next} // the watch delivers it before the result
	manager.Tick(s.now, snapshot)
	manager.HandleSwapResult(s.now, next, true)
	i.Equal(manager.Held(), []id.Group{"h"})
}

func TestFewVMs(t *testing.T) {
	tests := map[string][]id.Domain{
		"one VM":    {"east"},
		"two VMs":   {"east", "east"},
		"three VMs": {"east", "east", "east"},
	}
	for name, domains := range tests {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			s := newStartedSite(t, domains...)
			i.Equal(s.run(t, time.Minute), time.Duration(0))
			if len(domains) == 3 {
				s.stopped[s.holders("g")[0]] = true
				s.run(t, 5*time.Second)
				i.Equal(len(s.holders("g")), 1) // three VMs tolerate the loss of any one
			}
		})
	}
}
