package idempotency

import (
	"time"

	"github.com/hickorylug/hickorylug/state/table"
)

// Default settings of a memory.
const (
	defaultRemember       = 10 * time.Minute
	defaultMaxBytes       = 8 << 20
	defaultClockAllowance = 250 * time.Millisecond
)

// Options are the settings of a memory.
type Options struct {
	// Retention is the time for which an answer is kept.
	Retention time.Duration
	// MaxBytes bounds the memory.
	MaxBytes int
	// MaxClockSkew is the most that a caller's clock may be ahead of the VMs'.
	MaxClockSkew time.Duration
	// Entries are what a former holder remembers.
	Entries []FinishedEntry
	// Claimed holds the identities that a lost holder may have run.
	Claimed map[table.Hash]bool
}

// Option changes one setting.
type Option func(*Options)

// WithRetention sets the time for which an answer is kept.
func WithRetention(d time.Duration) Option { return func(o *Options) { o.Retention = d } }

// WithMaxBytes bounds the memory.
func WithMaxBytes(n int) Option { return func(o *Options) { o.MaxBytes = n } }

// WithMaxClockSkew sets the most that a caller's clock may be ahead.
func WithMaxClockSkew(d time.Duration) Option {
	return func(o *Options) { o.MaxClockSkew = d }
}

// WithEntries sets what a former holder remembers.
func WithEntries(kept []FinishedEntry) Option { return func(o *Options) { o.Entries = kept } }

// WithClaimed sets the identities that a lost holder may have run.
func WithClaimed(claimed map[table.Hash]bool) Option {
	return func(o *Options) { o.Claimed = claimed }
}

func newOptions(opts []Option) Options {
	o := Options{Retention: defaultRemember, MaxBytes: defaultMaxBytes, MaxClockSkew: defaultClockAllowance}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
