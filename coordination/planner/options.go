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
	// Bound is the ratio to the mean load that an owner may reach before slices move.
	Bound float64
	// Churn is the share of slices that may move in one plan for the sake of balance.
	Churn float64
	// HotKey is the share of the mean load from which a single key is isolated.
	HotKey float64
	// MaxKeys bounds the number of isolated keys.
	MaxKeys int
	// Floor is the load that every slice counts at least.
	Floor float64
	// Window is the time over which the load was counted.
	Window time.Duration
	// NoBalance leaves out all moves that only even out the load.
	NoBalance bool
}

// Option changes one setting.
type Option func(*Options)

// WithBound sets the ratio to the mean load from which slices move.
func WithBound(v float64) Option { return func(o *Options) { o.Bound = v } }

// WithChurn sets the share of slices that may move in one plan.
func WithChurn(v float64) Option { return func(o *Options) { o.Churn = v } }

// WithoutBalance leaves out all moves that only even out the load.
func WithoutBalance() Option { return func(o *Options) { o.NoBalance = true } }

func newOptions(opts []Option) Options {
	o := Options{
		Bound:   defaultBound,
		Churn:   defaultChurn,
		HotKey:  defaultHotKey,
		MaxKeys: defaultMaxKeys,
		Floor:   defaultFloor,
		Window:  defaultWindow,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
