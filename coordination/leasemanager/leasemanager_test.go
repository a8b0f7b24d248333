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

// site runs keepers in virtual time; datagrams arrive at once unless they are cut.
type site struct {
	now     clock.Instant
	members []leasemanager.Member
	keepers map[id.VM]*leasemanager.Manager
	records map[id.Group]lease.Record
	running map[id.Group]map[id.VM]bool
	dead    map[id.VM]bool
	// cut tells whether datagrams from one VM to another are lost.
	cut func(from, to id.VM) bool
	// swap decides over writes: whether they reach the store, and whether their answer comes back.
	swap func(r lease.Record) (reaches, answered bool)
	// pending holds the results of swaps that are told in the next step.
	revision id.Revision
	leaving  map[id.VM]bool
	groups   map[id.Group]id.Domain
}

func newSite(domains ...id.Domain) *site {
	s := &site{
		now: clock.Instant(time.Hour), keepers: map[id.VM]*leasemanager.Manager{}, records: map[id.Group]lease.Record{},
		running: map[id.Group]map[id.VM]bool{}, dead: map[id.VM]bool{}, leaving: map[id.VM]bool{},
		cut:    func(id.VM, id.VM) bool { return false },
		swap:   func(lease.Record) (bool, bool) { return true, true },
		groups: map[id.Group]id.Domain{"g": domains[0]},
	}
	for n, d := range domains {
		m := leasemanager.Member{VM: id.VM(rune('a' + n)), Incarnation: "1", FailureDomain: d, CanWitness: true}
		s.members = append(s.members, m)
		s.keepers[m.VM] = leasemanager.NewManager(m, s.now)
	}
	return s
}

func (s *site) scene(vm id.VM) leasemanager.Snapshot {
	scene := leasemanager.Snapshot{Groups: s.groups, Records: s.records, Leaving: s.leaving[vm]}
	for _, m := range s.members {
		if !s.dead[m.VM] {
			scene.Live = append(scene.Live, m)
		}
	}
	return scene
}

func (s *site) send(from, to id.VM, m leasemanager.Message) {
	if m.IsEmpty() || s.dead[to] || s.dead[from] || s.cut(from, to) {
		return
	}
	s.send(to, from, s.keepers[to].Receive(s.now, from, m))
}

func (s *site) step(t *testing.T) {
	t.Helper()
	for _, m := range s.members {
		if s.dead[m.VM] {
			continue
		}
		for _, a := range s.keepers[m.VM].Tick(s.now, s.scene(m.VM)) {
			s.perform(m.VM, a)
		}
	}
	for g := range s.groups {
		if holders := s.holders(g); len(holders) > 1 {
			t.Fatalf("group %s has the holders %v", g, holders)
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
			s.keepers[vm].HandleSwapResult(s.now, r, won)
		}
	}
}

func (s *site) holders(g id.Group) (out []id.VM) {
	for _, m := range s.members {
		if !s.dead[m.VM] && s.keepers[m.VM].HoldsLease(s.now, g) {
			out = append(out, m.VM)
		}
	}
	return out
}

// run steps for a time and returns how long the group had no holder at a stretch.
func (s *site) run(t *testing.T, d time.Duration) (gap time.Duration) {
	t.Helper()
	var since time.Duration
	for range int(d / tick) {
		s.step(t)
		if len(s.holders("g")) > 0 {
			since = 0
			continue
		}
		since += tick
		gap = max(gap, since)
	}
	return gap
}

func (s *site) restart(vm id.VM, incarnation id.Incarnation) {
	for n := range s.members {
		if s.members[n].VM == vm {
			s.members[n].Incarnation = incarnation
			s.keepers[vm] = leasemanager.NewManager(s.members[n], s.now)
		}
	}
	s.dead[vm] = false
}

// servedAgain is the target: a key is served again within a second of a loss.
const servedAgain = time.Second

func started(t *testing.T, domains ...id.Domain) *site {
	t.Helper()
	s := newSite(domains...)
	s.run(t, 8*time.Second)
	if len(s.holders("g")) != 1 {
		t.Fatal("nobody holds the lease")
	}
	return s
}

func six() []id.Domain { return []id.Domain{"east", "east", "west", "west", "north", "north"} }

func TestLossOfTheHolder(t *testing.T) {
	s := started(t, six()...)
	s.dead[s.holders("g")[0]] = true
	if gap := s.run(t, 5*time.Second); gap > servedAgain {
		t.Fatalf("no holder for %s", gap)
	}
}

func TestLossOfAWitnessIsNoGap(t *testing.T) {
	s := started(t, six()...)
	s.dead[s.records["g"].Witnesses[1]] = true
	is.New(t).Equal(s.run(t, 5*time.Second), time.Duration(0))
}

func TestLossesOneAfterAnother(t *testing.T) {
	s := started(t, six()...)
	for range 3 {
		s.dead[s.records["g"].Witnesses[2]] = true
		s.run(t, 5*time.Second)
	}
	is.New(t).Equal(len(s.holders("g")), 1)
}

