package hickorylug

import (
	"context"
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/coordination/idempotency"
	"github.com/hickorylug/hickorylug/coordination/lease"
	"github.com/hickorylug/hickorylug/coordination/member"
	"github.com/hickorylug/hickorylug/protocol/peerpb"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
	"github.com/hickorylug/hickorylug/transport/peer"
)

const (
	// claimsTimeout bounds the wait for at-most-once requests in flight before the deduplication state is copied.
	claimsTimeout = time.Second
	// handoverTimeout bounds the handover of one lease.
	handoverTimeout    = 2 * time.Second
	handoverPollPeriod = 5 * time.Millisecond
)

// handleRecall returns the deduplication entry of a request to the new owner of its slice.
func (vm *VM) handleRecall(_ context.Context, r *peerpb.RecallRequest) (*peerpb.RecallAnswer, error) {
	vm.mu.Lock()
	held, ok := vm.groups[id.Group(r.GetGroup())]
	vm.mu.Unlock()
	if !ok || !vm.holdsLease(id.Group(r.GetGroup())) {
		return &peerpb.RecallAnswer{}, nil
	}
	kept, found, known := held.group.LookupEntry(r.GetIdentity(), table.Hash(r.GetPlace()))
	answer := &peerpb.RecallAnswer{Known: known}
	if found {
		answer.Memory = peer.EncodeFinishedEntry(kept, vm.options.Clock.Now())
	}
	return answer, nil
}

// recall looks up a request in the deduplication state of the group that previously owned its slice.
//
// found reports whether that group has the request. known is false where the lookup failed or that group can't tell.
func (vm *VM) recall(ctx context.Context, from id.Group, i idempotency.ID, place table.Hash) (kept idempotency.FinishedEntry, found, known bool) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	request := &peerpb.RecallRequest{Group: string(from), Service: string(i.Service), Identity: i.Identity, Place: uint64(place)}
	holder := vm.directory.View().Leases[from].Holder
	var answer *peerpb.RecallAnswer
	var err error
	if holder == vm.options.Settings.VM {
		answer, err = vm.handleRecall(ctx, request)
	} else {
		var p peerpb.PeerClient
		if p, err = vm.client.Peer(holder); err == nil {
			answer, err = p.Recall(ctx, request)
		}
	}
	if err != nil || !answer.GetKnown() {
		return kept, false, false
	}
	if answer.GetMemory() == nil {
		return kept, false, true
	}
	return peer.DecodeFinishedEntry(answer.GetMemory(), vm.options.Clock.Now()), true, true
}

// recallTimeout bounds a lookup at the previous owner of a slice.
const recallTimeout = 500 * time.Millisecond

// handoverState is the deduplication state that a previous lease holder sent to this VM.
type handoverState struct {
	// term is the lease term that the previous holder resigned.
	term    id.Term
	entries []idempotency.FinishedEntry
	// since is the time from which entries are complete.
	since time.Time
}

// takeHandoverState removes and returns the state that the previous holder sent, if its term directly precedes term.
func (vm *VM) takeHandoverState(g id.Group, term id.Term) (state handoverState, ok bool) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	state, ok = vm.handoverStates[g]
	delete(vm.handoverStates, g)
	if !ok || state.term+1 != term {
		return handoverState{}, false
	}
	return state, true
}

// handOverAll hands every lease over to another VM, all concurrently.
func (vm *VM) handOverAll(ctx context.Context) {
	vm.mu.Lock()
	held := vm.keeper.Held()
	vm.mu.Unlock()
	done := make(chan struct{}, len(held))
	for _, g := range held {
		vm.tasks.Go(ctx, func(ctx context.Context) {
			if successor, ok := vm.chooseSuccessor(ctx, g); ok {
				vm.handOverGroup(ctx, g, successor)
			} else {
				vm.log.Warn("no VM is available for the handover of a lease", "group", g)
			}
			done <- struct{}{}
		})
	}
	for range held {
		<-done
	}
}

// handOverGroup hands a lease over to a successor. Requests in flight finish at this VM.
func (vm *VM) handOverGroup(ctx context.Context, g id.Group, successor id.VM) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	vm.awaitSwap(ctx, g)
	request := &peerpb.HandoverRequest{}
	vm.mu.Lock()
	r, running := vm.groups[g]
	delete(vm.groups, g)
	vm.mu.Unlock()
	if running {
		r.group.Stop()
		vm.exportDedupState(ctx, r, request)
	}
	vm.mu.Lock()
	record, held := vm.keeper.Resign(g)
	vm.mu.Unlock()
	if !held {
		return
	}
	request.Lease = peer.EncodeLease(record)
	p, err := vm.client.Peer(successor)
	if err == nil {
		_, err = p.Handover(ctx, request)
	}
	if err != nil {
		vm.log.Warn("lease handover failed", "group", g, "to", successor, "error", err)
	}
	if running {
		r.cancel()
	}
}

