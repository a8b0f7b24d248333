package platform

import (
	"time"

	"github.com/hickorylug/hickorylug/protocol/store"
)

// Default rates of the store, and the lag of the list of VMs.
const (
	defaultReads   = 2000
	defaultWrites  = 400
	defaultListLag = 2 * time.Second
)

// Options are the settings of the stand-in.
type Options struct {
	// Reads and Writes are the calls that the store takes in a second.
	Reads, Writes int
	ListLag       time.Duration
	// OnWrite is called for every write that takes effect.
	OnWrite func(store.Item)
}

// Option changes one setting.
type Option func(*Options)

// WithRates sets the calls that the store takes in a second.
func WithRates(reads, writes int) Option {
	return func(o *Options) { o.Reads, o.Writes = reads, writes }
}

// WithListLag sets the lag of the list of VMs.
func WithListLag(d time.Duration) Option { return func(o *Options) { o.ListLag = d } }

// WithOnWrite sets the function that is told of every write.
func WithOnWrite(f func(store.Item)) Option { return func(o *Options) { o.OnWrite = f } }

func newOptions(opts []Option) Options {
	o := Options{Reads: defaultReads, Writes: defaultWrites, ListLag: defaultListLag}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
