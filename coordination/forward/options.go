package forward

import (
	"context"
	"time"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/state/clock"
)

// Send makes one sending; failure is nil where an answer came.
type Send func(ctx context.Context, s Attempt) (reply *Reply, failure *Failure)

// Options are the settings of a forwarder.
type Options struct {
	Clock clock.Clock
	Send  Send
	// Poison remembers the requests that crash backend servers.
	Poison *poison.Tracker
	// OnCrash is told of each request that was counted for the death of a backend server.
	OnCrash func(f poison.Fingerprint, deaths int)
	// Observe is told of each sending.
	Observe func(r *Request, s *dispatch.Slot, took time.Duration, reply *Reply, failure *Failure)
	// RetryShare is the number of further sendings for each request, and RetrySaved those that may be saved up.
	RetryShare float64
	RetryBurst func() float64
}

// Defaults of the retry budget.
const (
	defaultRetryShare = 0.1
	defaultRetrySaved = 5
)

// Option changes one setting.
type Option func(*Options)

// WithClock sets the source of time.
func WithClock(c clock.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithSend sets the way to backend servers.
func WithSend(s Send) Option { return func(o *Options) { o.Send = s } }

// WithPoison sets the memory of requests that crash backend servers.
func WithPoison(t *poison.Tracker) Option { return func(o *Options) { o.Poison = t } }

// WithOnCrash sets the function that is told of deaths.
func WithOnCrash(f func(poison.Fingerprint, int)) Option { return func(o *Options) { o.OnCrash = f } }

// WithObserve sets the function that is told of sendings.
func WithObserve(f func(*Request, *dispatch.Slot, time.Duration, *Reply, *Failure)) Option {
	return func(o *Options) { o.Observe = f }
}

// WithRetries sets the retry budget of each service.
func WithRetries(share float64, saved func() float64) Option {
	return func(o *Options) { o.RetryShare, o.RetryBurst = share, saved }
}

func newOptions(opts []Option) Options {
	o := Options{
		Clock: clock.System{}, Poison: poison.NewTracker(),
		OnCrash:    func(poison.Fingerprint, int) {},
		Observe:    func(*Request, *dispatch.Slot, time.Duration, *Reply, *Failure) {},
		RetryShare: defaultRetryShare, RetryBurst: func() float64 { return defaultRetrySaved },
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
