package caller

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/http1server"
)

// Server accepts callers' connections.
type Server struct {
	options Options
	http    *http1server.Server
}

// closedPollPeriod is the interval at which Serve checks for open connections while it ends.
const closedPollPeriod = 20 * time.Millisecond

// NewServer returns a server that passes requests to h.
func NewServer(h http.Handler, opts ...Option) *Server {
	o := newOptions(opts)
	return &Server{options: o, http: http1server.New(h, http1server.WithClock(o.Clock), http1server.WithTimeouts(o.HeaderTimeout, 0, o.IdleTimeout),
		http1server.WithMaxHeaderBytes(o.MaxHeaderBytes), http1server.WithOnLost(o.OnLost), http1server.WithOnPanic(o.OnPanic))}
}

// Serve accepts connections until the context ends, then waits up to the drain timeout until all are closed: idle ones at once, and others
// after their next response.
func (s *Server) Serve(ctx context.Context, l net.Listener) (err error) {
	defer func() { err = errors.Wrap(err, "serve callers") }()
	done := make(chan error, 1)
	go func() { done <- s.http.Serve(l) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.options.DrainTimeout)
	defer cancel()
	if err = l.Close(); errors.Is(err, net.ErrClosed) {
		err = nil
	}
	if serveErr := <-done; !errors.Is(serveErr, http.ErrServerClosed) && !errors.Is(serveErr, net.ErrClosed) {
		err = errors.CombineErrors(err, serveErr)
	}
	s.http.CloseIdle()
	return errors.CombineErrors(err, s.AwaitClosed(drainCtx))
}

// AwaitClosed waits until no connection is open; it returns the context's error if that ends first.
func (s *Server) AwaitClosed(ctx context.Context) error {
	for s.http.Open() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(closedPollPeriod):
		}
	}
	return nil
}

// CloseUnused closes idle connections and those that have carried no request, and others after their next response.
func (s *Server) CloseUnused() { s.http.CloseUnused() }

// Close closes all connections at once, also those with requests in flight.
func (s *Server) Close() {
	// All connections are closed even where this returns an error.
	_ = s.http.Close()
}

// DisableKeepAlives closes idle connections, and asks callers to close the others after their next response.
func (s *Server) DisableKeepAlives() { s.http.CloseIdle() }

// routeOf returns the request's route, or "" where none matched.
func routeOf(r *exchange.Request) id.Route {
	if r == nil {
		return ""
	}
	return r.Route
}
