package backend

import (
	"net"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/state/id"
)

// Default options of a stand-in.
const (
	defaultSlots          = 4
	defaultQueueSize      = 8
	defaultConns          = 55
	defaultServiceTime    = 5 * time.Millisecond
	defaultWarmupRequests = 20
	defaultColdFactor     = 3
)

// Options configure a stand-in.
type Options struct {
	Service id.Service
	Domain  id.Domain
	// Slots is the number of requests that run concurrently, QueueSize the number that wait for a slot.
	Slots, QueueSize int
	// Connections is the maximum number of open connections.
	Connections int
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration
	// ProbeTime is the time to answer a health probe.
	ProbeTime time.Duration
	// WarmupRequests is the number of finished requests after which the server is warm.
	WarmupRequests int
	// ColdFactor multiplies the service time of a request while the server is cold.
	ColdFactor float64
	// Fenced makes the server check the fence, expiry and key of each request against its grant.
	Fenced bool
}

// Option changes one of the Options.
type Option func(*Options)

// WithService sets the service and failure domain recorded in the journal.
func WithService(s id.Service, d id.Domain) Option {
	return func(o *Options) { o.Service, o.Domain = s, d }
}

// WithFenced sets whether the server checks fences.
func WithFenced(fenced bool) Option { return func(o *Options) { o.Fenced = fenced } }

// WithConnections sets the maximum number of open connections.
func WithConnections(n int) Option { return func(o *Options) { o.Connections = n } }

// WithServiceTime sets the mean service time of a request.
func WithServiceTime(d time.Duration) Option { return func(o *Options) { o.ServiceTime = d } }

// WithProbeTime sets the time to answer a health probe.
func WithProbeTime(d time.Duration) Option { return func(o *Options) { o.ProbeTime = d } }

// WithWarmupRequests sets the number of finished requests after which the server is warm.
func WithWarmupRequests(n int) Option { return func(o *Options) { o.WarmupRequests = n } }

func newOptions(opts []Option) Options {
	o := Options{
		Slots: defaultSlots, QueueSize: defaultQueueSize, Connections: defaultConns,
		ServiceTime: defaultServiceTime, WarmupRequests: defaultWarmupRequests, ColdFactor: defaultColdFactor,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// limitListener accepts connections up to a limit and closes further ones immediately.
type limitListener struct {
	net.Listener
	limit int
	mu    sync.Mutex
	open  int
}

func newLimitListener(l net.Listener, limit int) net.Listener {
	return &limitListener{Listener: l, limit: limit}
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		over := l.open >= l.limit
		if !over {
			l.open++
		}
		l.mu.Unlock()
		if !over {
			return &limitedConn{Conn: c, release: sync.OnceFunc(l.releaseConn)}, nil
		}
		c.Close()
	}
}

func (l *limitListener) releaseConn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// limitedConn is a connection that counts towards the limit of its listener.
type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection, which no longer counts towards the limit.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
