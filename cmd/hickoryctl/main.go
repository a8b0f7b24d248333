// Command hickoryctl is the operators' command line.
//
// # Usage
//
//	hickoryctl status --operator 10.0.0.5:7300
//	hickoryctl explain GET /plans/7 --operator 10.0.0.5:7300
//
// Exit codes: 0 for success, 1 for a failure, 80 for wrong arguments.
package main

import (
	"os"

	"github.com/alecthomas/kong"
)

type commands struct {
	Status  statusCommand  `cmd:"" help:"Show what an entry VM knows and holds."`
	Explain explainCommand `cmd:"" help:"Show where a request would go, and why."`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("hickoryctl"), kong.Description("Operates hickorylug."), kong.UsageOnError())
	if err := k.Run(); err != nil {
		k.Errorf("%v", err)
		os.Exit(1)
	}
}
