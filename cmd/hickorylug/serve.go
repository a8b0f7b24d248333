package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug"
	"github.com/hickorylug/hickorylug/protocol/trace"
	"github.com/hickorylug/hickorylug/state/settings"
)

// serveCommand runs the entry VM. Flags and environment variables override the settings file.
type serveCommand struct {
	Settings        string   `help:"Settings file, in JSON." required:"" type:"existingfile" env:"HICKORYLUG_SETTINGS"`
	VM              string   `help:"Name of the entry VM." name:"vm" env:"HICKORYLUG_VM"`
	FailureDomain   string   `help:"Failure domain of the entry VM." env:"HICKORYLUG_FAILURE_DOMAIN"`
	CallerAddress   string   `help:"Address that accepts callers' requests." env:"HICKORYLUG_CALLER_ADDRESS"`
	PeerAddress     string   `help:"Address at which other entry VMs reach this one." env:"HICKORYLUG_PEER_ADDRESS"`
	OperatorAddress string   `help:"Address that serves health and metrics to operators." env:"HICKORYLUG_OPERATOR_ADDRESS"`
	Store           string   `help:"Base URL of the platform's store." env:"HICKORYLUG_STORE"`
	LogLevel        string   `help:"Log level: debug, info, warn or error." env:"HICKORYLUG_LOG_LEVEL"`
	TraceShare      *float64 `help:"Share of requests that are traced, from 0 to 1." env:"HICKORYLUG_TRACE_SHARE"`
}

// Run serves until SIGTERM or SIGINT, then shuts down gracefully. No setting changes while it runs, so SIGHUP has no effect.
func (c *serveCommand) Run() (err error) {
	signal.Ignore(syscall.SIGHUP)
	s, err := c.read()
	if err != nil {
		return err
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return errors.Wrap(err, "LogLevel")
	}
	log := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	tracer, stop, err := trace.NewTracer(os.Stdout, string(s.VM), s.TraceShare)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, stop(context.Background())) }()
	vm, err := hickorylug.NewVM(hickorylug.WithSettings(s), hickorylug.WithLog(log), hickorylug.WithTracer(tracer))
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	return vm.Run(ctx)
}

// read returns the validated settings of the file with the overrides of flags and environment variables.
func (c *serveCommand) read() (s settings.Settings, err error) {
	defer func() { err = errors.Wrapf(err, "settings %s", c.Settings) }()
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return s, err
	}
	s, problems := settings.Decode(data)
	c.override(&s)
	return s, append(problems, s.Check()...).Err()
}

func (c *serveCommand) override(s *settings.Settings) {
	overrideText((*string)(&s.VM), c.VM)
	overrideText((*string)(&s.FailureDomain), c.FailureDomain)
	overrideText(&s.CallerAddress, c.CallerAddress)
	overrideText(&s.PeerAddress, c.PeerAddress)
	overrideText(&s.OperatorAddress, c.OperatorAddress)
	overrideText(&s.LogLevel, c.LogLevel)
	if c.Store != "" {
		if s.VMList == s.Store {
			s.VMList = c.Store
		}
		s.Store = c.Store
	}
	if c.TraceShare != nil {
		s.TraceShare = *c.TraceShare
	}
}

func overrideText(field *string, value string) {
	if value != "" {
		*field = value
	}
}
