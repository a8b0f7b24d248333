// Command hickorysoak is a soak test: it runs entry VMs as separate processes and injects faults from outside.
//
// It checks the guarantees to callers and backend servers: requests that are
// not idempotent run at most once, a key has one owner at a time, a request
// refused as "not run" has not run, and a response belongs to its request.
// Seeds with an even number have customers with API keys and allotments: no
// request is served with a key that is unknown or was revoked, no key is passed
// on or logged, and no customer exceeds its allotment over all VMs. In every
// fourth seed the VMs refuse requests that need a key while their configuration
// may be too old.
//
// With the faults "crashing request", kill, terminate, reload and configuration
// alone, a request that crashes backend servers is refused after few crashes.
//
// With faults that leave the VMs in contact, such as "callers leave" and
// "servers silent", hardly any request reaches a backend server half a second
// after its caller has left, and none that must run at most once; work for
// idempotent ones ends by then, and other work that has begun isn't cut off.
//
// The backend servers keep no promise that the users' pages don't make: see
// package worker. For each time in which two of them hold the same keys, the
// log lines of all VMs that concern these keys are printed in order of time.
//
// Faults are drawn from a seeded random generator. It ends only processes that
// it has started.
//
// # Usage
//
//	hickorysoak --program bin/hickorylug --seeds 50
//	hickorysoak --program bin/hickorylug --first 17 --seeds 1 --logs soak-logs
//	hickorysoak --program bin/hickorylug --seeds 1 --time 5m --faults terminate,reload,configuration
//
// Exit codes: 0 if all guarantees held, 1 if one was violated or a run failed, 80 for invalid arguments.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

type command struct {
	Program string        `help:"Path of the hickorylug program that the entry VMs run." required:"" type:"existingfile"`
	First   uint64        `help:"First seed." default:"1"`
	Seeds   int           `help:"Number of consecutive seeds to run." default:"5"`
	Time    time.Duration `help:"Time for which faults are injected, per seed." default:"12s"`
	VMs     int           `help:"Number of entry VMs." default:"4" name:"vms"`
	Logs    string        `help:"Folder for the logs of failed seeds." default:"soak-logs"`
	Grouped bool          `help:"Inject faults in groups of three to nine within some seconds in all seeds; otherwise in every second pair of seeds."`
	Faults  []string      `help:"Names of the faults to draw from, separated by commas; all if empty. With planned work alone, no request that was run may be cut off; with 'crashing request', kill and planned work alone, one request crashes few backend servers; with 'callers leave', 'servers silent' and others that leave the VMs in contact, no work begins for callers that have left."`
}

// errViolated means that at least one seed violated a guarantee.
var errViolated = errors.New("a guarantee was violated")

// Run runs all seeds and prints a summary line, and a line per violation, for each.
func (c *command) Run() error {
	selected, err := selectFaults(c.Faults)
	if err != nil {
		return err
	}
	violated := false
	for i := range c.Seeds {
		seed := c.First + uint64(i)
		r, err := runSeed(seed, *c, selected)
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		fmt.Printf("seed %d: %d requests, %d served, %d refused, %d unknown; faults: %s\n", seed, r.requests, r.served, r.refused, r.unknown, r.faults)
		for _, violation := range r.violations {
			fmt.Printf("seed %d: BROKEN: %s\n", seed, violation)
			violated = true
		}
		for _, line := range r.traces {
			fmt.Println(line)
		}
	}
	if violated {
		return errViolated
	}
	return nil
}

func main() {
	var c command
	k := kong.Parse(&c, kong.Name("hickorysoak"), kong.Description("Injects faults into running entry VMs and checks the guarantees."), kong.UsageOnError())
	if err := k.Run(); err != nil {
		k.Errorf("%v", err)
		os.Exit(1)
	}
}
