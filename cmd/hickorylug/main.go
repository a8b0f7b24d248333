// Command hickorylug runs an entry VM.
//
// # Usage
//
//	hickorylug serve --settings vm1.json
//	hickorylug edge --settings edge1.json
//	hickorylug check vm1.json configuration.json
//
// Exit codes: 0 after a graceful shutdown or if all checked files are valid, 1 for
// invalid input or a failure at run time, 80 for invalid arguments.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type commands struct {
	Serve serveCommand `cmd:"" help:"Run the entry VM until SIGTERM or SIGINT, then shut down gracefully."`
	Edge  edgeCommand  `cmd:"" help:"Run the entry VM on the users' platform until SIGTERM or SIGINT, then shut down gracefully."`
	Check checkCommand `cmd:"" help:"Validate settings and configuration files, and print all errors."`
}

func main() {
	// By default, a write to an output whose reader has gone ends the process.
	signal.Ignore(syscall.SIGPIPE)
	var c commands
	k := kong.Parse(&c, kong.Name("hickorylug"), kong.Description("A router for servers that own keys exclusively."), kong.UsageOnError())
	if err := k.Run(); err != nil {
		k.Errorf("%v", err)
		os.Exit(1)
	}
}
