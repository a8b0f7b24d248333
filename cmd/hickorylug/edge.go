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
	// gcPercent is the heap growth, in percent, that triggers a garbage collection. It is below Go's default of 100,
	// because the heap of an entry VM is small.
	gcPercent = 50
	// largeGCPercent is the same with largeFleetServers backend servers or more: their entries are most of the heap, so that each
	// collection takes longer.
	largeGCPercent    = 250
	largeFleetServers = 500
	// memoryLimitShare is the share of the Memory setting that is set as the soft memory limit of the Go runtime.
	memoryLimitShare = 0.6
)

// edgeCommand runs an entry VM on the users' platform.
type edgeCommand struct {
	Settings string `help:"Settings file, in JSON." required:"" type:"existingfile" env:"HICKORYLUG_BOOT"`
}

// Run serves until SIGTERM or SIGINT, then shuts down gracefully.
func (c *edgeCommand) Run() (err error) {
	// No signal ends the process by its default action, from the start to the last log line.
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	s, err := c.read()
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Memory.Int64())))
	var level slog.LevelVar
	if err := setLevel(&level, s); err != nil {
		return err
	}
	writerCtx, stopWriter := context.WithCancel(context.Background())
	writer := console.NewWriter(os.Stdout)
	writerDone := writer.Run(writerCtx)
	defer func() {
		stopWriter()
		err = errors.CombineErrors(err, <-writerDone)
	}()
	log := slog.New(slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: &level}))
	e, err := edge.New(s, edge.WithLog(log), edge.WithOnScale(func(servers int) { debug.SetGCPercent(gcPercentFor(servers)) }))
	if err != nil {
		return err
	}
	watchDone := make(chan error, 1)
	watchCtx, stopWatch := context.WithCancel(context.Background())
	go func() { watchDone <- c.watchSettings(watchCtx, reloads, log, &level) }()
	err = e.Run(ctx)
	stopWatch()
	return errors.CombineErrors(err, <-watchDone)
}

// gcPercentFor returns the heap growth that triggers a garbage collection, for a number of backend servers.
func gcPercentFor(servers int) int {
	if servers >= largeFleetServers {
		return largeGCPercent
	}
	return gcPercent
}

// settingsPollPeriod is the interval at which the settings file is checked for changes that no signal announces.
const settingsPollPeriod = 5 * time.Second

// watchSettings reloads the settings on each signal and whenever the file has changed, until the context ends.
func (c *edgeCommand) watchSettings(ctx context.Context, reloads <-chan os.Signal, log *slog.Logger, level *slog.LevelVar) error {
	ticker := time.NewTicker(settingsPollPeriod)
	defer ticker.Stop()
	lastModTime := c.settingsModTime(log)
	for {
		select {
		case <-reloads:
			lastModTime = c.settingsModTime(log)
			c.reload(log, level)
		case <-ticker.C:
			if modTime := c.settingsModTime(log); !modTime.Equal(lastModTime) {
				lastModTime = modTime
				c.reload(log, level)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// settingsModTime returns the modification time of the settings file, or the zero time if it can't be read.
func (c *edgeCommand) settingsModTime(log *slog.Logger) time.Time {
	info, err := os.Stat(c.Settings)
	if err != nil {
		log.Warn("cannot stat the settings file; keeping the current settings", "error", err)
		return time.Time{}
	}
	return info.ModTime()
}

// read returns the validated settings of the file.
func (c *edgeCommand) read() (s settings.Edge, err error) {
	defer func() { err = errors.Wrapf(err, "settings %s", c.Settings) }()
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return s, err
	}
	s, problems := settings.DecodeEdge(data)
	return s, problems.Err()
}

// reload reads the settings file and applies its log level, the only setting that can change while the process runs.
// If the file is invalid, the current level stays.
func (c *edgeCommand) reload(log *slog.Logger, level *slog.LevelVar) {
	previous := level.Level()
	s, err := c.read()
	if err == nil {
		err = setLevel(level, s)
	}
	if err != nil {
		log.Error("failed to reload the settings; keeping the current settings", "error", err)
		return
	}
	log.Info("settings reloaded", "level", level.Level().String(), "before", previous.String())
}

func setLevel(level *slog.LevelVar, s settings.Edge) error {
	return errors.Wrap(level.UnmarshalText([]byte(s.LogLevel)), "LogLevel")
}
