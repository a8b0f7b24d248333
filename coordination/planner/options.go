package planner

import "time"

// Default settings of a plan.
const (
	defaultBound   = 1.15
	defaultChurn   = 0.04
	defaultHotKey  = 0.2
	defaultMaxKeys = 64
	defaultFloor   = 0.01
	defaultWindow  = 10 * time.Second
)

// Options are the settings of a plan.
type Options struct {
	// MaxLoadRatio is the ratio to the mean load that an owner may reach before slices move.
	MaxLoadRatio float64
	// MaxChurn is the share of slices that may move in one plan for the sake of balance.
	MaxChurn float64
	// HotKeyShare is the share of the mean load from which a single key is isolated.
	HotKeyShare float64
	// MaxIsolatedKeys bounds the number of isolated keys.
	MaxIsolatedKeys int
	// MinSliceRate is the load that every slice counts at least.
	MinSliceRate float64
	// MeasurementWindow is the time over which the load was counted.
	MeasurementWindow time.Duration
	// NoBalance leaves out all moves that only even out the load.
	NoBalance bool
}

// Option changes one setting.
type Option func(*Options)

// WithMaxLoadRatio sets the ratio to the mean load from which slices move.
func WithMaxLoadRatio(v float64) Option { return func(o *Options) { o.MaxLoadRatio = v } }

// WithMaxChurn sets the share of slices that may move in one plan.
func WithMaxChurn(v float64) Option { return func(o *Options) { o.MaxChurn = v } }

// WithoutBalance leaves out all moves that only even out the load.
func WithoutBalance() Option { return func(o *Options) { o.NoBalance = true } }

func newOptions(opts []Option) Options {
	o := Options{
		MaxLoadRatio:      defaultBound,
		MaxChurn:          defaultChurn,
		HotKeyShare:       defaultHotKey,
		MaxIsolatedKeys:   defaultMaxKeys,
		MinSliceRate:      defaultFloor,
		MeasurementWindow: defaultWindow,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
