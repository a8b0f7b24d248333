package relay

import "github.com/hickorylug/hickorylug/state/clock"

// Options are the settings of a Client or a Handler.
type Options struct {
	Clock clock.Clock
}

// Option sets one of the Options.
type Option func(*Options)

// WithClock sets the clock that bounds attempts with a latest time.
func WithClock(c clock.Clock) Option { return func(o *Options) { o.Clock = c } }

func newOptions(opts []Option) Options {
	o := Options{Clock: clock.System{}}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
