package platform

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// Default settings of a client; the rates are what all clients of the store may use together.
const (
	defaultTimeout = 2 * time.Second
	defaultReads   = 1500.0
	defaultWrites  = 300.0
	burst          = 30
	// leastShare is the rate that a client has among however many, in calls per second.
	leastShare = 0.5
)

// Options are the settings of a client.
type Options struct {
	Timeout   time.Duration
	HTTP      *http.Client
	CallStats *CallStats

	readBudget, writeBudget float64

	reads  *rate.Limiter
	writes *rate.Limiter
}

// Option changes one setting.
type Option func(*Options)

// WithTimeout bounds each call.
func WithTimeout(d time.Duration) Option {
	return func(o *Options) { o.Timeout = d }
}

// WithReadRate bounds the reads and watches per second of all clients together.
func WithReadRate(perSecond float64) Option {
	return func(o *Options) { o.readBudget = perSecond }
}

// WithWriteRate bounds the writes per second of all clients together.
func WithWriteRate(perSecond float64) Option {
	return func(o *Options) { o.writeBudget = perSecond }
}

// WithCallStats counts the calls in c.
func WithCallStats(c *CallStats) Option {
	return func(o *Options) { o.CallStats = c }
}

func newOptions(opts []Option) Options {
	o := Options{
		Timeout:   defaultTimeout,
		HTTP:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}},
		CallStats: &CallStats{},
	}
	WithReadRate(defaultReads)(&o)
	WithWriteRate(defaultWrites)(&o)
	for _, opt := range opts {
		opt(&o)
	}
	o.reads = rate.NewLimiter(rate.Limit(o.readBudget), burst)
	o.writes = rate.NewLimiter(rate.Limit(o.writeBudget), burst)
	return o
}
