package poison_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
)

// recordStore is a store that accepts the records of one ledger.
type recordStore struct {
	now     clock.Instant
	wall    time.Time
	ledger  *poison.Ledger
	records map[fleet.Incarnation]fleet.Crash
}

func newRecordStore() *recordStore {
	return &recordStore{now: clock.Instant(time.Hour), wall: time.Unix(1e9, 0), ledger: poison.NewLedger(), records: map[fleet.Incarnation]fleet.Crash{}}
}

// pass lets time pass.
func (s *recordStore) pass(d time.Duration) { s.now, s.wall = s.now.Add(d), s.wall.Add(d) }

// write writes what is due, and returns the number of records written.
func (s *recordStore) write(leads bool) int {
	due := s.ledger.Unrecorded(s.now, s.wall, leads)
	next := map[fleet.Incarnation]fleet.Crash{}
	for p, r := range s.records {
		next[p] = r
	}
	for _, r := range due {
		next[r.Process] = r
	}
	s.records = next
	s.ledger.Restore(s.now, s.wall, next)
	return len(due)
}

// restart replaces the ledger by an empty one that reads the store.
func (s *recordStore) restart() {
	s.ledger = poison.NewLedger()
	s.ledger.Restore(s.now, s.wall, s.records)
}

func TestRecordsOfCrashes(t *testing.T) {
	const guilty, innocent poison.Fingerprint = 1, 2
	process := func(n int) fleet.Incarnation { return crashReport(n).Process }
	tests := map[string]struct {
		play func(s *recordStore)
		// written is the number of records that the leader writes after a second, and status that of guilty after a restart.
		written int
		status  poison.Status
	}{
		"nothing": {play: func(*recordStore) {}, status: poison.Clear},
		"two crashes that others report": {play: func(s *recordStore) {
			s.ledger.Merge(s.now, crashReport(1, guilty))
			s.ledger.Merge(s.now, crashReport(2, guilty))
		}, written: 2, status: poison.Blocked},
		"a crash without suspects": {play: func(s *recordStore) { s.ledger.RecordCrash(s.now, fleet.Server{Incarnation: process(1)}, false) }, status: poison.Clear},
		"already stored": {play: func(s *recordStore) {
			s.ledger.Merge(s.now, crashReport(1, guilty))
			s.pass(time.Second)
			s.write(true)
		}, status: poison.Suspect},
		"another suspect of a stored crash": {play: func(s *recordStore) {
			s.ledger.Merge(s.now, crashReport(1, innocent))
			s.pass(time.Second)
			s.write(true)
			s.ledger.Merge(s.now, crashReport(1, guilty))
		}, written: 1, status: poison.Suspect},
		"acquitted after a second stored crash": {play: func(s *recordStore) {
			s.ledger.Merge(s.now, crashReport(1, guilty, innocent))
			s.ledger.Merge(s.now, crashReport(2, guilty, innocent))
			s.pass(time.Second)
			s.write(true)
			s.ledger.Merge(s.now, poison.Report{Cleared: []poison.Fingerprint{guilty}})
		}, written: 2, status: poison.Clear},
		"acquitted after one crash": {play: func(s *recordStore) {
			s.ledger.Merge(s.now, crashReport(1, guilty))
			s.pass(time.Second)
			s.write(true)
			s.ledger.Merge(s.now, poison.Report{Cleared: []poison.Fingerprint{guilty}})
		}, status: poison.Suspect},
		"more suspects in the record than a VM keeps": {play: func(s *recordStore) {
			many := fleet.Crash{Process: process(1), At: s.wall}
			for f := range 200 {
				many.Suspects = append(many.Suspects, poison.Fingerprint(1+f))
			}
			other := many
			other.Process = process(2)
			s.records = map[fleet.Incarnation]fleet.Crash{many.Process: many, other.Process: other}
			s.ledger.Restore(s.now, s.wall, s.records)
		}, status: poison.Suspect},
		"older than counts": {play: func(s *recordStore) {
			s.ledger.Merge(s.now, crashReport(1, guilty))
			s.ledger.Merge(s.now, crashReport(2, guilty))
			s.pass(time.Second)
			s.write(true)
			s.pass(11 * time.Minute)
		}, status: poison.Clear},
		"lost by the store": {play: func(s *recordStore) {
			s.ledger.Merge(s.now, crashReport(1, guilty))
			s.pass(time.Second)
			s.write(true)
			s.records = nil
			s.ledger.Restore(s.now, s.wall, nil)
		}, written: 1, status: poison.Suspect},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newRecordStore()
			test.play(s)
			s.pass(time.Second)
			is.Equal(s.write(true), test.written)
			is.Equal(s.write(true), 0)
			s.restart()
			is.Equal(s.ledger.Check(s.now, guilty, ""), test.status)
		})
	}
}

// A VM that doesn't lead writes only what it saw itself, and only if the leader hasn't.
func TestRecordsOfOtherVMs(t *testing.T) {
	is := is.New(t)
	s := newRecordStore()
	own, foreign := crashReport(1, 1).Process, crashReport(2, 1)
	s.ledger.Begin(s.now, own, 1)
	s.ledger.Unanswered(s.now, own, 1, s.now, true)
	s.ledger.RecordCrash(s.now, fleet.Server{Incarnation: own}, false)
	s.ledger.Merge(s.now, foreign)
	is.Equal(s.write(false), 0)
	s.pass(2 * time.Second)
	is.Equal(s.write(false), 1)
	is.Equal(s.records[own].Suspects, []poison.Fingerprint{1})
	is.Equal(s.write(false), 0)
}

// The leader removes the records of crashes that no longer count, and those of processes that answer.
func TestOutdatedRecords(t *testing.T) {
	is := is.New(t)
	s := newRecordStore()
	alive := crashReport(1).Process
	s.ledger.Merge(s.now, crashReport(1, 1))
	s.ledger.Merge(s.now, crashReport(2, 1))
	s.pass(time.Second)
	is.Equal(s.write(true), 2)
	is.Equal(len(s.ledger.Outdated(s.wall)), 0)
	s.ledger.Begin(s.now, alive, 3)
	s.ledger.Answered(s.now.Add(time.Second), alive, "", 3, s.now, true)
	outdated := s.ledger.Outdated(s.wall)
	is.Equal(len(outdated), 1)
	is.Equal(outdated[0].Process, alive)
	s.ledger.Merge(s.now, poison.Report{Process: alive, Age: time.Minute, Suspects: []poison.Fingerprint{1}})
	is.Equal(s.ledger.Crashes(1), 1)
	s.pass(12 * time.Minute)
	is.Equal(len(s.ledger.Outdated(s.wall)), 2)
	s.records = nil
	s.ledger.Restore(s.now, s.wall, nil)
	is.Equal(s.write(true), 0)
}
