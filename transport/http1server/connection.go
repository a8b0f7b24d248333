package http1server

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/state/clock"
)

// listener accepts connections that a server tracks.
type listener struct {
	net.Listener
	server *Server
}

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, server: l.server}, nil
}

// connection is a caller's connection with the request that is being handled.
type connection struct {
	net.Conn
	server *Server

	mu    sync.Mutex
	state http.ConnState
	// readDeadline is the read deadline that net/http or a handler has set.
	readDeadline time.Time
	// ending is set when the connection must end as soon as it is idle, and endingUnused when it must also end before its first request.
	ending, endingUnused bool
	// reading is set from the first byte of a request until the connection is idle again.
	reading bool
	// handling is set from the beginning of a request until its connection is idle or closed.
	handling bool
	request  string
	beganAt  clock.Instant
	// finished is set when the handler has returned; the end of the response may still be in a buffer.
	finished bool
	// headBytes is the number of bytes read since the connection was idle, before the handler, and taken what they have taken from the quota.
	headBytes, taken int
	// writeErr is the first error of a write of the response.
	writeErr error
}

// Read reads a part of a request. Once one has begun, it is read to its end, since net/http answers a head that breaks off with status 400.
func (c *connection) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading {
		c.reading = true
		if c.ending {
			_ = c.applyReadDeadline()
		}
	}
	if !c.handling && !c.countHead(n) {
		return 0, errNoMemory
	}
	return n, err
}

const (
	// freeHeadBytes is the length up to which a head doesn't count towards the quota.
	freeHeadBytes = 16 << 10
	// parseFactor is how many times its bytes a head of short fields takes while net/http parses it.
	parseFactor = 16
)

// errNoMemory means that the quota for long heads is used up.
var errNoMemory = errors.New("no memory is left for the head of the request")

// countHead counts n further bytes of a head towards the quota, and reports whether they were available. The lock must be held.
func (c *connection) countHead(n int) bool {
	c.headBytes += n
	more := max(0, c.headBytes-freeHeadBytes)*parseFactor - c.taken
	if more <= 0 {
		return true
	}
	if !c.server.options.Quota.Take(more) {
		return false
	}
	c.taken += more
	return true
}

// giveBack gives back what the head has taken from the quota. The lock must be held.
func (c *connection) giveBack() {
	c.server.options.Quota.GiveBack(c.taken)
	c.headBytes, c.taken = 0, 0
}

// Write writes a part of a response.
func (c *connection) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.writeErr == nil {
			c.writeErr = err
		}
	}
	return n, err
}

// CloseWrite closes the writing side, as net/http does after a response to a request that it hasn't read to its end.
func (c *connection) CloseWrite() error {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return closer.CloseWrite()
}

// past is a deadline that has expired.
var past = time.Unix(1, 0)

// SetReadDeadline sets the read deadline, which doesn't apply while the connection ends and is idle.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.applyReadDeadline()
}

// follow records the state of the connection.
func (c *connection) follow(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	if state == http.StateIdle {
		c.reading = false
	}
	if c.ending {
		// An error means that the connection is closed.
		_ = c.applyReadDeadline()
	}
}

// endWhenIdle makes the connection end once it is idle; unused says that it also ends before its first request.
//
// Its read fails, so that net/http's goroutine of the connection closes it. If
// that goroutine has already read a part of a request, it goes on with it
// instead. Closed from here, it could be one whose request was just read.
func (c *connection) endWhenIdle(unused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending && (c.endingUnused || !unused) {
		return
	}
	c.ending, c.endingUnused = true, c.endingUnused || unused
	_ = c.applyReadDeadline()
}

// applyReadDeadline sets the deadline of the socket.
func (c *connection) applyReadDeadline() error {
	isIdle := !c.reading && (c.state == http.StateIdle || c.endingUnused && c.state == http.StateNew)
	if c.ending && isIdle {
		return c.Conn.SetReadDeadline(past)
	}
	return c.Conn.SetReadDeadline(c.readDeadline)
}

// begin records that a request is being handled.
func (c *connection) begin(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling, c.request, c.beganAt, c.finished = true, request, c.server.options.Clock.Boot(), false
}

// finish records that the handler has returned.
func (c *connection) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished = true
}

// end ends the request that is being handled, after the last write of its response, and reports it if the response isn't complete.
func (c *connection) end() {
	c.mu.Lock()
	lost, isLost := c.endRequest(c.lossAfterLastWrite())
	c.giveBack()
	c.mu.Unlock()
	if isLost {
		c.server.options.OnLost(lost)
	}
}

// closedHere reports the request that is being handled, since its connection was closed. If its handler has returned, end reports it, as its
// response may have been written before.
func (c *connection) closedHere() {
	c.mu.Lock()
	lost, isLost := Lost{}, false
	if !c.finished {
		lost, isLost = c.endRequest(ErrClosedHere)
	}
	c.mu.Unlock()
	if isLost {
		c.server.options.OnLost(lost)
	}
}

// lossAfterLastWrite returns why the response isn't complete, or nil. The lock must be held.
func (c *connection) lossAfterLastWrite() error {
	switch {
	case errors.Is(c.writeErr, net.ErrClosed):
		return ErrClosedHere
	case c.writeErr != nil:
		return c.writeErr
	case !c.finished:
		return ErrAborted
	default:
		return nil
	}
}

// endRequest ends the request that is being handled and returns it if it is lost, which a nil cause denies. The lock must be held.
func (c *connection) endRequest(cause error) (lost Lost, isLost bool) {
	if !c.handling {
		return Lost{}, false
	}
	c.handling = false
	return Lost{Request: c.request, Age: c.server.options.Clock.Boot().Sub(c.beganAt), Cause: cause}, cause != nil
}
