package change

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
)

// Attempts to write the configuration while the outcome of the write is unknown, and the delay between them.
const (
	swapAttempts   = 5
	swapRetryDelay = 300 * time.Millisecond
)

// Options are the settings of a Repository.
type Options struct {
	Clock clock.Clock
}

// Option changes one setting of a Repository.
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
