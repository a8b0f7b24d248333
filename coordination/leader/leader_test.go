package leader_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

const start = clock.Instant(time.Hour)

var members = []id.VM{"a", "b", "c", "d", "e"}

// listOf returns a list of VMs in one failure domain.
func listOf(vms ...id.VM) map[id.VM]id.Domain {
	list := map[id.VM]id.Domain{}
	for _, vm := range vms {
		list[vm] = "east"
	}
	return list
}

// newElector returns the elector of a VM that knows the voters in the store.
func newElector(vm id.VM, voters ...id.VM) *leader.Elector {
	e := leader.NewElector(vm, start)
	e.RecordVoters(start, fleet.Voters{VotersID: fleet.VotersID{Term: 1, Number: 1}, Members: listOf(voters...)})
	return e
}

func TestLeads(t *testing.T) {
	tests := map[string]struct {
		prepare func(e *leader.Elector)
		after   time.Duration
		want    bool
	}{
		"no election won": {prepare: func(*leader.Elector) {}},
		"within the lease": {
			prepare: func(e *leader.Elector) { e.Won(start, 7) }, after: leader.LeaseTTL - 1, want: true,
		},
		"after the lease": {
			prepare: func(e *leader.Elector) { e.Won(start, 7) }, after: leader.LeaseTTL,
		},
		"renewal counts from the time it was sent": {
			prepare: func(e *leader.Elector) { e.Won(start, 7); e.Renewed(start.Add(time.Second)) }, after: leader.LeaseTTL + time.Second - 1, want: true,
		},
		"store unreachable for most VMs": {
			prepare: func(e *leader.Elector) {
				e.Won(start, 7)
				for _, m := range members[1:3] {
					e.RecordHeartbeat(start.Add(4*time.Second), m, leader.Heartbeat{StoreUnreachable: true})
				}
			}, after: 4500 * time.Millisecond, want: true,
		},
		"store unreachable for too few VMs": {
			prepare: func(e *leader.Elector) {
				e.Won(start, 7)
				e.RecordHeartbeat(start.Add(4*time.Second), "b", leader.Heartbeat{StoreUnreachable: true})
				e.RecordHeartbeat(start.Add(4*time.Second), "c", leader.Heartbeat{})
			}, after: 4500 * time.Millisecond,
		},
		"reports of the unreachable store are too old": {
			prepare: func(e *leader.Elector) {
				e.Won(start, 7)
				for _, m := range members[1:] {
					e.RecordHeartbeat(start.Add(2*time.Second), m, leader.Heartbeat{StoreUnreachable: true})
				}
			}, after: 4 * time.Second,
		},
		"lease uncertain": {
			prepare: func(e *leader.Elector) { e.Won(start, 7); e.MarkUncertain() }, after: time.Millisecond,
		},
		"lease uncertain after a renewal": {
			prepare: func(e *leader.Elector) { e.Won(start, 7); e.MarkUncertain(); e.Renewed(start.Add(time.Second)) }, after: 1100 * time.Millisecond,
		},
		"lease uncertain, but store unreachable for most VMs": {
			prepare: func(e *leader.Elector) {
				e.Won(start, 7)
				e.MarkUncertain()
				for _, m := range members[1:3] {
					e.RecordHeartbeat(start.Add(4*time.Second), m, leader.Heartbeat{StoreUnreachable: true})
				}
			}, after: 4500 * time.Millisecond, want: true,
		},
		"another VM leads a later term": {
			prepare: func(e *leader.Elector) {
				e.Won(start, 7)
				e.RecordHeartbeat(start, "b", leader.Heartbeat{Leading: true, Term: 8})
			}, after: time.Millisecond,
		},
		"another VM leads an older term": {
			prepare: func(e *leader.Elector) {
				e.Won(start, 7)
				e.RecordHeartbeat(start, "b", leader.Heartbeat{Leading: true, Term: 6})
			}, after: time.Millisecond, want: true,
		},
		"lease ended": {
			prepare: func(e *leader.Elector) { e.Won(start, 7); e.LeaseEnded(start) }, after: time.Millisecond,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newElector("a", members...)
			test.prepare(e)
			is.Equal(e.Leads(start.Add(test.after)), test.want)
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
		"a heartbeat of a leader may still come":    {prepare: func(*leader.Elector) {}, after: leader.LeaderTimeout - 1},
		"no heartbeat of a leader":                  {prepare: func(*leader.Elector) {}, after: leader.LeaderTimeout, want: true},
		"candidates of a lower rank campaign first": {prepare: func(*leader.Elector) {}, after: leader.LeaderTimeout, rank: 2},
		"fresh heartbeat of a leader": {prepare: func(e *leader.Elector) {
			e.RecordHeartbeat(start.Add(time.Second), "b", leader.Heartbeat{Leading: true, Term: 3})
		}, after: 1500 * time.Millisecond},
		"leader timeout": {prepare: func(e *leader.Elector) {
			e.RecordHeartbeat(start.Add(time.Second), "b", leader.Heartbeat{Leading: true, Term: 3})
		}, after: 1600 * time.Millisecond, want: true},
		"leader resigned": {prepare: func(e *leader.Elector) {
			e.RecordHeartbeat(start, "b", leader.Heartbeat{Leading: true, Term: 3})
			e.Resigned(start, "b")
		}, after: time.Millisecond, want: true},
		"another VM than the leader leaves": {prepare: func(e *leader.Elector) {
			e.RecordHeartbeat(start, "b", leader.Heartbeat{Leading: true, Term: 3})
			e.Resigned(start, "c")
		}, after: time.Millisecond},
		"campaign failed":          {prepare: func(e *leader.Elector) { e.CampaignFailed(start.Add(time.Second)) }, after: time.Second + time.Millisecond},
		"leader does not campaign": {prepare: func(e *leader.Elector) { e.Won(start, 4) }, after: time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newElector("a", members...)
			test.prepare(e)
			is.Equal(e.ShouldCampaign(start.Add(test.after), test.rank), test.want)
		})
	}
}

