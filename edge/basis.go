package edge

import (
	"fmt"
	"maps"
	"slices"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// maxLoggedVMs is the number of VMs that a log line names.
const maxLoggedVMs = 16

// observeLeadership logs when this VM begins or ceases to act as the leader without its lease, and by which VMs.
func (e *Edge) observeLeadership(now clock.Instant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	basis, before := e.elector.Basis(now), e.basis
	if basis == before {
		return
	}
	e.basis = basis
	log := e.log.With("term", e.elector.Term().Number(), "counted", namesOfAll(e.elector.Counted()), "storeUnreachableFor", namesOf(e.elector.Reporters(now)))
	switch basis {
	case leader.ByReports:
		log.Info("this VM leads on without its lease")
	case leader.NoBasis:
		log.Info("this VM may not act as the leader", "before", string(before))
	case leader.ByLease:
	}
}

// observeFormerLeaders logs from when on no former leader acts, once that is known in this VM's term, and by which lists.
func (e *Edge) observeFormerLeaders(now clock.Instant) {
	if e.knowsFormerGone() {
		return
	}
	members := e.members()
	e.mu.Lock()
	defer e.mu.Unlock()
	lists := e.elector.FormerLists(members)
	since, known := e.elector.FollowedSince(members)
	if !known {
		return
	}
	e.formerGoneIn = e.elector.Term()
	e.log.Info("former leaders will be gone", "term", e.formerGoneIn.Number(), "after", leader.FormerLeaderUntil(e.electedAt, since).Sub(now).String(),
		"lists", namesOfAll(lists), "followers", namesOf(e.elector.Followers()))
}

// knowsFormerGone reports whether it is known from when on no leader before this VM's last term acts.
func (e *Edge) knowsFormerGone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.formerGoneIn == e.elector.Term()
}

// namesOfAll returns the names of the VMs of each list.
func namesOfAll(lists []map[id.VM]id.Domain) []string {
	out := make([]string, len(lists))
	for i, l := range lists {
		out[i] = namesOf(slices.Collect(maps.Keys(l)))
	}
	return out
}

// namesOf returns the names of VMs in order, or of the first ones.
func namesOf(vms []id.VM) string {
	sorted := slices.Sorted(slices.Values(vms))
	if rest := len(sorted) - maxLoggedVMs; rest > 0 {
		return fmt.Sprintf("%v and %d more", sorted[:maxLoggedVMs], rest)
	}
	return fmt.Sprint(sorted)
}
