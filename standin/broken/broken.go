// Package broken is a server whose response is given byte by byte and ends in a given way.
//
// It answers each connection once, as soon as it has read the head of a
// request; a long body is still on its way then.
//
// # Usage
//
//	s, err := broken.Listen("HTTP/1.1 200 OK\r\n\r\npart of it", broken.Reset)
//	if err != nil {
//		return err
//	}
//	defer s.Close()
//	response, err := http.Post("http://"+s.Address(), "text/plain", upload)
package broken

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// End is how a connection ends after the response.
type End int

const (
	// Reset resets the connection.
	Reset End = iota
	// EndAndReset ends the response and then resets the connection.
	EndAndReset
	// EndAndRead ends the response, reads the request to its end and closes the connection.
	EndAndRead
)

// Server answers each connection with the same bytes. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	response string
	end      End
	pause    time.Duration
	requests atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

// Option sets one of the settings of a Server.
type Option func(*Server)

// WithPause sets the time between the response and the end of the connection.
func WithPause(d time.Duration) Option { return func(s *Server) { s.pause = d } }

// Listen starts a server at a free loopback address.
func Listen(response string, end End, opts ...Option) (s *Server, err error) {
	defer func() { err = errors.Wrap(err, "start a server with broken responses") }()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s = &Server{listener: l, response: response, end: end}
	for _, opt := range opts {
		opt(s)
	}
	go s.accept()
	return s, nil
}

// Address returns the address, of the form host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests that were answered.
func (s *Server) Requests() int64 { return s.requests.Load() }

// Close closes the listener and all connections. Errors only say that they were closed before.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

// accept answers connections until the listener is closed.
func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		go s.answer(c.(*net.TCPConn))
	}
}

// answer answers the request of a connection. Errors mean that the client has closed it.
func (s *Server) answer(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	s.requests.Add(1)
	if _, err := io.WriteString(c, s.response); err != nil {
		return
	}
	time.Sleep(s.pause)
	if s.end != Reset {
		_ = c.CloseWrite()
	}
	if s.end == EndAndRead {
		_, _ = io.Copy(io.Discard, reader)
		return
	}
	_ = c.SetLinger(0)
}
