package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
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

// reloadable is what changes when the settings are reloaded.
type reloadable struct {
	log *slog.Logger
	// current are the settings in force.
	current settings.Edge
	level   *slog.LevelVar
	// setStore changes the store's address.
	setStore func(address string)
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
	r := &reloadable{log: log, current: s, level: &level, setStore: e.SetStore}
	go func() { watchDone <- c.watchSettings(watchCtx, reloads, r) }()
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
func (c *edgeCommand) watchSettings(ctx context.Context, reloads <-chan os.Signal, r *reloadable) error {
	ticker := time.NewTicker(settingsPollPeriod)
	defer ticker.Stop()
	lastModTime := c.settingsModTime(r.log)
	for {
		select {
		case <-reloads:
			lastModTime = c.settingsModTime(r.log)
			c.reload(r)
		case <-ticker.C:
			if modTime := c.settingsModTime(r.log); !modTime.Equal(lastModTime) {
				lastModTime = modTime
				c.reload(r)
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

// reload reads the settings file and applies its log level and the address of the store, the only settings that can change while the process runs. It
// names others that have changed. If the file is invalid, the current settings stay.
func (c *edgeCommand) reload(r *reloadable) {
	previous := r.level.Level()
	s, err := c.read()
	if err == nil {
		err = setLevel(r.level, s)
	}
	if err != nil {
		r.log.Error("failed to reload the settings; keeping the current settings", "error", err)
		return
	}
	if s.Store != r.current.Store {
		r.setStore(s.Store)
	}
	r.log.Info("settings reloaded", "level", r.level.Level().String(), "before", previous.String(), "store", s.Store, "storeBefore", r.current.Store)
	r.current.LogLevel, r.current.Store = s.LogLevel, s.Store
	if fields := differingFields(r.current, s); len(fields) > 0 {
		r.log.Warn("settings that have changed take effect at the next start only", "fields", fields)
	}
}

// differingFields returns the names of the fields in which two settings differ.
func differingFields(a, b settings.Edge) (names []string) {
	valueA, valueB := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range valueA.NumField() {
		if !reflect.DeepEqual(valueA.Field(i).Interface(), valueB.Field(i).Interface()) {
			names = append(names, valueA.Type().Field(i).Name)
		}
	}
	return names
}

func setLevel(level *slog.LevelVar, s settings.Edge) error {
	return errors.Wrap(level.UnmarshalText([]byte(s.LogLevel)), "LogLevel")
}
