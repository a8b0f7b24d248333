package leasemanager

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorylug/hickorylug/coordination/lease"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// maxMissedRounds is the number of renewals without a grant after which a witness is replaced.
const maxMissedRounds = 5

// replaceWitnesses moves the lease to a new term with other witnesses if one does not answer or more are available.
func (mgr *Manager) replaceWitnesses(now clock.Instant, s Snapshot, g id.Group, h *heldLease) (actions []Action) {
	if !h.running || !h.current.IsValid(now) || now < mgr.retryAt[g] || mgr.HasPendingSwap(g) || s.Leaving {
		return nil
	}
	record := h.current.Record()
	unresponsive := h.current.UnresponsiveWitnesses(maxMissedRounds)
	chosen := mgr.chooseWitnesses(s, g, record.Witnesses, unresponsive)
	if slices.Equal(chosen, record.Witnesses) {
		return nil
	}
	if len(unresponsive) == 0 && mgr.recordAge(now, g) < mgr.options.ImproveWitnessesPeriod {
		// More witnesses are better, but not urgent while the present ones answer.
		return nil
	}
	mgr.retryAt[g] = now.Add(mgr.options.SwapBackoff)
	return mgr.swap(now, record.Next(mgr.self.VM, mgr.self.Incarnation, chosen))
}

// rankMembers orders VMs for a group by rendezvous hashing, so that the order of the others stays when a VM joins or leaves.
func rankMembers(g id.Group, members []Member) []Member {
	weight := func(m Member) uint64 { return xxhash.Sum64String(string(g) + "\x00" + string(m.VM)) }
	return slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		return cmp.Or(-cmp.Compare(weight(a), weight(b)), cmp.Compare(a.VM, b.VM))
	})
}

// chooseWitnesses returns the witnesses for a lease, preferring the current ones that respond.
//
// The first witness is in the group's own failure domain and is the preferred
// successor; the others are in different failure domains if there are enough.
func (mgr *Manager) chooseWitnesses(s Snapshot, g id.Group, current, unresponsive []id.VM) (out []id.VM) {
	live := map[id.VM]Member{}
	for _, m := range s.Live {
		if m.VM != mgr.self.VM && !slices.Contains(unresponsive, m.VM) && (m.CanWitness || slices.Contains(current, m.VM)) {
			live[m.VM] = m
		}
	}
	// Witnesses that answer stay, even if the membership does not list them at the moment.
	if len(current) >= witnessCount(len(live)) && len(unresponsive) == 0 {
		return current
	}
	// The order depends on this VM, not on the group, so that all its leases have the same witnesses and one datagram to
	// each renews them.
	picked := pickWitnesses(rankMembers(id.Group(mgr.self.VM), slices.Collect(maps.Values(live))), s.Groups[g], current)
	return CompleteWitnesses(picked, mgr.self.VM)
}

// witnessCount returns the number of witnesses of a lease by the number of other VMs.
func witnessCount(others int) int {
	if others < 2 {
		return 1
	}
	return lease.MaxWitnesses
}

// CompleteWitnesses returns the witnesses of a lease: the other VMs chosen for it and, if they are too few, the holder itself.
//
// With two other VMs the holder is the third witness, so that the loss of any one
// VM is tolerated. With a single other VM the holder is its own only witness, so
// that the loss of the other VM does not end the lease.
func CompleteWitnesses(others []id.VM, self id.VM) []id.VM {
	switch len(others) {
	case 0, 1:
		return []id.VM{self}
	case lease.MaxWitnesses - 1:
		return append(slices.Clone(others), self)
	default:
		return others
	}
}

// pickWitnesses selects up to MaxWitnesses candidates: first one in the group's failure domain, then those in unused
// failure domains with current witnesses preferred, then any.
func pickWitnesses(candidates []Member, domain id.Domain, current []id.VM) (out []id.VM) {
	used := map[id.Domain]bool{}
	addFirst := func(accept func(Member) bool) {
		for _, m := range candidates {
			if len(out) < lease.MaxWitnesses && !slices.Contains(out, m.VM) && accept(m) {
				out = append(out, m.VM)
				used[m.FailureDomain] = true
				return
			}
		}
	}
	addFirst(func(m Member) bool { return m.FailureDomain == domain })
	for range lease.MaxWitnesses {
		addFirst(func(m Member) bool { return !used[m.FailureDomain] && slices.Contains(current, m.VM) })
		addFirst(func(m Member) bool { return !used[m.FailureDomain] })
	}
	for range lease.MaxWitnesses {
		addFirst(func(Member) bool { return true })
	}
	return out
}
