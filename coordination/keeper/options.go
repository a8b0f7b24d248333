package keeper

import (
	"time"

	"github.com/hickorylug/hickorylug/coordination/lease"
)

// Options are the settings of a keeper.
type Options struct {
	Timing lease.Timing
	// TurnDelay separates the tries of VMs that might take over the same lease.
	TurnDelay time.Duration
	// VacateDelay is the time that witnesses elsewhere leave to a successor in the failure domain.
	VacateDelay time.Duration
	// SwapBackoff is the time between two tries for the same lease.
	SwapBackoff time.Duration
	// SwapPatience is the time after which a swap without an answer is given up.
	SwapPatience time.Duration
	// UnseenPatience is the time for which a holder must not be seen by a VM that is no witness.
	UnseenPatience time.Duration
	// UnseenPeriod is the time between two tries to succeed a holder that only membership misses.
	UnseenPeriod time.Duration
	// SettleTime is the time after the start in which a process takes no lease, so that it gets to know the others.
	SettleTime time.Duration
	// ImproveAfter is the time between two changes of witnesses that all answer.
	ImproveAfter time.Duration
}

// Option changes one setting.
type Option func(*Options)

// WithTiming sets the times of the leases.
func WithTiming(t lease.Timing) Option { return func(o *Options) { o.Timing = t } }

func newOptions(opts []Option) Options {
	o := Options{
		Timing:         lease.DefaultTiming,
		TurnDelay:      150 * time.Millisecond,
		VacateDelay:    300 * time.Millisecond,
		SwapBackoff:    250 * time.Millisecond,
		SwapPatience:   4 * time.Second,
		UnseenPatience: 2 * time.Second,
		UnseenPeriod:   5 * time.Second,
		SettleTime:     3 * time.Second,
		ImproveAfter:   2 * time.Second,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
