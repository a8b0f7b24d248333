// Package backend sends requests, grants and probes to backend servers over HTTP.
//
// # Usage
//
//	transport := backend.NewTransport()
//	g := group.NewGroup(name, service, directory, transport)
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/hickorylug/hickorylug/coordination/group"
	"github.com/hickorylug/hickorylug/protocol/backend"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/http1"
)

// maxControlResponseBytes bounds the body of the response to a grant or probe.
const maxControlResponseBytes = 64 << 10

// maxHeaderBytes bounds the head of a response; a parsed head of short fields takes about 15 times its bytes.
const maxHeaderBytes = 32 << 10

// transport implements a group's transport, with one connection pool for each backend server.
type transport struct {
	options Options
	mu      sync.Mutex
	// pools has the connection pool of each backend server, by address.
	pools map[string]*pool

	connsMu sync.Mutex
	// conns has the open connections, so that closeConns can close all of them.
	conns map[*countingConn]struct{}
}

type pool struct {
	maxConns  int
	transport *http1.Transport
}

// NewTransport returns the functions with which a group calls its backend servers.
func NewTransport(opts ...Option) *group.Transport {
	t := &transport{options: newOptions(opts), pools: map[string]*pool{}, conns: map[*countingConn]struct{}{}}
	return &group.Transport{Send: t.send, Probe: t.probe, Grant: t.grant, Close: t.closeConns}
}

// httpTransport returns the connection pool of a backend server, with at most limit connections. A change of the limit
// replaces the pool. Control calls pass 0: they use the existing pool whatever its limit, or create one without a limit.
func (t *transport) httpTransport(address string, limit int) *http1.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[address]
	if ok && (limit == 0 || p.maxConns == limit) {
		return p.transport
	}
	if ok {
		p.transport.CloseIdleConnections()
	}
	p = &pool{maxConns: limit, transport: t.newHTTPTransport(limit)}
	t.pools[address] = p
	return p.transport
}

func (t *transport) newHTTPTransport(limit int) *http1.Transport {
	dialer := &net.Dialer{Timeout: t.options.DialTimeout}
	return http1.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return t.track(c), nil
		},
		MaxConnsPerHost:        limit,
		MaxIdleConnsPerHost:    max(limit, 1),
		IdleConnTimeout:        t.options.IdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	})
}

// countingConn counts the bytes written, which shows whether an error came before the first byte of a request.
type countingConn struct {
	net.Conn
	owner   *transport
	written atomic.Int64
}

// track adds a connection to the open ones.
func (t *transport) track(c net.Conn) *countingConn {
	t.connsMu.Lock()
	defer t.connsMu.Unlock()
	tracked := &countingConn{Conn: c, owner: t}
	t.conns[tracked] = struct{}{}
	return tracked
}

// Close closes the connection and removes it from the open ones.
func (c *countingConn) Close() error {
	c.owner.connsMu.Lock()
	delete(c.owner.conns, c)
	c.owner.connsMu.Unlock()
	return c.Conn.Close()
}

// closeConns closes all open connections, also those with requests in flight.
func (t *transport) closeConns() {
	t.connsMu.Lock()
	conns := make([]*countingConn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	t.connsMu.Unlock()
	for _, c := range conns {
		// An error only says that the connection was closed before.
		_ = c.Close()
	}
}

// Write counts the bytes before it writes them, since a failed write may still have reached the peer.
func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// send makes one attempt of a request; an error before the first byte was written is marked group.ErrNotSent.
func (t *transport) send(ctx context.Context, s config.Server, limit int, r *http.Request) (resp *http.Response, err error) {
	var tracker writeTracker
	clientTrace := &httptrace.ClientTrace{GotConn: tracker.gotConn}
	ctx, span := t.options.Tracer.Start(ctx, r.Header, "backend")
	defer span.End()
	t.options.Tracer.Inject(ctx, r.Header)
	attempt := uuid.NewString()
	r.Header.Set(backend.HeaderAttempt, attempt)
	resp, err = t.httpTransport(s.Address, limit).RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, clientTrace)))
	if err == nil {
		if got := resp.Header.Get(backend.HeaderAttempt); got != "" && got != attempt {
			_ = resp.Body.Close()
			return nil, errors.Newf("the response with status %d belongs to another request", resp.StatusCode)
		}
		return resp, nil
	}
	if !tracker.hasWritten() {
		return nil, errors.Mark(err, group.ErrNotSent)
	}
	return nil, err
}

