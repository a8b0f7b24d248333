// Package http1server serves HTTP/1.1 connections and reports each request whose connection ends before its response is written.
//
// # Usage
//
//	s := http1server.New(handler, http1server.WithOnLost(func(l http1server.Lost) { log(l.Request, l.Cause) }))
//	go s.Serve(listener)
//	s.CloseIdle()
//	// Wait until s.Open() is 0 or the grace time is almost over.
//	s.CloseUnused()
//	// Wait until s.Open() is 0 or the grace time is over.
//	err := s.Close()
package http1server

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Causes of lost responses.
var (
	// ErrClosedHere means that this server closed the connection.
	ErrClosedHere = errors.New("this server closed the connection")
	// ErrAborted means that the handler panicked or aborted the response.
	ErrAborted = errors.New("the handler aborted the response")
)

// Lost describes a request whose connection ended before its response was written completely.
type Lost struct {
	// Request identifies the request, as WithRequestID defines it.
	Request string
	// Age is the time since the request was read.
	Age time.Duration
	// Cause is ErrClosedHere, ErrAborted, or the error of the write, such as a reset by the caller.
	Cause error
}

// Server is an HTTP/1.1 server. It is safe for concurrent use.
type Server struct {
	options Options
	http    *http.Server
	// closing is set when connections end after their next response.
	closing atomic.Bool
	// closingUnused is set when connections also end before their first request.
	closingUnused atomic.Bool

	mu          sync.Mutex
	connections map[*connection]struct{}
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// New returns a server that passes requests to h.
func New(h http.Handler, opts ...Option) *Server {
	o := newOptions(opts)
	s := &Server{options: o, connections: map[*connection]struct{}{}}
	s.http = &http.Server{
		Handler: s.track(h), ReadHeaderTimeout: o.HeaderTimeout, ReadTimeout: o.ReadTimeout, IdleTimeout: o.IdleTimeout, MaxHeaderBytes: o.MaxHeaderBytes,
		// net/http reports broken connections, which OnLost reports by request.
		ErrorLog:  log.New(io.Discard, "", 0),
		ConnState: s.followState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
	}
	return s
}

// Serve accepts connections until the listener or the server is closed.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(listener{l, s}) }

// Open returns the number of open connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// CloseIdle ends the connections that wait for another request, and each other one after its next response. A request of which a
// part was read before is answered. Connections that have carried no request stay open for one.
func (s *Server) CloseIdle() {
	s.closing.Store(true)
	for _, c := range s.snapshot() {
		c.endWhenIdle(false)
	}
}

// CloseUnused ends the connections that have carried no request, too, also those that are still accepted.
func (s *Server) CloseUnused() {
	s.closing.Store(true)
	s.closingUnused.Store(true)
	for _, c := range s.snapshot() {
		c.endWhenIdle(true)
	}
}

// Close closes all listeners and connections, and reports the requests that have no response yet.
func (s *Server) Close() error {
	for _, c := range s.snapshot() {
		c.closeHere()
	}
	return s.http.Close()
}

func (s *Server) snapshot() (out []*connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		out = append(out, c)
	}
	return out
}

func (s *Server) add(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[c] = struct{}{}
}

// followState tracks the connections and ends the request of one that becomes idle or is closed.
func (s *Server) followState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		s.add(c)
		if s.closingUnused.Load() {
			c.endWhenIdle(true)
		}
	case http.StateActive:
		c.follow(state)
	case http.StateIdle:
		c.end()
		c.follow(state)
		if s.closing.Load() {
			c.endWhenIdle(false)
		}
	case http.StateClosed, http.StateHijacked:
		c.end()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.connections, c)
	}
}

// track returns a handler that records the request of a connection while h handles it.
func (s *Server) track(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		c.begin(s.options.RequestID(r))
		if s.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		defer func() {
			if value := recover(); value != nil {
				if err, ok := value.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
					s.options.OnPanic(value, debug.Stack())
				}
				// net/http closes the connection.
				panic(http.ErrAbortHandler)
			}
		}()
		h.ServeHTTP(w, r)
		c.finish()
	})
}
