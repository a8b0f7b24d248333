package poison

import "github.com/hickorylug/hickorylug/state/fleet"

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
	// Full means that too many crashes are recorded.
	Full Cause = "too many crashes"
)

// Options configure a ledger.
type Options struct {
	// OnReport is called with what the other VMs have to be told.
	OnReport func(r Report)
	// OnDrop is called when suspects of a process's crash are dropped. It must not call the ledger.
	OnDrop func(p fleet.Incarnation, cause Cause, suspects []Fingerprint)
}

// Option sets one of the Options.
type Option func(*Options)

// WithOnReport sets the function that is called with what the other VMs have to be told.
func WithOnReport(f func(Report)) Option { return func(o *Options) { o.OnReport = f } }

// WithOnDrop sets the function that is called when suspects are dropped.
func WithOnDrop(f func(fleet.Incarnation, Cause, []Fingerprint)) Option {
	return func(o *Options) { o.OnDrop = f }
}

func newOptions(opts []Option) Options {
	o := Options{OnReport: func(Report) {}, OnDrop: func(fleet.Incarnation, Cause, []Fingerprint) {}}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
