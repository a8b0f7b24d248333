package leader

import (
	"slices"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// FollowedSince returns since when at least half of the VMs, this one included, have known this VM's term; ok is false while it isn't known, or
// if this VM's leadership has ended. VMs don't forget a term, so the time stays the same once it is known.
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
	confirmed := []clock.Instant{e.wonAt}
	for _, m := range members {
		if p := e.peers[m]; m != e.self && p.followedTerm == e.term {
			confirmed = append(confirmed, p.followedSince)
		}
	}
	enough := (len(members) + 1) / 2
	if len(confirmed) < enough {
		return 0, false
	}
	slices.Sort(confirmed)
	e.followedTerm, e.followedSince = e.term, confirmed[enough-1]
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
// Not covered are: what a former leader decided before and carries out later; VMs
// that restart and forget the term, unless they have read its record in the store
// since; VMs of builds without stamps; and registrations that differ between the
// two leaders, so that the VMs which they count have none in common.
func FormerLeaderUntil(electedAt, followedSince clock.Instant) clock.Instant {
	return max(electedAt.Add(LeaseTTL), max(electedAt, followedSince).Add(ReportTTL))
}
