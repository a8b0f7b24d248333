package caller

import (
	"time"

	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/protocol/trace"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/http1server"
)

// Default settings of a handler and a server.
const (
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	defaultMaxHeaderBytes = 64 << 10
	defaultDrainTimeout   = 30 * time.Second
)

// Options are the settings of a handler and a server.
type Options struct {
	Clock  clock.Clock
	Tracer *trace.Tracer
	// Observe is called once for each request; e is nil where a backend server's response was returned.
	Observe func(r id.Route, status int, e *outcome.Error, latency time.Duration)
	// HeaderTimeout bounds the time in which a caller must send a request's header.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// MaxHeaderBytes bounds the size of a request's header.
	MaxHeaderBytes int
	DrainTimeout   time.Duration
	// OnLost is called for each request whose connection ends before its response is written.
	OnLost func(l http1server.Lost)
	// OnPanic is called with the value and the stack of a panic while a request is handled.
	OnPanic func(value any, stack []byte)
}

// Option sets one of the options.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithTracer sets the tracer of the hop from the caller to this VM.
func WithTracer(t *trace.Tracer) Option { return func(o *Options) { o.Tracer = t } }

// WithObserve sets the function that is called once for each request.
func WithObserve(f func(id.Route, int, *outcome.Error, time.Duration)) Option {
	return func(o *Options) { o.Observe = f }
}

// WithIdleTimeout sets the time after which an idle connection is closed.
func WithIdleTimeout(d time.Duration) Option { return func(o *Options) { o.IdleTimeout = d } }

// WithMaxHeaderBytes bounds the size of a request's header.
func WithMaxHeaderBytes(n int) Option { return func(o *Options) { o.MaxHeaderBytes = n } }

// WithDrainTimeout bounds the time for which a graceful shutdown waits for requests in flight.
func WithDrainTimeout(d time.Duration) Option { return func(o *Options) { o.DrainTimeout = d } }

// WithOnLost sets the function that is called for each request whose connection ends before its response is written.
func WithOnLost(f func(l http1server.Lost)) Option { return func(o *Options) { o.OnLost = f } }

// WithOnPanic sets the function that is called with the value and the stack of a panic while a request is handled.
func WithOnPanic(f func(value any, stack []byte)) Option { return func(o *Options) { o.OnPanic = f } }

func newOptions(opts []Option) Options {
	o := Options{
		Clock:          clock.System{},
		Tracer:         trace.Noop(),
		Observe:        func(id.Route, int, *outcome.Error, time.Duration) {},
		HeaderTimeout:  defaultHeaderTimeout,
		IdleTimeout:    defaultIdleTimeout,
		MaxHeaderBytes: defaultMaxHeaderBytes,
		DrainTimeout:   defaultDrainTimeout,
		OnLost:         func(http1server.Lost) {},
		OnPanic:        func(any, []byte) {},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
