package edge

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

func TestRoutes(t *testing.T) {
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
		silent         []id.VM
		direct, relays []string
	}{
		"one strong VM of a large failure domain passes it on": {direct: []string{"a2", "c1", "c2"}, relays: []string{"b2"}},
		"a VM that isn't heard passes nothing on":              {silent: []id.VM{"b2"}, direct: []string{"a2", "c1", "c2"}, relays: []string{"b3"}},
		"a weak VM does where no strong one is heard":          {silent: []id.VM{"b2", "b3"}, direct: []string{"a2", "c1", "c2"}, relays: []string{"b1"}},
		"all are told directly where nobody is heard":          {silent: []id.VM{"b1", "b2", "b3"}, direct: []string{"a2", "b1", "b2", "b3", "c1", "c2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			heard := func(vm id.VM) bool { return !slices.Contains(test.silent, vm) }
			direct, relays := routes(peers, "a1", "a", heard, func(int) int { return 0 })
			slices.Sort(direct)
			is.Equal(direct, test.direct)
			is.Equal(relays, test.relays)
		})
	}
}
