package retention_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/retention"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

const start = clock.Instant(time.Hour)

// list returns a snapshot at a position with backend servers of service "s", all of the incarnation 1.
func list(position id.Revision, servers ...fleet.Server) *fleet.Snapshot {
	s := &fleet.Snapshot{Position: position, Servers: map[id.Server]fleet.Server{}, Peers: map[id.VM]fleet.Peer{}, Evacuated: map[id.Domain]bool{}}
	for _, server := range servers {
		server.Born, server.Service = 1, "s"
		s.Servers[server.Server] = server
	}
	s.ByService = fleet.ByService(s.Servers)
	return s
}

func server(revision id.Revision, isDraining bool) fleet.Server {
	return fleet.Server{Incarnation: fleet.Incarnation{Server: "a"}, Revision: revision, Draining: isDraining}
}

func TestBackendServersAcrossEras(t *testing.T) {
	const ready, draining, missing = "ready", "draining", "missing"
	first, second := id.Era(0), id.Era(1)
	tests := map[string]struct {
		snapshots []*fleet.Snapshot
		hold      bool
		want      string
	}{
		"removed during an outage":       {snapshots: []*fleet.Snapshot{list(5, server(4, false)), list(6)}, hold: true, want: ready},
		"removed":                        {snapshots: []*fleet.Snapshot{list(5, server(4, false)), list(6)}, want: missing},
		"removed, registers again":       {snapshots: []*fleet.Snapshot{list(5, server(4, false)), list(6), list(7, server(7, false))}, want: ready},
		"the copy lacks it":              {snapshots: []*fleet.Snapshot{list(5, server(4, false)), list(second.Revision(2))}, hold: true, want: ready},
		"the copy still lists it":        {snapshots: []*fleet.Snapshot{list(5, server(4, false)), list(6), list(second.Revision(5), server(second.Revision(4), false))}, want: missing},
		"listed by the copy, then alive": {snapshots: []*fleet.Snapshot{list(5, server(4, false)), list(6), list(second.Revision(5), server(second.Revision(4), false)), list(second.Revision(6), server(second.Revision(6), false))}, want: ready},
		"the copy lists it as ready":     {snapshots: []*fleet.Snapshot{list(5, server(5, true)), list(second.Revision(4), server(second.Revision(4), false))}, want: draining},
		"drained and left, ready in the copy": {
			snapshots: []*fleet.Snapshot{list(5, server(5, true)), list(6), list(second.Revision(4), server(second.Revision(4), false))}, want: draining,
		},
		"takes its end back in the same era": {snapshots: []*fleet.Snapshot{list(5, server(5, true)), list(first.Revision(6), server(6, false))}, want: ready},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k, current := retention.NewKeeper(), list(0)
			for i, next := range test.snapshots {
				current = k.Keep(start.Add(time.Duration(i)*time.Second), current, next, test.hold)
			}
			got := missing
			if s, ok := current.Servers["a"]; ok && s.Draining {
				got = draining
			} else if ok {
				got = ready
			}
			is.Equal(got, test.want)
			is.Equal(len(current.ByService["s"]), len(current.Servers))
		})
	}
}

// VMs and evacuations that an older copy lacks count until they had the time to be written again.
func TestOthersAcrossEras(t *testing.T) {
	is := is.New(t)
	k, before := retention.NewKeeper(), list(5)
	before.Peers["vm1"], before.Evacuated["east"] = fleet.Peer{VM: "vm1"}, true
	current := k.Keep(start, list(0), before, false)
	current = k.Keep(start, current, list(id.Era(1).Revision(2)), true)
	is.Equal(current.Peers, before.Peers)
	is.Equal(current.Evacuated, before.Evacuated)
	is.True(!k.IsEmpty())
	current = k.Keep(start, current, list(id.Era(1).Revision(2)), false)
	is.Equal(len(current.Peers)+len(current.Evacuated), 0)
	is.True(k.IsEmpty())
}
