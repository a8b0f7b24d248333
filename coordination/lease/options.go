package lease

import "time"

// Timing holds the durations of a lease.
type Timing struct {
	// TTL is the time for which a renewal is valid, before the allowance for clock drift.
	TTL time.Duration
	// RenewPeriod is the time between two renewals.
	RenewPeriod time.Duration
	// SilenceTimeout is the time without a renewal after which a witness considers the holder lost.
	SilenceTimeout time.Duration
	// MaxDriftPerMille is the largest difference in the rate of two clocks, in thousandths.
	MaxDriftPerMille int64
}

// DefaultTiming lets a successor serve a group's keys within a second of the loss of the lease holder.
var DefaultTiming = Timing{
	TTL:              600 * time.Millisecond,
	RenewPeriod:      200 * time.Millisecond,
	SilenceTimeout:   450 * time.Millisecond,
	MaxDriftPerMille: 5,
}

// holderTTL returns the time for which a holder may rely on a granted renewal: TTL less the drift allowance.
func (t Timing) holderTTL() time.Duration {
	return t.TTL - t.TTL*time.Duration(t.MaxDriftPerMille)/1000
}

// WitnessTTL returns the time for which successors must wait after a witness has granted a renewal: TTL plus the drift
// allowance.
func (t Timing) WitnessTTL() time.Duration {
	return t.TTL + t.TTL*time.Duration(t.MaxDriftPerMille)/1000
}

// Options holds the settings of a Holder, Witness or Takeover.
type Options struct {
	Timing Timing
}

// Option sets one field of Options.
type Option func(*Options)

// WithTiming sets the durations of the lease.
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
