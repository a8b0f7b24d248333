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

const (
	// keeperTickPeriod is the interval at which leases are checked and renewed.
	keeperTickPeriod = 50 * time.Millisecond
	// tableRetryDelay is the delay between two attempts to read a slice table before a group starts.
	tableRetryDelay = 50 * time.Millisecond
	// swapTimeout bounds the write of a lease record, with the checks before and the table read after it.
	swapTimeout = 3 * time.Second
	// witnessSettlingTime is the time after its start from which a VM answers as a witness.
	witnessSettlingTime = 1200 * time.Millisecond
)

// runKeeper acquires, renews and resigns leases until ctx is done.
func (vm *VM) runKeeper(ctx context.Context) error {
	for {
		vm.tick(ctx)
		select {
		case <-ctx.Done():
			vm.stopAllGroups()
			return nil
		case <-vm.options.Clock.After(keeperTickPeriod):
		}
	}
}

// tick performs the keeper's actions that are due.
func (vm *VM) tick(ctx context.Context) {
	snapshot := vm.keeperSnapshot()
	if len(snapshot.Groups) == 0 {
		return
	}
	vm.mu.Lock()
	actions := vm.keeper.Tick(vm.options.Clock.Boot(), snapshot)
	vm.mu.Unlock()
	for _, a := range actions {
		vm.perform(ctx, a)
	}
	vm.stopReplacedGroups()
}

// keeperSnapshot returns the groups, lease records and members from which the keeper decides.
//
// It has no groups until the store was read once.
func (vm *VM) keeperSnapshot() leasemanager.Snapshot {
	view := vm.directory.View()
	s := leasemanager.Snapshot{Records: view.Leases, Retired: view.Retired}
	if view.Revision == 0 || !vm.watcher.isSynced() {
		// Without the lease records of the store, every lease would look vacant.
		return s
	}
	s.Groups = view.LeaseDomains
	now := vm.options.Clock.Boot()
	for _, m := range vm.members.Live(now) {
		if !m.Leaving {
			s.Live = append(s.Live, leasemanager.Member{
				VM: m.VM, Incarnation: m.Incarnation, FailureDomain: m.FailureDomain,
				CanWitness: vm.members.IsKnownFor(now, m.VM, witnessSettlingTime),
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
		vm.sendLeaseMessage(a.Send.To, a.Send.Message)
	case a.Swap != nil:
		record := a.Swap.Record
		vm.tasks.Go(ctx, func(ctx context.Context) { vm.swapRecord(ctx, record) })
	case a.Start != nil:
		vm.startGroup(ctx, *a.Start)
	case a.Stop != "" && !vm.isDetached(a.Stop):
		vm.stopGroup(a.Stop)
	}
}

// swapRecord writes a lease record by compare-and-swap and reports the result to the keeper.
//
// Before the lease of a group begins, it reads the slice table from the store.
func (vm *VM) swapRecord(ctx context.Context, r lease.Record) {
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	if !r.IsVacant() {
		r.Witnesses = vm.reachableWitnesses(ctx, r.Witnesses)
	}
	value, err := json.Marshal(r)
	if err != nil {
		vm.log.Error("failed to encode a lease record", "group", r.Group, "error", err)
		return
	}
	item, err := vm.platform.SwapAndVerify(ctx, directory.KeyLease(r.Group), r.Revision, value)
	switch {
	case errors.Is(err, platform.ErrConflict):
		vm.reloadLease(ctx, r.Group)
		vm.reportSwap(r, false)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		vm.log.Warn("the result of a lease write is unknown", "group", r.Group, "term", r.Term, "error", err)
	case err != nil:
		vm.reportSwap(r, false)
	default:
		r.Revision = item.Revision
		if r.IsVacant() || vm.loadTable(ctx, r.Group) {
			vm.reportSwap(r, true)
			vm.directory.SetLease(r)
			vm.announceLease(ctx, r)
		}
	}
}

// reachableWitnesses returns the witnesses that answer now, and this VM.
//
// If all witnesses of a record were gone, no VM could ever take over the lease.
func (vm *VM) reachableWitnesses(ctx context.Context, witnesses []id.VM) (out []id.VM) {
	self := vm.options.Settings.VM
	reachable := make([]bool, len(witnesses))
	done := make(chan struct{}, len(witnesses))
	for i, w := range witnesses {
		vm.tasks.Go(ctx, func(ctx context.Context) {
			reachable[i] = w == self || vm.isAvailable(ctx, w)
			done <- struct{}{}
		})
	}
	for range witnesses {
		<-done
	}
	for i, w := range witnesses {
		if reachable[i] && w != self {
			out = append(out, w)
		}
	}
	return leasemanager.CompleteWitnesses(out, self)
}

// reportSwap tells the keeper whether the record was written.
func (vm *VM) reportSwap(r lease.Record, written bool) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.keeper.HandleSwapResult(vm.options.Clock.Boot(), r, written)
}

// reloadLease reads a lease record from the store into the directory.
func (vm *VM) reloadLease(ctx context.Context, g id.Group) {
	item, err := vm.platform.Get(ctx, directory.KeyLease(g))
	if err == nil {
		err = vm.directory.Apply(item)
	}
	if err != nil {
		vm.log.Debug("failed to read a lease record", "group", g, "error", err)
	}
}

// loadTable reads the slice table of a group's service from the store, and reports whether it could.
//
// A new holder must not use an older table, since the previous holder may have
// confirmed a release to the planner under a newer one. The planner has no table.
func (vm *VM) loadTable(ctx context.Context, g id.Group) bool {
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
			vm.log.Warn("a lease was acquired but the slice table could not be read", "group", g, "error", err)
			return false
		case <-vm.options.Clock.After(tableRetryDelay):
		}
	}
}

