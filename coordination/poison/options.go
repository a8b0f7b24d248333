package poison

import (
	"time"

	"github.com/hickorylug/hickorylug/state/fleet"
)

// Cause is why a ledger drops evidence.
type Cause string

// Causes of dropped evidence.
const (
	// RanWell means that the request has run to a good end.
	RanWell Cause = "ran well"
	// Refuted means that the process answered a request that was sent after the signs of its crash.
	Refuted Cause = "the process answers"
	// Expired means that the crash is too old to count.
	Expired Cause = "expired"
	// Full means that the ledger had no room for all crashes.
	Full Cause = "too many crashes"
)

// Options configure a ledger.
type Options struct {
	// OnReport is called with what the other VMs have to be told.
	OnReport func(r Report)
	// OnDrop is called when suspects of a process's crash are dropped. It must not call the ledger.
	OnDrop func(p fleet.Incarnation, cause Cause, suspects []Fingerprint)
	// UnrecordedDelay is how long a VM waits for the leader to record its evidence before it writes the record itself.
	UnrecordedDelay time.Duration
}

// Option sets one of the Options.
type Option func(*Options)

// WithOnReport sets the function that is called with what the other VMs have to be told.
func WithOnReport(f func(Report)) Option { return func(o *Options) { o.OnReport = f } }

// WithOnDrop sets the function that is called when suspects are dropped.
func WithOnDrop(f func(fleet.Incarnation, Cause, []Fingerprint)) Option {
	return func(o *Options) { o.OnDrop = f }
}

// WithUnrecordedDelay sets how long a VM waits for the leader to record its evidence.
func WithUnrecordedDelay(d time.Duration) Option { return func(o *Options) { o.UnrecordedDelay = d } }

func newOptions(opts []Option) Options {
	o := Options{OnReport: func(Report) {}, OnDrop: func(fleet.Incarnation, Cause, []Fingerprint) {}, UnrecordedDelay: unrecordedDelay}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
