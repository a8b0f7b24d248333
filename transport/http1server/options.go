package http1server

import (
	"net/http"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
)

// Options are the settings of a Server.
type Options struct {
	Clock clock.Clock
	// HeaderTimeout limits the time in which a request's header is read, and ReadTimeout the time for the whole request; 0 means no limit.
	HeaderTimeout time.Duration
	ReadTimeout   time.Duration
	// IdleTimeout is how long a connection may wait for another request.
	IdleTimeout time.Duration
	// MaxHeaderBytes limits a request's header; 0 means the default of net/http.
	MaxHeaderBytes int
	// Quota limits the memory for long heads of requests.
	Quota Quota
	// RequestID returns the name under which a request is reported.
	RequestID func(r *http.Request) string
	// OnLost is called for each request whose connection ends before its response is written.
	OnLost func(l Lost)
	// OnPanic is called with the value and the stack of a panic of the handler.
	OnPanic func(value any, stack []byte)
}

// Quota limits memory that connections share.
type Quota interface {
	// Take takes n bytes and reports whether they were available.
	Take(n int) bool
	// GiveBack gives n bytes back that were taken.
	GiveBack(n int)
}

// unlimited is a quota without a limit.
type unlimited struct{}

// Take implements Quota.
func (unlimited) Take(int) bool { return true }

// GiveBack implements Quota.
func (unlimited) GiveBack(int) {}

// Defaults of the options.
const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 90 * time.Second
)

// Option sets one of the Options.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithTimeouts sets the limits for the time in which a request's header and the whole request are read, and for the time between requests.
func WithTimeouts(header, read, idle time.Duration) Option {
	return func(o *Options) { o.HeaderTimeout, o.ReadTimeout, o.IdleTimeout = header, read, idle }
}

// WithMaxHeaderBytes sets the limit of a request's header, in bytes.
func WithMaxHeaderBytes(n int) Option { return func(o *Options) { o.MaxHeaderBytes = n } }

// WithQuota sets the quota for long heads of requests. A connection whose head finds it used up ends.
func WithQuota(q Quota) Option { return func(o *Options) { o.Quota = q } }

// WithRequestID sets the function that returns the name under which a request is reported.
func WithRequestID(f func(r *http.Request) string) Option {
	return func(o *Options) { o.RequestID = f }
}

// WithOnLost sets the function that is called for each request whose connection ends before its response is written.
func WithOnLost(f func(l Lost)) Option { return func(o *Options) { o.OnLost = f } }

// WithOnPanic sets the function that is called with the value and the stack of a panic of the handler.
func WithOnPanic(f func(value any, stack []byte)) Option { return func(o *Options) { o.OnPanic = f } }

func newOptions(opts []Option) Options {
	o := Options{
		Clock: clock.System{}, Quota: unlimited{}, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		RequestID: func(r *http.Request) string { return r.Method + " " + r.URL.Path },
		OnLost:    func(Lost) {}, OnPanic: func(any, []byte) {},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
