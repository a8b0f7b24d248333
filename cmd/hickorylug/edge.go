package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/edge"
	"github.com/hickorylug/hickorylug/state/settings"
	"github.com/hickorylug/hickorylug/transport/console"
)

const (
	// collectAt is the growth of the heap, in percent, at which garbage is collected; the heap of an entry VM is small.
	collectAt = 50
	// memoryPortion is the part of the process's memory that the collector works to keep.
	memoryPortion = 0.6
)

// edgeCommand runs an entry VM on the users' platform.
type edgeCommand struct {
	Settings string `help:"File with the settings, in JSON." required:"" type:"existingfile" env:"HICKORYLUG_BOOT"`
}

// Run serves until a signal comes.
func (c *edgeCommand) Run() (err error) {
	s, err := c.read()
	if err != nil {
		return err
	}
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(memoryPortion * float64(s.Memory.Int64())))
	var level slog.LevelVar
	if err := setLevel(&level, s); err != nil {
		return err
	}
	writing, stopWriting := context.WithCancel(context.Background())
	lines := console.NewWriter(os.Stdout)
	written := lines.Run(writing)
	defer func() {
		stopWriting()
		err = errors.CombineErrors(err, <-written)
	}()
	log := slog.New(slog.NewJSONHandler(lines, &slog.HandlerOptions{Level: &level}))
	e, err := edge.New(s, edge.WithLog(log))
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	watched := make(chan error, 1)
	watching, stopWatching := context.WithCancel(context.Background())
	go func() { watched <- c.watch(watching, reloads, log, &level) }()
	err = e.Run(ctx)
	stopWatching()
	return errors.CombineErrors(err, <-watched)
}

// lookPeriod is the time between two looks at the settings file, which may also change without a signal.
const lookPeriod = 5 * time.Second

// watch reads the settings again at each signal and whenever the file has changed, until the context ends.
func (c *edgeCommand) watch(ctx context.Context, reloads <-chan os.Signal, log *slog.Logger, level *slog.LevelVar) error {
	ticker := time.NewTicker(lookPeriod)
	defer ticker.Stop()
	seen := c.changedAt(log)
	for {
		select {
		case <-reloads:
			seen = c.changedAt(log)
			c.reload(log, level)
		case <-ticker.C:
			if at := c.changedAt(log); !at.Equal(seen) {
				seen = at
				c.reload(log, level)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// changedAt returns when the settings file was last changed.
func (c *edgeCommand) changedAt(log *slog.Logger) time.Time {
	info, err := os.Stat(c.Settings)
	if err != nil {
		log.Warn("the settings file can't be looked at; the settings stay", "error", err)
		return time.Time{}
	}
	return info.ModTime()
}

// read returns the checked settings of the file.
func (c *edgeCommand) read() (s settings.Edge, err error) {
	defer func() { err = errors.Wrapf(err, "settings %s", c.Settings) }()
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return s, err
	}
	s, problems := settings.DecodeEdge(data)
	return s, problems.Err()
}

// reload reads the settings again; what changes while the process runs is the level of the log.
func (c *edgeCommand) reload(log *slog.Logger, level *slog.LevelVar) {
	before := level.Level()
	s, err := c.read()
	if err == nil {
		err = setLevel(level, s)
	}
	if err != nil {
		log.Error("the changed settings were not taken", "error", err)
		return
	}
	log.Info("settings were read again", "level", level.Level().String(), "before", before.String())
}

func setLevel(level *slog.LevelVar, s settings.Edge) error {
	return errors.Wrap(level.UnmarshalText([]byte(s.LogLevel)), "LogLevel")
}
