package reach

import "github.com/hickorylug/hickorylug/state/clock"

// Options configure a Detector.
type Options struct {
	Clock clock.Clock
}

// Option sets one of the Options.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(o *Options) { o.Clock = c } }

func newOptions(opts []Option) Options {
	o := Options{Clock: clock.System{}}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
