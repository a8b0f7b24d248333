package peer

import (
	"github.com/hickorylug/hickorylug/state/clock"
)

// Options are the settings of a client or server.
type Options struct {
	Clock clock.Clock
}

// Option changes one setting.
type Option func(*Options)

// WithClock sets the source of time.
func WithClock(c clock.Clock) Option { return func(o *Options) { o.Clock = c } }

func newOptions(opts []Option) Options {
	o := Options{Clock: clock.System{}}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
