package hickorylug

import (
	"context"
	"time"

	"github.com/hickorylug/hickorylug/coordination/lease"
	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/protocol/peerpb"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/peer"
)

const (
	// maxAnnouncedVMs limits the VMs to which a new lease holder or a crash warning is sent directly.
	// The other VMs read a new holder through the store watch.
	maxAnnouncedVMs = 16
	// announceTimeout bounds one such call.
	announceTimeout = time.Second
)

// handlers returns the handlers of calls from other VMs.
func (vm *VM) handlers() peer.Handlers {
	return peer.Handlers{
		Relay:     vm.handleRelay,
		Offer:     vm.applyState,
		Fetch:     vm.newerState,
		Release:   vm.handleRelease,
		Report:    vm.handleReports,
		Handover:  vm.handleHandover,
		Recall:    vm.handleRecall,
		Inventory: vm.inventory,
		Claim:     vm.handleClaim,
		Warn:      vm.handleCrashWarning,
	}
}

// handleRelay serves a request that another VM relayed.
//
// A request is relayed at most once, so it is refused if this VM does not serve its group.
func (vm *VM) handleRelay(ctx context.Context, r *exchange.Request) (answer *exchange.Response, err error) {
	ctx, span := vm.options.Tracer.Start(ctx, r.Header, "relay")
	defer span.End()
	serve, ok := vm.localHandler(r.Group)
	if !ok {
		return nil, outcome.NotRun(outcome.Moved, "VM %s does not hold the lease of group %s", vm.options.Settings.VM, r.Group)
	}
	vm.options.Tracer.Inject(ctx, r.Header)
	return serve(ctx, r)
}

// applyState applies the records, tables and configuration that are newer than those of this VM.
func (vm *VM) applyState(_ context.Context, s *peerpb.State) {
	if c := s.GetConfiguration(); c != nil {
		if _, err := vm.directory.SetConfiguration(id.Revision(c.GetRevision()), c.GetDocument()); err != nil {
			vm.log.Error("invalid configuration from another VM", "error", err)
		}
	}
	for _, l := range s.GetLeases() {
		vm.directory.SetLease(peer.DecodeLease(l))
	}
	for _, m := range s.GetTables() {
		t, err := peer.DecodeTable(m)
		if err != nil {
			vm.log.Error("invalid slice table from another VM", "error", err)
			continue
		}
		vm.directory.SetTable(id.Revision(m.GetRevision()), t)
	}
}

// newerState returns the state that is newer than the versions of the calling VM.
func (vm *VM) newerState(_ context.Context, h *peerpb.Have) (s *peerpb.State, err error) {
	view := vm.directory.View()
	s = &peerpb.State{}
	if uint64(view.Revision) > h.GetConfigurationRevision() {
		s.Configuration = &peerpb.Configuration{Revision: uint64(view.Revision), Document: view.Accepted}
	}
	for g, r := range view.Leases {
		if uint64(r.Term) > h.GetLeaseTerms()[string(g)] {
			s.Leases = append(s.Leases, peer.EncodeLease(r))
		}
	}
	for service, t := range view.Tables {
		if uint64(t.Version) <= h.GetTableVersions()[string(service)] {
			continue
		}
		m, err := peer.EncodeTable(view.TableRevisions[service], t)
		if err != nil {
			return nil, err
		}
		s.Tables = append(s.Tables, m)
	}
	return s, nil
}

// announceLease sends a new lease record to other VMs, which is faster than the store watch.
func (vm *VM) announceLease(ctx context.Context, r lease.Record) {
	state := &peerpb.State{Leases: []*peerpb.Lease{peer.EncodeLease(r)}}
	for i, m := range vm.members.Live(vm.options.Clock.Boot()) {
		if i > 0 && i <= maxAnnouncedVMs {
			vm.sendState(ctx, m.VM, state)
		}
	}
}

// sendState sends state to a VM in the background.
func (vm *VM) sendState(ctx context.Context, to id.VM, s *peerpb.State) {
	vm.tasks.Go(context.WithoutCancel(ctx), func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, announceTimeout)
		defer cancel()
		p, err := vm.client.Peer(to)
		if err == nil {
			_, err = p.Offer(ctx, s)
		}
		if err != nil {
			vm.log.Debug("failed to send state to a VM", "to", to, "error", err)
		}
	})
}

// handleRelease stops serving the slices that a new table version moves from one of this VM's groups.
func (vm *VM) handleRelease(ctx context.Context, r *peerpb.ReleaseRequest) (*peerpb.ReleaseAnswer, error) {
	t, err := peer.DecodeTable(r.GetTable())
	if err != nil {
		return nil, err
	}
	vm.directory.SetTable(id.Revision(r.GetTable().GetRevision()), t)
	g := id.Group(r.GetGroup())
	vm.mu.Lock()
	held, ok := vm.groups[g]
	vm.mu.Unlock()
	answer := &peerpb.ReleaseAnswer{Term: uint64(vm.groupLease(g).Term())}
	answer.Released = ok && held.group.Release(ctx, t.Version)
	return answer, nil
}

// sendCrashWarning warns other VMs of a request that was in flight when a backend server crashed.
func (vm *VM) sendCrashWarning(f poison.Fingerprint, crashes int) {
	vm.log.Warn("a request was in flight at a backend server that crashed", "fingerprint", uint64(f), "deaths", crashes)
	w := &peerpb.Warning{Fingerprint: uint64(f), Deaths: int32(crashes)}
	for i, m := range vm.members.Live(vm.options.Clock.Boot()) {
		if i == 0 || i > maxAnnouncedVMs {
			continue
		}
		vm.tasks.Go(context.Background(), func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, announceTimeout)
			defer cancel()
			p, err := vm.client.Peer(m.VM)
			if err == nil {
				_, err = p.Warn(ctx, w)
			}
			if err != nil {
				vm.log.Debug("failed to send a crash warning to a VM", "vm", m.VM, "error", err)
			}
		})
	}
}

// handleCrashWarning records the number of crashes that another VM has counted for a request.
func (vm *VM) handleCrashWarning(_ context.Context, w *peerpb.Warning) {
	vm.poison.MergeCrashes(vm.options.Clock.Boot(), poison.Fingerprint(w.GetFingerprint()), int(w.GetDeaths()))
}
