package hickorylug

import (
	"log/slog"

	"github.com/hickorylug/hickorylug/protocol/trace"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/settings"
)

// Options are the settings of a VM.
type Options struct {
	Settings settings.Settings
	Clock    clock.Clock
	Log      *slog.Logger
	Tracer   *trace.Tracer
	// Drop is a seam for tests: datagrams to an address for which it returns true are lost.
	Drop func(address string) bool
}

// Option changes one setting.
type Option func(*Options)

// WithSettings sets the settings of the process.
func WithSettings(s settings.Settings) Option { return func(o *Options) { o.Settings = s } }

// WithClock sets the source of time.
func WithClock(c clock.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithLog sets the logger.
func WithLog(l *slog.Logger) Option { return func(o *Options) { o.Log = l } }

// WithTracer sets the tracer.
func WithTracer(t *trace.Tracer) Option { return func(o *Options) { o.Tracer = t } }

// WithDrop sets which datagrams are lost, for tests.
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
