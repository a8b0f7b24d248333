package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/gossip"
)

// The leader of a large fleet gets few answers of any one owner of keys. It must still give slow ones fewer keys, by what all VMs
// report, and must not follow the noise of a machine.
func TestCapacitiesFromAllVMs(t *testing.T) {
	is := is.New(t)
	servers := map[id.Server]fleet.Server{}
	for _, n := range []id.Server{"slow", "usual", "noisy", "unheard"} {
		servers[n] = fleet.Server{Incarnation: fleet.Incarnation{Server: n, Born: 1}, Service: "plans", Domain: "east", Slots: 4}
	}
	s := &fleet.Snapshot{Servers: servers, ByService: fleet.ByService(servers)}
	c := clock.System{}
	e := &Edge{clock: c, dispatcher: dispatch.NewDispatcher("a", "east")}
	e.snapshot.Store(s)
	e.dispatcher.Update(s)
	k := newKeyManager(e)
	for n := range 200 {
		noisy := 100
		if n%5 == 0 {
			noisy = 300
		}
		k.addPaces([]gossip.Pace{{Server: "slow", Slowdown: 200}, {Server: "usual", Slowdown: 100}, {Server: "noisy", Slowdown: noisy}, {Server: "unknown", Slowdown: 100}, {Server: "usual", Slowdown: -5}})
	}
	capacities := map[id.Server]float64{}
	for _, candidate := range k.candidates(clock.Instant(time.Hour), s, "plans") {
		capacities[candidate.Incarnation.Server] = candidate.Capacity
	}
	is.Equal(len(k.paces), 3)
	is.True(capacities["usual"] > 1.9*capacities["slow"])
	is.True(capacities["noisy"] > 0.6*capacities["usual"] && capacities["noisy"] < 0.85*capacities["usual"])
	is.True(capacities["unheard"] == capacities["usual"])
}
