package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/operator"
)

// errLagging means that not every entry VM runs a change in time.
var errLagging = errors.New("not every entry VM runs the change")

// awaitPoll is the time between two looks at the fleet.
const awaitPoll = 500 * time.Millisecond

// fleetCommand shows which configuration each entry VM runs.
type fleetCommand struct {
	target
}

// Run prints the fleet.
func (c *fleetCommand) Run() error {
	var fleet []operator.FleetStatus
	if err := c.ask("/fleet", nil, &fleet); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(fleet)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VM\tFAILURE DOMAIN\tREVISION\tLEAVING\tERROR")
	for _, s := range fleet {
		fmt.Fprintf(t, "%s\t%s\t%d\t%v\t%s\n", s.VM, s.FailureDomain, s.Revision, s.Leaving, s.Error)
	}
	return t.Flush()
}

// await returns when every entry VM runs a revision, and names those that lag meanwhile.
func await(t target, r id.Revision, timeout time.Duration) error {
	startedAt := time.Now()
	for {
		var fleet []operator.FleetStatus
		err := t.ask("/fleet", nil, &fleet)
		lagging := behind(fleet, r)
		switch {
		case err == nil && len(lagging) == 0:
			fmt.Fprintf(os.Stderr, "in force at all %d entry VMs after %.1f s\n", len(fleet), time.Since(startedAt).Seconds())
			return nil
		case time.Since(startedAt) > timeout && err != nil:
			return errors.Mark(err, errLagging)
		case time.Since(startedAt) > timeout:
			return errors.Wrapf(errLagging, "after %s, behind are %s", timeout, strings.Join(lagging, ", "))
		}
		fmt.Fprintf(os.Stderr, "%d of %d entry VMs run revision %d; behind: %s\n", len(fleet)-len(lagging), len(fleet), r, strings.Join(lagging, ", "))
		time.Sleep(awaitPoll)
	}
}

func behind(fleet []operator.FleetStatus, r id.Revision) (out []string) {
	for _, s := range fleet {
		if s.Revision < r {
			out = append(out, string(s.VM))
		}
	}
	return out
}
