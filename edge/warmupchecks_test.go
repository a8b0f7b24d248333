package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// Each backend server must be asked by VMs that reach it while its failure domain is cut off, and none by many VMs.
func TestWarmupCheckers(t *testing.T) {
	domainOf := func(domains ...id.Domain) map[id.Domain][]id.VM {
		out := map[id.Domain][]id.VM{}
		for _, d := range domains {
			for i := range 3 {
				out[d] = append(out[d], id.VM(fmt.Sprint(d, i)))
			}
		}
		return out
	}
	tests := map[string]struct {
		domains       map[id.Domain][]id.VM
		local, remote int
	}{
		"several domains":       {domains: domainOf("east", "north", "west"), local: 2, remote: 1},
		"one domain":            {domains: domainOf("east"), local: 2},
		"no VM in the domain":   {domains: domainOf("north", "west"), remote: 1},
		"one VM in the domain":  {domains: map[id.Domain][]id.VM{"east": {"east0"}, "west": {"west0"}}, local: 1, remote: 1},
		"one VM in the fleet":   {domains: map[id.Domain][]id.VM{"east": {"east0"}}, local: 1},
		"one VM, other domains": {domains: map[id.Domain][]id.VM{"west": {"west0"}}, remote: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			counts, vms := map[id.VM]int{}, 0
			const servers = 300
			for n := range servers {
				checkers := warmupCheckers(fleet.Server{Incarnation: fleet.Incarnation{Server: id.Server(fmt.Sprint("s", n))}, Domain: "east"}, test.domains)
				local, seen := 0, map[id.VM]bool{}
				for _, vm := range checkers {
					if vm[:4] == "east" {
						local++
					}
					seen[vm] = true
					counts[vm]++
				}
				is.Equal(local, test.local)
				is.Equal(len(checkers)-local, test.remote)
				is.Equal(len(seen), len(checkers))
			}
			for _, list := range test.domains {
				vms += len(list)
			}
			is.Equal(len(counts), vms) // Every VM takes a part.
		})
	}
}

// An older copy of the store lacks warm-ups for up to 2.2 s, although the news are recent again.
func TestWarmupChecksOutlastOutage(t *testing.T) {
	const (
		recent  = 900 * time.Millisecond
		missing = 1100 * time.Millisecond
	)
	tests := map[string]struct {
		// missedFor is how long news were missing, and since how long ago they came again.
		missedFor, since time.Duration
		want             bool
	}{
		"never":                 {since: time.Second},
		"during an outage":      {missedFor: 4 * time.Second, want: true},
		"just after an outage":  {missedFor: 4 * time.Second, since: 200 * time.Millisecond, want: true},
		"before entries return": {missedFor: 4 * time.Second, since: 2100 * time.Millisecond, want: true},
		"after entries return":  {missedFor: 4 * time.Second, since: 2300 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var g newsGap
			now := clock.Instant(time.Hour)
			is.True(!g.needsChecks(now, recent))
			for end := now.Add(test.missedFor); now < end; {
				now = now.Add(warmupCheckPeriod)
				is.True(g.needsChecks(now, missing))
			}
			is.Equal(g.needsChecks(now.Add(test.since), recent), test.want)
		})
	}
}