// A new leader has heard of nobody yet and must not take the others for lost.
func TestSilentFor(t *testing.T) {
	is := is.New(t)
	start := clock.Instant(time.Hour)
	e := newElector("a", members...)
	is.Equal(e.SilentFor(start.Add(time.Minute), "b"), time.Minute)
	e.RecordHeartbeat(start.Add(time.Minute), "b", leader.Heartbeat{})
	won := start.Add(2 * time.Minute)
	e.Won(won, 7)
	is.Equal(e.SilentFor(won, "b"), time.Duration(0))
	e.RecordHeartbeat(won.Add(time.Second), "b", leader.Heartbeat{})
	is.Equal(e.SilentFor(won.Add(time.Minute), "b"), 59*time.Second)
	is.Equal(e.SilentFor(won.Add(time.Minute), "c"), time.Minute)
}

const (
	// formerAllowance is how long after its election a leader allows for a former one.
	formerAllowance = 1500 * time.Millisecond
	// reportPeriod is the time between two heartbeats of a follower.
	reportPeriod = 400 * time.Millisecond
)

// heartbeat returns what an elector's VM sends now.
func heartbeat(e *leader.Elector, now clock.Instant, storeUnreachable bool) leader.Heartbeat {
	stamp := e.Stamp(now)
	h := leader.Heartbeat{Leading: e.Leads(now), StoreUnreachable: storeUnreachable, KnownTerm: e.KnownTerm(), Stamp: &stamp}
	if h.Leading {
		h.Term = e.Term()
	}
	return h
}

// newFollowers returns followers that have read a heartbeat of the leader "a" that it sent at start.
func newFollowers(former *leader.Elector, vms []id.VM) map[id.VM]*leader.Elector {
	followers := map[id.VM]*leader.Elector{}
	for _, m := range vms {
		followers[m] = newElector(m, members...)
		followers[m].RecordHeartbeat(start, "a", heartbeat(former, start, false))
	}
	return followers
}

// The reports were sent before the second leader was elected, and are read by the former one after it was frozen.
func TestFormerLeaderLeadsByQueuedReports(t *testing.T) {
	is := is.New(t)
	former := newElector("a", members...)
	former.Won(start, 7)
	elected := start.Add(2 * time.Second)
	thawed := elected.Add(formerAllowance + time.Second)
	for m, follower := range newFollowers(former, members[2:]) {
		former.RecordHeartbeat(thawed, m, heartbeat(follower, elected, true))
	}
	is.True(!former.Leads(thawed))
}

// Three VMs hear neither leader and report to all, so that both leaders count them.
func TestTwoLeadersCountTheSameVMs(t *testing.T) {
	is := is.New(t)
	former, next := newElector("a", members...), newElector("b", members...)
	former.Won(start, 7)
	followers := newFollowers(former, members[2:])
	elected := start.Add(2 * time.Second)
	next.Won(elected, 8)
	for now := elected; now < elected.Add(2*formerAllowance); now = now.Add(reportPeriod) {
		for m, follower := range followers {
			former.RecordHeartbeat(now, m, heartbeat(follower, now, true))
			next.RecordHeartbeat(now, m, heartbeat(follower, now, true))
		}
		if now.Sub(elected) > formerAllowance {
			is.True(!former.Leads(now) || !next.HasMajority(now))
		}
	}
}
