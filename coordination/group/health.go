package group

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/state/id"
)

// Constants of the failure detection of backend servers.
const (
	// minSuspectDelay is the minimum time without an answer after which a server is probed.
	minSuspectDelay = 100 * time.Millisecond
	// suspectLatencyFactor is the multiple of the smoothed latency after which a server is probed.
	suspectLatencyFactor = 8
	// probeTimeout bounds one probe.
	probeTimeout = 150 * time.Millisecond
	// failedProbesUntilLost is the number of consecutive failed probes after which a server counts as lost.
	failedProbesUntilLost = 2
	// lostProbePeriod is the time between two probes of a lost or draining server.
	lostProbePeriod = 500 * time.Millisecond
)

// startSuspectTimer probes the server if a request isn't answered within a multiple of the smoothed latency.
//
// The returned function stops the timer.
func (g *Group) startSuspectTimer(s *server) (stop func()) {
	g.mu.Lock()
	delay := max(minSuspectDelay, suspectLatencyFactor*s.limiter.SmoothedLatency())
	g.mu.Unlock()
	return g.options.Clock.AfterFunc(delay, func() { g.suspect(s) })
}

func (g *Group) suspect(s *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspectLocked(s)
}

// suspectLocked starts probing a server; it gets no new requests until a probe is answered.
func (g *Group) suspectLocked(s *server) {
	if s.probing || s.state == lost || g.runCtx == nil {
		return
	}
	if s.state == up {
		s.state = suspected
	}
	g.startProbe(s, failedProbesUntilLost)
}

// startProbe starts a task that probes a server until it answers, at most the given number of times.
func (g *Group) startProbe(s *server, times int) {
	s.probing = true
	path := g.directory.View().Site.Services[g.service].ProbePath
	g.tasks.Go(g.runCtx, func(ctx context.Context) {
		var incarnation id.Incarnation
		var err error
		for range times {
			if incarnation, err = g.probeOnce(ctx, s, path); err == nil || ctx.Err() != nil {
				break
			}
		}
		g.handleProbeResult(s, incarnation, err)
	})
}

// probeOnce sends one probe and returns the incarnation that answered.
func (g *Group) probeOnce(ctx context.Context, s *server, path string) (incarnation id.Incarnation, err error) {
	g.mu.Lock()
	target := s.config
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return g.transport.Probe(ctx, target, path)
}

// ErrDraining is returned by Transport.Probe where the backend server answers that it is draining.
var ErrDraining = errors.New("the backend server is draining")

// handleProbeResult updates the state of a server with the result of its probes.
func (g *Group) handleProbeResult(s *server, incarnation id.Incarnation, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.probing = false
	now := g.options.Clock.Boot()
	switch {
	case err == nil:
		s.lastChecked = now
		s.recordIncarnation(incarnation)
		if s.state == lost {
			g.options.Log.Info("backend server answers again", "group", g.name, "server", s.name)
			s.limiter.Reset()
			s.grant.acked = false
		}
		s.state = up
		g.dispatchQueued()
		g.wakeRun()
	case errors.Is(err, ErrDraining):
		s.lastChecked = now
		g.markUnavailable(s, draining)
	default:
		s.lastChecked = now
		g.markUnavailable(s, lost)
	}
}

// markUnavailable marks a server as draining or lost, so that it gets no new requests.
//
// The idempotent requests in flight at a lost server are cancelled, so that they can be retried elsewhere.
func (g *Group) markUnavailable(s *server, state serverState) {
	if s.state == state {
		return
	}
	g.options.Log.Info("backend server gets no new requests", "group", g.name, "server", s.name, "lost", state == lost)
	s.state = state
	if state == lost {
		for a := range s.attempts {
			if a.request.Idempotent {
				a.cancel(errServerLost)
			}
		}
	}
	g.purgeServerQueue(s)
	g.purgeSharedQueue()
	g.dispatchQueued()
	g.options.OnServerLost(s.name)
	g.notifyStateChangedLocked()
}

// hasCrashed probes a server whose connection broke and reports whether it is down or has restarted.
func (g *Group) hasCrashed(ctx context.Context, s *server) bool {
	g.mu.Lock()
	previous := s.incarnation
	path := g.directory.View().Site.Services[g.service].ProbePath
	g.mu.Unlock()
	incarnation, err := g.probeOnce(context.WithoutCancel(ctx), s, path)
	if err != nil {
		return !errors.Is(err, ErrDraining)
	}
	return previous != "" && incarnation != "" && incarnation != previous
}

// maintain updates the grants of all servers and probes those without a recent answer or probe result.
func (g *Group) maintain(ctx context.Context) {
	view := g.directory.View()
	service := view.Site.Services[g.service]
	t := view.Tables[g.service]
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runCtx = ctx
	now := g.options.Clock.Boot()
	for _, s := range g.servers {
		if s.removed {
			continue
		}
		if service.Keyed && t != nil && (!s.outOfService || s.grant.acked) {
			g.syncGrant(ctx, s, t, service.Fenced)
		}
		sinceCheck := now.Sub(s.lastChecked)
		if !s.probing && s.state != suspected && (s.state != up && sinceCheck >= lostProbePeriod || sinceCheck >= service.ProbePeriod.Std()) {
			g.startProbe(s, failedProbesUntilLost)
		}
	}
}
