package warmup_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/warmup"
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
				checkers := warmup.Checkers(id.Server(fmt.Sprint("s", n)), "east", test.domains)
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
