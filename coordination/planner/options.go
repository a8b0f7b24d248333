package planner

import "time"

// Defaults of the options of a plan.
const (
	defaultMaxLoadRatio      = 1.15
	defaultMaxChurn          = 0.04
	defaultHotKeyShare       = 0.2
	defaultMaxIsolatedKeys   = 64
	defaultMinSliceRate      = 0.01
	defaultMeasurementWindow = 10 * time.Second
)

// Options holds the settings of a plan.
type Options struct {
	// MaxLoadRatio is the ratio to the mean load that an owner may reach before slices are moved from it.
	MaxLoadRatio float64
	// MaxChurn is the share of slices that may move for balance in one plan.
	MaxChurn float64
	// HotKeyShare is the ratio of a key's rate to the mean load of an owner above which the key is isolated.
	HotKeyShare float64
	// MaxIsolatedKeys bounds the number of isolated keys of a table.
	MaxIsolatedKeys int
	// MinSliceRate is added to the request rate of every slice, so that slices without requests count, too.
	MinSliceRate float64
	// MeasurementWindow is the time over which requests were counted to measure the load.
	MeasurementWindow time.Duration
	// NoBalance omits all moves that only balance the load.
	NoBalance bool
}

// Option sets one option.
type Option func(*Options)

// WithMaxLoadRatio sets the ratio to the mean load above which slices are moved from an owner.
func WithMaxLoadRatio(v float64) Option { return func(o *Options) { o.MaxLoadRatio = v } }

// WithMaxChurn sets the share of slices that may move for balance in one plan.
func WithMaxChurn(v float64) Option { return func(o *Options) { o.MaxChurn = v } }

// WithoutBalance omits all moves that only balance the load.
func WithoutBalance() Option { return func(o *Options) { o.NoBalance = true } }

func newOptions(opts []Option) Options {
	o := Options{
		MaxLoadRatio:      defaultMaxLoadRatio,
		MaxChurn:          defaultMaxChurn,
		HotKeyShare:       defaultHotKeyShare,
		MaxIsolatedKeys:   defaultMaxIsolatedKeys,
		MinSliceRate:      defaultMinSliceRate,
		MeasurementWindow: defaultMeasurementWindow,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
