package leader

import (
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// LeaseFrom returns when the call was sent that last renewed the lease, which ConfirmedAt is not before.
func (e *Elector) LeaseFrom() clock.Instant { return e.leaseFrom }

// ConfirmedAt returns the latest time at which the followers of a leader of a later term than this VM's last one surely didn't block it, so that
// FollowedSince of that leader is later.
//
// The store confirms it by a renewal of the lease, as of when the call was sent,
// and a majority of the voters confirms it by reports that they can't reach the
// store, as of when the heartbeat was sent that they answer. now is the present
// time, as of which this VM itself confirms it. The time stays true after the
// leadership has ended.
func (e *Elector) ConfirmedAt(now clock.Instant) clock.Instant {
	if e.highestTerm > e.term {
		return e.leaseFrom
	}
	reportedAt, ok := e.majorityAt(func(vm id.VM) (clock.Instant, bool) {
		if vm == e.self {
			return now, true
		}
		p := e.peers[vm]
		return p.reportFrom, p.reportTerm == e.term && p.reportFrom > 0
	})
	if !ok {
		return e.leaseFrom
	}
	return max(e.leaseFrom, reportedAt)
}
