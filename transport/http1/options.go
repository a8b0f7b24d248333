package http1

import "time"

// Options are the settings of a Client.
type Options struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept; a backend server can only shorten it, by Keep-Alive.
	IdleTimeout time.Duration
	// UserTimeout is how long sent bytes may remain unacknowledged before the connection is closed (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
}

// Defaults of the options.
const (
	// defaultDialTimeout allows for one lost and retransmitted SYN packet within a region.
	defaultDialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is below the usual idle timeout of HTTP servers, 10 s.
	defaultIdleTimeout = 8 * time.Second
	defaultUserTimeout = 2 * time.Second
)

// Option sets one of the Options.
type Option func(*Options)

// WithDialTimeout sets the limit for the time to open a connection.
func WithDialTimeout(d time.Duration) Option { return func(o *Options) { o.DialTimeout = d } }

// WithIdleTimeout sets how long an idle connection is kept.
func WithIdleTimeout(d time.Duration) Option { return func(o *Options) { o.IdleTimeout = d } }

func newOptions(opts []Option) Options {
	o := Options{DialTimeout: defaultDialTimeout, IdleTimeout: defaultIdleTimeout, UserTimeout: defaultUserTimeout}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