// writeTracker records whether a round trip wrote any bytes, on any of the connections that it used.
//
// net/http may retry on a second connection after the first one broke. An
// error of the second alone would hide that the request was written to the
// first.
type writeTracker struct {
	mu    sync.Mutex
	conns []*countingConn
	// bytesBefore has the bytes that each connection had written before the round trip used it.
	bytesBefore []int64
}

func (w *writeTracker) gotConn(info httptrace.GotConnInfo) {
	stream, ok := info.Conn.(*http1.Stream)
	if !ok {
		return
	}
	c, ok := stream.Conn.(*countingConn)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns = append(w.conns, c)
	w.bytesBefore = append(w.bytesBefore, c.written.Load())
}

func (w *writeTracker) hasWritten() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, c := range w.conns {
		if c.written.Load() != w.bytesBefore[i] {
			return true
		}
	}
	return false
}

// probe returns the incarnation of a backend server, or group.ErrDraining where it refuses new requests.
func (t *transport) probe(ctx context.Context, s config.Server, path string) (incarnation id.Incarnation, err error) {
	defer func() { err = errors.Wrapf(err, "probe backend server at %s", s.Address) }()
	resp, err := t.sendControl(ctx, s, http.MethodGet, path, nil)
	if err != nil {
		return "", err
	}
	if resp.header.Get(backend.HeaderNotRun) == backend.RefusedDraining {
		return "", group.ErrDraining
	}
	if resp.status >= http.StatusInternalServerError {
		return "", errors.Newf("status %d", resp.status)
	}
	return id.Incarnation(resp.header.Get(backend.HeaderBoot)), nil
}

// grant makes a grant call and returns the backend server's answer to it.
func (t *transport) grant(ctx context.Context, s config.Server, g backend.Grant) (granted backend.GrantResponse, err error) {
	defer func() { err = errors.Wrapf(err, "grant slices to backend server at %s", s.Address) }()
	message, err := json.Marshal(g)
	if err != nil {
		return granted, err
	}
	resp, err := t.sendControl(ctx, s, http.MethodPut, backend.PathGrant, message)
	if err != nil {
		return granted, err
	}
	if resp.status != http.StatusOK {
		return granted, errors.Newf("status %d", resp.status)
	}
	return granted, json.Unmarshal(resp.body, &granted)
}

// controlResponse is the response to a grant or probe, with its body read.
type controlResponse struct {
	status int
	header http.Header
	body   []byte
}

// sendControl makes a control call and adds its size to the counter of control bytes.
func (t *transport) sendControl(ctx context.Context, s config.Server, method, path string, message []byte) (resp controlResponse, err error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.Address+path, bytes.NewReader(message))
	if err != nil {
		return resp, err
	}
	// An empty value keeps net/http from adding its own User-Agent, which no backend server reads.
	req.Header.Set("User-Agent", "")
	r, err := t.httpTransport(s.Address, 0).RoundTrip(req)
	if err != nil {
		return resp, err
	}
	defer r.Body.Close()
	resp.status, resp.header = r.StatusCode, r.Header
	resp.body, err = io.ReadAll(io.LimitReader(r.Body, maxControlResponseBytes))
	t.options.ControlBytes.Add(int64(len(message) + len(resp.body) + controlHeaderBytes))
	return resp, err
}

// controlHeaderBytes is the size that is counted for the header lines of a grant or probe and its response.
const controlHeaderBytes = 300
