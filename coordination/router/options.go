package router

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
)

// Options are the settings of a router.
type Options struct {
	Clock clock.Clock
	// MinWait is the least time for which a request waits for the owner of its key.
	MinWait time.Duration
	// FailoverGrace is the time that a replaced holder has left to answer idempotent requests.
	FailoverGrace time.Duration
}

// Option changes one setting.
type Option func(*Options)

// WithClock sets the source of time.
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
