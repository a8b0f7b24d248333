package leader

import (
	"maps"
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

// memberList is a list of the registered VMs with their failure domains.
type memberList struct {
	members map[id.VM]id.Domain
	// position is the revision of the store at which the list was first seen, and endedAt when the next one took its place.
	position id.Revision
	endedAt  clock.Instant
}

// RecordMembers records the list of the registered VMs, which has this VM only if that is registered, at a revision of the store.
//
// A later leader needs them where the store doesn't have the voters of the former
// one: after it came back from an older copy, and beside builds that recorded none.
// Its term must then be known by each list that the former one may have had: those
// since the last heartbeat of a leader that it heard.
func (e *Elector) RecordMembers(now clock.Instant, position id.Revision, members map[id.VM]id.Domain) {
	next := memberList{members: maps.Clone(members), position: position}
	if maps.Equal(next.members, e.list.members) {
		return
	}
	if len(e.list.members) == 0 {
		e.firstEra = position.Era()
	} else {
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
