package group

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/state/id"
)

// Times of the detection of lost servers.
const (
	// suspectAfter is the shortest time without an answer after which a server is probed.
	suspectAfter = 100 * time.Millisecond
	// suspectFactor is the ratio to the usual latency after which a server is probed.
	suspectFactor = 8
	// probeTimeout bounds one probe.
	probeTimeout = 150 * time.Millisecond
	// probesToLose is the number of failed probes in a row after which a server is lost.
	probesToLose = 2
	// lostProbePeriod is the time between two probes of a lost server.
	lostProbePeriod = 500 * time.Millisecond
)

// watch probes the server if the request in flight isn't answered in the usual time.
//
// The returned function ends the watch.
func (g *Group) watch(s *server) (stop func()) {
	g.mu.Lock()
	patience := max(suspectAfter, suspectFactor*s.ramp.SmoothedLatency())
	g.mu.Unlock()
	return g.options.Clock.AfterFunc(patience, func() { g.suspect(s) })
}

func (g *Group) suspect(s *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspectLocked(s)
}

// suspectLocked starts probes of a server, during which it gets no new request.
func (g *Group) suspectLocked(s *server) {
	if s.probing || s.condition == lost || g.running == nil {
		return
	}
	if s.condition == up {
		s.condition = suspected
	}
	g.probe(s, probesToLose)
}

// probe asks a server whether it is up, a number of times until it answers.
func (g *Group) probe(s *server, times int) {
	s.probing = true
	path := g.directory.View().Site.Services[g.service].ProbePath
	g.tasks.Go(g.running, func(ctx context.Context) {
		var boot id.Incarnation
		var err error
		for range times {
			if boot, err = g.ask(ctx, s, path); err == nil || ctx.Err() != nil {
				break
			}
		}
		g.probed(s, boot, err)
	})
}

// ask sends one probe.
func (g *Group) ask(ctx context.Context, s *server, path string) (boot id.Incarnation, err error) {
	g.mu.Lock()
	target := s.config
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return g.link.Probe(ctx, target, path)
}

// ErrDraining is returned by Link.Probe where the backend server says that it is leaving.
var ErrDraining = errors.New("the backend server is draining")

// probed takes the result of a probe.
func (g *Group) probed(s *server, boot id.Incarnation, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.probing = false
	now := g.options.Clock.Boot()
	switch {
	case err == nil:
		s.lastHeard = now
		s.sawBoot(boot)
		if s.condition == lost {
			g.options.Log.Info("backend server is back", "group", g.name, "server", s.name)
			s.ramp.Reset()
			s.grant.acked = false
		}
		s.condition = up
		g.dispatchWaiting()
		g.poke()
	case errors.Is(err, ErrDraining):
		s.lastHeard = now
		g.turn(s, leaving)
	default:
		s.lastHeard = now
		g.turn(s, lost)
	}
}

// turn makes a server one that gets no new work.
func (g *Group) turn(s *server, c condition) {
	if s.condition == c {
		return
	}
	g.options.Log.Info("backend server gets no new work", "group", g.name, "server", s.name, "lost", c == lost)
	s.condition = c
	if c == lost {
		for f := range s.flights {
			if f.request.Idempotent {
				f.cancel(errServerLost)
			}
		}
	}
	g.sweep(s)
	g.sweepShared()
	g.dispatchWaiting()
	g.options.OnServerLost(s.name)
	g.settledLocked()
}

// died confirms that a server whose connection broke has stopped or was started anew.
func (g *Group) died(ctx context.Context, s *server) bool {
	g.mu.Lock()
	before := s.boot
	path := g.directory.View().Site.Services[g.service].ProbePath
	g.mu.Unlock()
	boot, err := g.ask(context.WithoutCancel(ctx), s, path)
	if err != nil {
		return !errors.Is(err, ErrDraining)
	}
	return before != "" && boot != "" && boot != before
}

// maintain keeps grants in force and looks after servers that nobody has heard of.
func (g *Group) maintain(ctx context.Context) {
	view := g.directory.View()
	service := view.Site.Services[g.service]
	t := view.Tables[g.service]
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running = ctx
	now := g.options.Clock.Boot()
	for _, s := range g.servers {
		if s.removed {
			continue
		}
		if service.Keyed && t != nil && (!s.out || s.grant.acked) {
			g.syncGrant(ctx, s, t, service.Fenced)
		}
		quiet := now.Sub(s.lastHeard)
		if !s.probing && s.condition != suspected && (s.condition != up && quiet >= lostProbePeriod || quiet >= service.ProbePeriod.Std()) {
			g.probe(s, probesToLose)
		}
	}
}
