package leader_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

const start = clock.Instant(time.Hour)

var members = []id.VM{"a", "b", "c", "d", "e"}

func TestLeads(t *testing.T) {
	tests := map[string]struct {
		prepare func(e *leader.Elector)
		after   time.Duration
		want    bool
	}{
		"nothing was won": {prepare: func(*leader.Elector) {}},
		"within the lease": {
			prepare: func(e *leader.Elector) { e.Won(start, 7) }, after: leader.LeaseTTL - 1, want: true,
		},
		"after the lease": {
			prepare: func(e *leader.Elector) { e.Won(start, 7) }, after: leader.LeaseTTL,
		},
		"a renewal counts from its sending": {
			prepare: func(e *leader.Elector) { e.Won(start, 7); e.Renewed(start.Add(time.Second)) }, after: leader.LeaseTTL + time.Second - 1, want: true,
		},
		"most VMs don't reach the store": {
			prepare: func(e *leader.Elector) {
				e.Won(start, 7)
				for _, m := range members[1:3] {
					e.RecordHeartbeat(start.Add(4*time.Second), m, false, 0, true)
				}
			}, after: 4500 * time.Millisecond, want: true,
		},
		"too few VMs say that the store is away": {
			prepare: func(e *leader.Elector) {
				e.Won(start, 7)
				e.RecordHeartbeat(start.Add(4*time.Second), "b", false, 0, true)
				e.RecordHeartbeat(start.Add(4*time.Second), "c", false, 0, false)
			}, after: 4500 * time.Millisecond,
		},
		"what was said of the store is old": {
			prepare: func(e *leader.Elector) {
				e.Won(start, 7)
				for _, m := range members[1:] {
					e.RecordHeartbeat(start.Add(2*time.Second), m, false, 0, true)
				}
			}, after: 4 * time.Second,
		},
		"the lease may have ended unseen": {
			prepare: func(e *leader.Elector) { e.Won(start, 7); e.MarkUncertain() }, after: time.Millisecond,
		},
		"a renewal doesn't show that the lease goes on": {
			prepare: func(e *leader.Elector) { e.Won(start, 7); e.MarkUncertain(); e.Renewed(start.Add(time.Second)) }, after: 1100 * time.Millisecond,
		},
		"the lease may have ended unseen, but nobody reaches the store": {
			prepare: func(e *leader.Elector) {
				e.Won(start, 7)
				e.MarkUncertain()
				for _, m := range members[1:3] {
					e.RecordHeartbeat(start.Add(4*time.Second), m, false, 0, true)
				}
			}, after: 4500 * time.Millisecond, want: true,
		},
		"another VM leads a later term": {
			prepare: func(e *leader.Elector) { e.Won(start, 7); e.RecordHeartbeat(start, "b", true, 8, false) }, after: time.Millisecond,
		},
		"another VM leads an older term": {
			prepare: func(e *leader.Elector) { e.Won(start, 7); e.RecordHeartbeat(start, "b", true, 6, false) }, after: time.Millisecond, want: true,
		},
		"the lease has ended": {
			prepare: func(e *leader.Elector) { e.Won(start, 7); e.LeaseEnded(start) }, after: time.Millisecond,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := leader.NewElector("a", start)
			test.prepare(e)
			is.Equal(e.Leads(start.Add(test.after), members), test.want)
		})
	}
}

func TestCampaigns(t *testing.T) {
	tests := map[string]struct {
		prepare func(e *leader.Elector)
		after   time.Duration
		rank    int
		want    bool
	}{
		"a leader may still be heard":       {prepare: func(*leader.Elector) {}, after: leader.LeaderTimeout - 1},
		"nobody is heard":                   {prepare: func(*leader.Elector) {}, after: leader.LeaderTimeout, want: true},
		"others come first":                 {prepare: func(*leader.Elector) {}, after: leader.LeaderTimeout, rank: 2},
		"a leader is heard":                 {prepare: func(e *leader.Elector) { e.RecordHeartbeat(start.Add(time.Second), "b", true, 3, false) }, after: 1500 * time.Millisecond},
		"the leader has fallen silent":      {prepare: func(e *leader.Elector) { e.RecordHeartbeat(start.Add(time.Second), "b", true, 3, false) }, after: 1600 * time.Millisecond, want: true},
		"the leader has resigned":           {prepare: func(e *leader.Elector) { e.RecordHeartbeat(start, "b", true, 3, false); e.Resigned(start, "b") }, after: time.Millisecond, want: true},
		"a VM that doesn't lead is leaving": {prepare: func(e *leader.Elector) { e.RecordHeartbeat(start, "b", true, 3, false); e.Resigned(start, "c") }, after: time.Millisecond},
		"the record could not be written":   {prepare: func(e *leader.Elector) { e.CampaignFailed(start.Add(time.Second)) }, after: time.Second + time.Millisecond},
		"a VM that leads does not campaign": {prepare: func(e *leader.Elector) { e.Won(start, 4) }, after: time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := leader.NewElector("a", start)
			test.prepare(e)
			is.Equal(e.ShouldCampaign(start.Add(test.after), test.rank), test.want)
		})
	}
}
