// Command hickoryctl is the command-line client for operators of hickorylug.
//
// # Usage
//
//	hickoryctl config check site.json
//	hickoryctl config apply site.json --store http://10.0.0.2:7000 --operator 10.0.0.5:7300 --wait 30s
//	hickoryctl domain out east --store http://10.0.0.2:7000
//	hickoryctl status --operator 10.0.0.5:7300
//	hickoryctl explain GET /plans/7 --operator 10.0.0.5:7300
//	hickoryctl trace 9c41d07be2a35f68 vm1.log vm2.log
//	hickoryctl customers --vm 10.0.0.5:7302,10.0.0.6:7302 shop
//
// Exit codes: 0 for success, 1 for other failures, 2 for an invalid
// configuration, 3 for a conflict with another operator's change, 4 if the
// change is not in force at every entry VM in time, 80 for invalid arguments.
package main

import (
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/change"
)

// Exit codes.
const (
	exitFailure  = 1
	exitInvalid  = 2
	exitConflict = 3
	exitLagging  = 4
)

type commands struct {
	Status  statusCommand  `cmd:"" help:"Show the status of an entry VM: its configuration, groups and slice tables."`
	Fleet   fleetCommand   `cmd:"" help:"Show the configuration revision of each entry VM."`
	Explain explainCommand `cmd:"" help:"Explain how a request would be routed."`
	Trace   traceCommand   `cmd:"" help:"Trace one request through the logs of entry VMs."`
	Config  configCommands `cmd:"" help:"Validate, show and change the configuration."`
	Domain  domainCommands `cmd:"" help:"Take a failure domain out of service, or bring it back."`
	Server  serverCommands `cmd:"" help:"Take a backend server out of service, or bring it back."`
	VM      vmCommands     `cmd:"" name:"vm" help:"Declare that entry VMs have stopped permanently."`

	Customers customersCommand `cmd:"" help:"Show customers' allotments, their use over entry VMs, and what each VM holds."`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("hickoryctl"), kong.Description("Operates hickorylug."), kong.UsageOnError())
	if err := k.Run(); err != nil {
		k.Errorf("%v", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var invalid *change.InvalidError
	var conflict *change.ConflictError
	switch {
	case errors.As(err, &invalid):
		return exitInvalid
	case errors.As(err, &conflict):
		return exitConflict
	case errors.Is(err, errLagging):
		return exitLagging
	default:
		return exitFailure
	}
}
