package hickorylug

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/coordination/group"
	"github.com/hickorylug/hickorylug/coordination/idempotency"
	"github.com/hickorylug/hickorylug/coordination/lease"
	"github.com/hickorylug/hickorylug/coordination/leasemanager"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/platform"
)

// Times of the lease loop.
const (
	keeperTick = 50 * time.Millisecond
	// tableRetry is the time between two tries to read a table before a group begins.
	tableRetry = 50 * time.Millisecond
	swapTime   = 3 * time.Second
	// settledAfter is the time after which a VM that has started answers as a witness.
	settledAfter = 1200 * time.Millisecond
)

// keepLeases renews, takes over and gives up leases until the context ends.
func (vm *VM) keepLeases(ctx context.Context) error {
	for {
		vm.tick(ctx)
		select {
		case <-ctx.Done():
			vm.stopAll()
			return nil
		case <-vm.options.Clock.After(keeperTick):
		}
	}
}

func (vm *VM) tick(ctx context.Context) {
	scene := vm.scene()
	if len(scene.Groups) == 0 {
		return
	}
	vm.mu.Lock()
	actions := vm.keeper.Tick(vm.options.Clock.Boot(), scene)
	vm.mu.Unlock()
	for _, a := range actions {
		vm.perform(ctx, a)
	}
	vm.stopSucceeded()
}

// scene returns what the keeper needs to know of the site.
func (vm *VM) scene() leasemanager.Snapshot {
	view := vm.directory.View()
	s := leasemanager.Snapshot{Records: view.Leases, Retired: view.Retired}
	if view.Revision == 0 || !vm.watcher.synced() {
		// Without the records of the store, every lease would look vacant.
		return s
	}
	s.Groups = view.LeaseDomains
	now := vm.options.Clock.Boot()
	for _, m := range vm.members.Live(now) {
		if !m.Leaving {
			s.Live = append(s.Live, leasemanager.Member{
				VM: m.VM, Incarnation: m.Incarnation, FailureDomain: m.FailureDomain,
				CanWitness: vm.members.IsKnownFor(now, m.VM, settledAfter),
			})
		}
	}
	vm.mu.Lock()
	s.Leaving = vm.leaving
	vm.mu.Unlock()
	return s
}

func (vm *VM) perform(ctx context.Context, a leasemanager.Action) {
	switch {
	case a.Send != nil:
		vm.sendLeases(a.Send.To, a.Send.Message)
	case a.Swap != nil:
		record := a.Swap.Record
		vm.tasks.Go(ctx, func(ctx context.Context) { vm.swap(ctx, record) })
	case a.Start != nil:
		vm.start(ctx, *a.Start)
	case a.Stop != "" && !vm.detached(a.Stop):
		vm.stop(a.Stop)
	}
}

// swap writes a lease's record and, before the lease begins, reads what it must not miss.
func (vm *VM) swap(ctx context.Context, r lease.Record) {
	ctx, cancel := context.WithTimeout(ctx, swapTime)
	defer cancel()
	if !r.IsVacant() {
		r.Witnesses = vm.presentWitnesses(ctx, r.Witnesses)
	}
	value, err := json.Marshal(r)
	if err != nil {
		vm.log.Error("a lease record can't be encoded", "group", r.Group, "error", err)
		return
	}
	item, err := vm.platform.SwapAndVerify(ctx, directory.KeyLease(r.Group), r.Revision, value)
	switch {
	case errors.Is(err, platform.ErrConflict):
		vm.refreshLease(ctx, r.Group)
		vm.swapped(r, false)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		vm.log.Warn("the store did not say whether a lease was taken", "group", r.Group, "term", r.Term, "error", err)
	case err != nil:
		vm.swapped(r, false)
	default:
		r.Revision = item.Revision
		if r.IsVacant() || vm.readTable(ctx, r.Group) {
			vm.swapped(r, true)
			vm.directory.SetLease(r)
			vm.announceLease(ctx, r)
		}
	}
}

// presentWitnesses returns the witnesses that answer now.
//
// A record whose witnesses are gone could never be taken over again.
func (vm *VM) presentWitnesses(ctx context.Context, witnesses []id.VM) (out []id.VM) {
	self := vm.options.Settings.VM
	present := make([]bool, len(witnesses))
	done := make(chan struct{}, len(witnesses))
	for i, w := range witnesses {
		vm.tasks.Go(ctx, func(ctx context.Context) {
			present[i] = w == self || vm.answers(ctx, w)
			done <- struct{}{}
		})
	}
	for range witnesses {
		<-done
	}
	for i, w := range witnesses {
		if present[i] && w != self {
			out = append(out, w)
		}
	}
	return leasemanager.CompleteWitnesses(out, self)
}

func (vm *VM) swapped(r lease.Record, won bool) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.keeper.HandleSwapResult(vm.options.Clock.Boot(), r, won)
}

func (vm *VM) refreshLease(ctx context.Context, g id.Group) {
	item, err := vm.platform.Get(ctx, directory.KeyLease(g))
	if err == nil {
		err = vm.directory.Apply(item)
	}
	if err != nil {
		vm.log.Debug("a lease record can't be read", "group", g, "error", err)
	}
}

