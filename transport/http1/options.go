package http1

import (
	"context"
	"net"
	"time"
)

// Options are the settings of a Client.
type Options struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept; a backend server can only shorten it, by Keep-Alive.
	IdleTimeout time.Duration
	// UserTimeout is how long sent bytes may remain unacknowledged before the connection is closed (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// Dial opens a connection; nil means a TCP connection with UserTimeout. The connection must be a *net.TCPConn.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnDial is called after each attempt to open a connection to a backend server, unless its context was cancelled.
	OnDial func(server string, err error)
	// Quota limits the memory for long heads; nil means no limit.
	Quota *Quota
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

// WithDial sets the function that opens connections, within the dial timeout.
func WithDial(f func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(o *Options) { o.Dial = f }
}

// WithOnDial sets the function that is called after each attempt to open a connection.
func WithOnDial(f func(server string, err error)) Option { return func(o *Options) { o.OnDial = f } }

// WithQuota sets the quota for long heads of responses.
func WithQuota(q *Quota) Option { return func(o *Options) { o.Quota = q } }

func newOptions(opts []Option) Options {
	o := Options{DialTimeout: defaultDialTimeout, IdleTimeout: defaultIdleTimeout, UserTimeout: defaultUserTimeout, OnDial: func(string, error) {}}
	for _, opt := range opts {
		opt(&o)
	}
	if o.Dial == nil {
		dialer := net.Dialer{KeepAlive: -1, Control: o.setUserTimeout}
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return o
}
