package leader

import (
	"slices"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// LeaseFrom returns when the call was sent that last renewed the lease, which ConfirmedAt is not before.
func (e *Elector) LeaseFrom() clock.Instant { return e.leaseFrom }

// ConfirmedAt returns the latest time at which a leader of a later term than this VM's last one was surely followed by fewer than half of the
// VMs, so that FollowedSince of that leader is later.
//
// The store confirms it by a renewal of the lease, as of when the call was sent,
// and most VMs confirm it by reports that they can't reach the store, as of when
// the heartbeat was sent that they answer. now is the present time, as of which
// this VM itself confirms it. The time stays true after the leadership has ended.
func (e *Elector) ConfirmedAt(now clock.Instant, members []id.VM) clock.Instant {
	at := e.leaseFrom
	if e.highestTerm > e.term {
		return at
	}
	reports := []clock.Instant{now}
	for _, m := range members {
		if p := e.peers[m]; m != e.self && p.reportTerm == e.term {
			reports = append(reports, p.reportFrom)
		}
	}
	most := len(members)/2 + 1
	if len(reports) < most {
		return at
	}
	slices.Sort(reports)
	return max(at, reports[len(reports)-most])
}
