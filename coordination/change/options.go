package change

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
)

// Tries to learn what became of a write.
const (
	settleTries = 5
	settlePause = 300 * time.Millisecond
)

// Options are the settings of a book.
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
