package idempotency

import (
	"time"

	"github.com/hickorylug/hickorylug/state/table"
)

// Default settings of a Deduplicator.
const (
	defaultRetention    = 10 * time.Minute
	defaultMaxBytes     = 8 << 20
	defaultMaxClockSkew = 250 * time.Millisecond
)

// Options holds the settings of a Deduplicator.
type Options struct {
	// Retention is the time for which an answer is stored.
	Retention time.Duration
	// MaxBytes bounds the memory use of all entries, in bytes.
	MaxBytes int
	// MaxClockSkew is the largest time by which a caller's clock may be ahead of the VMs' clocks.
	MaxClockSkew time.Duration
	// Entries holds the finished entries of the previous lease holder.
	Entries []FinishedEntry
	// Claimed holds the identities that a lost lease holder has claimed and may have run.
	Claimed map[table.Hash]bool
}

// Option sets one field of Options.
type Option func(*Options)

// WithRetention sets the time for which an answer is stored.
func WithRetention(d time.Duration) Option { return func(o *Options) { o.Retention = d } }

// WithMaxBytes bounds the memory use of all entries, in bytes.
func WithMaxBytes(n int) Option { return func(o *Options) { o.MaxBytes = n } }

// WithMaxClockSkew sets the largest time by which a caller's clock may be ahead of the VMs' clocks.
func WithMaxClockSkew(d time.Duration) Option {
	return func(o *Options) { o.MaxClockSkew = d }
}

// WithEntries sets the finished entries of the previous lease holder.
func WithEntries(entries []FinishedEntry) Option {
	return func(o *Options) { o.Entries = entries }
}

// WithClaimed sets the identities that a lost lease holder has claimed and may have run.
func WithClaimed(claimed map[table.Hash]bool) Option {
	return func(o *Options) { o.Claimed = claimed }
}

func newOptions(opts []Option) Options {
	o := Options{Retention: defaultRetention, MaxBytes: defaultMaxBytes, MaxClockSkew: defaultMaxClockSkew}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
