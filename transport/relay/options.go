package relay

import (
	"context"
	"net"

	"github.com/hickorylug/hickorylug/state/clock"
)

// Options are the settings of a Client or a Handler.
type Options struct {
	Clock clock.Clock
	// Dial opens a client's connections to other VMs; nil means a TCP connection. The connection must be a *net.TCPConn.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Option sets one of the Options.
type Option func(*Options)

// WithClock sets the clock that bounds attempts with a latest time.
func WithClock(c clock.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithDial sets the function that opens a client's connections to other VMs.
func WithDial(f func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(o *Options) { o.Dial = f }
}

func newOptions(opts []Option) Options {
	o := Options{Clock: clock.System{}}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