// awaitSwap waits until no compare-and-swap of a group's lease record is in flight.
func (vm *VM) awaitSwap(ctx context.Context, g id.Group) {
	for {
		vm.mu.Lock()
		swapping := vm.keeper.HasPendingSwap(g)
		vm.mu.Unlock()
		if !swapping {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-vm.options.Clock.After(handoverPollPeriod):
		}
	}
}

// exportDedupState adds a group's deduplication state and its servers' concurrency limits to a handover request.
//
// If at-most-once requests are still in flight after claimsTimeout, no entry is
// added and the state counts as complete only from the start of that wait.
func (vm *VM) exportDedupState(ctx context.Context, r *runningGroup, request *peerpb.HandoverRequest) {
	waitCtx, cancel := context.WithTimeout(ctx, claimsTimeout)
	defer cancel()
	since := vm.options.Clock.Now()
	if r.group.AwaitClaims(waitCtx) {
		since = r.group.Deduplicator().CompleteSince()
		for _, kept := range r.group.Deduplicator().Export() {
			request.Memory = append(request.Memory, peer.EncodeFinishedEntry(kept, vm.options.Clock.Now()))
		}
	}
	request.SinceNanos = since.UnixNano()
	if since.IsZero() {
		request.SinceNanos = 0
	}
	for _, s := range r.group.Report().Servers {
		request.Servers = append(request.Servers, &peerpb.ServerState{Server: string(s.Server), Boot: string(s.Incarnation), Limit: float64(s.Limit)})
	}
}

// chooseSuccessor returns the VM to which a lease is handed over at a graceful shutdown.
//
// It prefers the witnesses of the lease in their order and skips VMs that don't answer.
func (vm *VM) chooseSuccessor(ctx context.Context, g id.Group) (to id.VM, ok bool) {
	home := vm.directory.View().Groups[g].FailureDomain
	record := vm.directory.View().Leases[g]
	var candidates []member.Member
	for _, m := range vm.members.Live(vm.options.Clock.Boot()) {
		if m.VM != vm.options.Settings.VM && !m.Leaving && (home == "" || m.FailureDomain == home) {
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b member.Member) int {
		return witnessRank(record, a.VM) - witnessRank(record, b.VM)
	})
	for _, m := range candidates {
		if vm.isAvailable(ctx, m.VM) {
			return m.VM, true
		}
	}
	return "", false
}

// handleHandover makes this VM the holder of a lease that the previous holder resigned.
func (vm *VM) handleHandover(ctx context.Context, r *peerpb.HandoverRequest) (*peerpb.HandoverAnswer, error) {
	record := peer.DecodeLease(r.GetLease())
	vm.keepHandoverState(record.Group, r)
	snapshot := vm.keeperSnapshot()
	vm.mu.Lock()
	actions := vm.keeper.AcceptHandover(vm.options.Clock.Boot(), snapshot, record)
	vm.mu.Unlock()
	for _, a := range actions {
		vm.swapRecord(ctx, a.Swap.Record)
	}
	// Renew at once instead of at the next tick, so that the lease begins with the first answers of the witnesses.
	vm.tick(context.WithoutCancel(ctx))
	return &peerpb.HandoverAnswer{Accepted: vm.awaitLease(ctx, record)}, nil
}

// keepHandoverState keeps the state of a previous holder until this VM starts the group.
func (vm *VM) keepHandoverState(g id.Group, r *peerpb.HandoverRequest) {
	state := handoverState{term: id.Term(r.GetLease().GetTerm())}
	if r.GetSinceNanos() != 0 {
		state.since = time.Unix(0, r.GetSinceNanos())
	}
	for _, m := range r.GetMemory() {
		state.entries = append(state.entries, peer.DecodeFinishedEntry(m, vm.options.Clock.Now()))
	}
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.handoverStates[g] = state
	for _, s := range r.GetServers() {
		vm.knownServers[id.Server(s.GetServer())] = knownServer{incarnation: id.Incarnation(s.GetBoot()), limit: int(s.GetLimit())}
	}
}

// awaitLease waits until this VM holds a lease and reports whether it does.
func (vm *VM) awaitLease(ctx context.Context, record lease.Record) bool {
	for !vm.holdsLease(record.Group) {
		select {
		case <-ctx.Done():
			return false
		case <-vm.options.Clock.After(handoverPollPeriod):
		}
	}
	return true
}

// witnessRank returns the position of a VM among the witnesses of a lease; other VMs rank last.
func witnessRank(r lease.Record, vm id.VM) int {
	if at := slices.Index(r.Witnesses, vm); at >= 0 {
		return at
	}
	return lease.MaxWitnesses
}
