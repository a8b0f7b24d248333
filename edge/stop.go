package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/drain"
	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/transport/http1server"
)

// Times of a graceful shutdown.
const (
	// balancerDetectionTime is the time the load balancer needs to stop sending new connections: two missed health checks, one second apart.
	balancerDetectionTime = 3 * time.Second
	// graceMargin is the reserve at the end of the grace time.
	graceMargin     = 400 * time.Millisecond
	drainPollPeriod = 20 * time.Millisecond
	// lastAnswerTime is the part of graceMargin in which requests that are given up are answered.
	lastAnswerTime = graceMargin / 2
	// resignRetryPause is the time between two attempts to revoke the leader's lease at an unreachable store; each call is priced.
	resignRetryPause = 400 * time.Millisecond
)

// accepts reports whether a request may be sent to a backend server, with regard to a planned stop of this VM.
func (e *Edge) accepts(r *forward.Request) bool {
	return e.stop.Load().Accepts(e.clock.Boot(), r.Deadline, r.Objective, r.Route.Idempotent)
}

// mayWait reports whether a request may wait for a backend server, with regard to a planned stop of this VM.
func (e *Edge) mayWait(d dispatch.Demand) bool {
	return e.stop.Load().MayWait(e.clock.Boot(), d.Deadline, d.Objective, d.Idempotent)
}

// drain completes the requests in flight and gives up the leadership, within the grace time.
func (e *Edge) drain(ctx context.Context, callers net.Listener) {
	startedAt := e.clock.Boot()
	grace := e.settings.GraceTime.Std() - graceMargin
	settle := min(balancerDetectionTime, grace/2)
	window := drain.NewWindow(startedAt, clock.Instant(e.ranAt.Load()), settle, grace)
	e.stop.Store(window)
	e.leaving.Store(true)
	e.handler.Drain()
	e.relayHandler.Drain()
	e.log.Info("graceful shutdown began", "inFlight", e.handler.InFlight(), "noticedAfterMs", startedAt.Sub(clock.Instant(e.ranAt.Load())).Milliseconds())
	e.dispatcher.Tick()
	resigned := e.resign()
	<-e.clock.After(settle - e.clock.Boot().Sub(startedAt))
	e.dispatcher.Tick()
	drainCtx, cancel := context.WithTimeout(ctx, max(0, window.GivesUp().Sub(e.clock.Boot())))
	defer cancel()
	// The listener is closed in any case.
	_ = callers.Close()
	e.log.Info("idle connections of callers are closed", "open", e.callers.Open(), "inFlight", e.handler.InFlight())
	e.callers.CloseIdle()
	waitEnds := e.clock.After(window.WaitEnds().Sub(e.clock.Boot()))
	for e.hasCallers() && drainCtx.Err() == nil {
		select {
		case <-waitEnds:
			e.dispatcher.Tick()
			e.handler.StopReading()
			e.callers.CloseUnused()
		case <-e.clock.After(drainPollPeriod):
		}
	}
	if n := e.handler.InFlight(); n > 0 {
		e.log.Warn("requests were still in flight at the end of the grace time", "inFlight", n)
		e.answerLast(ctx)
	}
	_ = e.callers.Close()
	e.drainRelayed(drainCtx, drainPollPeriod)
	// Key grants expire without a leader, so a leader that can't be replaced keeps renewing them until the end of the grace time.
	for !resigned && drainCtx.Err() == nil {
		<-e.clock.After(resignRetryPause)
		resigned = e.resign()
	}
}

// hasCallers reports whether a connection of a caller is open or a request is in flight.
func (e *Edge) hasCallers() bool { return e.callers.Open() > 0 || e.handler.InFlight() > 0 }

// answerLast gives up the requests that are still in flight and waits until their callers have the answers.
func (e *Edge) answerLast(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lastAnswerTime)
	defer cancel()
	e.handler.GiveUp()
	for e.hasCallers() && ctx.Err() == nil {
		<-e.clock.After(drainPollPeriod)
	}
}

// Limits of callers' connections; the limits in the configuration are checked for each request.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 256 << 10
)

// newCallerServer returns the server of callers' connections.
func (e *Edge) newCallerServer() *http1server.Server {
	return http1server.New(e.handler, http1server.WithClock(e.clock), http1server.WithTimeouts(headerTimeout, 0, idleTimeout), http1server.WithMaxHeaderBytes(maxHeaderBytes), http1server.WithQuota(e.callerHeads),
		http1server.WithRequestID(func(r *http.Request) string { return r.Header.Get(platform.HeaderRequestID) }),
		http1server.WithOnLost(e.observeLost), http1server.WithOnPanic(e.observePanic))
}
