package caller

import (
	"time"

	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/protocol/trace"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// Default settings of a handler and a server.
const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	defaultMaxHeader     = 64 << 10
	defaultDrainTimeout  = 30 * time.Second
)

// Options are the settings of a handler and a server.
type Options struct {
	Clock  clock.Clock
	Tracer *trace.Tracer
	// Observe is called once for each request; e is nil where it was answered.
	Observe       func(r id.Route, status int, e *outcome.Error, latency time.Duration)
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// MaxHeaderBytes bounds a request's header, in bytes.
	MaxHeaderBytes int
	DrainTimeout   time.Duration
}

// Option changes one setting.
type Option func(*Options)

// WithClock sets the source of time.
func WithClock(c clock.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithTracer sets the tracer of the first hop.
func WithTracer(t *trace.Tracer) Option { return func(o *Options) { o.Tracer = t } }

// WithObserve sets the function that is told of each request.
func WithObserve(f func(id.Route, int, *outcome.Error, time.Duration)) Option {
	return func(o *Options) { o.Observe = f }
}

// WithIdleTimeout bounds the time for which a connection may be idle.
func WithIdleTimeout(d time.Duration) Option { return func(o *Options) { o.IdleTimeout = d } }

// WithMaxHeaderBytes bounds a request's header, in bytes.
func WithMaxHeaderBytes(n int) Option { return func(o *Options) { o.MaxHeaderBytes = n } }

// WithDrainTimeout bounds the time that requests in flight have at a planned stop.
func WithDrainTimeout(d time.Duration) Option { return func(o *Options) { o.DrainTimeout = d } }

func newOptions(opts []Option) Options {
	o := Options{
		Clock:          clock.System{},
		Tracer:         trace.Noop(),
		Observe:        func(id.Route, int, *outcome.Error, time.Duration) {},
		HeaderTimeout:  defaultHeaderTimeout,
		IdleTimeout:    defaultIdleTimeout,
		MaxHeaderBytes: defaultMaxHeader,
		DrainTimeout:   defaultDrainTimeout,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
