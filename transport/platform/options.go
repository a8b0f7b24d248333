package platform

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// Default settings of a client; the rates are one node's share of the store's budget.
const (
	defaultTimeout = 2 * time.Second
	defaultReads   = 3.0
	defaultWrites  = 2.0
	burst          = 30
)

// Options are the settings of a client.
type Options struct {
	Timeout time.Duration
	HTTP    *http.Client
	Calls   *Calls

	reads  *rate.Limiter
	writes *rate.Limiter
}

// Option changes one setting.
type Option func(*Options)

// WithTimeout bounds each call.
func WithTimeout(d time.Duration) Option {
	return func(o *Options) { o.Timeout = d }
}

// WithReads bounds the reads and watches per second.
func WithReads(perSecond float64) Option {
	return func(o *Options) { o.reads = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithWrites bounds the writes per second.
func WithWrites(perSecond float64) Option {
	return func(o *Options) { o.writes = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithCalls counts the calls in c.
func WithCalls(c *Calls) Option {
	return func(o *Options) { o.Calls = c }
}

func newOptions(opts []Option) Options {
	o := Options{
		Timeout: defaultTimeout,
		HTTP:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}},
		Calls:   &Calls{},
	}
	WithReads(defaultReads)(&o)
	WithWrites(defaultWrites)(&o)
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
