package leasemanager

import (
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/coordination/lease"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// seek takes over the lease of a group that nobody holds.
func (k *Manager) seek(now clock.Instant, s Snapshot, g id.Group, out outbox) (actions []Action) {
	record := s.Records[g]
	if _, holds := k.held[g]; holds {
		return nil
	}
	record.Group = g
	if p, swapping := k.swaps[g]; swapping {
		return k.settleLate(now, record, p)
	}
	if s.Leaving || now < k.notBefore[g] || k.settling(now, s) {
		return nil
	}
	if t, ok := k.takeovers[g]; ok {
		return k.advance(now, s, record, t, out)
	}
	due, silence := k.due(now, s, record)
	if !due {
		return nil
	}
	t := lease.NewTakeover(record, k.seen[g].at, silence, lease.WithTiming(k.options.Timing))
	k.takeovers[g] = t
	return k.advance(now, s, record, t, out)
}

// settling reports whether this VM has just started and doesn't know enough others yet to find witnesses.
func (k *Manager) settling(now clock.Instant, s Snapshot) bool {
	age := now.Sub(k.started)
	if age < k.options.SettlingTime {
		return true
	}
	others := 0
	for _, m := range s.Live {
		if m.VM != k.self.VM && m.CanWitness {
			others++
		}
	}
	return others < lease.MaxWitnesses && age < settleFactor*k.options.SettlingTime
}

// settleFactor is the ratio of the longest wait for other VMs to the shortest.
const settleFactor = 2

// settleLate gives up on a swap whose answer never came; a later record shows what became of it.
func (k *Manager) settleLate(now clock.Instant, record lease.Record, p pending) []Action {
	// The watch may show the own record before the swap's answer has come.
	own := record.Term == p.record.Term && record.IsHeldBy(k.self.VM, k.self.Incarnation)
	if now.Sub(p.sentAt) > k.options.SwapTimeout || record.Term >= p.record.Term && !own {
		delete(k.swaps, record.Group)
		delete(k.takeovers, record.Group)
		k.notBefore[record.Group] = now.Add(k.options.SwapBackoff)
	}
	return nil
}

// advance asks the witnesses that have not refused yet, and swaps once the wait is over.
func (k *Manager) advance(now clock.Instant, s Snapshot, record lease.Record, t *lease.Takeover, out outbox) []Action {
	if t.Record().Term != record.Term || t.IsAborted() {
		delete(k.takeovers, record.Group)
		k.notBefore[record.Group] = now.Add(k.options.SwapBackoff)
		return nil
	}
	for _, w := range t.PendingWitnesses() {
		if s.Retired[w] {
			t.MarkRetired(now, w)
			continue
		}
		m := out.to(w)
		m.RefuseRequests = append(m.RefuseRequests, t.RefuseRequest())
	}
	if !t.IsReady(now) {
		return nil
	}
	holder, incarnation := k.self.VM, k.self.Incarnation
	if !k.eligible(s, record.Group) {
		// The group's failure domain has nobody; the planner moves its keys elsewhere.
		holder, incarnation = "", ""
	}
	return k.swap(now, record.Next(holder, incarnation, k.chooseWitnesses(s, record.Group, nil, nil)))
}

// eligible reports whether this VM may hold the lease of a group.
func (k *Manager) eligible(s Snapshot, g id.Group) bool {
	home := s.Groups[g]
	return home == "" || home == k.self.FailureDomain
}

// due reports whether this VM should begin a takeover now, and how long the holder must have been silent.
func (k *Manager) due(now clock.Instant, s Snapshot, record lease.Record) (due bool, silence time.Duration) {
	o := k.options
	switch {
	case record.Revision == 0 || record.IsVacant():
		return k.eligible(s, record.Group) && k.since(now, record.Group) >= k.turn(s, record.Group), 0
	case record.Holder == k.self.VM:
		// A former process of this VM, or a term that this process has let lapse.
		return true, 0
	case record.IsWitness(k.self.VM) && k.hearsNothing(now, record, k.patience(s, record)):
		return true, o.Timing.SilenceTimeout
	case !k.eligible(s, record.Group):
		return false, 0
	default:
		return k.unseen(now, s, record), o.Timing.SilenceTimeout
	}
}

// unseen reports whether the holder has been missed for long, at most once in a while.
//
// Membership is only a hint: in a large fleet a VM hears of another one now
// and then, and the witnesses know better.
func (k *Manager) unseen(now clock.Instant, s Snapshot, record lease.Record) bool {
	g, o := record.Group, k.options
	if now < k.nextUnseen[g] || !k.holderUnseen(s, record) || k.since(now, g) < o.MissingHolderTimeout+k.turn(s, g) {
		return false
	}
	k.nextUnseen[g] = now.Add(o.MissingHolderRetryPeriod)
	return true
}

// turn returns the delay of this VM among those that may hold the lease.
func (k *Manager) turn(s Snapshot, g id.Group) time.Duration {
	var candidates []Member
	for _, m := range s.Live {
		if home := s.Groups[g]; home == "" || home == m.FailureDomain {
			candidates = append(candidates, m)
		}
	}
	at := slices.IndexFunc(rank(g, candidates), func(m Member) bool { return m.VM == k.self.VM })
	return time.Duration(max(at, 0)) * k.options.CandidateDelay
}

// patience returns how long the holder must have been silent before this witness acts.
//
// Witnesses outside the group's failure domain leave time for the successor within it.
func (k *Manager) patience(s Snapshot, record lease.Record) time.Duration {
	t := k.options.Timing
	at := slices.Index(record.Witnesses, k.self.VM)
	if home := s.Groups[record.Group]; home != "" && home != k.self.FailureDomain {
		return t.SilenceTimeout + k.options.VacateDelay + time.Duration(at)*k.options.CandidateDelay/2
	}
	return t.SilenceTimeout + time.Duration(at)*k.options.CandidateDelay
}

// hearsNothing reports whether this witness has not heard of the record's term for a time.
func (k *Manager) hearsNothing(now clock.Instant, record lease.Record, patience time.Duration) bool {
	for _, silent := range k.witness.SilentHolders(now, patience) {
		if silent.Group == record.Group {
			return silent.Term <= record.Term && k.since(now, record.Group) >= patience
		}
	}
	return false
}

// holderUnseen reports whether the holder's process is not among the live VMs.
func (k *Manager) holderUnseen(s Snapshot, record lease.Record) bool {
	for _, m := range s.Live {
		if m.VM == record.Holder && m.Incarnation == record.Incarnation {
			return false
		}
	}
	return true
}
