package forward

import (
	"context"
	"time"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// Send makes one attempt; failure is nil if an answer came.
type Send func(ctx context.Context, a Attempt) (reply *Reply, failure *Failure)

// Options configure a forwarder.
type Options struct {
	Clock clock.Clock
	Send  Send
	// Crashes records which requests were in flight at crashed processes.
	Crashes *poison.Ledger
	// OnSuspect is called for each request that was sent to a backend server and got no answer, so that it may have crashed it.
	OnSuspect func(server id.Server, f poison.Fingerprint)
	// Probe is called when the port of a backend server has to be probed. It must not block; a closed port is reported by RecordCrash.
	Probe func(s fleet.Server)
	// Accepts reports whether a request may be sent to a backend server now; it is false where the VM stops before the answer may come.
	Accepts func(r *Request) bool
	// Observe is called after each attempt.
	Observe func(r *Request, s *dispatch.Slot, took time.Duration, reply *Reply, failure *Failure)
	// RetryShare is the number of retries that each request adds to the budget, and RetryBurst the maximum burst of retries.
	RetryShare float64
	RetryBurst func() float64
}

// Defaults of the retry budget.
const (
	defaultRetryShare = 0.1
	defaultRetryBurst = 5
)

// Option sets one of the Options.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithSend sets the function that makes attempts.
func WithSend(s Send) Option { return func(o *Options) { o.Send = s } }

// WithCrashes sets the ledger of requests that crash backend servers.
func WithCrashes(l *poison.Ledger) Option { return func(o *Options) { o.Crashes = l } }

// WithOnSuspect sets the function that is called for requests that may have crashed a backend server.
func WithOnSuspect(f func(id.Server, poison.Fingerprint)) Option {
	return func(o *Options) { o.OnSuspect = f }
}

// WithProbe sets the function that probes the port of a backend server.
func WithProbe(f func(fleet.Server)) Option { return func(o *Options) { o.Probe = f } }

// WithAccepts sets the function that reports whether a request may be sent now.
func WithAccepts(f func(*Request) bool) Option { return func(o *Options) { o.Accepts = f } }

// WithObserve sets the function that is called after each attempt.
func WithObserve(f func(*Request, *dispatch.Slot, time.Duration, *Reply, *Failure)) Option {
	return func(o *Options) { o.Observe = f }
}

// WithRetries sets the retry budget of each service: the retries that each request adds, and the maximum burst of retries.
func WithRetries(share float64, burst func() float64) Option {
	return func(o *Options) { o.RetryShare, o.RetryBurst = share, burst }
}

func newOptions(opts []Option) Options {
	o := Options{
		Clock: clock.System{}, Crashes: poison.NewLedger(),
		OnSuspect:  func(id.Server, poison.Fingerprint) {},
		Probe:      func(fleet.Server) {},
		Accepts:    func(*Request) bool { return true },
		Observe:    func(*Request, *dispatch.Slot, time.Duration, *Reply, *Failure) {},
		RetryShare: defaultRetryShare, RetryBurst: func() float64 { return defaultRetryBurst },
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
