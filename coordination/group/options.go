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

// Shares of extra sendings in the real traffic, and how many may be saved up.
const (
	retryShare = 0.1
	retrySaved = 20
	hedgeShare = 0.05
	hedgeSaved = 5
)

// Options are the settings of a group.
type Options struct {
	Clock  clock.Clock
	Lease  Lease
	Pick   pick.Policy
	Poison *poison.Tracker
	Log    *slog.Logger
	Memory []idempotency.Option
	// Since is the time from which the memory of requests is complete.
	Since time.Time
	// LastKnownLimit returns what this VM has last seen of a backend server's limit, for a warm takeover.
	LastKnownLimit func(id.Server) (boot id.Incarnation, limit int)
	// OnServerLost is called when a backend server is lost or leaves.
	OnServerLost func(id.Server)
	// Detached reports whether the holder is cut off, with no other holder known.
	Detached func() bool
	// Claim announces a request that runs at most once to the successor, before it is sent.
	Claim func(ctx context.Context, g id.Group, identity string) error
	// Recall asks the group that had a slice before whether it has seen a request.
	Recall func(ctx context.Context, from id.Group, i idempotency.ID, place table.Hash) (kept idempotency.FinishedEntry, found, known bool)
	// OnServerCrash is called when a request was in flight at a backend server that died.
	OnServerCrash func(f poison.Fingerprint, deaths int)
}

// Option changes one setting.
type Option func(*Options)

// WithClock sets the source of time.
func WithClock(c clock.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithLease sets the lease that the group works under.
func WithLease(l Lease) Option { return func(o *Options) { o.Lease = l } }

// WithPick sets the policy that chooses backend servers.
func WithPick(p pick.Policy) Option { return func(o *Options) { o.Pick = p } }

// WithPoison sets the tracker of requests that kill backend servers.
func WithPoison(t *poison.Tracker) Option { return func(o *Options) { o.Poison = t } }

// WithLog sets the logger.
func WithLog(l *slog.Logger) Option { return func(o *Options) { o.Log = l } }

// WithMemory sets the bounds of the memory and the time from which it is complete.
func WithMemory(since time.Time, opts ...idempotency.Option) Option {
	return func(o *Options) { o.Since, o.Memory = since, opts }
}

// WithLastKnownLimit sets the source of limits for a warm takeover.
func WithLastKnownLimit(f func(id.Server) (id.Incarnation, int)) Option {
	return func(o *Options) { o.LastKnownLimit = f }
}

// WithOnServerLost sets the function that is told of lost backend servers.
func WithOnServerLost(f func(id.Server)) Option { return func(o *Options) { o.OnServerLost = f } }

// WithOnServerCrash sets the function that is told of suspects.
func WithOnServerCrash(f func(poison.Fingerprint, int)) Option {
	return func(o *Options) { o.OnServerCrash = f }
}

// WithDetached sets the function that tells whether the holder is cut off.
func WithDetached(f func() bool) Option { return func(o *Options) { o.Detached = f } }

// WithClaim sets the way to announce requests to the successor.
func WithClaim(f func(context.Context, id.Group, string) error) Option {
	return func(o *Options) { o.Claim = f }
}

// WithRecall sets the way to ask the group that had a slice before.
func WithRecall(f func(context.Context, id.Group, idempotency.ID, table.Hash) (idempotency.FinishedEntry, bool, bool)) Option {
	return func(o *Options) { o.Recall = f }
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
		Recall: func(context.Context, id.Group, idempotency.ID, table.Hash) (idempotency.FinishedEntry, bool, bool) {
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
