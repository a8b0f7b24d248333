// Package http1 sends requests to backend servers over persistent HTTP/1.1 connections.
//
// Unlike the transport of net/http it never retries a request, reports for each
// failure whether the request may have been read, and never returns a response
// that belongs to another request, or one that broke off or is malformed as a
// complete one. NewTransport gives the last to clients of net/http.
//
// # Usage
//
//	c := http1.NewClient(http1.WithIdleTimeout(8 * time.Second))
//	response, err := c.Do(ctx, http1.Request{Address: "10.0.0.9:8080", Method: "GET", Target: "/plans/7"})
//	if http1.WasSent(err) {
//		// The backend server may have run the request.
//	}
//
//	store := &http.Client{Transport: http1.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4})}
package http1

import (
	"cmp"
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Request is one attempt to send a request.
type Request struct {
	// Address is the IP address and port of the backend server.
	Address string
	// Server identifies the backend server. Connections aren't shared between servers, since an address may be reassigned.
	Server string
	// ID identifies the request in its response, or is empty. A connection that has carried it before isn't used for it again: a late copy of
	// the earlier response couldn't be told from its own one.
	ID     string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Match says whether a response belongs to this request; nil accepts every response.
	Match func(status int, h http.Header) Match
	// OnHead is called with the head of each response that is read on the connection, also of those to other requests; nil means no call.
	OnHead func(status int, h http.Header)
	// BeforeWrite is called when a connection is there, right before the request is written, with the time since the connection was opened; nil
	// means no call. It may set the header and the body. After an error the request isn't sent, and the connection is kept.
	BeforeWrite func(r *Request, age time.Duration) error
	// Wanted ends when the request is no longer wanted unless it was sent: after it no connection is opened and nothing is written. A connection that
	// is being opened then is opened and kept, as its failure would say as much of the server. Nil means that only the context of the exchange counts.
	Wanted context.Context
	// IfUnwanted says what becomes of a request that was written when Wanted ends.
	IfUnwanted Unwanted
	// AfterWrite is called when the write of a short request has returned, also if it failed; nil means no call. Its bytes are in the kernel's
	// buffer then.
	AfterWrite func()
	// MaxConnections limits the connections to the backend server; 0 means no limit.
	MaxConnections int
	// UserTimeout replaces Options.UserTimeout until the response was read; 0 means that it doesn't.
	UserTimeout time.Duration
	// NewConnection requires a new connection, since an idle one may have been dropped without notice.
	NewConnection bool
	// UnusedConnection requires a connection that has carried no request. It may be one that was kept after an error of BeforeWrite.
	UnusedConnection bool
	// OldestConnection prefers the idle connection that was opened first to the most recently used one.
	OldestConnection bool
}

// Unwanted is what becomes of a request that is no longer wanted once it was written.
type Unwanted int

const (
	// FinishUnwanted finishes the exchange as if it were wanted.
	FinishUnwanted Unwanted = iota
	// TellUnwanted closes the writing side of the connection once the request is written completely, so that the other side learns of it and can
	// still answer.
	TellUnwanted
	// EndUnwanted ends the exchange.
	EndUnwanted
)

// Match says whether a response belongs to a request.
type Match int

const (
	// Own is a response to the request.
	Own Match = iota
	// Foreign is a response to another request, such as a second copy that came late; it is skipped.
	Foreign
	// Unidentified is a response that doesn't say to which request it belongs. The request fails, since the response may be
	// a copy of an earlier one.
	Unidentified
)

// Response is a response whose body has not been read yet.
type Response struct {
	Status int
	Header http.Header
	// Body must be closed. Reading it returns an error if the response is truncated.
	Body io.ReadCloser
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
}

// Errors of attempts that did not reach a backend server.
var (
	// ErrUnwanted means that the request was no longer wanted before it was written.
	ErrUnwanted = errors.New("the request is no longer wanted")
	// ErrNoConnection means that MaxConnections connections are open.
	ErrNoConnection = errors.New("all connections to the backend server are in use")
	// ErrRefused means that no process listens at the address.
	ErrRefused = errors.New("the backend server refused the connection")
)

// errSent marks errors after which the backend server may have received the request.
var errSent = errors.New("the request may have been read")

// WasSent reports whether the backend server may have received the request that failed with err.
func WasSent(err error) bool { return errors.Is(err, errSent) }

// Client sends requests and keeps idle connections to backend servers. It is safe for concurrent use.
type Client struct {
	options Options

	mu     sync.Mutex
	pools  map[poolKey]*pool
	opened int64
}

type poolKey struct{ address, server string }

// pool holds the connections to one backend server; it is guarded by the client's mutex. open counts those in use, idle
// and being dialed.
type pool struct {
	idle []*connection
	open int
	// closing says that no request has opened a connection since the idle ones were closed, so that those in use are closed when they become idle.
	closing bool
}

// NewClient returns a client without open connections.
func NewClient(opts ...Option) *Client {
	return &Client{options: newOptions(opts), pools: map[poolKey]*pool{}}
}

// OpenedConnections returns the total number of connections opened since the client was created, including failed dials.
func (c *Client) OpenedConnections() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Do sends a request once and returns its response, whose body is still to be read.
//
// The context applies to the whole exchange, until the body is closed.
func (c *Client) Do(ctx context.Context, r Request) (response *Response, err error) {
	defer func() { err = errors.Wrapf(err, "send to %s", r.Address) }()
	if r.isUnwanted(ctx) {
		return nil, ErrUnwanted
	}
	conn, err := c.acquire(ctx, poolKey{r.Address, r.Server}, r)
	if err != nil {
		return nil, err
	}
	isSound := false
	defer func() {
		if !isSound {
			// Also after a panic of a function of the request.
			conn.reset()
		}
	}()
	if err := conn.setUserTimeout(cmp.Or(r.UserTimeout, c.options.UserTimeout)); err != nil {
		return nil, err
	}
	data, err := r.prepare(ctx, time.Since(conn.openedAt))
	if err != nil {
		isSound = true
		conn.keep()
		return nil, err
	}
	if response, err = conn.roundTrip(ctx, r, data); err != nil {
		return nil, errors.Mark(err, errSent)
	}
	isSound = true
	return response, nil
}

// prepare returns the bytes of a request that is about to be written, or an error if it must not be sent any more.
func (r *Request) prepare(ctx context.Context, age time.Duration) (data []byte, err error) {
	if r.BeforeWrite != nil {
		if err := r.BeforeWrite(r, age); err != nil {
			return nil, err
		}
	}
	if data, err = r.encode(); err != nil {
		return nil, err
	}
	// The last check, since the functions above may have waited.
	if r.isUnwanted(ctx) {
		return nil, ErrUnwanted
	}
	return data, nil
}

// isUnwanted reports whether a request that isn't written yet must not be sent any more.
func (r *Request) isUnwanted(ctx context.Context) bool {
	return ctx.Err() != nil || r.Wanted != nil && r.Wanted.Err() != nil
}

// acquire returns an idle connection that is still open, or dials a new one.
func (c *Client) acquire(ctx context.Context, key poolKey, r Request) (conn *connection, err error) {
	for !r.NewConnection {
		conn := c.popIdle(key, r)
		if conn == nil {
			break
		}
		if conn.isIdle() {
			return conn, nil
		}
		conn.reset()
	}
	if err := c.reserve(key, r.MaxConnections); err != nil {
		return nil, err
	}
	c.reopen(key)
	conn, err = c.dial(ctx, key)
	if err != nil {
		c.release(key)
		return nil, err
	}
	return conn, nil
}

// popIdle returns the idle connection that a request prefers of those that may carry it, or nil, and closes those whose idle timeout has expired.
func (c *Client) popIdle(key poolKey, r Request) (conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	if p == nil || len(p.idle) == 0 {
		return nil
	}
	now := time.Now()
	p.idle = slices.DeleteFunc(p.idle, func(other *connection) bool {
		expired := !now.Before(other.usableUntil)
		if expired {
			p.open--
			_ = other.socket.Close()
		}
		return expired
	})
	best := -1
	for i, other := range slices.Backward(p.idle) {
		if other.mayCarry(r) && (best < 0 || r.OldestConnection && other.openedAt.Before(p.idle[best].openedAt)) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	conn = p.idle[best]
	p.idle = slices.Delete(p.idle, best, best+1)
	return conn
}

// reserve counts a connection that is about to be opened. At the limit it closes the idle connection that is unused for longest, which this
// request can't use; it returns ErrNoConnection if limit connections are in use.
func (c *Client) reserve(key poolKey, limit int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	if p == nil {
		p = &pool{}
		c.pools[key] = p
	}
	if limit > 0 && p.open >= limit && len(p.idle) > 0 {
		_ = p.idle[0].socket.Close()
		p.idle = slices.Delete(p.idle, 0, 1)
		p.open--
	}
	if limit > 0 && p.open >= limit {
		return ErrNoConnection
	}
	p.open++
	c.opened++
	return nil
}

// reopen makes the pool keep connections again, since a request opens one.
func (c *Client) reopen(key poolKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[key]; p != nil {
		p.closing = false
	}
}

// release reduces the count of open connections by one that was closed or could not be opened.
func (c *Client) release(key poolKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	if p != nil {
		c.releaseLocked(key, p)
	}
}

// releaseLocked is release for a known pool; the lock must be held.
func (c *Client) releaseLocked(key poolKey, p *pool) {
	if p.open--; p.open <= 0 && len(p.idle) == 0 {
		delete(c.pools, key)
	}
}

// putIdle keeps a connection for reuse by later requests.
func (c *Client) putIdle(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[conn.key]
	if p == nil || p.closing {
		_ = conn.socket.Close()
		if p != nil {
			c.releaseLocked(conn.key, p)
		}
		return
	}
	if !conn.used {
		// Requests that can't use another connection get it first.
		p.idle = slices.Insert(p.idle, 0, conn)
		return
	}
	p.idle = append(p.idle, conn)
}

// CloseAllIdle closes the idle connections to all backend servers.
func (c *Client) CloseAllIdle() {
	c.mu.Lock()
	keys := slices.Collect(maps.Keys(c.pools))
	c.mu.Unlock()
	for _, key := range keys {
		c.CloseIdle(key.address, key.server)
	}
}

// Probe opens a connection to a backend server and closes it without sending anything.
func (c *Client) Probe(ctx context.Context, address, server string) error {
	key := poolKey{address, server}
	if err := c.reserve(key, 0); err != nil {
		return err
	}
	defer c.release(key)
	conn, err := c.dial(ctx, key)
	if err != nil {
		return err
	}
	return conn.socket.Close()
}

// CloseIdle closes the idle connections to a backend server, for example one that was removed.
func (c *Client) CloseIdle(address, server string) {
	key := poolKey{address, server}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	if p == nil {
		return
	}
	for _, conn := range p.idle {
		_ = conn.socket.Close()
		p.open--
	}
	p.idle, p.closing = nil, true
	if p.open <= 0 {
		delete(c.pools, key)
	}
}
