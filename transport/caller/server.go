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

// NewServer returns a server whose requests the handler answers.
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

// Serve answers callers until the context ends, then lets what is in flight finish.
func (s *Server) Serve(ctx context.Context, l net.Listener) (err error) {
	defer func() { err = errors.Wrap(err, "serve callers") }()
	done := make(chan error, 1)
	go func() { done <- s.http.Serve(l) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.options.DrainTimeout)
	defer cancel()
	err = s.http.Shutdown(stopping)
	if closed := <-done; !errors.Is(closed, http.ErrServerClosed) {
		err = errors.CombineErrors(err, closed)
	}
	return err
}

// Close cuts all connections.
func (s *Server) Close() {
	// What is open is cut in any case.
	_ = s.http.Close()
}

// DisableKeepAlives asks callers to close their connections with the next answer.
func (s *Server) DisableKeepAlives() { s.http.SetKeepAlivesEnabled(false) }

func routeOf(r *exchange.Request) id.Route {
	if r == nil {
		return ""
	}
	return r.Route
}
