package forward_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// A lasting entry of another writer at the address of a live server made it count as crashed again at each change of any entry, and its
// requests as what crashes servers.
func TestEntryAtAddressOfLiveServerCountsOnce(t *testing.T) {
	entry := func(name id.Server, born fleet.StartTime, address string) fleet.Server {
		return fleet.Server{Incarnation: fleet.Incarnation{Server: name, Born: born}, Service: service, Address: address, Version: "v1", Slots: 4}
	}
	live, odd, other := entry("live", 5, "10.0.0.1:80"), entry("odd", 9, "10.0.0.1:80"), entry("other", 5, "10.0.0.2:80")
	const request poison.Fingerprint = 7
	tests := map[string]struct {
		// changes are the entries after each change; before the first one there is only the live server.
		changes [][]fleet.Server
		suspect bool
	}{
		"a later entry at its address":             {changes: [][]fleet.Server{{live, odd}}, suspect: true},
		"an earlier entry at its address":          {changes: [][]fleet.Server{{live, entry("odd", 4, "10.0.0.1:80")}}},
		"another change while it lasts":            {changes: [][]fleet.Server{{live, odd}, {live, odd, other}}},
		"it drains":                                {changes: [][]fleet.Server{{live, odd}, {live, {Incarnation: odd.Incarnation, Service: service, Address: odd.Address, Version: "v1", Slots: 4, Draining: true}}}},
		"it is removed":                            {changes: [][]fleet.Server{{live, odd}, {live}}},
		"a still later one":                        {changes: [][]fleet.Server{{live, odd}, {live, odd, entry("odd2", 11, "10.0.0.1:80")}}},
		"the live server restarts while it lasts":  {changes: [][]fleet.Server{{live, odd}, {entry("live", 12, "10.0.0.3:80"), odd}}, suspect: true},
		"the live server is removed while it does": {changes: [][]fleet.Server{{live, odd}, {odd}}, suspect: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c, ledger := clock.System{}, poison.NewLedger()
				f := forward.NewForwarder(dispatch.NewDispatcher("vm1", "east"), forward.WithCrashes(ledger))
				old := snapshotOf(live)
				for i, servers := range test.changes {
					ledger.Begin(c.Boot(), live.Incarnation, request)
					next := snapshotOf(servers...)
					f.FollowServers(old, next)
					old = next
					if i < len(test.changes)-1 {
						// The live server answers on.
						time.Sleep(time.Second)
						ledger.Answered(c.Boot(), live.Incarnation, "v1", request, c.Boot(), true)
						is.True(!ledger.IsSuspect(request))
						time.Sleep(time.Second)
					}
				}
				is.Equal(ledger.IsSuspect(request), test.suspect)
			})
		})
	}
}

// snapshotOf returns a snapshot with the given entries.
func snapshotOf(servers ...fleet.Server) *fleet.Snapshot {
	s := &fleet.Snapshot{Servers: map[id.Server]fleet.Server{}}
	for _, server := range servers {
		s.Servers[server.Server] = server
	}
	return s
}
