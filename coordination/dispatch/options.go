package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// Options are the settings of a dispatcher.
type Options struct {
	Clock clock.Clock
	// Random returns a number from 0 to below 1; it breaks ties.
	Random func() float64
	// Peers returns the number of VMs that share the backend servers.
	Peers func() int
	// WarmOverage and WarmSlack are what a cold backend server bears beyond its rate, as a factor and in requests.
	WarmOverage float64
	WarmSlack   float64
	// OnEject is told of each backend server that this VM begins to leave alone, with the share of failures among its
	// answers; it must not call the dispatcher.
	OnEject func(server id.Server, share float64, duration time.Duration)
}

// Option changes one setting.
type Option func(*Options)

// WithClock sets the source of time.
func WithClock(c clock.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithRandom sets the source of random numbers.
func WithRandom(f func() float64) Option { return func(o *Options) { o.Random = f } }

// WithPeers sets the function that counts the VMs.
func WithPeers(f func() int) Option { return func(o *Options) { o.Peers = f } }

// WithWarmBounds sets what cold backend servers bear beyond their rate.
func WithWarmBounds(overage, slack float64) Option {
	return func(o *Options) { o.WarmOverage, o.WarmSlack = overage, slack }
}

// WithOnEject sets the function that is told of backend servers that are ejected.
func WithOnEject(f func(server id.Server, share float64, duration time.Duration)) Option {
	return func(o *Options) { o.OnEject = f }
}

func newOptions(opts []Option) Options {
	o := Options{
		Clock: clock.System{}, Random: rand.Float64, Peers: func() int { return 1 }, WarmOverage: 1, WarmSlack: 0,
		OnEject: func(id.Server, float64, time.Duration) {},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
