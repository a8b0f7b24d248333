package main

import (
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
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
	tests := map[string]struct {
		settings settings.Edge
		want     slog.Level
	}{
		"valid settings change the log level": {settings: valid, want: slog.LevelDebug},
		"invalid settings change nothing":     {settings: invalid, want: slog.LevelWarn},
		"empty settings change nothing":       {want: slog.LevelWarn},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := json.Marshal(test.settings)
			is.NoErr(err)
			c := &edgeCommand{Settings: filepath.Join(t.TempDir(), "settings.json")}
			is.NoErr(os.WriteFile(c.Settings, data, 0o600))
			var level slog.LevelVar
			level.Set(slog.LevelWarn)
			c.reload(slog.New(slog.DiscardHandler), &level)
			is.Equal(level.Level(), test.want)
		})
	}
}
