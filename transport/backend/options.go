package backend

import (
	"sync/atomic"
	"time"

	"github.com/hickorylug/hickorylug/protocol/trace"
)

// Default settings of a link.
const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 90 * time.Second
)

// Options are the settings of a link.
type Options struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration
	Tracer      *trace.Tracer
	// ControlBytes counts the bytes of grants and probes.
	ControlBytes *atomic.Int64
}

// Option changes one setting.
type Option func(*Options)

// WithTracer sets the tracer of the hop to the backend server.
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
