package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/settings"
)

// A leader that is partitioned from the store along with the majority of the VMs continues to lead and send heartbeats; the other VMs must watch the store themselves.
func TestMustWatchStore(t *testing.T) {
	tests := map[string]struct {
		leads, hasLeader bool
		// leaderAge is the store staleness of the leader, and ownAge that of this VM.
		leaderAge, ownAge time.Duration
		want              bool
	}{
		"the leader is in sync":            {hasLeader: true, ownAge: time.Minute},
		"the leader can't reach the store": {hasLeader: true, leaderAge: 2 * maxLeaderStaleness, want: true},
		"no leader":                        {want: true},
		"this VM leads":                    {leads: true, want: true},
		"the leader is slightly stale":     {hasLeader: true, leaderAge: maxLeaderStaleness / 2, ownAge: time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := clock.System{}
			now := c.Boot()
			e := &Edge{clock: c, settings: settings.Edge{VM: "a"}, elector: leader.NewElector("a", now)}
			if test.leads {
				e.elector.Won(now, 5)
			}
			if test.hasLeader {
				e.elector.RecordHeartbeat(now, "b", leader.Heartbeat{Leading: true, Term: 5})
			}
			e.leaderSyncedAt, e.storeSyncedAt = now.Add(-test.leaderAge), now.Add(-test.ownAge)
			is.Equal(e.mustWatchStore(), test.want)
		})
	}
}
