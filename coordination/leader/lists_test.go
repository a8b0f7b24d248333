package leader_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// Guards against a later leader that takes a former one for gone, as half of other VMs than the former one counts follow it.
func TestFollowedByEachEarlierList(t *testing.T) {
	type list struct {
		position id.Revision
		members  []id.VM
	}
	const term = 20
	restored := id.Era(1)
	all, young := []id.VM{"a", "b", "c", "d", "e"}, []id.VM{"a", "b", "c", "d", "e", "f", "g", "h"}
	tests := map[string]struct {
		lists     []list
		followers []id.VM
		// heard is the position of a leader that is heard after the lists, if it isn't 0.
		heard id.Revision
		// after is the time from the last list until it is asked.
		after time.Duration
		ok    bool
	}{
		"the same VMs, most follow":                      {lists: []list{{9, all}}, followers: []id.VM{"b", "c"}, ok: true},
		"the same VMs, few follow":                       {lists: []list{{9, all}}, followers: []id.VM{"b"}},
		"an older copy lacks VMs that don't follow":      {lists: []list{{9, all}, {restored.Revision(3), all[:2]}}, followers: []id.VM{"b"}},
		"an older copy lacks VMs of which enough follow": {lists: []list{{9, all}, {restored.Revision(3), all[:2]}}, followers: []id.VM{"b", "c"}, ok: true},
		"an older copy lacks this VM":                    {lists: []list{{9, all}, {restored.Revision(3), []id.VM{"b"}}}, followers: []id.VM{"c", "d"}},
		"VMs that registered since follow":               {lists: []list{{9, all}, {10, young}}, followers: []id.VM{"f", "g", "h"}},
		"VMs that registered since and earlier ones do":  {lists: []list{{9, all}, {10, young}}, followers: []id.VM{"b", "c", "f"}, ok: true},
		"a leader with the later list was heard":         {lists: []list{{9, all}, {10, young}}, heard: 10, followers: []id.VM{"f", "g", "h"}, ok: true},
		"a leader with the earlier list was heard":       {lists: []list{{9, all}, {11, young}}, heard: 10, followers: []id.VM{"f", "g", "h"}},
		"a leader of the restored store was heard":       {lists: []list{{9, all}, {restored.Revision(3), all[:2]}}, heard: restored.Revision(3), followers: []id.VM{"b"}},
		"the other VMs are gone for long":                {lists: []list{{9, all}, {restored.Revision(3), all[:2]}}, followers: []id.VM{"b"}, after: 3 * time.Minute, ok: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := leader.NewElector("a", start)
			now := start
			for _, l := range test.lists {
				now = now.Add(time.Second)
				e.RecordMembers(now, l.position, listOf(l.members...))
			}
			last := test.lists[len(test.lists)-1]
			if test.heard > 0 {
				e.RecordHeartbeat(now, "b", leader.Heartbeat{Leading: true, Term: 5, Position: test.heard, KnownTerm: 5, Stamp: &leader.Stamp{}})
			}
			won := restored.Revision(term)
			e.Won(now, won)
			for _, m := range test.followers {
				e.RecordHeartbeat(now, m, leader.Heartbeat{KnownTerm: won, Stamp: &leader.Stamp{}})
			}
			e.Renewed(now.Add(test.after))
			_, ok := e.FollowedSince(listOf(last.members...))
			is.Equal(ok, test.ok)
		})
	}
}

// Guards against lists of its own leadership for which a VM waits that is elected again.
func TestRenewedLeaseEndsEarlierLists(t *testing.T) {
	is := is.New(t)
	e := leader.NewElector("a", start)
	e.RecordMembers(start, 1, listOf("a"))
	e.Won(start, 2)
	_, ok := e.FollowedSince(listOf("a"))
	is.True(ok)
	e.RecordMembers(start, 3, listOf("a", "b", "c"))
	e.RecordMembers(start, 4, listOf("a"))
	wins := func(now clock.Instant, term id.Revision) bool {
		e.LeaseEnded(now)
		e.Won(now, term)
		_, ok := e.FollowedSince(listOf("a"))
		return ok
	}
	is.True(!wins(start.Add(time.Second), 5)) // another VM may have led with the list of three
	e.RecordHeartbeat(start, "b", leader.Heartbeat{KnownTerm: 5, Stamp: &leader.Stamp{}})
	_, ok = e.FollowedSince(listOf("a"))
	is.True(ok)
	e.RecordMembers(start, 6, listOf("a", "b", "c"))
	e.RecordMembers(start, 7, listOf("a"))
	e.Renewed(start.Add(time.Second))
	is.True(wins(start.Add(2*time.Second), 8))
}

// Guards against a leader that waits for voters that are gone for good until one of them is back.
func TestVotersThatAreGoneExpire(t *testing.T) {
	is := is.New(t)
	e := newElector("a", members...)
	e.Won(start, 7)
	follows := func(after time.Duration) bool {
		e.Renewed(start.Add(after))
		_, ok := e.FollowedSince(listOf("a"))
		return ok
	}
	is.True(!follows(time.Second))
	is.True(!follows(2 * time.Minute))
	is.True(follows(2*time.Minute + 1))
	next, ok := e.Propose(listOf("a"))
	is.True(ok)
	is.Equal(next.Members, listOf("a"))
}
