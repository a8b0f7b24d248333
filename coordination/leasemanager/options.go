package leasemanager

import (
	"time"

	"github.com/hickorylug/hickorylug/coordination/lease"
)

// Options holds the settings of a Manager.
type Options struct {
	Timing lease.Timing
	// CandidateDelay staggers the takeovers of VMs that are candidates for the same lease.
	CandidateDelay time.Duration
	// VacateDelay is the additional time that witnesses outside the group's failure domain wait for a successor within it.
	VacateDelay time.Duration
	// SwapBackoff is the time between two attempts to write the record of the same lease.
	SwapBackoff time.Duration
	// SwapTimeout is the time after which the manager stops waiting for the result of a write.
	SwapTimeout time.Duration
	// MissingHolderTimeout is the age of a record from which a VM that is not a witness takes over the lease of a holder
	// that is missing from the membership.
	MissingHolderTimeout time.Duration
	// MissingHolderRetryPeriod is the time between two such takeovers.
	MissingHolderRetryPeriod time.Duration
	// SettlingTime is the time after the start in which a process acquires no lease, so that it discovers the other VMs
	// first.
	SettlingTime time.Duration
	// ImproveWitnessesPeriod is the time between two changes of the witnesses while all of them answer.
	ImproveWitnessesPeriod time.Duration
}

// Option sets one field of Options.
type Option func(*Options)

// WithTiming sets the durations of the leases.
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
