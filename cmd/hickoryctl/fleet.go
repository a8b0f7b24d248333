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

// errLagging means that a change was not in force at every entry VM in time.
var errLagging = errors.New("the change is not in force at every entry VM")

// awaitPollPeriod is the time between two queries of the fleet status.
const awaitPollPeriod = 500 * time.Millisecond

// fleetCommand shows the configuration revision of each entry VM.
type fleetCommand struct {
	operatorFlags
}

// Run prints the status of the fleet.
func (c *fleetCommand) Run() error {
	var fleet []operator.FleetStatus
	if err := c.get("/fleet", nil, &fleet); err != nil {
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

// awaitRevision waits until every entry VM runs a revision, and prints the progress to standard error.
//
// After the timeout it returns an error that matches errLagging.
func awaitRevision(endpoint operatorFlags, revision id.Revision, timeout time.Duration) error {
	startedAt := time.Now()
	for {
		var fleet []operator.FleetStatus
		err := endpoint.get("/fleet", nil, &fleet)
		lagging := laggingVMs(fleet, revision)
		switch {
		case err == nil && len(lagging) == 0:
			fmt.Fprintf(os.Stderr, "in force at all %d entry VMs after %.1f s\n", len(fleet), time.Since(startedAt).Seconds())
			return nil
		case time.Since(startedAt) > timeout && err != nil:
			return errors.Mark(err, errLagging)
		case time.Since(startedAt) > timeout:
			return errors.Wrapf(errLagging, "lagging after %s: %s", timeout, strings.Join(lagging, ", "))
		}
		fmt.Fprintf(os.Stderr, "%d of %d entry VMs run revision %d; lagging: %s\n", len(fleet)-len(lagging), len(fleet), revision, strings.Join(lagging, ", "))
		time.Sleep(awaitPollPeriod)
	}
}

// laggingVMs returns the entry VMs that run an older revision.
func laggingVMs(fleet []operator.FleetStatus, revision id.Revision) (out []string) {
	for _, s := range fleet {
		if s.Revision < revision {
			out = append(out, string(s.VM))
		}
	}
	return out
}
