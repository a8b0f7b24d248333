package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/settings"
)

// A leader that is cut off from the store with most VMs leads on, and the others hear it; they must follow the store themselves.
func TestWatches(t *testing.T) {
	tests := map[string]struct {
		leads, heard bool
		// leaderAge is the age of the leader's news, and ownAge that of this VM's own look.
		leaderAge, ownAge time.Duration
		want              bool
	}{
		"the leader has news":                     {heard: true, ownAge: time.Minute},
		"the leader is cut off from the store":    {heard: true, leaderAge: 2 * doubtAfter, want: true},
		"no leader is heard":                      {want: true},
		"this VM leads":                           {leads: true, want: true},
		"the leader's news are as old as it goes": {heard: true, leaderAge: doubtAfter / 2, ownAge: time.Minute},
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
			if test.heard {
				e.elector.RecordHeartbeat(now, "b", true, 5, false)
			}
			e.leaderNews, e.storeAt = now.Add(-test.leaderAge), now.Add(-test.ownAge)
			is.Equal(e.watches(), test.want)
		})
	}
}
