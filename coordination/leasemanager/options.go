package leasemanager

import (
	"time"

	"github.com/hickorylug/hickorylug/coordination/lease"
)

// Options are the settings of a keeper.
type Options struct {
	Timing lease.Timing
	// CandidateDelay separates the tries of VMs that might take over the same lease.
	CandidateDelay time.Duration
	// VacateDelay is the time that witnesses elsewhere leave to a successor in the failure domain.
	VacateDelay time.Duration
	// SwapBackoff is the time between two tries for the same lease.
	SwapBackoff time.Duration
	// SwapTimeout is the time after which a swap without an answer is given up.
	SwapTimeout time.Duration
	// MissingHolderTimeout is the time for which a holder must not be seen by a VM that is no witness.
	MissingHolderTimeout time.Duration
	// MissingHolderRetryPeriod is the time between two tries to succeed a holder that only membership misses.
	MissingHolderRetryPeriod time.Duration
	// SettlingTime is the time after the start in which a process takes no lease, so that it gets to know the others.
	SettlingTime time.Duration
	// ImproveWitnessesPeriod is the time between two changes of witnesses that all answer.
	ImproveWitnessesPeriod time.Duration
}

// Option changes one setting.
type Option func(*Options)

// WithTiming sets the times of the leases.
func WithTiming(t lease.Timing) Option { return func(o *Options) { o.Timing = t } }

func newOptions(opts []Option) Options {
	o := Options{
		Timing:                   lease.DefaultTiming,
		CandidateDelay:           150 * time.Millisecond,
		VacateDelay:              300 * time.Millisecond,
		SwapBackoff:              250 * time.Millisecond,
		SwapTimeout:              4 * time.Second,
		MissingHolderTimeout:     2 * time.Second,
		MissingHolderRetryPeriod: 5 * time.Second,
		SettlingTime:             3 * time.Second,
		ImproveWitnessesPeriod:   2 * time.Second,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
