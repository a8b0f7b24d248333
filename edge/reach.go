package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorylug/hickorylug/coordination/reach"
	"github.com/hickorylug/hickorylug/state/fleet"
)

// reachTick is the time between two checks of whether backend servers have to be probed.
const reachTick = 50 * time.Millisecond

// watchReach probes backend servers when this VM may be cut off from all of them, until the context ends.
func (e *Edge) watchReach(ctx context.Context) error {
	for {
		if e.reach.NeedsProbe() {
			e.probeServers(ctx)
		}
		select {
		case <-e.clock.After(reachTick):
		case <-ctx.Done():
			return nil
		}
	}
}

// probeServers probes some backend servers and records whether this VM is cut off.
func (e *Edge) probeServers(ctx context.Context) {
	s := e.snapshot.Load()
	var usable []fleet.Server
	for _, server := range s.Servers {
		if s.Usable(server) {
			usable = append(usable, server)
		}
	}
	sample := reach.Sample(usable, reach.ProbeCount, rand.IntN)
	reached := e.countReachable(ctx, sample)
	if ctx.Err() != nil || !e.reach.RecordProbes(reached, len(sample)) {
		return
	}
	// What the failures of this VM's links said of backend servers no longer counts, and connections from before may hang.
	e.backends.CloseAllIdle()
	e.dispatcher.ForgetFailures()
	if e.reach.IsCutOff() {
		e.log.Warn("this VM reaches no backend server", "probed", len(sample))
		return
	}
	e.log.Info("this VM reaches backend servers again", "probed", len(sample), "reached", reached)
}

// countReachable returns how many backend servers accept a connection.
func (e *Edge) countReachable(ctx context.Context, servers []fleet.Server) int {
	ctx, cancel := context.WithTimeout(ctx, reach.ProbeTimeout)
	defer cancel()
	var reached atomic.Int64
	var probes sync.WaitGroup
	for _, server := range servers {
		probes.Go(func() {
			defer e.survivePanic()
			if e.backends.Probe(ctx, server.Address, string(server.Server)) == nil {
				reached.Add(1)
			}
		})
	}
	probes.Wait()
	return int(reached.Load())
}
