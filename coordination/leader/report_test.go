package leader_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// A leader without its lease must count a report by when it sent the heartbeat that the report answers, and no VM that knows a later term.
func TestReports(t *testing.T) {
	const term = 7
	sentAt := start.Add(4 * time.Second)
	answer := func(h leader.Heartbeat, stampTerm id.Revision) leader.Heartbeat {
		h.Stamp = &leader.Stamp{Term: stampTerm, SentAt: sentAt}
		return h
	}
	tests := map[string]struct {
		report leader.Heartbeat
		// readAfter is how long after its heartbeat the leader reads the reports, and after when it is asked whether it leads.
		readAfter, after time.Duration
		want             bool
	}{
		"in time": {report: answer(leader.Heartbeat{StoreUnreachable: true, KnownTerm: term}, term), after: leader.ReportTTL - 1, want: true},
		"read in time, too old since": {
			report: answer(leader.Heartbeat{StoreUnreachable: true, KnownTerm: term}, term), readAfter: leader.ReportTTL - 1, after: leader.ReportTTL,
		},
		"read too late": {
			report: answer(leader.Heartbeat{StoreUnreachable: true, KnownTerm: term}, term), readAfter: leader.ReportTTL, after: leader.ReportTTL,
		},
		"the store answers the VM":                 {report: answer(leader.Heartbeat{KnownTerm: term}, term)},
		"answers the heartbeat of a former leader": {report: answer(leader.Heartbeat{StoreUnreachable: true, KnownTerm: term}, term-1)},
		"knows a later term":                       {report: answer(leader.Heartbeat{StoreUnreachable: true, KnownTerm: term + 1}, term)},
		"answers no heartbeat":                     {report: leader.Heartbeat{StoreUnreachable: true, Stamp: &leader.Stamp{}}},
		"of an earlier build":                      {report: leader.Heartbeat{StoreUnreachable: true}, readAfter: time.Second, after: time.Second + 699*time.Millisecond, want: true},
		"of an earlier build, too old":             {report: leader.Heartbeat{StoreUnreachable: true}, after: 700 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newElector("a", members...)
			e.Won(start, term)
			for _, m := range members[1:3] {
				e.RecordHeartbeat(sentAt.Add(test.readAfter), m, test.report)
			}
			is.Equal(e.Leads(sentAt.Add(test.after)), test.want)
		})
	}
}

// A leadership that was interrupted resumes, unless a later leader was elected.
func TestLaterTermEndsLeadership(t *testing.T) {
	tests := map[string]func(e *leader.Elector, now clock.Instant){
		"a follower knows it": func(e *leader.Elector, now clock.Instant) {
			e.RecordHeartbeat(now, "c", leader.Heartbeat{KnownTerm: 8, Stamp: &leader.Stamp{}})
		},
		"a follower answers it": func(e *leader.Elector, now clock.Instant) {
			e.RecordHeartbeat(now, "c", leader.Heartbeat{Stamp: &leader.Stamp{Term: 8}})
		},
		"the later leader claims": func(e *leader.Elector, now clock.Instant) {
			e.RecordHeartbeat(now, "c", leader.Heartbeat{Leading: true, Term: 8})
		},
		"the store has it": func(e *leader.Elector, now clock.Instant) { e.LearnTerm(now, 8) },
	}
	for name, learn := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newElector("a", members...)
			e.Won(start, 7)
			resumes := func(now clock.Instant) bool {
				stamp := leader.Stamp{Term: 7, SentAt: now}
				for _, m := range members[1:3] {
					e.RecordHeartbeat(now, m, leader.Heartbeat{StoreUnreachable: true, KnownTerm: 7, Stamp: &stamp})
				}
				return e.Leads(now)
			}
			interrupted := start.Add(2 * time.Second)
			is.True(!e.Leads(interrupted))
			is.Equal(e.Stamp(interrupted), leader.Stamp{Term: 7, SentAt: interrupted})
			is.True(resumes(interrupted))
			learn(e, interrupted)
			is.True(!e.Leads(interrupted))
			is.True(!resumes(interrupted.Add(time.Second)))
			is.Equal(e.KnownTerm(), id.Revision(8))
			e.Won(interrupted, 7)
			is.True(!e.Leads(interrupted))
		})
	}
}

