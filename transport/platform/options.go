package platform

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/hickorylug/hickorylug/transport/http1"
)

// Default settings of a client; the rates are in calls per second and are shared by all clients of the store.
const (
	defaultTimeout   = 2 * time.Second
	defaultReadRate  = 1500.0
	defaultWriteRate = 300.0
	burstCalls       = 30
	// minClientRate is the rate that a client keeps however many clients there are, in calls per second.
	minClientRate = 0.5
)

// Options are the settings of a client.
type Options struct {
	// Timeout bounds each call; a watch may take its wait time in addition.
	Timeout   time.Duration
	HTTP      *http.Client
	CallStats *CallStats

	// readRate and writeRate are the rates of all clients together, in calls per second.
	readRate, writeRate float64

	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
}

// Option sets one of the options.
type Option func(*Options)

// WithTimeout sets the timeout of each call; a watch may take its wait time in addition.
func WithTimeout(d time.Duration) Option {
	return func(o *Options) { o.Timeout = d }
}

// WithReadRate sets the rate of reads and watches of all clients together, in calls per second.
func WithReadRate(perSecond float64) Option {
	return func(o *Options) { o.readRate = perSecond }
}

// WithWriteRate sets the rate of writes of all clients together, in calls per second.
func WithWriteRate(perSecond float64) Option {
	return func(o *Options) { o.writeRate = perSecond }
}

// WithCallStats sets the counters of the calls.
func WithCallStats(s *CallStats) Option {
	return func(o *Options) { o.CallStats = s }
}

func newOptions(opts []Option) Options {
	o := Options{
		Timeout:   defaultTimeout,
		HTTP:      &http.Client{Transport: http1.NewTransport(&http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes})},
		CallStats: &CallStats{},
	}
	WithReadRate(defaultReadRate)(&o)
	WithWriteRate(defaultWriteRate)(&o)
	for _, opt := range opts {
		opt(&o)
	}
	o.readLimiter = rate.NewLimiter(rate.Limit(o.readRate), burstCalls)
	o.writeLimiter = rate.NewLimiter(rate.Limit(o.writeRate), burstCalls)
	return o
}
