package edge

import (
	"context"
	"io"
	"log"
	"log/slog"
	"net"

	"github.com/hickorylug/hickorylug/state/clock"
)

// Options are the settings of an entry VM that don't come from its settings file.
type Options struct {
	Clock clock.Clock
	Log   *slog.Logger
	// OnScale is called with the number of backend servers whenever it has changed.
	OnScale func(servers int)
	// Dial opens connections to backend servers; nil means plain TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Option sets one of the Options.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithLog sets the logger.
func WithLog(l *slog.Logger) Option { return func(o *Options) { o.Log = l } }

// WithOnScale sets the function that is called with the number of backend servers whenever it has changed.
func WithOnScale(f func(servers int)) Option { return func(o *Options) { o.OnScale = f } }

// WithDial sets the function that opens connections to backend servers.
func WithDial(f func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(o *Options) { o.Dial = f }
}

func newOptions(opts []Option) Options {
	o := Options{Clock: clock.System{}, Log: slog.Default(), OnScale: func(int) {}}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// discardLogger returns a logger that discards net/http's messages about broken caller connections, which are not failures of this system.
func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }
