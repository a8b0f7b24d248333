package edge

import (
	"fmt"
	"slices"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// maxLoggedVMs is the number of VMs that a log line names.
const maxLoggedVMs = 16

// logLeadership logs when this VM begins or ceases to act as the leader without its lease, by which VMs, and by which lists it takes former
// leaders for gone.
func (e *Edge) logLeadership(now clock.Instant) {
	members := e.members()
	e.mu.Lock()
	defer e.mu.Unlock()
	basis, term := e.elector.Basis(now, members), e.elector.Term().Number()
	if before := e.basis; basis != before {
		e.basis = basis
		switch {
		case basis == leader.ByReports:
			e.log.Info("this VM leads on without its lease", "term", term, "counted", namesOf(members), "storeUnreachableFor", namesOf(e.elector.Reporters(now)))
		case basis == leader.NoBasis && before != "":
			e.log.Info("this VM may not act as the leader", "term", term, "before", string(before), "counted", namesOf(members), "storeUnreachableFor", namesOf(e.elector.Reporters(now)))
		}
	}
	if e.formerGoneIn == e.elector.Term() {
		return
	}
	var lists []string
	for _, l := range e.elector.Lists() {
		lists = append(lists, namesOf(l))
	}
	since, known := e.elector.FollowedSince(members)
	if !known {
		return
	}
	e.formerGoneIn = e.elector.Term()
	e.log.Info("former leaders will be gone", "term", term, "after", leader.FormerLeaderUntil(e.electedAt, since).Sub(now).String(), "lists", lists, "counted", namesOf(members), "followers", namesOf(e.elector.Followers()))
}

// namesOf returns the names of VMs in order, or of the first ones.
func namesOf(vms []id.VM) string {
	sorted := slices.Sorted(slices.Values(vms))
	if rest := len(sorted) - maxLoggedVMs; rest > 0 {
		return fmt.Sprintf("%v and %d more", sorted[:maxLoggedVMs], rest)
	}
	return fmt.Sprint(sorted)
}
