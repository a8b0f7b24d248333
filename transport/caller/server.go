package caller

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/state/id"
)

// Server accepts callers' connections.
type Server struct {
	options Options
	http    *http.Server
}

// NewServer returns a server that passes requests to h.
func NewServer(h http.Handler, opts ...Option) *Server {
	o := newOptions(opts)
	return &Server{options: o, http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: o.HeaderTimeout,
		IdleTimeout:       o.IdleTimeout,
		MaxHeaderBytes:    o.MaxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}}
}

// Serve accepts connections until the context ends, then waits up to the drain timeout for requests in flight.
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
	err = s.http.Shutdown(drainCtx)
	if serveErr := <-done; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.CombineErrors(err, serveErr)
	}
	return err
}

// Close closes all connections at once, also those with requests in flight.
func (s *Server) Close() {
	// All connections are closed even where this returns an error.
	_ = s.http.Close()
}

// DisableKeepAlives asks callers to close their connections after the next response.
func (s *Server) DisableKeepAlives() { s.http.SetKeepAlivesEnabled(false) }

// routeOf returns the request's route, or "" where none matched.
func routeOf(r *exchange.Request) id.Route {
	if r == nil {
		return ""
	}
	return r.Route
}
