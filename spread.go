package hickorylug

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hickorylug/hickorylug/protocol/peerpb"
	"github.com/hickorylug/hickorylug/state/id"
)

// Constants of the spread of leases over the VMs.
const (
	spreadPeriod = 2 * time.Second
	// spreadSettled is the time after which a VM that has started is given leases.
	spreadSettled = 4 * time.Second
	// spreadGap is the difference in leases from which one is handed over.
	spreadGap = 2
)

// spreadLeases hands leases over to VMs of the same failure domain that hold fewer, one at a time.
//
// Restarts and losses pile leases up on the VMs that stay; without this they
// would never come down again.
func (vm *VM) spreadLeases(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-vm.options.Clock.After(spreadPeriod):
		}
		if g, to, ok := vm.surplus(); ok && vm.answers(ctx, to) {
			vm.log.Info("lease is handed over to a VM that holds fewer", "group", g, "to", to)
			vm.handOverGroup(ctx, g, to)
		}
	}
}

// answersTime bounds the question whether a VM is there.
const answersTime = 300 * time.Millisecond

// answers asks a VM whether it can take a lease; membership alone learns of a loss only after seconds.
func (vm *VM) answers(ctx context.Context, to id.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, answersTime)
	defer cancel()
	p, err := vm.client.Peer(to)
	if err != nil {
		return false
	}
	a, err := p.Inventory(ctx, &peerpb.InventoryRequest{})
	return err == nil && !a.GetLeaving()
}

// surplus returns a lease that this VM should hand over, and to whom.
func (vm *VM) surplus() (g id.Group, to id.VM, ok bool) {
	view := vm.directory.View()
	now := vm.options.Clock.Boot()
	set := vm.options.Settings
	vm.mu.Lock()
	leaving := vm.leaving
	var mine []id.Group
	for name := range vm.groups {
		mine = append(mine, name)
	}
	vm.mu.Unlock()
	if leaving || len(mine) < spreadGap {
		return "", "", false
	}
	held := map[id.VM]int{}
	for _, r := range view.Leases {
		held[r.Holder]++
	}
	least := held[set.VM] - spreadGap
	if rand.IntN(givers(held, least)) > 0 {
		// Others have as many to give; if all did at once, the same VM would get too many.
		return "", "", false
	}
	for _, m := range vm.members.Live(now) {
		if m.VM == set.VM || m.Leaving || m.FailureDomain != set.FailureDomain || !vm.members.IsKnownFor(now, m.VM, spreadSettled) {
			continue
		}
		if held[m.VM] <= least {
			to, least, ok = m.VM, held[m.VM]-1, true
		}
	}
	return highest(mine), to, ok
}

// givers returns the number of VMs that hold so many more leases than others that they might hand one over.
func givers(held map[id.VM]int, least int) (n int) {
	for _, count := range held {
		if count >= least+spreadGap {
			n++
		}
	}
	return max(n, 1)
}

// highest returns the last name in order, so that the choice doesn't depend on the order of a map.
func highest(groups []id.Group) (out id.Group) {
	for _, g := range groups {
		out = max(out, g)
	}
	return out
}
