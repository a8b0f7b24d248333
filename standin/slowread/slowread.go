// Package slowread holds reads of connections after they have taken their bytes, as on a machine that is short of processor.
//
// # Usage
//
//	l := slowread.NewListener(inner)
//	go server.Serve(l)
//	<-l.Taken               // A read has taken bytes and is held.
//	l.Release <- struct{}{} // It returns.
package slowread

import (
	"net"
	"sync/atomic"
	"time"
)

// maxEvents is the number of events that wait for a test.
const maxEvents = 16

// Listener accepts connections whose reads are held.
type Listener struct {
	net.Listener
	// Waiting receives a value when a read for a request begins, and Taken when a read has taken bytes. It returns after it has received a
	// value from Release.
	Waiting, Taken, Release chan struct{}

	ended atomic.Int64
}

// NewListener returns a listener that accepts the connections of another one.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, Waiting: make(chan struct{}, maxEvents), Taken: make(chan struct{}, maxEvents), Release: make(chan struct{}, maxEvents)}
}

// Ended returns the number of calls so far that may end a connection or its reads.
func (l *Listener) Ended() int64 { return l.ended.Load() }

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, listener: l}, nil
}

type connection struct {
	net.Conn
	listener *Listener
}

// Read reads bytes, and returns once it is released if there are any.
func (c *connection) Read(p []byte) (n int, err error) {
	// While a request is handled, net/http reads a single byte to detect that the caller leaves.
	if len(p) > 1 {
		c.listener.Waiting <- struct{}{}
	}
	n, err = c.Conn.Read(p)
	if n > 0 {
		c.listener.Taken <- struct{}{}
		<-c.listener.Release
	}
	return n, err
}

// Close closes the connection.
func (c *connection) Close() error {
	defer c.listener.ended.Add(1)
	return c.Conn.Close()
}

// SetReadDeadline sets the deadline of reads.
func (c *connection) SetReadDeadline(t time.Time) error {
	defer c.listener.ended.Add(1)
	return c.Conn.SetReadDeadline(t)
}
