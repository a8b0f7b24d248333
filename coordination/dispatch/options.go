package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/hickorylug/hickorylug/coordination/ratelimit"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// Options configure a dispatcher.
type Options struct {
	Clock clock.Clock
	// Random returns a number in [0, 1), for ties between backend servers.
	Random func() float64
	// Peers returns the number of VMs that share the backend servers.
	Peers func() int
	// WarmOverage and WarmSlack are how far a cold backend server's load may exceed its warm-up rate: a factor, and a number of requests.
	WarmOverage float64
	WarmSlack   float64
	// MayWait reports whether a request may be queued or stay queued; it is false where the VM stops before the answer may come. It must not
	// call the dispatcher.
	MayWait func(d Demand) bool
	// OnEject is called for each backend server that this VM ejects, with the share of failures among its answers and the time of the
	// ejection. It must not call the dispatcher.
	OnEject func(server id.Server, share float64, duration time.Duration)
	// OnRequestLimit is called when this VM learns that a backend server's request limit began, changed or ended, with the limit or 0. It
	// must not call the dispatcher.
	OnRequestLimit func(server id.Server, rate ratelimit.Rate)
	// OnPause is called when a backend server begins to want no requests of this VM, with the time of the pause. It must not call the
	// dispatcher.
	OnPause func(server id.Server, duration time.Duration)
	// OnLateWarmup is called when this VM learns that a backend server is cold, with the remaining warm-up time, if it has sent requests
	// there within the preceding second, with their number. It must not call the dispatcher.
	OnLateWarmup func(server id.Server, left time.Duration, sent int)
}

// Option sets one of the Options.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithRandom sets the source of random numbers.
func WithRandom(f func() float64) Option { return func(o *Options) { o.Random = f } }

// WithPeers sets the function that returns the number of VMs that share the backend servers.
func WithPeers(f func() int) Option { return func(o *Options) { o.Peers = f } }

// WithWarmBounds sets how far the load of cold backend servers may exceed their warm-up rate: a factor, and a number of requests.
func WithWarmBounds(overage, slack float64) Option {
	return func(o *Options) { o.WarmOverage, o.WarmSlack = overage, slack }
}

// WithMayWait sets the function that reports whether a request may be queued or stay queued.
func WithMayWait(f func(d Demand) bool) Option { return func(o *Options) { o.MayWait = f } }

// WithOnEject sets the function that is called for each backend server that this VM ejects.
func WithOnEject(f func(server id.Server, share float64, duration time.Duration)) Option {
	return func(o *Options) { o.OnEject = f }
}

// WithOnRequestLimit sets the function that is called for each change of a backend server's request limit.
func WithOnRequestLimit(f func(server id.Server, rate ratelimit.Rate)) Option {
	return func(o *Options) { o.OnRequestLimit = f }
}

// WithOnPause sets the function that is called for each pause that a backend server asks of this VM.
func WithOnPause(f func(server id.Server, duration time.Duration)) Option {
	return func(o *Options) { o.OnPause = f }
}

// WithOnLateWarmup sets the function that is called when this VM has sent requests to a backend server that turns out to be cold.
func WithOnLateWarmup(f func(server id.Server, left time.Duration, sent int)) Option {
	return func(o *Options) { o.OnLateWarmup = f }
}

func newOptions(opts []Option) Options {
	o := Options{
		Clock: clock.System{}, Random: rand.Float64, Peers: func() int { return 1 }, WarmOverage: 1, WarmSlack: 0,
		MayWait: func(Demand) bool { return true },
		OnEject: func(id.Server, float64, time.Duration) {}, OnRequestLimit: func(id.Server, ratelimit.Rate) {},
		OnPause: func(id.Server, time.Duration) {}, OnLateWarmup: func(id.Server, time.Duration, int) {},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
