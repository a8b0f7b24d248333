package leader

import (
	"github.com/hickorylug/hickorylug/coordination/quorum"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// FollowedSince returns since when VMs that know this VM's term, this one included, have blocked each majority by which a former leader may act; ok
// is false while it isn't known, or if this VM's leadership has ended. VMs don't forget a term, so the time stays the same once it is known.
// members are the registered VMs, including this one.
//
// Half of the voters are enough, or all of half of their failure domains. So a
// leader needn't wait for VMs that are gone with another failure domain.
func (e *Elector) FollowedSince(members map[id.VM]id.Domain) (at clock.Instant, ok bool) {
	if !e.leading {
		return 0, false
	}
	if e.followedTerm == e.term {
		return e.followedSince, true
	}
	if e.missesFormerLists() && !e.haveFormerListsExpired() {
		return 0, false
	}
	since := clock.Instant(0)
	for _, members := range e.FormerLists(members) {
		sinceThen, known := e.followedSinceBy(members)
		if !known {
			return 0, false
		}
		since = max(since, sinceThen)
	}
	e.followedTerm, e.followedSince, e.earlierLists = e.term, since, nil
	return e.followedSince, true
}

// FormerLists returns the lists by which a former leader may count the VMs: the voters in the store or, where these may not be the latest, also
// those that were registered lately as far as this VM knows. members are the registered VMs, including this one.
func (e *Elector) FormerLists(members map[id.VM]id.Domain) (lists []map[id.VM]id.Domain) {
	if len(e.voters.Members) > 0 && !e.haveFormerListsExpired() {
		lists = append(lists, e.voters.Members)
		if e.knowsVoters() {
			return lists
		}
	}
	for _, l := range e.earlierLists {
		lists = append(lists, l.members)
	}
	return append(lists, members)
}

// haveFormerListsExpired reports whether this VM has held the lease for listTTL since its election. Then the registrations of VMs that it hasn't heard are
// removed as well, so that it doesn't wait without end for voters that are gone.
func (e *Elector) haveFormerListsExpired() bool { return e.leaseFrom.Sub(e.wonAt) > listTTL }

// followedSinceBy returns since when VMs that know this VM's term block each majority of some VMs; ok is false while it isn't known.
func (e *Elector) followedSinceBy(members map[id.VM]id.Domain) (at clock.Instant, ok bool) {
	return quorum.BlockedSince(members, func(vm id.VM) (clock.Instant, bool) {
		if vm == e.self {
			return e.wonAt, true
		}
		p := e.peers[vm]
		return p.followedSince, p.followedTerm == e.term
	})
}

// FormerLeaderUntil returns until when a former leader may act, by the clock of a leader that was elected by electedAt, when the store had
// answered it, and whose term has been known since followedSince to VMs that block each majority (FollowedSince). This VM itself counts from
// electedAt on, as it may have reported before.
//
// With its lease, a former leader acts until the lease ends at the latest. The
// record of the next one can be written only after that, or after the store came
// back from an older copy; the lease was last renewed before that.
//
// Without its lease, it acts while a majority of its voters reports that it can't
// reach the store. The majority has a VM in common with those that block. That VM
// knew the later term by followedSince, and a report that it has sent since ends the
// leadership of the former leader when it is read, rather than counting for it. A
// report that counts was thus sent before, in answer to a heartbeat sent still
// earlier, from which ReportTTL is counted by the former leader's own clock. The
// time for which the report was on its way or queued doesn't matter. If the VM in
// common is the former leader or the later one, the same holds of what they know
// themselves.
//
// The two may know different registrations. So the former leader counts by the
// voters that it has recorded in the store (Propose), and the later one reads them
// there.
//
// Not covered are: what a former leader decided before and carries out later; VMs
// that restart and forget the term, unless they have read the voters of its
// leader, or its record, in the store since; and VMs of builds without stamps.
func FormerLeaderUntil(electedAt, followedSince clock.Instant) clock.Instant {
	return max(electedAt.Add(LeaseTTL), max(electedAt, followedSince).Add(ReportTTL))
}