func TestLossOfTheFailureDomainMakesTheLeaseVacant(t *testing.T) {
	i := is.New(t)
	s := started(t, six()...)
	s.dead["a"], s.dead["b"] = true, true
	s.run(t, servedAgain-tick)
	i.True(s.records["g"].IsVacant()) // the planner may move the keys now
	s.restart("a", "2")
	s.restart("b", "2")
	s.run(t, 10*time.Second)
	i.Equal(len(s.holders("g")), 1)
}

func TestRestartOfEverything(t *testing.T) {
	s := started(t, six()...)
	for _, m := range s.members {
		s.restart(m.VM, "2")
	}
	s.run(t, 12*time.Second)
	is.New(t).Equal(len(s.holders("g")), 1)
}

func TestStoreOutage(t *testing.T) {
	i := is.New(t)
	s := started(t, six()...)
	s.swap = func(lease.Record) (bool, bool) { return false, false }
	i.Equal(s.run(t, 10*time.Minute), time.Duration(0)) // with the holder alive nothing changes
	s.dead[s.holders("g")[0]] = true
	i.True(s.run(t, 10*time.Second) >= 8*time.Second) // with the holder lost, the group waits for the store
	s.swap = func(lease.Record) (bool, bool) { return true, true }
	s.run(t, 10*time.Second)
	i.Equal(len(s.holders("g")), 1)
}

func TestAnswerOfASwapIsLost(t *testing.T) {
	s := started(t, six()...)
	s.dead[s.holders("g")[0]] = true
	lost := 0
	s.swap = func(lease.Record) (bool, bool) {
		lost++
		return true, lost > 2 // the first two take effect, but nobody hears of it
	}
	s.run(t, 20*time.Second)
	is.New(t).Equal(len(s.holders("g")), 1)
}

func TestPartitions(t *testing.T) {
	inEast := func(vm id.VM) bool { return vm == "a" || vm == "b" }
	tests := map[string]func(from, to id.VM) bool{
		"failure domain cut off":       func(from, to id.VM) bool { return inEast(from) != inEast(to) },
		"one way out":                  func(from, to id.VM) bool { return inEast(from) && !inEast(to) },
		"one way in":                   func(from, to id.VM) bool { return !inEast(from) && inEast(to) },
		"holder hears nobody":          func(_, to id.VM) bool { return to == "a" },
		"nobody hears the holder":      func(from, _ id.VM) bool { return from == "a" },
		"the two of the domain apart":  func(from, to id.VM) bool { return inEast(from) && inEast(to) },
		"every second VM from another": func(from, to id.VM) bool { return (from[0]+to[0])%2 == 1 },
	}
	for name, cut := range tests {
		t.Run(name, func(t *testing.T) {
			s := started(t, six()...)
			s.cut = cut
			s.run(t, 5*time.Second) // step fails where there are two holders
			s.cut = func(id.VM, id.VM) bool { return false }
			s.run(t, 10*time.Second)
			is.New(t).Equal(len(s.holders("g")), 1)
		})
	}
}

func TestTwoFaultsTogether(t *testing.T) {
	s := started(t, six()...)
	holder, witness := s.holders("g")[0], s.records["g"].Witnesses[0]
	s.dead[holder] = true
	s.restart(witness, "2") // the successor forgets what it has promised
	s.run(t, 12*time.Second)
	is.New(t).Equal(len(s.holders("g")), 1)
}

func TestOwnRecordMayBeSeenBeforeTheAnswer(t *testing.T) {
	i := is.New(t)
	s := newSite("east")
	s.run(t, 8*time.Second)
	k := leasemanager.NewManager(leasemanager.Member{VM: "z", Incarnation: "1", FailureDomain: "east"}, s.now)
	old := lease.Record{Group: "h", Term: 3, Holder: "y", Witnesses: []id.VM{"y"}, Revision: 9}
	scene := leasemanager.Snapshot{Groups: map[id.Group]id.Domain{"h": "east"}, Records: map[id.Group]lease.Record{"h": old}}
	actions := k.AcceptHandover(s.now, scene, old)
	i.Equal(len(actions), 1)
	next := actions[0].Swap.Record
	next.Revision = 10
	scene.Records = map[id.Group]lease.Record{"h": next} // the watch is faster than the answer
	k.Tick(s.now, scene)
	k.HandleSwapResult(s.now, next, true)
	i.Equal(k.Held(), []id.Group{"h"})
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
			s := started(t, domains...)
			i.Equal(s.run(t, time.Minute), time.Duration(0))
			if len(domains) == 3 {
				s.dead[s.holders("g")[0]] = true
				s.run(t, 5*time.Second)
				i.Equal(len(s.holders("g")), 1) // of three, any one may be lost
			}
		})
	}
}
