package edge

import (
	"log/slog"
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/ratelimit"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/gossip"
)

// A VM that hears late of a limit must not take it for that of a newer process, nor be stopped by a malformed message.
func TestRequestLimitsFromOtherVMs(t *testing.T) {
	tests := map[string]struct {
		limits []gossip.RequestLimit
		want   map[id.Server]ratelimit.Rate
	}{
		"a limit":                       {limits: []gossip.RequestLimit{{Server: "s", Born: 2, Rate: 7}}, want: map[id.Server]ratelimit.Rate{"s": 7}},
		"its end":                       {limits: []gossip.RequestLimit{{Server: "s", Born: 2, Rate: 7, Age: 500}, {Server: "s", Born: 2, Age: 100}}, want: map[id.Server]ratelimit.Rate{}},
		"an older observation":          {limits: []gossip.RequestLimit{{Server: "s", Born: 2, Rate: 7, Age: 100}, {Server: "s", Born: 2, Age: 500}}, want: map[id.Server]ratelimit.Rate{"s": 7}},
		"an observation that is no use": {limits: []gossip.RequestLimit{{Server: "s", Born: 2, Rate: 7, Age: 11000}}, want: map[id.Server]ratelimit.Rate{}},
		"an earlier process":            {limits: []gossip.RequestLimit{{Server: "s", Born: 1, Rate: 7}}, want: map[id.Server]ratelimit.Rate{}},
		"an unknown backend server":     {limits: []gossip.RequestLimit{{Server: "x", Born: 2, Rate: 7}}, want: map[id.Server]ratelimit.Rate{}},
		"no number":                     {limits: []gossip.RequestLimit{{Server: "s", Born: 2, Rate: math.NaN()}}, want: map[id.Server]ratelimit.Rate{}},
		"an endless number":             {limits: []gossip.RequestLimit{{Server: "s", Born: 2, Rate: math.Inf(1)}}, want: map[id.Server]ratelimit.Rate{}},
		"an age below zero":             {limits: []gossip.RequestLimit{{Server: "s", Born: 2, Rate: 7, Age: -1}}, want: map[id.Server]ratelimit.Rate{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			servers := map[id.Server]fleet.Server{"s": {Incarnation: fleet.Incarnation{Server: "s", Born: 2}, Service: "plans", Domain: "east", Slots: 4}}
			e := &Edge{clock: clock.System{}, dispatcher: dispatch.NewDispatcher("a", "east"), mirror: fleet.NewMirror(platform.Decode), log: slog.New(slog.DiscardHandler)}
			e.dispatcher.Update(&fleet.Snapshot{Servers: servers, ByService: fleet.ByService(servers)})
			e.applyRequestLimits(test.limits)
			is.Equal(e.dispatcher.RequestLimits(), test.want)
		})
	}
}
