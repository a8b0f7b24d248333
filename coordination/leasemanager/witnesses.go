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

// missedRounds is the number of unanswered renewals after which a witness is replaced.
const missedRounds = 5

// replaceWitnesses moves the lease to a new term with witnesses that answer.
func (k *Manager) replaceWitnesses(now clock.Instant, s Snapshot, g id.Group, h *held) (actions []Action) {
	if !h.running || !h.current.IsValid(now) || now < k.notBefore[g] || k.HasPendingSwap(g) || s.Leaving {
		return nil
	}
	record := h.current.Record()
	missing := h.current.UnresponsiveWitnesses(missedRounds)
	wanted := k.chooseWitnesses(s, g, record.Witnesses, missing)
	if slices.Equal(wanted, record.Witnesses) {
		return nil
	}
	if len(missing) == 0 && k.since(now, g) < k.options.ImproveWitnessesPeriod {
		// More witnesses are better, but nothing is lost while those in place answer.
		return nil
	}
	k.notBefore[g] = now.Add(k.options.SwapBackoff)
	return k.swap(now, record.Next(k.self.VM, k.self.Incarnation, wanted))
}

// rank orders VMs for a group; it changes little when VMs come and go.
func rank(g id.Group, members []Member) []Member {
	weight := func(m Member) uint64 { return xxhash.Sum64String(string(g) + "\x00" + string(m.VM)) }
	return slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		return cmp.Or(-cmp.Compare(weight(a), weight(b)), cmp.Compare(a.VM, b.VM))
	})
}

// chooseWitnesses keeps the witnesses that answer and fills up with others.
//
// The first witness is in the group's own failure domain and is the first
// successor; the others are in different ones where there are that many.
func (k *Manager) chooseWitnesses(s Snapshot, g id.Group, have, missing []id.VM) (out []id.VM) {
	live := map[id.VM]Member{}
	for _, m := range s.Live {
		if m.VM != k.self.VM && !slices.Contains(missing, m.VM) && (m.CanWitness || slices.Contains(have, m.VM)) {
			live[m.VM] = m
		}
	}
	// A witness that answers stays, whether membership has heard of it lately or not.
	if len(have) >= witnessCount(len(live)) && len(missing) == 0 {
		return have
	}
	// The order depends on the VM, not on the group, so that one datagram renews all its leases.
	picked := pickWitnesses(rank(id.Group(k.self.VM), slices.Collect(maps.Values(live))), s.Groups[g], have)
	return CompleteWitnesses(picked, k.self.VM)
}

// witnessCount returns the number of witnesses where there are so many other VMs.
func witnessCount(others int) int {
	if others < 2 {
		return 1
	}
	return lease.MaxWitnesses
}

// CompleteWitnesses completes witnesses that are fewer than the most.
//
// Of two others and the holder, any one may be lost. Beside a single other VM
// the holder is its own only witness, so that the loss of the other one doesn't
// end the lease.
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

func pickWitnesses(candidates []Member, home id.Domain, have []id.VM) (out []id.VM) {
	used := map[id.Domain]bool{}
	take := func(accept func(Member) bool) {
		for _, m := range candidates {
			if len(out) < lease.MaxWitnesses && !slices.Contains(out, m.VM) && accept(m) {
				out = append(out, m.VM)
				used[m.FailureDomain] = true
				return
			}
		}
	}
	take(func(m Member) bool { return m.FailureDomain == home })
	for range lease.MaxWitnesses {
		take(func(m Member) bool { return !used[m.FailureDomain] && slices.Contains(have, m.VM) })
		take(func(m Member) bool { return !used[m.FailureDomain] })
	}
	for range lease.MaxWitnesses {
		take(func(Member) bool { return true })
	}
	return out
}
