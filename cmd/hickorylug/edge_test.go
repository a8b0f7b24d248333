package main

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/settings"
	"github.com/hickorylug/hickorylug/state/unit"
)

func TestReload(t *testing.T) {
	valid := settings.Edge{
		VM: "vm1", FailureDomain: "east", CallerAddress: "10.0.0.1:1", ReadyAddress: "10.0.0.1:2", PeerAddress: "10.0.0.1:3",
		MetricsAddress: "10.0.0.1:4", Store: "10.0.0.2:1", LogLevel: "debug", GraceTime: unit.Duration(time.Second), ServerHeartbeat: unit.Duration(time.Second),
		RetryShare: 0.2, RetrySlack: 60, RetryWindow: unit.Duration(10 * time.Second), WarmOverage: 1.5, WarmSlack: 5,
		MaxHold: unit.Duration(10 * time.Second), Processor: 1, Link: 1000, Memory: 1 << 28,
	}
	invalid := valid
	invalid.LogLevel = "loud"
	noStore := valid
	noStore.Store = "store"
	moved := valid
	moved.Store, moved.Link = "10.0.0.3:1", 10
	tests := map[string]struct {
		settings settings.Edge
		want     slog.Level
		// store is the address to which the VM changes, and fixed the settings that are named as not changed; both may be empty.
		store, fixed string
	}{
		"valid settings change the log level":             {settings: valid, want: slog.LevelDebug},
		"invalid settings change nothing":                 {settings: invalid, want: slog.LevelWarn},
		"empty settings change nothing":                   {want: slog.LevelWarn},
		"an invalid address of the store changes nothing": {settings: noStore, want: slog.LevelWarn},
		"another address of the store is used":            {settings: moved, want: slog.LevelDebug, store: "10.0.0.3:1", fixed: `"fields":["Link"]`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &edgeCommand{Settings: filepath.Join(t.TempDir(), "settings.json")}
			write := func(s settings.Edge) {
				data, err := json.Marshal(s)
				is.NoErr(err)
				is.NoErr(os.WriteFile(c.Settings, data, 0o600))
			}
			write(valid)
			current, err := c.read()
			is.NoErr(err)
			write(test.settings)
			var level slog.LevelVar
			level.Set(slog.LevelWarn)
			store, log := "", &bytes.Buffer{}
			r := &reloadable{log: slog.New(slog.NewJSONHandler(log, nil)), current: current, level: &level, setStore: func(address string) { store = address }}
			for range 2 {
				c.reload(r)
				is.Equal(level.Level(), test.want)
				is.Equal(store, test.store)
				is.Equal(strings.Contains(log.String(), `"fields"`), test.fixed != "")
				is.True(strings.Contains(log.String(), test.fixed))
			}
		})
	}
}
