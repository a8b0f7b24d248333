package reach

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// maxRelays is the number of VMs that are asked for one attempt.
	maxRelays = 4
	// avoidTime is how long a VM that declined or failed is asked only after the others. It may be cut off itself.
	avoidTime = time.Second
)

// Relays chooses the VMs through which this VM sends while it is cut off. It is safe for concurrent use.
type Relays struct {
	options Options

	mu      sync.Mutex
	avoided map[id.VM]clock.Instant
}

// NewRelays returns relays that are all assumed to work.
func NewRelays(opts ...Option) *Relays {
	return &Relays{options: newOptions(opts), avoided: map[id.VM]clock.Instant{}}
}

// Avoid records that a VM declined an attempt or could not be reached.
func (r *Relays) Avoid(vm id.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoided[vm] = r.options.Clock.Boot()
}

// Candidates returns the VMs to ask, in order: those in the backend server's failure domain first, as the attempt then crosses no
// boundary twice, and those that failed lately last.
func (r *Relays) Candidates(self id.VM, peers map[id.VM]fleet.Peer, domain id.Domain, random func(n int) int) []fleet.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock.Boot()
	var tiers [3][]fleet.Peer
	for vm, p := range peers {
		failedAt, failed := r.avoided[vm]
		if failed && now.Sub(failedAt) >= avoidTime {
			delete(r.avoided, vm)
			failed = false
		}
		switch {
		case vm == self:
		case failed:
			tiers[2] = append(tiers[2], p)
		case p.Domain == domain:
			tiers[0] = append(tiers[0], p)
		default:
			tiers[1] = append(tiers[1], p)
		}
	}
	for _, tier := range tiers {
		slices.SortFunc(tier, func(a, b fleet.Peer) int { return cmp.Compare(a.VM, b.VM) })
		for i := len(tier) - 1; i > 0; i-- {
			j := random(i + 1)
			tier[i], tier[j] = tier[j], tier[i]
		}
	}
	all := slices.Concat(tiers[0], tiers[1], tiers[2])
	return all[:min(len(all), maxRelays)]
}
