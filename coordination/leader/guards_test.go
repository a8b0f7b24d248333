package leader_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/state/id"
)

// reportOf returns a follower's report that it can't reach the store, in answer to a heartbeat that the leader of a term sent at start.
func reportOf(term id.Revision) leader.Heartbeat {
	return leader.Heartbeat{StoreUnreachable: true, KnownTerm: term, Stamp: &leader.Stamp{Term: term, SentAt: start}}
}

// Two halves of the VMs must not have a leader each.
func TestHalfOfTheReportsIsTooFew(t *testing.T) {
	is := is.New(t)
	e := newElector("a", members[:4]...)
	e.Won(start, 7)
	e.MarkUncertain()
	e.RecordHeartbeat(start, "b", reportOf(7))
	is.True(!e.Leads(start))
	e.RecordHeartbeat(start, "c", reportOf(7))
	is.True(e.Leads(start))
}

func TestReportsThatEnd(t *testing.T) {
	tests := map[string]func(e *leader.Elector){
		"the store answers the VM again": func(e *leader.Elector) {
			e.RecordHeartbeat(start, "b", leader.Heartbeat{KnownTerm: 7, Stamp: &leader.Stamp{Term: 7, SentAt: start}})
		},
		"the VM leaves": func(e *leader.Elector) { e.Resigned(start, "b") },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newElector("a", members[:3]...)
			e.Won(start, 7)
			e.MarkUncertain()
			e.RecordHeartbeat(start, "b", reportOf(7))
			is.True(e.Leads(start))
			end(e)
			is.True(!e.Leads(start))
		})
	}
}

// An older stamp would make the follower's reports count for less time, or for another leader.
func TestNewestStampIsSentBack(t *testing.T) {
	is := is.New(t)
	newest := leader.Stamp{Term: 7, SentAt: start.Add(time.Second)}
	e := newElector("a", members...)
	for _, s := range []leader.Stamp{newest, {Term: 7, SentAt: start}, {Term: 6, SentAt: start.Add(time.Minute)}} {
		e.RecordHeartbeat(start, "b", leader.Heartbeat{KnownTerm: s.Term, Stamp: &s})
	}
	is.Equal(e.Stamp(start), newest)
}

// Guards against a former leader that leads on in a new era of the store, as followers that know its term are heard.
func TestFormerLeaderHasNoMajority(t *testing.T) {
	is := is.New(t)
	e := newElector("a", members...)
	e.Won(start, 7)
	for _, m := range members[1:] {
		e.RecordHeartbeat(start, m, leader.Heartbeat{KnownTerm: 7, Stamp: &leader.Stamp{}})
	}
	is.True(e.HasMajority(start))
	e.LearnTerm(start, 8)
	is.True(!e.HasMajority(start))
}

// Guards against a leader that leads on by a lease which the store lost when it came back from an older copy.
func TestLeaderOfEarlierEraCampaignsAgain(t *testing.T) {
	is := is.New(t)
	e := newElector("a", members...)
	e.Won(start, 7)
	e.EraEnded(start)
	is.True(!e.Leads(start))
	is.True(e.ShouldCampaign(start, len(members)))
}

// Guards against a leader that takes the reports of half of the VMs as proof that the other half doesn't follow a later one.
func TestHalfOfTheReportsConfirmsNothing(t *testing.T) {
	is := is.New(t)
	e := newElector("a", members[:4]...)
	e.Won(start, 7)
	sent, now := start.Add(time.Second), start.Add(1100*time.Millisecond)
	report := reportOf(7)
	report.Stamp.SentAt = sent
	e.RecordHeartbeat(now, "b", report)
	is.Equal(e.ConfirmedAt(now), start)
	e.RecordHeartbeat(now, "c", report)
	is.Equal(e.ConfirmedAt(now), sent)
}
