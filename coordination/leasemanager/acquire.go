package leasemanager

import (
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/coordination/lease"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// acquireLease begins or continues the takeover of a lease that is vacant or whose holder seems lost.
func (mgr *Manager) acquireLease(now clock.Instant, s Snapshot, g id.Group, out outbox) (actions []Action) {
	record := s.Records[g]
	if _, held := mgr.held[g]; held {
		return nil
	}
	record.Group = g
	if p, pending := mgr.swaps[g]; pending {
		return mgr.checkPendingSwap(now, record, p)
	}
	if s.Leaving || now < mgr.retryAt[g] || mgr.isSettling(now, s) {
		return nil
	}
	if t, ok := mgr.takeovers[g]; ok {
		return mgr.advanceTakeover(now, s, record, t, out)
	}
	due, silence := mgr.shouldTakeOver(now, s, record)
	if !due {
		return nil
	}
	t := lease.NewTakeover(record, mgr.observed[g].firstSeen, silence, lease.WithTiming(mgr.options.Timing))
	mgr.takeovers[g] = t
	return mgr.advanceTakeover(now, s, record, t, out)
}

// isSettling reports whether this VM must not acquire leases yet.
//
// It waits for SettlingTime after its start, and for up to maxSettlingFactor
// times as long while it knows too few other VMs to choose all witnesses.
func (mgr *Manager) isSettling(now clock.Instant, s Snapshot) bool {
	age := now.Sub(mgr.started)
	if age < mgr.options.SettlingTime {
		return true
	}
	others := 0
	for _, m := range s.Live {
		if m.VM != mgr.self.VM && m.CanWitness {
			others++
		}
	}
	return others < lease.MaxWitnesses && age < maxSettlingFactor*mgr.options.SettlingTime
}

// maxSettlingFactor limits the wait for other VMs after the start, as a multiple of SettlingTime.
const maxSettlingFactor = 2

// checkPendingSwap stops waiting for the result of a write after a timeout, or once another writer's record of the same or
// a later term is in the store.
func (mgr *Manager) checkPendingSwap(now clock.Instant, record lease.Record, p pendingSwap) []Action {
	// The store's watch may deliver this VM's own record before the result of the write arrives.
	own := record.Term == p.record.Term && record.IsHeldBy(mgr.self.VM, mgr.self.Incarnation)
	if now.Sub(p.sentAt) > mgr.options.SwapTimeout || record.Term >= p.record.Term && !own {
		delete(mgr.swaps, record.Group)
		delete(mgr.takeovers, record.Group)
		mgr.retryAt[record.Group] = now.Add(mgr.options.SwapBackoff)
	}
	return nil
}

// advanceTakeover asks the witnesses that have not refused the term yet, and writes the next record once the takeover is
// ready.
func (mgr *Manager) advanceTakeover(now clock.Instant, s Snapshot, record lease.Record, t *lease.Takeover, out outbox) []Action {
	if t.Record().Term != record.Term || t.IsAborted() {
		delete(mgr.takeovers, record.Group)
		mgr.retryAt[record.Group] = now.Add(mgr.options.SwapBackoff)
		return nil
	}
	for _, w := range t.PendingWitnesses() {
		if s.Retired[w] {
			t.MarkRetired(now, w)
			continue
		}
		m := out.messageTo(w)
		m.RefuseRequests = append(m.RefuseRequests, t.RefuseRequest())
	}
	if !t.IsReady(now) {
		return nil
	}
	holder, incarnation := mgr.self.VM, mgr.self.Incarnation
	if !mgr.isEligible(s, record.Group) {
		// No VM of the group's failure domain has taken the lease. A vacant record lets the planner move the group's keys.
		holder, incarnation = "", ""
	}
	return mgr.swap(now, record.Next(holder, incarnation, mgr.chooseWitnesses(s, record.Group, nil, nil)))
}

// isEligible reports whether this VM may hold the lease of a group.
func (mgr *Manager) isEligible(s Snapshot, g id.Group) bool {
	domain := s.Groups[g]
	return domain == "" || domain == mgr.self.FailureDomain
}

// shouldTakeOver reports whether this VM should begin a takeover now, and for how long the witnesses must have received no
// renewal.
func (mgr *Manager) shouldTakeOver(now clock.Instant, s Snapshot, record lease.Record) (due bool, silence time.Duration) {
	o := mgr.options
	switch {
	case record.Revision == 0 || record.IsVacant():
		return mgr.isEligible(s, record.Group) && mgr.recordAge(now, record.Group) >= mgr.candidateDelay(s, record.Group), 0
	case record.Holder == mgr.self.VM:
		// The holder is an earlier process of this VM, or this process itself after its lease has ended.
		return true, 0
	case record.IsWitness(mgr.self.VM) && mgr.isHolderSilent(now, record, mgr.silenceLimit(s, record)):
		return true, o.Timing.SilenceTimeout
	case !mgr.isEligible(s, record.Group):
		return false, 0
	default:
		return mgr.shouldReplaceMissingHolder(now, s, record), o.Timing.SilenceTimeout
	}
}

// shouldReplaceMissingHolder reports whether the holder has been missing from the membership for long enough to try a
// takeover, at most once per MissingHolderRetryPeriod.
//
// Membership is only a hint: in a large fleet a VM receives messages about
// another VM only now and then, while the witnesses get the holder's renewals.
func (mgr *Manager) shouldReplaceMissingHolder(now clock.Instant, s Snapshot, record lease.Record) bool {
	g, o := record.Group, mgr.options
	if now < mgr.nextMissingTakeover[g] || !mgr.isHolderMissing(s, record) || mgr.recordAge(now, g) < o.MissingHolderTimeout+mgr.candidateDelay(s, g) {
		return false
	}
	mgr.nextMissingTakeover[g] = now.Add(o.MissingHolderRetryPeriod)
	return true
}

// candidateDelay returns the delay of this VM by its rank among the VMs that may hold the lease.
func (mgr *Manager) candidateDelay(s Snapshot, g id.Group) time.Duration {
	var candidates []Member
	for _, m := range s.Live {
		if domain := s.Groups[g]; domain == "" || domain == m.FailureDomain {
			candidates = append(candidates, m)
		}
	}
	rank := slices.IndexFunc(rankMembers(g, candidates), func(m Member) bool { return m.VM == mgr.self.VM })
	return time.Duration(max(rank, 0)) * mgr.options.CandidateDelay
}

// silenceLimit returns the time without a renewal after which this witness begins a takeover.
//
// Witnesses outside the group's failure domain wait longer, so that a successor
// within it comes first.
func (mgr *Manager) silenceLimit(s Snapshot, record lease.Record) time.Duration {
	t := mgr.options.Timing
	position := slices.Index(record.Witnesses, mgr.self.VM)
	if domain := s.Groups[record.Group]; domain != "" && domain != mgr.self.FailureDomain {
		return t.SilenceTimeout + mgr.options.VacateDelay + time.Duration(position)*mgr.options.CandidateDelay/2
	}
	return t.SilenceTimeout + time.Duration(position)*mgr.options.CandidateDelay
}

// isHolderSilent reports whether this witness has received no renewal of the record's term for the given limit.
func (mgr *Manager) isHolderSilent(now clock.Instant, record lease.Record, limit time.Duration) bool {
	for _, silent := range mgr.witness.SilentHolders(now, limit) {
		if silent.Group == record.Group {
			return silent.Term <= record.Term && mgr.recordAge(now, record.Group) >= limit
		}
	}
	return false
}

// isHolderMissing reports whether the holder's incarnation is not among the live VMs.
func (mgr *Manager) isHolderMissing(s Snapshot, record lease.Record) bool {
	for _, m := range s.Live {
		if m.VM == record.Holder && m.Incarnation == record.Incarnation {
			return false
		}
	}
	return true
}
