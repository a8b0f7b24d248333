package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/settings"
)

// fixedClock is a clock that stands still.
type fixedClock struct {
	clock.System
	now clock.Instant
}

func (c *fixedClock) Boot() clock.Instant { return c.now }

// A registration is removed only after a long silence of its VM, and not while the VM may be just starting.
func TestLostPeers(t *testing.T) {
	const start = clock.Instant(time.Hour)
	tests := map[string]struct {
		// leadsFor is how long this VM leads, and heardAgo how long ago the other VM was last heard of; 0 means never.
		leadsFor, heardAgo time.Duration
		before             map[id.VM]bool
		silent, lost       int
	}{
		"a new leader has heard of nobody":        {leadsFor: time.Minute},
		"heard of a moment ago":                   {leadsFor: time.Hour, heardAgo: time.Second},
		"silent for some seconds":                 {leadsFor: time.Hour, heardAgo: 20 * time.Second},
		"just registered":                         {leadsFor: time.Hour, silent: 1},
		"silent for long":                         {leadsFor: time.Hour, heardAgo: 3 * time.Minute, before: map[id.VM]bool{"b": true}, silent: 1, lost: 1},
		"silent at the check before, heard since": {leadsFor: time.Hour, heardAgo: time.Second, before: map[id.VM]bool{"b": true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &fixedClock{now: start.Add(test.leadsFor)}
			e := &Edge{clock: c, settings: settings.Edge{VM: "a"}, elector: leader.NewElector("a", start)}
			e.elector.Won(start, 7)
			if test.heardAgo > 0 {
				e.elector.RecordHeartbeat(c.now.Add(-test.heardAgo), "b", leader.Heartbeat{})
			}
			lost, silent := e.lostPeers(&fleet.Snapshot{Peers: map[id.VM]fleet.Peer{"a": {}, "b": {}}}, test.before)
			is.Equal(len(silent), test.silent)
			is.Equal(len(lost), test.lost)
		})
	}
}
