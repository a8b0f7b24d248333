package reach_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/reach"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

func TestRelays(t *testing.T) {
	peers := map[id.VM]fleet.Peer{}
	for vm, domain := range map[id.VM]id.Domain{"self": "east", "e1": "east", "e2": "east", "w1": "west", "w2": "west", "w3": "west"} {
		peers[vm] = fleet.Peer{VM: vm, Domain: domain}
	}
	tests := map[string]struct {
		avoided []id.VM
		after   time.Duration
		domain  id.Domain
		// first are the VMs that have to be asked first, in any order.
		first []id.VM
	}{
		"the backend server's failure domain first": {domain: "east", first: []id.VM{"e1", "e2"}},
		"one that declined last":                    {domain: "east", avoided: []id.VM{"e1"}, first: []id.VM{"e2"}},
		"one that declined a while ago":             {domain: "east", avoided: []id.VM{"e1"}, after: time.Second, first: []id.VM{"e1", "e2"}},
		"all of the failure domain declined":        {domain: "east", avoided: []id.VM{"e1", "e2"}, first: []id.VM{"w1", "w2", "w3"}},
		"another failure domain":                    {domain: "west", first: []id.VM{"w1", "w2", "w3"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &manualClock{now: clock.Instant(time.Hour)}
			r := reach.NewRelays(reach.WithClock(c))
			for _, vm := range test.avoided {
				r.Avoid(vm)
			}
			c.now = c.now.Add(test.after)
			got := r.Candidates("self", peers, test.domain, func(n int) int { return n / 2 })
			is.Equal(len(got), 4)
			first := map[id.VM]bool{}
			for _, p := range got[:len(test.first)] {
				first[p.VM] = true
			}
			for _, vm := range test.first {
				is.True(first[vm])
			}
			for _, p := range got {
				is.True(p.VM != "self")
			}
		})
	}
}
