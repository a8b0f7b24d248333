// Package backend sends requests, grants and probes to backend servers over HTTP.
//
// # Usage
//
//	link := backend.NewTransport()
//	g := group.NewGroup(name, service, directory, link)
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

	"github.com/hickorylug/hickorylug/coordination/group"
	"github.com/hickorylug/hickorylug/protocol/backend"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
)

// maxControlAnswer bounds the answer to a grant or probe, in bytes.
const maxControlAnswer = 64 << 10

type link struct {
	options Options
	mu      sync.Mutex
	// transports has one pool of connections for each backend server.
	transports map[string]*pool

	connMu sync.Mutex
	// conns holds the open connections, so that they can be cut all at once.
	conns map[*countingConn]struct{}
}

type pool struct {
	limit     int
	transport *http.Transport
}

// NewTransport returns the way to the backend servers.
func NewTransport(opts ...Option) *group.Transport {
	l := &link{options: newOptions(opts), transports: map[string]*pool{}, conns: map[*countingConn]struct{}{}}
	return &group.Transport{Send: l.send, Probe: l.probe, Grant: l.grant, Close: l.close}
}

// transport returns the pool of a backend server, with at most limit connections.
func (l *link) transport(address string, limit int) *http.Transport {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.transports[address]
	if ok && (limit == 0 || p.limit == limit) {
		return p.transport
	}
	if ok {
		p.transport.CloseIdleConnections()
	}
	p = &pool{limit: limit, transport: l.newTransport(limit)}
	l.transports[address] = p
	return p.transport
}

func (l *link) newTransport(limit int) *http.Transport {
	dialer := &net.Dialer{Timeout: l.options.DialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return l.track(c), nil
		},
		MaxConnsPerHost:     limit,
		MaxIdleConnsPerHost: max(limit, 1),
		IdleConnTimeout:     l.options.IdleTimeout,
		DisableCompression:  true,
	}
}

// countingConn counts what was written, so that an error can be told from one before the first byte.
type countingConn struct {
	net.Conn
	link    *link
	written atomic.Int64
}

func (l *link) track(c net.Conn) *countingConn {
	l.connMu.Lock()
	defer l.connMu.Unlock()
	counting := &countingConn{Conn: c, link: l}
	l.conns[counting] = struct{}{}
	return counting
}

// Close closes the connection.
func (c *countingConn) Close() error {
	c.link.connMu.Lock()
	delete(c.link.conns, c)
	c.link.connMu.Unlock()
	return c.Conn.Close()
}

// close cuts all connections.
func (l *link) close() {
	l.connMu.Lock()
	conns := make([]*countingConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.connMu.Unlock()
	for _, c := range conns {
		// The peer may have closed it before.
		_ = c.Close()
	}
}

// Write counts before it writes: a failed write may still have reached the peer.
func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func (l *link) send(ctx context.Context, s config.Server, limit int, r *http.Request) (resp *http.Response, err error) {
	var used usage
	trace := &httptrace.ClientTrace{GotConn: used.gotConn}
	ctx, span := l.options.Tracer.Start(ctx, r.Header, "backend")
	defer span.End()
	l.options.Tracer.Inject(ctx, r.Header)
	resp, err = l.transport(s.Address, limit).RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		return resp, nil
	}
	if !used.written() {
		return nil, errors.Mark(err, group.ErrNotSent)
	}
	return nil, err
}

// usage tells whether a round trip wrote anything, on whichever connections.
//
// The library may try a second connection after the first one broke; the
// error of the second alone would hide that the first has carried the request.
type usage struct {
	mu     sync.Mutex
	conns  []*countingConn
	before []int64
}

func (u *usage) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = append(u.conns, c)
	u.before = append(u.before, c.written.Load())
}

func (u *usage) written() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, c := range u.conns {
		if c.written.Load() != u.before[i] {
			return true
		}
	}
	return false
}

func (l *link) probe(ctx context.Context, s config.Server, path string) (boot id.Incarnation, err error) {
	defer func() { err = errors.Wrapf(err, "probe backend server at %s", s.Address) }()
	a, err := l.control(ctx, s, http.MethodGet, path, nil)
	if err != nil {
		return "", err
	}
	if a.header.Get(backend.HeaderNotRun) == backend.RefusedDraining {
		return "", group.ErrDraining
	}
	if a.status >= http.StatusInternalServerError {
		return "", errors.Newf("status %d", a.status)
	}
	return id.Incarnation(a.header.Get(backend.HeaderBoot)), nil
}

func (l *link) grant(ctx context.Context, s config.Server, g backend.Grant) (reading backend.GrantResponse, err error) {
	defer func() { err = errors.Wrapf(err, "grant slices to backend server at %s", s.Address) }()
	message, err := json.Marshal(g)
	if err != nil {
		return reading, err
	}
	a, err := l.control(ctx, s, http.MethodPut, backend.PathGrant, message)
	if err != nil {
		return reading, err
	}
	if a.status != http.StatusOK {
		return reading, errors.Newf("status %d", a.status)
	}
	return reading, json.Unmarshal(a.body, &reading)
}

// controlAnswer is the whole answer to a grant or probe.
type controlAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (l *link) control(ctx context.Context, s config.Server, method, path string, message []byte) (a controlAnswer, err error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.Address+path, bytes.NewReader(message))
	if err != nil {
		return a, err
	}
	// Without this the library would add a line that nobody reads.
	req.Header.Set("User-Agent", "")
	resp, err := l.transport(s.Address, 0).RoundTrip(req)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	a.body, err = io.ReadAll(io.LimitReader(resp.Body, maxControlAnswer))
	l.options.ControlBytes.Add(int64(len(message) + len(a.body) + headerOverhead))
	return a, err
}

// headerOverhead is the size of the header lines of a grant or probe and its answer, in bytes.
const headerOverhead = 300
