package backend

import (
	"sync/atomic"
	"time"

	"github.com/hickorylug/hickorylug/protocol/trace"
)

// Default settings of a transport.
const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 90 * time.Second
)

// Options are the settings of a transport.
type Options struct {
	DialTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	Tracer      *trace.Tracer
	// ControlBytes counts the bytes of grants and probes, with their responses.
	ControlBytes *atomic.Int64
}

// Option sets one of the options.
type Option func(*Options)

// WithTracer sets the tracer of the hop from this VM to the backend server.
func WithTracer(t *trace.Tracer) Option { return func(o *Options) { o.Tracer = t } }

// WithControlBytes sets the counter of the bytes of grants and probes.
func WithControlBytes(n *atomic.Int64) Option { return func(o *Options) { o.ControlBytes = n } }

func newOptions(opts []Option) Options {
	o := Options{
		DialTimeout:  defaultDialTimeout,
		IdleTimeout:  defaultIdleTimeout,
		Tracer:       trace.Noop(),
		ControlBytes: &atomic.Int64{},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
