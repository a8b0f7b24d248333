// Package http1 sends requests to backend servers over kept HTTP/1.1 connections.
//
// Unlike the transport of net/http it never repeats a request by itself, says
// of each failure whether the request may have been read, and gives no answer
// to a request that it doesn't belong to.
//
// # Usage
//
//	c := http1.NewClient(http1.WithIdleTimeout(8 * time.Second))
//	answer, err := c.Do(ctx, http1.Request{Address: "10.0.0.9:8080", Method: "GET", Target: "/plans/7"})
//	if http1.WasSent(err) {
//		// The backend server may have run the request.
//	}
package http1

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Request is one sending of a request.
type Request struct {
	// Address is the IP number and port of the backend server.
	Address string
	// Service separates connections, since an address may be given to another service.
	Server string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether an answer is for this request; nil accepts every answer.
	Matches func(h http.Header) bool
	// MaxConnections bounds the connections to the backend server; 0 means no bound.
	MaxConnections int
	// NewConnection asks for a new connection, since one that was idle may have been dropped without notice.
	NewConnection bool
}

// Response is an answer whose body is still being read.
type Response struct {
	Status int
	Header http.Header
	// Body must be closed. Reading it fails where the answer was cut short.
	Body io.ReadCloser
	// Length is the body's length in bytes, or -1.
	Length int64
}

// Errors of sendings that have not reached a backend server.
var (
	// ErrNoConnection means that all allowed connections are in use.
	ErrNoConnection = errors.New("all connections to the backend server are in use")
	// ErrRefused means that nothing listens at the address.
	ErrRefused = errors.New("the backend server refused the connection")
)

// errSent marks failures after which the backend server may have the request.
var errSent = errors.New("the request may have been read")

// WasSent reports whether a request that failed may have reached the backend server.
func WasSent(err error) bool { return errors.Is(err, errSent) }

// Client keeps connections to backend servers; it is safe for concurrent use.
type Client struct {
	options Options

	mu    sync.Mutex
	pools map[poolKey]*pool
	opens int64
}

type poolKey struct{ address, owner string }

// pool is the connections to one backend server, guarded by the client's lock.
type pool struct {
	idle []*connection
	open int
}

// NewClient returns a client without connections.
func NewClient(opts ...Option) *Client {
	return &Client{options: newOptions(opts), pools: map[poolKey]*pool{}}
}

// OpenedConnections returns the number of connections that were ever opened.
func (c *Client) OpenedConnections() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opens
}

// Do sends a request once and returns the head of its answer.
//
// The context bounds the whole exchange, until the body is closed.
func (c *Client) Do(ctx context.Context, r Request) (answer *Response, err error) {
	defer func() { err = errors.Wrapf(err, "send to %s", r.Address) }()
	key := poolKey{r.Address, r.Server}
	conn, err := c.take(ctx, key, r)
	if err != nil {
		return nil, err
	}
	answer, err = conn.exchange(ctx, r)
	if err != nil {
		conn.abort()
		return nil, errors.Mark(err, errSent)
	}
	return answer, nil
}

// take returns an idle connection that is still open, or a new one.
func (c *Client) take(ctx context.Context, key poolKey, r Request) (conn *connection, err error) {
	for !r.NewConnection {
		conn := c.takeIdle(key)
		if conn == nil {
			break
		}
		if conn.quiet() {
			return conn, nil
		}
		conn.abort()
	}
	if err := c.reserve(key, r.MaxConnections); err != nil {
		return nil, err
	}
	conn, err = c.dial(ctx, key)
	if err != nil {
		c.forget(key)
		return nil, err
	}
	return conn, nil
}

// takeIdle returns the connection that was used last and drops those that have been idle too long.
func (c *Client) takeIdle(key poolKey) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	if p == nil || len(p.idle) == 0 {
		return nil
	}
	conn := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	now := time.Now()
	kept := p.idle[:0]
	for _, other := range p.idle {
		if now.Before(other.usableUntil) {
			kept = append(kept, other)
		} else {
			p.open--
			_ = other.net.Close()
		}
	}
	p.idle = kept
	if !now.Before(conn.usableUntil) {
		p.open--
		_ = conn.net.Close()
		return nil
	}
	return conn
}

// reserve counts a connection that is about to be opened.
func (c *Client) reserve(key poolKey, bound int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	if p == nil {
		p = &pool{}
		c.pools[key] = p
	}
	if bound > 0 && p.open >= bound {
		return ErrNoConnection
	}
	p.open++
	c.opens++
	return nil
}

// forget counts a connection out.
func (c *Client) forget(key poolKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	if p == nil {
		return
	}
	if p.open--; p.open <= 0 && len(p.idle) == 0 {
		delete(c.pools, key)
	}
}

// give keeps a connection for the next request.
func (c *Client) give(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[conn.key]
	if p == nil {
		_ = conn.net.Close()
		return
	}
	p.idle = append(p.idle, conn)
}

// CloseIdle closes the idle connections of a backend server that is gone.
func (c *Client) CloseIdle(address, owner string) {
	key := poolKey{address, owner}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	if p == nil {
		return
	}
	for _, conn := range p.idle {
		_ = conn.net.Close()
		p.open--
	}
	p.idle = nil
	if p.open <= 0 {
		delete(c.pools, key)
	}
}
