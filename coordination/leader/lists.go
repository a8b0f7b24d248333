package leader

import (
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// listTTL is how long an earlier list of the registered VMs counts at most, as long as the registration of a VM that isn't heard. So a new
	// leader doesn't wait without end for VMs that are gone.
	listTTL = 2 * time.Minute
	// maxLists bounds the earlier lists.
	maxLists = 32
)

// memberList is a list of the registered VMs.
type memberList struct {
	members []id.VM
	// position is the revision of the store at which the list was first seen, and endedAt when the next one took its place.
	position id.Revision
	endedAt  clock.Instant
}

// RecordMembers records the list of the registered VMs, which has this VM only if that is registered, at a revision of the store.
//
// A former leader that reaches neither the store nor the later leader counts the
// VMs of an earlier list. The later leader may know other ones: VMs that have
// registered since, or fewer after the store came back from an older copy. So
// its term must be known to half of the VMs of each list that the former one may
// have: those since the last heartbeat of a leader that it heard.
func (e *Elector) RecordMembers(now clock.Instant, position id.Revision, members []id.VM) {
	next := memberList{members: slices.Sorted(slices.Values(members)), position: position}
	if slices.Equal(next.members, e.list.members) {
		return
	}
	if len(e.list.members) > 0 {
		e.list.endedAt = now
		e.earlierLists = append(e.earlierLists, e.list)
	}
	e.list = next
	e.expireLists(now)
	e.earlierLists = e.earlierLists[max(0, len(e.earlierLists)-maxLists):]
}

// expireLists forgets the lists that ended long ago.
func (e *Elector) expireLists(now clock.Instant) {
	e.earlierLists = slices.DeleteFunc(e.earlierLists, func(l memberList) bool { return now.Sub(l.endedAt) > listTTL })
}

// forgetLists forgets the lists of an era before the one that a leader at a revision of the store has.
func (e *Elector) forgetLists(position id.Revision) {
	latest := id.Revision(0)
	for _, l := range append(slices.Clone(e.earlierLists), e.list) {
		if l.position <= position {
			latest = max(latest, l.position)
		}
	}
	e.earlierLists = slices.DeleteFunc(e.earlierLists, func(l memberList) bool { return l.position < latest && l.position.Era() == latest.Era() })
}

// followedSinceBy returns since when at least half of some VMs have known this VM's term; ok is false while it isn't known.
func (e *Elector) followedSinceBy(members []id.VM) (at clock.Instant, ok bool) {
	var confirmed []clock.Instant
	for _, m := range members {
		if m == e.self {
			confirmed = append(confirmed, e.wonAt)
		} else if p := e.peers[m]; p.followedTerm == e.term {
			confirmed = append(confirmed, p.followedSince)
		}
	}
	enough := (len(members) + 1) / 2
	if enough == 0 || len(confirmed) < enough {
		return 0, false
	}
	slices.Sort(confirmed)
	return confirmed[enough-1], true
}
