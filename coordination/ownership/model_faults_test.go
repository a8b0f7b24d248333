package ownership_test

import (
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/fleet"
)

// modelFaults are the disruptions of a history.
type modelFaults struct {
	// lostAnswers, heldUpCalls and lateGrants are shares of the calls: without an answer, held up on the way, and carried out seconds later.
	lostAnswers, heldUpCalls, lateGrants float64
	// departures are changes of a server between staying and leaving, and balances plans that move busy keys. These and the following
	// are rates per second.
	departures, balances float64
	cuts, restarts       float64
	// staleEntries are entries of former processes that come again.
	staleEntries float64
	// elections make another VM the leader, and reelections the one that leads.
	elections, reelections float64
	// isolations are changes between a leader that reaches most VMs and one that doesn't.
	isolations float64
	// restorations bring the store back from an older copy, and corruptions replace the table by bytes that can't be read. Only the first
	// of them happens if once is set.
	restorations, corruptions float64
	once                      bool
	// oldKnowledge is the share of the elected VMs that know a table of some writes before.
	oldKnowledge float64
	// pauses are times for which a leader that stays the leader stands still, right before it writes grants.
	pauses float64
	// formerTime is the longest time for which a former leader acts on.
	formerTime time.Duration
}

// Longest times of disruptions and until they are known.
const (
	maxDowntime    = 4 * time.Second
	maxCutTime     = 5 * time.Second
	maxStaleTime   = 2 * time.Second
	maxEntryDelay  = 5 * time.Second
	maxPause       = 5 * time.Second
	maxWriteDelay  = 60 * time.Millisecond
	maxHotLoad     = 60
	hotKeysPerPlan = 3
)

// disrupt draws the disruptions of a tick.
func (s *siteModel) disrupt() {
	f := s.faults
	if s.happens(f.departures) {
		s.depart(s.drawServer())
	}
	if s.happens(f.balances) {
		s.current().load = s.drawLoad()
	}
	if s.happens(f.cuts) {
		server := s.drawServer()
		server.cut = true
		s.after(s.drawTime(0, maxCutTime), func() { server.cut = false })
	}
	if s.happens(f.restarts) {
		s.restart(s.drawServer())
	}
	if s.happens(f.staleEntries) {
		s.showStaleEntry(s.drawServer())
	}
	if s.happens(f.isolations) {
		s.current().isolated = !s.current().isolated
	}
	if l := s.current(); s.happens(f.pauses) && s.now > l.pausedUntil {
		l.pausedFrom, l.pausedUntil = s.now, s.now.Add(s.drawTime(modelTick, maxPause))
		s.note("%s stands still until %v", l.name(), l.pausedUntil.Sub(modelStart))
	}
	s.disruptLeaders()
}

// depart lets a server leave or stay again. The last one that stays seldom leaves, as nothing can be planned then.
func (s *siteModel) depart(server *modelServer) {
	others := slices.ContainsFunc(s.servers, func(other *modelServer) bool { return other != server && !other.leaving })
	if server.leaving || others || s.chance(0.1) {
		server.leaving = !server.leaving
	}
}

func (s *siteModel) disruptLeaders() {
	f := s.faults
	mayLose := !f.once || s.store.losses == 0
	if mayLose && s.happens(f.restorations) {
		s.restore()
	}
	if mayLose && s.happens(f.corruptions) {
		s.corrupt()
	}
	if s.happens(f.elections) {
		s.elect(nil)
	}
	if s.happens(f.reelections) {
		s.elect(s.current())
	}
}

// corrupt makes the stored table unreadable. Another VM, which knows no earlier one, may be elected before the leader stores it again.
func (s *siteModel) corrupt() {
	if s.store.table == nil {
		return
	}
	s.store.unreadable = true
	s.store.losses++
	s.store.revision++
	s.note("the table can't be read")
	if s.chance(0.5) {
		s.elect(nil)
	}
}

func (s *siteModel) drawLoad() ownership.Load {
	load := ownership.Load{}
	for range hotKeysPerPlan {
		load[fleet.Key(s.random.IntN(fleet.KeyCount))] = float64(s.random.IntN(maxHotLoad))
	}
	return load
}

// restart ends the process of a server; the next one starts under the same id and knows nothing. Leaders learn of it later.
func (s *siteModel) restart(server *modelServer) {
	if server.process == nil {
		return
	}
	server.process = nil
	s.note("%s stops", server.id)
	s.after(s.drawTime(0, maxDowntime), func() {
		server.start()
		born := server.born
		s.note("%s starts, born %d", server.id, born)
		s.after(s.drawTime(0, maxEntryDelay/2), func() {
			server.registered = max(server.registered, born)
			for _, l := range s.leaders {
				s.after(s.drawTime(0, maxEntryDelay/2), func() {
					l.entries[server.id] = max(l.entries[server.id], born)
					s.note("%s learns that %s was born %d", l.name(), server.id, born)
				})
			}
		})
	})
}

// showStaleEntry shows the leader the entry of a former process for a while.
func (s *siteModel) showStaleEntry(server *modelServer) {
	l := s.current()
	if l.entries[server.id] <= 1 {
		return
	}
	l.entries[server.id]--
	s.after(s.drawTime(0, maxStaleTime), func() { l.entries[server.id] = max(l.entries[server.id], server.registered) })
}

// restore brings the store back from an older copy. The leader leads on with its table, or another VM is elected, which may know a later
// one than the store.
func (s *siteModel) restore() {
	store := &s.store
	if len(store.copies) == 0 {
		return
	}
	store.era++
	store.losses++
	store.revision++
	store.lost, store.unreadable = store.table, false
	at := s.random.IntN(len(store.copies))
	store.table, store.copies = store.copies[at], store.copies[:at]
	s.note("the store comes back from an older copy, fence %d", fenceOf(store.table))
	former := s.current()
	if knows := former.knowsLatest && (former.continues || store.settledEra == store.era-1); knows && s.chance(0.5) {
		s.elect(former)
		former.continues, former.knowsLatest = true, true
		return
	}
	s.elect(nil)
}

func fenceOf(t *fleet.Table) fleet.Fence {
	if t == nil {
		return 0
	}
	return t.Fence
}
