package edge

import (
	"log/slog"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/gossip"
)

// Limits of requests come from the present leader only, and a message without them leaves the last ones in force.
func TestLimitsFromTheLeader(t *testing.T) {
	limit := []gossip.Admission{{Service: "plans", From: 5, To: 5, Fence: 1, PerMille: 10}}
	message := func(from id.VM, term id.Revision, list []gossip.Admission, has bool) gossip.Message {
		return gossip.Message{From: from, Heartbeat: &gossip.Heartbeat{Leading: true, Term: term, Admissions: list, HasAdmissions: has}}
	}
	tests := map[string]struct {
		messages []gossip.Message
		want     int
	}{
		"the leader's limits":              {messages: []gossip.Message{message("b", 5, limit, true)}, want: 1},
		"a message without limits":         {messages: []gossip.Message{message("b", 5, limit, true), message("b", 5, nil, false)}, want: 1},
		"the limits end":                   {messages: []gossip.Message{message("b", 5, limit, true), message("b", 5, nil, true)}},
		"a former leader sends its limits": {messages: []gossip.Message{message("b", 6, nil, true), message("c", 5, limit, true)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := clock.System{}
			e := &Edge{clock: c, elector: leader.NewElector("a", c.Boot()), dispatcher: dispatch.NewDispatcher("a", "east"), mirror: fleet.NewMirror(platform.Decode)}
			e.log = slog.New(slog.DiscardHandler)
			e.snapshot.Store(e.mirror.Snapshot())
			for _, m := range test.messages {
				e.handleHeartbeat(m)
			}
			is.Equal(len(e.dispatcher.Admissions()["plans"]), test.want)
			if test.want > 0 {
				is.Equal(e.dispatcher.Admissions()["plans"][0], ownership.Admission{From: 5, To: 5, Fence: 1, Share: 0.01})
			}
		})
	}
}
