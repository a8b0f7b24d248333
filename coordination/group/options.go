package group

import (
	"context"
	"log/slog"
	"time"

	"github.com/hickorylug/hickorylug/coordination/idempotency"
	"github.com/hickorylug/hickorylug/coordination/pick"
	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// Retries and hedges per first attempt, and the most of each that may accumulate as a burst.
const (
	retryTokenRatio = 0.1
	maxRetryTokens  = 20
	hedgeTokenRatio = 0.05
	maxHedgeTokens  = 5
)

// Options holds the settings of a group.
type Options struct {
	Clock               clock.Clock
	Lease               Lease
	Pick                pick.Policy
	Poison              *poison.Tracker
	Log                 *slog.Logger
	DeduplicatorOptions []idempotency.Option
	// CompleteSince is the time from which the deduplication state is complete.
	CompleteSince time.Time
	// LastKnownLimit returns the incarnation and concurrency limit that this VM last knew of a backend server.
	//
	// With it a new lease holder doesn't treat servers as cold that are warm.
	LastKnownLimit func(id.Server) (boot id.Incarnation, limit int)
	// OnServerLost is called when a backend server is lost or starts draining.
	OnServerLost func(id.Server)
	// Detached reports whether this VM can't renew the lease while no other holder is known.
	Detached func() bool
	// Claim announces an at-most-once request to the successor before it is sent.
	Claim func(ctx context.Context, g id.Group, identity string) error
	// LookupPrevious asks the previous group of a slice whether it has run a request.
	LookupPrevious func(ctx context.Context, from id.Group, i idempotency.ID, place table.Hash) (kept idempotency.FinishedEntry, found, known bool)
	// OnServerCrash is called for a request that was in flight at a backend server when it crashed.
	OnServerCrash func(f poison.Fingerprint, deaths int)
}

// Option changes one of the Options.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithLease sets the lease under which the group sends requests.
func WithLease(l Lease) Option { return func(o *Options) { o.Lease = l } }

// WithPick sets the policy that chooses backend servers.
func WithPick(p pick.Policy) Option { return func(o *Options) { o.Pick = p } }

// WithPoison sets the tracker of poison requests, which crash backend servers.
func WithPoison(t *poison.Tracker) Option { return func(o *Options) { o.Poison = t } }

// WithLog sets the logger.
func WithLog(l *slog.Logger) Option { return func(o *Options) { o.Log = l } }

// WithDeduplication sets the options of the deduplication state and the time from which it is complete.
func WithDeduplication(since time.Time, opts ...idempotency.Option) Option {
	return func(o *Options) { o.CompleteSince, o.DeduplicatorOptions = since, opts }
}

// WithLastKnownLimit sets the source of the concurrency limits with which a new lease holder starts.
func WithLastKnownLimit(f func(id.Server) (id.Incarnation, int)) Option {
	return func(o *Options) { o.LastKnownLimit = f }
}

// WithOnServerLost sets the function that is called when a backend server is lost or starts draining.
func WithOnServerLost(f func(id.Server)) Option { return func(o *Options) { o.OnServerLost = f } }

// WithOnServerCrash sets the function that is called for a request that may have crashed a backend server.
func WithOnServerCrash(f func(poison.Fingerprint, int)) Option {
	return func(o *Options) { o.OnServerCrash = f }
}

// WithDetached sets the function that reports whether this VM can't renew the lease.
func WithDetached(f func() bool) Option { return func(o *Options) { o.Detached = f } }

// WithClaim sets the function that announces at-most-once requests to the successor.
func WithClaim(f func(context.Context, id.Group, string) error) Option {
	return func(o *Options) { o.Claim = f }
}

// WithLookupPrevious sets the function that asks the previous group of a slice about a request.
func WithLookupPrevious(f func(context.Context, id.Group, idempotency.ID, table.Hash) (idempotency.FinishedEntry, bool, bool)) Option {
	return func(o *Options) { o.LookupPrevious = f }
}

func newOptions(opts []Option) Options {
	o := Options{
		Clock:  clock.System{},
		Pick:   pick.LeastUtilized(),
		Poison: poison.NewTracker(),
		Log:    slog.Default(),
		Lease: Lease{
			Term:   func() id.Term { return 1 },
			Valid:  func() bool { return true },
			Expiry: func() clock.Instant { return 1 << 62 },
		},
		LastKnownLimit: func(id.Server) (id.Incarnation, int) { return "", 0 },
		Detached:       func() bool { return false },
		Claim:          func(context.Context, id.Group, string) error { return nil },
		LookupPrevious: func(context.Context, id.Group, idempotency.ID, table.Hash) (idempotency.FinishedEntry, bool, bool) {
			return idempotency.FinishedEntry{}, false, false
		},
		OnServerLost:  func(id.Server) {},
		OnServerCrash: func(poison.Fingerprint, int) {},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
