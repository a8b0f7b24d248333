package peer

import (
	"github.com/hickorylug/hickorylug/state/clock"
)

// Options are the settings of a client or server.
type Options struct {
	Clock clock.Clock
	// Observe is called with the method and the bytes of each call but Relay, which is a stream.
	Observe func(method string, bytes int)
}

// Option sets one of the options.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithObserve sets the function that is called for each call but Relay.
func WithObserve(f func(method string, bytes int)) Option {
	return func(o *Options) { o.Observe = f }
}

func newOptions(opts []Option) Options {
	o := Options{Clock: clock.System{}, Observe: func(string, int) {}}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