// readTable reads the slice table of a group's service from the store itself.
//
// A new holder must not act on an older table: a move may have been begun
// under the holder before it, and confirmed to the planner.
func (vm *VM) readTable(ctx context.Context, g id.Group) bool {
	if g == id.Planner {
		return true
	}
	service := vm.directory.View().Groups[g].Service
	for {
		item, err := vm.platform.Get(ctx, directory.KeyTable(service))
		if err == nil {
			err = vm.directory.Apply(item)
		}
		if err == nil {
			return true
		}
		select {
		case <-ctx.Done():
			vm.log.Warn("a lease was taken but the slice table can't be read", "group", g, "error", err)
			return false
		case <-vm.options.Clock.After(tableRetry):
		}
	}
}

// start begins the work for a group.
func (vm *VM) start(ctx context.Context, s leasemanager.Start) {
	r := s.Record
	vm.log.Info("lease begins", "group", r.Group, "term", r.Term, "witnesses", r.Witnesses)
	if r.Group == id.Planner {
		vm.planning.begin()
		return
	}
	vm.stop(r.Group)
	since, memory := vm.pastOf(s)
	g := group.NewGroup(r.Group, vm.directory.View().Groups[r.Group].Service, vm.directory, vm.link,
		group.WithClock(vm.options.Clock),
		group.WithLog(vm.log),
		group.WithLease(vm.leaseOf(r.Group)),
		group.WithPoison(vm.poison),
		group.WithMemory(since, memory...),
		group.WithLastKnownLimit(vm.lastSeen),
		group.WithOnServerLost(func(id.Server) { vm.reportSoon() }),
		group.WithOnServerCrash(vm.warn),
		group.WithRecall(vm.recall),
		group.WithClaim(vm.claim),
		group.WithDetached(func() bool { return vm.detached(r.Group) }),
	)
	inner, cancel := context.WithCancel(ctx)
	vm.mu.Lock()
	vm.groups[r.Group] = &running{group: g, stop: cancel}
	vm.mu.Unlock()
	vm.tasks.Go(inner, func(ctx context.Context) {
		if err := g.Run(ctx); err != nil {
			vm.log.Error("group ended", "group", r.Group, "error", err)
		}
	})
	vm.reportSoon()
}

// pastOf returns what this VM knows of the requests that were run under the holder before it.
func (vm *VM) pastOf(s leasemanager.Start) (since time.Time, memory []idempotency.Option) {
	r := s.Record
	past, handed := vm.takeLegacy(r.Group, r.Term)
	claims, claimed := vm.claimed.PopPrevious(r.Group, r.Term)
	vm.mu.Lock()
	delete(vm.claims, r.Group)
	vm.mu.Unlock()
	switch {
	case handed:
		return past.since, []idempotency.Option{idempotency.WithEntries(past.memory)}
	case claimed:
		return claims.CompleteSince, []idempotency.Option{idempotency.WithClaimed(claims.Claimed)}
	case s.FirstTerm:
		return time.Time{}, nil
	default:
		return vm.options.Clock.Now(), nil
	}
}

// leaseOf returns the lease of a group for those who act under it.
func (vm *VM) leaseOf(g id.Group) group.Lease {
	return group.Lease{
		Term: func() id.Term {
			vm.mu.Lock()
			defer vm.mu.Unlock()
			return vm.keeper.Term(g)
		},
		Valid: func() bool { return vm.holds(g) },
		Expiry: func() clock.Instant {
			vm.mu.Lock()
			defer vm.mu.Unlock()
			return vm.keeper.Expiry(g)
		},
	}
}

// holds reports whether this VM may act for a group now.
func (vm *VM) holds(g id.Group) bool {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.keeper.HoldsLease(vm.options.Clock.Boot(), g)
}

// detached reports whether this VM has lost the lease of a group without keys to nobody that it knows of.
func (vm *VM) detached(g id.Group) bool {
	view := vm.directory.View()
	record := view.Leases[g]
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return !vm.leaving && !view.Site.Services[view.Groups[g].Service].Keyed && record.IsHeldBy(vm.options.Settings.VM, vm.incarnation)
}

// stopSucceeded ends the groups that went on without a lease, once they have another holder.
func (vm *VM) stopSucceeded() {
	vm.mu.Lock()
	var lapsed []id.Group
	for g := range vm.groups {
		if _, held := vm.keeper.Record(g); !held {
			lapsed = append(lapsed, g)
		}
	}
	vm.mu.Unlock()
	for _, g := range lapsed {
		if !vm.detached(g) {
			vm.stop(g)
		}
	}
}

// stop ends the work for a group whose lease is over.
func (vm *VM) stop(g id.Group) {
	vm.mu.Lock()
	r, ok := vm.groups[g]
	delete(vm.groups, g)
	vm.mu.Unlock()
	if !ok {
		return
	}
	vm.log.Info("lease is over", "group", g)
	r.group.Stop()
	r.stop()
}

func (vm *VM) stopAll() {
	vm.mu.Lock()
	var names []id.Group
	for g := range vm.groups {
		names = append(names, g)
	}
	vm.mu.Unlock()
	for _, g := range names {
		vm.stop(g)
	}
}

func (vm *VM) lastSeen(s id.Server) (boot id.Incarnation, limit int) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.seen[s].boot, vm.seen[s].limit
}
