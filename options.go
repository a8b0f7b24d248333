package hickorylug

import (
	"log/slog"

	"github.com/hickorylug/hickorylug/protocol/trace"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/settings"
)

// Options are the options of a VM.
type Options struct {
	Settings settings.Settings
	Clock    clock.Clock
	Log      *slog.Logger
	Tracer   *trace.Tracer
	// Drop discards datagrams to the addresses for which it returns true. It is for tests.
	Drop func(address string) bool
}

// Option sets one of the Options.
type Option func(*Options)

// WithSettings sets the process settings; the default is settings.Defaults.
func WithSettings(s settings.Settings) Option { return func(o *Options) { o.Settings = s } }

// WithClock sets the clock; the default is the system clock.
func WithClock(c clock.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithLog sets the logger; the default is slog.Default.
func WithLog(l *slog.Logger) Option { return func(o *Options) { o.Log = l } }

// WithTracer sets the tracer; by default no traces are recorded.
func WithTracer(t *trace.Tracer) Option { return func(o *Options) { o.Tracer = t } }

// WithDrop sets the function that selects datagrams to discard, for tests.
func WithDrop(f func(address string) bool) Option { return func(o *Options) { o.Drop = f } }

func newOptions(opts []Option) Options {
	o := Options{
		Settings: settings.Defaults(),
		Clock:    clock.System{},
		Log:      slog.Default(),
		Tracer:   trace.Noop(),
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
