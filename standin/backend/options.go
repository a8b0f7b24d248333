package backend

import (
	"net"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/state/id"
)

// Default settings of a stand-in.
const (
	defaultSlots      = 4
	defaultQueue      = 8
	defaultConns      = 55
	defaultWorkTime   = 5 * time.Millisecond
	defaultWarmAfter  = 20
	defaultColdFactor = 3
)

// Options are the settings of a stand-in.
type Options struct {
	Service id.Service
	Domain  id.Domain
	// Slots is the number of requests that run at once, Queue of those that wait.
	Slots, QueueSize int
	Connections      int
	// ServiceTime is the mean time of a request.
	ServiceTime time.Duration
	ProbeTime   time.Duration
	// WarmupRequests is the number of requests after which the server is warm.
	WarmupRequests int
	// ColdFactor multiplies the time of a request while the server is cold.
	ColdFactor float64
	// Fenced makes the server check fences.
	Fenced bool
}

// Option changes one setting.
type Option func(*Options)

// WithService sets the service and the failure domain that the journal names.
func WithService(s id.Service, d id.Domain) Option {
	return func(o *Options) { o.Service, o.Domain = s, d }
}

// WithFenced makes the server check fences.
func WithFenced(fenced bool) Option { return func(o *Options) { o.Fenced = fenced } }

// WithConnections bounds the connections.
func WithConnections(n int) Option { return func(o *Options) { o.Connections = n } }

// WithServiceTime sets the mean time of a request.
func WithServiceTime(d time.Duration) Option { return func(o *Options) { o.ServiceTime = d } }

// WithProbeTime sets the time of a probe.
func WithProbeTime(d time.Duration) Option { return func(o *Options) { o.ProbeTime = d } }

// WithWarmupRequests sets the number of requests after which the server is warm.
func WithWarmupRequests(n int) Option { return func(o *Options) { o.WarmupRequests = n } }

func newOptions(opts []Option) Options {
	o := Options{
		Slots: defaultSlots, QueueSize: defaultQueue, Connections: defaultConns,
		ServiceTime: defaultWorkTime, WarmupRequests: defaultWarmAfter, ColdFactor: defaultColdFactor,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// limited refuses connections over a limit.
type limited struct {
	net.Listener
	limit int
	mu    sync.Mutex
	open  int
}

func newLimited(l net.Listener, limit int) net.Listener {
	return &limited{Listener: l, limit: limit}
}

// Accept returns the next connection within the limit.
func (l *limited) Accept() (net.Conn, error) {
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
			return &counted{Conn: c, closed: sync.OnceFunc(l.release)}, nil
		}
		c.Close()
	}
}

func (l *limited) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

type counted struct {
	net.Conn
	closed func()
}

// Close closes the connection and frees its place.
func (c *counted) Close() error {
	c.closed()
	return c.Conn.Close()
}
