package hickorylug

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hickorylug/hickorylug/protocol/peerpb"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// leaseBalancePeriod is the interval at which a VM checks whether to hand over a lease.
	leaseBalancePeriod = 2 * time.Second
	// leaseBalanceSettlingTime is the time for which a VM must be known before it receives leases.
	leaseBalanceSettlingTime = 4 * time.Second
	// leaseBalanceMinGap is the minimum difference in the number of leases at which one is handed over.
	leaseBalanceMinGap = 2
)

// balanceLeases hands leases over to VMs of the same failure domain that hold fewer, one lease at a time.
//
// Restarts and failures of other VMs increase the number of leases at the
// remaining VMs, and nothing else reduces it again.
func (vm *VM) balanceLeases(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-vm.options.Clock.After(leaseBalancePeriod):
		}
		if g, to, ok := vm.surplusLease(); ok && vm.isAvailable(ctx, to) {
			vm.log.Info("handing a lease over to a VM with fewer leases", "group", g, "to", to)
			vm.handOverGroup(ctx, g, to)
		}
	}
}

// availabilityTimeout bounds the check whether a VM is available.
const availabilityTimeout = 300 * time.Millisecond

// isAvailable asks a VM whether it can accept a lease, since membership detects a failed VM only after seconds.
func (vm *VM) isAvailable(ctx context.Context, to id.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, availabilityTimeout)
	defer cancel()
	p, err := vm.client.Peer(to)
	if err != nil {
		return false
	}
	a, err := p.Inventory(ctx, &peerpb.InventoryRequest{})
	return err == nil && !a.GetLeaving()
}

// surplusLease returns a lease that this VM should hand over and the VM that should receive it.
func (vm *VM) surplusLease() (g id.Group, to id.VM, ok bool) {
	view := vm.directory.View()
	now := vm.options.Clock.Boot()
	set := vm.options.Settings
	vm.mu.Lock()
	leaving := vm.leaving
	var own []id.Group
	for name := range vm.groups {
		own = append(own, name)
	}
	vm.mu.Unlock()
	if leaving || len(own) < leaseBalanceMinGap {
		return "", "", false
	}
	held := map[id.VM]int{}
	for _, r := range view.Leases {
		held[r.Holder]++
	}
	maxHeld := held[set.VM] - leaseBalanceMinGap
	if rand.IntN(countDonors(held, maxHeld)) > 0 {
		// One VM acts per round on average. If all VMs with a surplus acted at once, the same VM would receive too many leases.
		return "", "", false
	}
	for _, m := range vm.members.Live(now) {
		if m.VM == set.VM || m.Leaving || m.FailureDomain != set.FailureDomain || !vm.members.IsKnownFor(now, m.VM, leaseBalanceSettlingTime) {
			continue
		}
		if held[m.VM] <= maxHeld {
			to, maxHeld, ok = m.VM, held[m.VM]-1, true
		}
	}
	return lastGroup(own), to, ok
}

// countDonors returns the number of VMs that hold at least leaseBalanceMinGap leases more than maxHeld, but at least 1.
func countDonors(held map[id.VM]int, maxHeld int) (n int) {
	for _, count := range held {
		if count >= maxHeld+leaseBalanceMinGap {
			n++
		}
	}
	return max(n, 1)
}

// lastGroup returns the last group in lexical order, so that the choice doesn't depend on the iteration order of a map.
func lastGroup(groups []id.Group) (out id.Group) {
	for _, g := range groups {
		out = max(out, g)
	}
	return out
}
