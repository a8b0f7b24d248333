package lease

import "time"

// Timing holds the times of a lease.
type Timing struct {
	// TTL is the time that a renewal is good for, before the drift allowance.
	TTL time.Duration
	// RenewPeriod is the time between two renewals.
	RenewPeriod time.Duration
	// SilenceTimeout is the time without a renewal after which a witness counts the holder as lost.
	SilenceTimeout time.Duration
	// MaxDriftPerMille is the most that two clocks may differ in speed.
	MaxDriftPerMille int64
}

// DefaultTiming serves a key again within a second of the loss of its holder.
var DefaultTiming = Timing{
	TTL:              600 * time.Millisecond,
	RenewPeriod:      200 * time.Millisecond,
	SilenceTimeout:   450 * time.Millisecond,
	MaxDriftPerMille: 5,
}

// hold is the time that a holder may count on a renewal.
func (t Timing) hold() time.Duration {
	return t.TTL - t.TTL*time.Duration(t.MaxDriftPerMille)/1000
}

// WitnessTTL is the time that a witness refuses successors after it has answered a renewal.
func (t Timing) WitnessTTL() time.Duration {
	return t.TTL + t.TTL*time.Duration(t.MaxDriftPerMille)/1000
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