// Followers of another term must count neither for the majority nor for the time since which a majority follows.
func TestFollowedSince(t *testing.T) {
	follower := leader.Heartbeat{KnownTerm: 7, Stamp: &leader.Stamp{}}
	tests := map[string]struct {
		heartbeats []leader.Heartbeat
		want       time.Duration
		ok         bool
	}{
		"too few":                            {heartbeats: []leader.Heartbeat{follower}},
		"a majority":                         {heartbeats: []leader.Heartbeat{follower, follower}, want: 2 * time.Second, ok: true},
		"all":                                {heartbeats: []leader.Heartbeat{follower, follower, follower, follower}, want: 2 * time.Second, ok: true},
		"one knows an earlier term":          {heartbeats: []leader.Heartbeat{follower, {KnownTerm: 6, Stamp: &leader.Stamp{}}}},
		"one knows none":                     {heartbeats: []leader.Heartbeat{{Stamp: &leader.Stamp{}}, follower, follower}, want: 3 * time.Second, ok: true},
		"earlier builds are taken to follow": {heartbeats: []leader.Heartbeat{{}, follower}, want: 2 * time.Second, ok: true},
		"one knows a later term: leadership ended": {heartbeats: []leader.Heartbeat{follower, follower, {KnownTerm: 8, Stamp: &leader.Stamp{}}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newElector("a", members...)
			for _, m := range members {
				e.RecordHeartbeat(start, m, leader.Heartbeat{KnownTerm: 6, Stamp: &leader.Stamp{}})
			}
			e.Won(start, 7)
			now := start
			for i, h := range test.heartbeats {
				now = start.Add(time.Duration(i+1) * time.Second)
				e.RecordHeartbeat(now, members[i+1], h)
			}
			at, ok := e.FollowedSince(listOf(members...))
			is.Equal(ok, test.ok)
			if ok {
				is.Equal(at, start.Add(test.want))
				// It stays the same when registrations come and followers are lost.
				at, ok = e.FollowedSince(listOf(append([]id.VM{"f", "g", "h"}, members...)...))
				is.True(ok)
				is.Equal(at, start.Add(test.want))
				is.True(!e.HasMajority(now.Add(time.Minute)))
			}
			is.Equal(e.HasMajority(now), ok)
		})
	}
}

// A leader must not wait for VMs that are gone if no former leader can count more than half of the VMs without its followers.
func TestFollowedByHalf(t *testing.T) {
	tests := map[string]struct {
		members   []id.VM
		followers int
		ok        bool
	}{
		"one VM":               {members: []id.VM{"a"}, ok: true},
		"one of two":           {members: []id.VM{"a", "b"}, ok: true},
		"one of three":         {members: []id.VM{"a", "b", "c"}},
		"two of three":         {members: []id.VM{"a", "b", "c"}, followers: 1, ok: true},
		"two of four":          {members: []id.VM{"a", "b", "c", "d"}, followers: 1, ok: true},
		"two of five":          {members: []id.VM{"a", "b", "c", "d", "e"}, followers: 1},
		"a half and one of it": {members: []id.VM{"a", "b", "c", "d"}, followers: 2, ok: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newElector("a", test.members...)
			for _, m := range test.members {
				e.RecordHeartbeat(start, m, leader.Heartbeat{KnownTerm: 6, Stamp: &leader.Stamp{}})
			}
			e.Won(start, 7)
			for _, m := range test.members[1 : 1+test.followers] {
				e.RecordHeartbeat(start, m, leader.Heartbeat{KnownTerm: 7, Stamp: &leader.Stamp{}})
			}
			_, ok := e.FollowedSince(listOf(test.members...))
			is.Equal(ok, test.ok)
		})
	}
}

// The later of the two reasons for which a former leader may act counts.
func TestFormerLeaderUntil(t *testing.T) {
	is := is.New(t)
	is.Equal(leader.FormerLeaderUntil(start, start.Add(-time.Second)), start.Add(max(leader.LeaseTTL, leader.ReportTTL)))
	is.Equal(leader.FormerLeaderUntil(start, start.Add(time.Second)), start.Add(time.Second+leader.ReportTTL))
}
