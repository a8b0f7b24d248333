package ownership_test

import (
	"time"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// modelStore is the platform's store with the key table of one service and the leader's record.
type modelStore struct {
	table    *fleet.Table
	revision int
	// unreadable says that another writer has replaced the table by bytes that can't be read.
	unreadable bool
	// term is that of the leader's record.
	term int
	// era counts the restorations from an older copy; settledEra is the last one whose tables are up to date.
	era, settledEra int
	// losses counts the times at which the store lost its table.
	losses int
	// copies are the tables of the past, from which the store may be restored.
	copies []*fleet.Table
	// lost is the latest table before the last restoration; some VMs know it until a later one can be read.
	lost *fleet.Table
}

// maxKnownAge is the number of writes that the table which a VM knows may lack.
const maxKnownAge = 3

// drawKnownTable returns the table that a VM knows before it is elected and reads the store.
func (s *siteModel) drawKnownTable() *fleet.Table {
	store := &s.store
	switch {
	case store.lost != nil && fenceOf(store.lost) > fenceOf(store.table) && s.chance(0.5):
		return store.lost
	case len(store.copies) > 0 && s.chance(s.faults.oldKnowledge):
		return store.copies[len(store.copies)-1-s.random.IntN(min(maxKnownAge, len(store.copies)))]
	default:
		return nil
	}
}

// read brings what a VM knows up to date with the store. A VM that knows a later table than an older copy keeps it.
func (l *modelLeader) read() {
	store := &l.site.store
	l.revision = store.revision
	if l.table != nil && l.table.Unreadable {
		l.table = nil
	}
	if !store.unreadable {
		l.table = fleet.NewerTable(l.table, store.table)
		l.knowsLatest = l.knowsLatest || l.table != nil && !l.table.Unsaved
		return
	}
	if l.table = fleet.NewerTable(l.table, nil); l.table == nil {
		l.table = &fleet.Table{Service: service, Unreadable: true}
	}
}

// maxWriteTime bounds a write to the store that is answered.
const maxWriteTime = 150 * time.Millisecond

// write stores a table if the VM is still the leader and the table is the one that it has read.
func (l *modelLeader) write(next *fleet.Table, done func()) {
	s, term, era, revision := l.site, l.term, l.site.store.era, l.revision
	l.writing, l.writtenAt = true, s.now
	lost := s.chance(s.faults.lostAnswers)
	s.after(s.drawTime(time.Millisecond, maxWriteTime), func() {
		store := &s.store
		executed := store.term == term && store.era == era && store.revision == revision
		if executed {
			store.copies = append(store.copies, store.table)
			stored := next.Clone()
			stored.Unsaved, stored.Unreadable = false, false
			store.table, store.unreadable = stored, false
			store.revision++
			s.note("%s has written its table, fence %d", l.name(), next.Fence)
		}
		delay := s.drawTime(time.Millisecond, 15*time.Millisecond)
		if lost {
			delay = s.drawTime(maxWriteTime, 2*time.Second)
		}
		s.after(delay, func() {
			if l.term != term {
				return
			}
			l.writing = false
			if l.actsUntil > 0 || store.era != era {
				return
			}
			l.read()
			if executed && done != nil {
				done()
			}
		})
	})
}

// plan writes the next table in the way the leader does.
func (l *modelLeader) plan() {
	if l.writing {
		return
	}
	now, load := l.site.now, l.load
	l.load = nil
	current, isLost := l.table, l.table != nil && !l.knowsLatest
	if isLost {
		if !l.formerGrantsExpired() {
			return
		}
		current = ownership.Refence(service, current, l.revisionNow())
	}
	if current == nil {
		if next, changed := ownership.Plan(service, nil, l.candidates(), nil); changed {
			l.write(next, nil)
		}
		return
	}
	next, moved, settled := l.granter.Revise(l.time(), current, l.candidates(), load)
	if moved || isLost || settled && now.Sub(l.writtenAt) > settledMoveWriteDelay {
		l.write(next, nil)
	}
}

// settle brings the table up to date after a restoration of the store, in the way the leader does; ready is false while it may not grant.
func (l *modelLeader) settle() (ready bool) {
	store := &l.site.store
	if store.settledEra >= store.era {
		return true
	}
	if !l.continues && !l.formerGrantsExpired() {
		return false
	}
	if l.writing {
		return l.continues
	}
	if l.table != nil && l.table.Unsaved || !l.continues && !l.refenced {
		next := l.table
		if !l.continues && !l.refenced {
			next = l.refence()
		}
		l.write(next, func() { l.refenced = true })
		return l.continues
	}
	era, term := store.era, l.term
	l.site.after(l.site.drawTime(time.Millisecond, maxWriteTime), func() {
		if store.era == era && store.term == term {
			store.settledEra = era
		}
	})
	return l.continues
}

// revisionNow returns the revision of the store that the leader knows.
func (l *modelLeader) revisionNow() id.Revision {
	return id.Era(l.site.store.era).Revision(uint64(1 + l.site.store.revision + l.site.elections))
}

// formerGrantsExpired reports whether the leader takes the grants of all former leaders as expired.
func (l *modelLeader) formerGrantsExpired() bool {
	return l.site.now > l.formerUntil().Add(ownership.MaxHoldTime) && !l.isolated
}

func (l *modelLeader) refence() *fleet.Table {
	t := l.table
	if t != nil && t.Unreadable {
		t = nil
	}
	if !l.site.flaw.keepsFences {
		return ownership.Refence(service, t, l.revisionNow())
	}
	if t == nil {
		return &fleet.Table{Service: service}
	}
	return t
}