// startGroup starts to serve a group, or to plan, under a lease that has begun.
func (vm *VM) startGroup(ctx context.Context, s leasemanager.Start) {
	r := s.Record
	vm.log.Info("lease started", "group", r.Group, "term", r.Term, "witnesses", r.Witnesses)
	if r.Group == id.Planner {
		vm.plannerLoop.recordElection()
		return
	}
	vm.stopGroup(r.Group)
	since, opts := vm.inheritedDedupState(s)
	g := group.NewGroup(r.Group, vm.directory.View().Groups[r.Group].Service, vm.directory, vm.transport,
		group.WithClock(vm.options.Clock),
		group.WithLog(vm.log),
		group.WithLease(vm.groupLease(r.Group)),
		group.WithPoison(vm.poison),
		group.WithDeduplication(since, opts...),
		group.WithLastKnownLimit(vm.lastKnownLimit),
		group.WithOnServerLost(func(id.Server) { vm.triggerReport() }),
		group.WithOnServerCrash(vm.sendCrashWarning),
		group.WithLookupPrevious(vm.recall),
		group.WithClaim(vm.claim),
		group.WithDetached(func() bool { return vm.isDetached(r.Group) }),
	)
	groupCtx, cancel := context.WithCancel(ctx)
	vm.mu.Lock()
	vm.groups[r.Group] = &runningGroup{group: g, cancel: cancel}
	vm.mu.Unlock()
	vm.tasks.Go(groupCtx, func(ctx context.Context) {
		if err := g.Run(ctx); err != nil {
			vm.log.Error("group stopped with an error", "group", r.Group, "error", err)
		}
	})
	vm.triggerReport()
}

// inheritedDedupState returns the deduplication state for the start of a group, and the time since which it is complete.
//
// The state comes from a handover or from the claims of the previous holder. The
// first holder of a lease inherits nothing and misses nothing (the zero time).
// Otherwise the state is complete only from now on.
func (vm *VM) inheritedDedupState(s leasemanager.Start) (since time.Time, opts []idempotency.Option) {
	r := s.Record
	handover, isHandover := vm.takeHandoverState(r.Group, r.Term)
	claims, hasClaims := vm.receivedClaims.PopPrevious(r.Group, r.Term)
	vm.mu.Lock()
	delete(vm.claimTargets, r.Group)
	vm.mu.Unlock()
	switch {
	case isHandover:
		return handover.since, []idempotency.Option{idempotency.WithEntries(handover.entries)}
	case hasClaims:
		return claims.CompleteSince, []idempotency.Option{idempotency.WithClaimed(claims.Claimed)}
	case s.FirstTerm:
		return time.Time{}, nil
	default:
		return vm.options.Clock.Now(), nil
	}
}

// groupLease returns the term, validity and expiry of a group's lease as functions.
func (vm *VM) groupLease(g id.Group) group.Lease {
	return group.Lease{
		Term: func() id.Term {
			vm.mu.Lock()
			defer vm.mu.Unlock()
			return vm.keeper.Term(g)
		},
		Valid: func() bool { return vm.holdsLease(g) },
		Expiry: func() clock.Instant {
			vm.mu.Lock()
			defer vm.mu.Unlock()
			return vm.keeper.Expiry(g)
		},
	}
}

// holdsLease reports whether this VM has a valid lease of a group now.
func (vm *VM) holdsLease(g id.Group) bool {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.keeper.HoldsLease(vm.options.Clock.Boot(), g)
}

// isDetached reports whether this VM may serve a group without keys when it can't renew the group's lease.
//
// It may until it knows of another holder or shuts down.
func (vm *VM) isDetached(g id.Group) bool {
	view := vm.directory.View()
	record := view.Leases[g]
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return !vm.leaving && !view.Site.Services[view.Groups[g].Service].Keyed && record.IsHeldBy(vm.options.Settings.VM, vm.incarnation)
}

// stopReplacedGroups stops the groups that were served without a lease and now have another holder.
func (vm *VM) stopReplacedGroups() {
	vm.mu.Lock()
	var expired []id.Group
	for g := range vm.groups {
		if _, held := vm.keeper.Record(g); !held {
			expired = append(expired, g)
		}
	}
	vm.mu.Unlock()
	for _, g := range expired {
		if !vm.isDetached(g) {
			vm.stopGroup(g)
		}
	}
}

// stopGroup stops serving a group whose lease has ended.
func (vm *VM) stopGroup(g id.Group) {
	vm.mu.Lock()
	r, ok := vm.groups[g]
	delete(vm.groups, g)
	vm.mu.Unlock()
	if !ok {
		return
	}
	vm.log.Info("lease ended", "group", g)
	r.group.Stop()
	r.cancel()
}

func (vm *VM) stopAllGroups() {
	vm.mu.Lock()
	var groups []id.Group
	for g := range vm.groups {
		groups = append(groups, g)
	}
	vm.mu.Unlock()
	for _, g := range groups {
		vm.stopGroup(g)
	}
}

// lastKnownLimit returns the last reported incarnation and concurrency limit of a backend server.
func (vm *VM) lastKnownLimit(s id.Server) (incarnation id.Incarnation, limit int) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.knownServers[s].incarnation, vm.knownServers[s].limit
}
