package edge

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/settings"
	"github.com/hickorylug/hickorylug/transport/gossip"
)

// newElectionEdge returns an Edge "a" with only what the election needs, beside the registered VMs "b" and "c".
func newElectionEdge(c clock.Clock) *Edge {
	e := &Edge{clock: c, settings: settings.Edge{VM: "a"}, log: slog.New(slog.DiscardHandler), mirror: fleet.NewMirror(platform.Decode), elector: leader.NewElector("a", c.Boot())}
	e.snapshot.Store(&fleet.Snapshot{Peers: map[id.VM]fleet.Peer{"a": {}, "b": {}, "c": {}}})
	return e
}

// The record of a later leader ends the leadership, but not that of another writer, or one that an older copy of the store had.
func TestLaterRecordEndsLeadership(t *testing.T) {
	tests := map[string]struct {
		record fleet.Leader
		leads  bool
	}{
		"the VM's own":                  {record: fleet.Leader{VM: "a", Term: 7}, leads: true},
		"a later leader's":              {record: fleet.Leader{VM: "b", Term: 8}},
		"an earlier leader's":           {record: fleet.Leader{VM: "b", Term: 6}, leads: true},
		"of a VM that isn't registered": {record: fleet.Leader{VM: "x", Term: 8}, leads: true},
		"can't be read":                 {record: fleet.Leader{Term: 8}, leads: true},
		"in an older copy of the store": {record: fleet.Leader{VM: "b", Term: id.Era(1).Revision(6)}, leads: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &fixedClock{now: clock.Instant(time.Hour)}
			e := newElectionEdge(c)
			e.elector.Won(c.now, 7)
			s := *e.snapshot.Load()
			s.Leader = &test.record
			e.snapshot.Store(&s)
			e.learnRecordedTerm(c.now)
			is.Equal(e.leads(), test.leads)
		})
	}
}

// A VM that hasn't read the store since its start may have forgotten a leader, and must not let a former one act.
func TestReportsThatTheStoreIsUnreachable(t *testing.T) {
	const now = clock.Instant(time.Hour)
	tests := map[string]struct {
		answeredAt, failedAt clock.Instant
		want                 bool
	}{
		"not called yet":         {},
		"answers":                {answeredAt: now, failedAt: now.Add(-time.Second)},
		"fails":                  {answeredAt: now.Add(-2 * time.Second), failedAt: now.Add(-time.Second), want: true},
		"failed long ago":        {answeredAt: now.Add(-time.Minute), failedAt: now.Add(-30 * time.Second)},
		"fails since this start": {failedAt: now.Add(-time.Second)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := newElectionEdge(&fixedClock{now: now})
			e.storeAnsweredAt, e.storeFailedAt = test.answeredAt, test.failedAt
			is.New(t).Equal(e.heartbeatMessage().Heartbeat.StoreUnreachable, test.want)
		})
	}
}

// Heartbeats must carry the leader's stamp there and back, and tell the highest known term.
func TestHeartbeatsAnswerTheLeader(t *testing.T) {
	is := is.New(t)
	c := &fixedClock{now: clock.Instant(time.Hour)}
	e, other := newElectionEdge(c), newElectionEdge(c)
	other.settings.VM, other.elector = "b", leader.NewElector("b", c.now)
	e.elector.Won(c.now, 7)
	e.electedAt = c.now
	_, known := e.formerLeaderUntil()
	is.True(!known)
	sent := e.heartbeatMessage()
	is.Equal(*sent.Heartbeat.Stamp, leader.Stamp{Term: 7, SentAt: c.now})
	leads, answers := other.recordHeartbeat(sent)
	is.True(leads)
	is.True(answers)
	answer := other.heartbeatMessage()
	is.Equal(*answer.Heartbeat.Stamp, *sent.Heartbeat.Stamp)
	is.Equal(answer.Heartbeat.KnownTerm, id.Revision(7))
	c.now = c.now.Add(time.Second)
	leads, answers = e.recordHeartbeat(answer)
	is.True(!leads)
	is.True(!answers)
	until, known := e.formerLeaderUntil()
	is.True(known)
	is.Equal(until, c.now.Add(leader.ReportTTL))
}

// A new leader and a former one must be answered at once, the former one not more often than others get heartbeats.
func TestHeartbeatsThatAreAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	c := &fixedClock{now: clock.Instant(time.Hour)}
	e := newElectionEdge(c)
	e.elector.LearnTerm(c.now, 8)
	present, former := &gossip.Heartbeat{Leading: true, Term: 8}, &gossip.Heartbeat{Leading: true, Term: 7}
	is.True(e.mustAnswer(c.now, present, true))
	is.True(!e.mustAnswer(c.now, present, false))
	is.True(e.mustAnswer(c.now, former, false))
	is.True(!e.mustAnswer(c.now.Add(followerHeartbeatPeriod-1), former, false))
	is.True(e.mustAnswer(c.now.Add(followerHeartbeatPeriod), former, false))
	is.True(!e.mustAnswer(c.now.Add(time.Minute), &gossip.Heartbeat{Term: 7}, false))
}

// An answer must not let a former leader act on whose build doesn't know of later terms.
func TestAnswersToFormerLeadersAreNoReports(t *testing.T) {
	const now = clock.Instant(time.Hour)
	is := is.New(t)
	e := newElectionEdge(&fixedClock{now: now})
	e.storeAnsweredAt, e.storeFailedAt = now.Add(-2*time.Second), now.Add(-time.Second)
	is.True(e.answerTo(true).Heartbeat.StoreUnreachable)
	is.True(!e.answerTo(false).Heartbeat.StoreUnreachable)
}
