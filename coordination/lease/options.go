package lease

import "time"

// Timing holds the times of a lease.
type Timing struct {
	// Length is the time that a renewal is good for, before the drift allowance.
	Length time.Duration
	// Renewal is the time between two renewals.
	Renewal time.Duration
	// Silence is the time without a renewal after which a witness counts the holder as lost.
	Silence time.Duration
	// DriftPerMille is the most that two clocks may differ in speed.
	DriftPerMille int64
}

// DefaultTiming serves a key again within a second of the loss of its holder.
var DefaultTiming = Timing{
	Length:        600 * time.Millisecond,
	Renewal:       200 * time.Millisecond,
	Silence:       450 * time.Millisecond,
	DriftPerMille: 5,
}

// hold is the time that a holder may count on a renewal.
func (t Timing) hold() time.Duration {
	return t.Length - t.Length*time.Duration(t.DriftPerMille)/1000
}

// Promise is the time that a witness refuses successors after it has answered a renewal.
func (t Timing) Promise() time.Duration {
	return t.Length + t.Length*time.Duration(t.DriftPerMille)/1000
}

// Options are the settings of a Holder, Witness or Takeover.
type Options struct {
	Timing Timing
}

// Option changes one setting.
type Option func(*Options)

// WithTiming sets the times of the lease.
func WithTiming(t Timing) Option {
	return func(o *Options) { o.Timing = t }
}

func newOptions(opts []Option) Options {
	o := Options{Timing: DefaultTiming}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
