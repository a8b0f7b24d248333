package leader

import (
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// FollowedSince returns since when at least half of the VMs, this one included, have known this VM's term, also by each earlier list that a
// former leader may count; ok is false while it isn't known, or if this VM's leadership has ended. VMs don't forget a term, so the time stays the
// same once it is known.
//
// Half of the VMs are enough: a former leader without its lease needs more than
// half. So a leader with one other VM, or half of the others, needn't wait for
// registrations of VMs that are gone.
func (e *Elector) FollowedSince(members []id.VM) (at clock.Instant, ok bool) {
	if !e.leading {
		return 0, false
	}
	if e.followedTerm == e.term {
		return e.followedSince, true
	}
	since, ok := e.followedSinceBy(members)
	for _, l := range e.earlierLists {
		sinceThen, known := e.followedSinceBy(l.members)
		since, ok = max(since, sinceThen), ok && known
	}
	if !ok {
		return 0, false
	}
	e.followedTerm, e.followedSince, e.earlierLists = e.term, since, nil
	return e.followedSince, true
}

// FormerLeaderUntil returns until when a former leader may act, by the clock of a leader that was elected by electedAt, when the store had
// answered it, and whose term half of the VMs have known since followedSince (FollowedSince). This VM itself counts from electedAt on, as it may
// have reported before.
//
// With its lease, a former leader acts until the lease ends at the latest. The
// record of the next one can be written only after that, or after the store came
// back from an older copy; the lease was last renewed before that.
//
// Without its lease, it acts while most VMs report that they can't reach the
// store. These and half of the VMs have a VM in common. This one knew the later
// term by followedSince, and a report sent since ends the leadership of the former leader
// when it is read, rather than counting for it. A report that counts was thus sent
// before, in answer to a heartbeat sent still earlier, from which ReportTTL is
// counted by the former leader's own clock. The time for which the report was on
// its way or queued doesn't matter. If the VM in common is the former leader or
// the later one, the same holds of what they know themselves.
//
// The two may count different VMs, as they know different registrations. So half
// of the VMs have to know the later term by each list that the former leader may
// have (RecordMembers).
//
// Not covered are: what a former leader decided before and carries out later; VMs
// that restart and forget the term, unless they have read its record in the store
// since; VMs of builds without stamps; and a list that the later leader never had,
// as it started after, or first read the store of that era after.
func FormerLeaderUntil(electedAt, followedSince clock.Instant) clock.Instant {
	return max(electedAt.Add(LeaseTTL), max(electedAt, followedSince).Add(ReportTTL))
}
