// Command hickorybench runs hickorylug against stand-ins for the platform and the backend servers.
//
// # Usage
//
//	hickorybench demo --site noor --for 10s --seed 1
//	hickorybench platform --address 127.0.0.1:7000
//	hickorybench backend --name plans-1 --service plans --address 127.0.0.1:9001
package main

import (
	"os"
	"strings"

	"github.com/alecthomas/kong"
)

type commands struct {
	Demo     demoCommand     `cmd:"" help:"Run a complete site on loopback under load and injected faults, and check its guarantees."`
	Fleet    fleetCommand    `cmd:"" help:"Measure the control-plane overhead of an idle fleet."`
	Platform platformCommand `cmd:"" help:"Run a stand-in for the platform's store and VM list."`
	Backend  backendCommand  `cmd:"" help:"Run a stand-in for one backend server."`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("hickorybench"), kong.Description("Stand-ins, load generator and experiments for hickorylug."), kong.UsageOnError(),
		kong.Vars{"faults": strings.Join(faultNames(), ", ")})
	if err := k.Run(); err != nil {
		k.Errorf("%v", err)
		os.Exit(1)
	}
}
