package router

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
)

// Options are the settings of a Router.
type Options struct {
	Clock clock.Clock
	// MinWait is the minimum wait limit of a request whose key has no owner, or whose group has no holder.
	MinWait time.Duration
	// FailoverGrace is the time that a replaced lease holder has to answer relayed idempotent requests before
	// they are cancelled.
	FailoverGrace time.Duration
}

// Option sets one of the options.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(o *Options) { o.Clock = c } }

func newOptions(opts []Option) Options {
	o := Options{
		Clock:         clock.System{},
		MinWait:       1500 * time.Millisecond,
		FailoverGrace: 100 * time.Millisecond,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
