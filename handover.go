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

// Times of a hand-over.
const (
	// claimsTime is the time that requests which run at most once have to finish before the memory is copied.
	claimsTime   = time.Second
	handoverTime = 2 * time.Second
	handoverPoll = 5 * time.Millisecond
)

// answerRecall tells the new owner of a slice whether a request has been seen here.
func (vm *VM) answerRecall(_ context.Context, r *peerpb.RecallRequest) (*peerpb.RecallAnswer, error) {
	vm.mu.Lock()
	held, ok := vm.groups[id.Group(r.GetGroup())]
	vm.mu.Unlock()
	if !ok || !vm.holds(id.Group(r.GetGroup())) {
		return &peerpb.RecallAnswer{}, nil
	}
	kept, found, known := held.group.Recall(r.GetIdentity(), table.Hash(r.GetPlace()))
	answer := &peerpb.RecallAnswer{Known: known}
	if found {
		answer.Memory = peer.EncodeStoredResponse(kept, vm.options.Clock.Now())
	}
	return answer, nil
}

// recall asks the holder of the group that had a slice before whether it has seen a request.
func (vm *VM) recall(ctx context.Context, from id.Group, i idempotency.ID, place table.Hash) (kept idempotency.FinishedEntry, found, known bool) {
	ctx, cancel := context.WithTimeout(ctx, recallTime)
	defer cancel()
	request := &peerpb.RecallRequest{Group: string(from), Service: string(i.Service), Identity: i.Identity, Place: uint64(place)}
	holder := vm.directory.View().Leases[from].Holder
	var answer *peerpb.RecallAnswer
	var err error
	if holder == vm.options.Settings.VM {
		answer, err = vm.answerRecall(ctx, request)
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
	return peer.DecodeStoredResponse(answer.GetMemory(), vm.options.Clock.Now()), true, true
}

// recallTime bounds a question to the former owner of a slice.
const recallTime = 500 * time.Millisecond

// legacy is what a former holder leaves to this VM.
type legacy struct {
	// term is the one that the former holder has resigned.
	term   id.Term
	memory []idempotency.FinishedEntry
	since  time.Time
}

// takeLegacy returns what the holder of the term before has left, if this VM follows it directly.
func (vm *VM) takeLegacy(g id.Group, term id.Term) (l legacy, ok bool) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	l, ok = vm.legacies[g]
	delete(vm.legacies, g)
	if !ok || l.term+1 != term {
		return legacy{}, false
	}
	return l, true
}

// handOver gives every lease to another VM, all at once.
func (vm *VM) handOver(ctx context.Context) {
	vm.mu.Lock()
	held := vm.keeper.Held()
	vm.mu.Unlock()
	done := make(chan struct{}, len(held))
	for _, g := range held {
		vm.tasks.Go(ctx, func(ctx context.Context) {
			if successor, ok := vm.successor(ctx, g); ok {
				vm.handOverGroup(ctx, g, successor)
			} else {
				vm.log.Warn("no VM can take a lease over", "group", g)
			}
			done <- struct{}{}
		})
	}
	for range held {
		<-done
	}
}

// handOverGroup gives a lease to a successor; what is in flight here finishes here.
func (vm *VM) handOverGroup(ctx context.Context, g id.Group, successor id.VM) {
	ctx, cancel := context.WithTimeout(ctx, handoverTime)
	defer cancel()
	vm.awaitSwap(ctx, g)
	request := &peerpb.HandoverRequest{}
	vm.mu.Lock()
	r, runs := vm.groups[g]
	delete(vm.groups, g)
	vm.mu.Unlock()
	if runs {
		r.group.Stop()
		vm.packMemory(ctx, r, request)
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
		vm.log.Warn("a lease could not be handed over", "group", g, "to", successor, "error", err)
	}
	if runs {
		r.stop()
	}
}

// awaitSwap waits until no write of a group's record is on its way.
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
		case <-vm.options.Clock.After(handoverPoll):
		}
	}
}

// packMemory copies the memory of a group, complete if all that runs at most once has finished.
func (vm *VM) packMemory(ctx context.Context, r *running, request *peerpb.HandoverRequest) {
	waiting, cancel := context.WithTimeout(ctx, claimsTime)
	defer cancel()
	since := vm.options.Clock.Now()
	if r.group.AwaitClaims(waiting) {
		since = r.group.Memory().CompleteSince()
		for _, kept := range r.group.Memory().Export() {
			request.Memory = append(request.Memory, peer.EncodeStoredResponse(kept, vm.options.Clock.Now()))
		}
	}
	request.SinceNanos = since.UnixNano()
	if since.IsZero() {
		request.SinceNanos = 0
	}
	for _, s := range r.group.Report().Servers {
		request.Servers = append(request.Servers, &peerpb.ServerState{Server: string(s.Server), Boot: string(s.Boot), Limit: float64(s.Limit)})
	}
}

// successor returns the VM that takes a lease over at a planned stop: the first witness, or another that answers.
func (vm *VM) successor(ctx context.Context, g id.Group) (to id.VM, ok bool) {
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
		if vm.answers(ctx, m.VM) {
			return m.VM, true
		}
	}
	return "", false
}

// acceptHandover makes this VM the holder of a lease that its holder has resigned.
func (vm *VM) acceptHandover(ctx context.Context, r *peerpb.HandoverRequest) (*peerpb.HandoverAnswer, error) {
	record := peer.DecodeLease(r.GetLease())
	vm.inherit(record.Group, r)
	scene := vm.scene()
	vm.mu.Lock()
	actions := vm.keeper.AcceptHandover(vm.options.Clock.Boot(), scene, record)
	vm.mu.Unlock()
	for _, a := range actions {
		vm.swap(ctx, a.Swap.Record)
	}
	// The tick renews at once, so that the lease begins with the first answers.
	vm.tick(context.WithoutCancel(ctx))
	return &peerpb.HandoverAnswer{Accepted: vm.awaitLease(ctx, record)}, nil
}

func (vm *VM) inherit(g id.Group, r *peerpb.HandoverRequest) {
	l := legacy{term: id.Term(r.GetLease().GetTerm())}
	if r.GetSinceNanos() != 0 {
		l.since = time.Unix(0, r.GetSinceNanos())
	}
	for _, m := range r.GetMemory() {
		l.memory = append(l.memory, peer.DecodeStoredResponse(m, vm.options.Clock.Now()))
	}
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.legacies[g] = l
	for _, s := range r.GetServers() {
		vm.seen[id.Server(s.GetServer())] = sighting{boot: id.Incarnation(s.GetBoot()), limit: int(s.GetLimit())}
	}
}

func (vm *VM) awaitLease(ctx context.Context, record lease.Record) bool {
	for !vm.holds(record.Group) {
		select {
		case <-ctx.Done():
			return false
		case <-vm.options.Clock.After(handoverPoll):
		}
	}
	return true
}

// witnessRank orders VMs by their place among the witnesses of a lease; others come last.
func witnessRank(r lease.Record, vm id.VM) int {
	if at := slices.Index(r.Witnesses, vm); at >= 0 {
		return at
	}
	return lease.MaxWitnesses
}
