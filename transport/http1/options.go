package http1

import "time"

// Options are the settings of a client.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept where the backend server names no time.
	IdleTimeout time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged.
	UserTimeout time.Duration
}

// Defaults of the options.
const (
	// defaultDialTimeout leaves room for one opening packet that is lost and sent again within a region.
	defaultDialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout stays below the usual idle timeout of HTTP servers, 10 s.
	defaultIdleTimeout  = 8 * time.Second
	defaultSilenceLimit = 2 * time.Second
)

// Option changes one setting.
type Option func(*Options)

// WithDialTimeout bounds the opening of a connection.
func WithDialTimeout(d time.Duration) Option { return func(o *Options) { o.DialTimeout = d } }

// WithIdleTimeout sets how long an unused connection is kept.
func WithIdleTimeout(d time.Duration) Option { return func(o *Options) { o.IdleTimeout = d } }

func newOptions(opts []Option) Options {
	o := Options{DialTimeout: defaultDialTimeout, IdleTimeout: defaultIdleTimeout, UserTimeout: defaultSilenceLimit}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
