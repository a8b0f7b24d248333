package edge

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hickorylug/hickorylug/coordination/drain"
	"github.com/hickorylug/hickorylug/coordination/forward"
)

// Times of a graceful shutdown.
const (
	// balancerDetectionTime is the time the load balancer needs to stop sending new connections: two missed health checks, one second apart.
	balancerDetectionTime = 3 * time.Second
	// graceMargin is the reserve at the end of the grace time.
	graceMargin     = 400 * time.Millisecond
	drainPollPeriod = 20 * time.Millisecond
	// resignRetryPause is the time between two attempts to revoke the leader's lease at an unreachable store; each call is priced.
	resignRetryPause = 400 * time.Millisecond
)

// accepts reports whether a request may be sent to a backend server, with regard to a planned stop of this VM.
func (e *Edge) accepts(r *forward.Request) bool {
	return e.stop.Load().Accepts(e.clock.Boot(), r.Deadline, r.Objective, r.Route.Idempotent)
}

// drain completes the requests in flight and gives up the leadership, within the grace time.
func (e *Edge) drain(ctx context.Context, server *callerServer, callers net.Listener) {
	startedAt := e.clock.Boot()
	grace := e.settings.GraceTime.Std() - graceMargin
	settle := min(balancerDetectionTime, grace/2)
	e.stop.Store(drain.NewWindow(startedAt, settle, grace))
	e.leaving.Store(true)
	e.handler.Drain()
	e.relayHandler.Drain()
	e.log.Info("graceful shutdown began", "inFlight", e.handler.InFlight())
	resigned := e.resign()
	<-e.clock.After(settle - e.clock.Boot().Sub(startedAt))
	drainCtx, cancel := context.WithTimeout(ctx, max(0, grace-e.clock.Boot().Sub(startedAt)))
	defer cancel()
	server.closeIdle(callers)
	for (server.open.Load() > 0 || e.handler.InFlight() > 0) && drainCtx.Err() == nil {
		<-e.clock.After(drainPollPeriod)
	}
	if n := e.handler.InFlight(); n > 0 {
		e.log.Warn("requests were still in flight at the end of the grace time", "inFlight", n)
	}
	_ = server.Close()
	e.drainRelayed(drainCtx, drainPollPeriod)
	// Key grants expire without a leader, so a leader that can't be replaced keeps renewing them until the end of the grace time.
	for !resigned && drainCtx.Err() == nil {
		<-e.clock.After(resignRetryPause)
		resigned = e.resign()
	}
}

// Limits of callers' connections; the limits in the configuration are checked for each request.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 256 << 10
)

// callerServer is the server of callers' connections.
type callerServer struct {
	*http.Server
	// open is the number of open connections.
	open atomic.Int64
}

func newCallerServer(h http.Handler) *callerServer {
	s := &callerServer{Server: &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: discardLogger()}}
	s.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			s.open.Add(1)
		case http.StateClosed, http.StateHijacked:
			s.open.Add(-1)
		case http.StateActive, http.StateIdle:
		}
	}
	return s
}

// closeIdle closes the listener and the idle connections. Requests that come on the others are still answered, each as the last one of its
// connection. Server.Shutdown would close connections on which a request has just come, without an answer.
func (s *callerServer) closeIdle(l net.Listener) {
	// The listener is closed in any case.
	_ = l.Close()
	s.SetKeepAlivesEnabled(false)
}
