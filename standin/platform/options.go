package platform

import (
	"time"

	"github.com/hickorylug/hickorylug/protocol/store"
)

// Default rate limits of the store in calls per second, and lag of the list of VMs.
const (
	defaultReads   = 2000
	defaultWrites  = 400
	defaultListLag = 2 * time.Second
)

// Options configure the stand-in.
type Options struct {
	// Reads and Writes are the rate limits of the store, in calls per second.
	Reads, Writes int
	// ListLag is the time until a change of the list of VMs becomes visible.
	ListLag time.Duration
	// OnWrite is called for every write that takes effect, while the stand-in is locked.
	OnWrite func(store.Item)
}

// Option changes one of the Options.
type Option func(*Options)

// WithRates sets the rate limits of the store, in calls per second.
func WithRates(reads, writes int) Option {
	return func(o *Options) { o.Reads, o.Writes = reads, writes }
}

// WithListLag sets the time until a change of the list of VMs becomes visible.
func WithListLag(d time.Duration) Option { return func(o *Options) { o.ListLag = d } }

// WithOnWrite sets the function that is called for every write that takes effect.
func WithOnWrite(f func(store.Item)) Option { return func(o *Options) { o.OnWrite = f } }

func newOptions(opts []Option) Options {
	o := Options{Reads: defaultReads, Writes: defaultWrites, ListLag: defaultListLag}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
