package edge

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

func TestAnnounceTargets(t *testing.T) {
	peers := map[id.VM]fleet.Peer{}
	add := func(vm id.VM, domain id.Domain, strength float64) {
		peers[vm] = fleet.Peer{VM: vm, Domain: domain, Address: string(vm), Strength: strength}
	}
	add("a1", "a", 0.8)
	add("a2", "a", 0.2)
	add("b1", "b", 0.2)
	add("b2", "b", 0.8)
	add("b3", "b", 0.8)
	add("c1", "c", 0.3)
	add("c2", "c", 0.3)
	tests := map[string]struct {
		unreachable    []id.VM
		direct, relays []string
	}{
		"one strong VM of a large failure domain relays":            {direct: []string{"a2", "c1", "c2"}, relays: []string{"b2"}},
		"an unreachable VM is not a relay":                          {unreachable: []id.VM{"b2"}, direct: []string{"a2", "c1", "c2"}, relays: []string{"b3"}},
		"a weak VM relays if all strong ones are unreachable":       {unreachable: []id.VM{"b2", "b3"}, direct: []string{"a2", "c1", "c2"}, relays: []string{"b1"}},
		"a failure domain of unreachable VMs is addressed directly": {unreachable: []id.VM{"b1", "b2", "b3"}, direct: []string{"a2", "b1", "b2", "b3", "c1", "c2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			isReachable := func(vm id.VM) bool { return !slices.Contains(test.unreachable, vm) }
			direct, relays := announceTargets(peers, "a1", "a", isReachable, func(int) int { return 0 })
			slices.Sort(direct)
			is.Equal(direct, test.direct)
			is.Equal(relays, test.relays)
		})
	}
}
