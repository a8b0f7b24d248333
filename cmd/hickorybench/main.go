// Command hickorybench runs hickorylug against small stand-ins of the platform and of backend servers.
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
	Demo     demoCommand     `cmd:"" help:"Run a whole site on loopback under load and faults, and judge it."`
	Fleet    fleetCommand    `cmd:"" help:"Measure what an idle fleet spends on control."`
	Platform platformCommand `cmd:"" help:"Run a stand-in of the platform's store and VM list."`
	Backend  backendCommand  `cmd:"" help:"Run a stand-in of one backend server."`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("hickorybench"), kong.Description("Stand-ins, load and experiments for hickorylug."), kong.UsageOnError(),
		kong.Vars{"faults": strings.Join(faultNames(), ", ")})
	if err := k.Run(); err != nil {
		k.Errorf("%v", err)
		os.Exit(1)
	}
}
