package change

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
)

// Number of attempts to write the configuration while the outcome of the write is unknown, and the delay between them.
const (
	swapAttempts   = 5
	swapRetryDelay = 300 * time.Millisecond
)

// Options are the settings of a Repository.
type Options struct {
	Clock clock.Clock
}

// Option sets one of the options.
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
