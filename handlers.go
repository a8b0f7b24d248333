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

// Limits of orders to other VMs.
const (
	// announceTo is the number of VMs that are told at once of a new holder; others learn by the watch.
	announceTo   = 16
	announceTime = time.Second
)

// handlers answer other VMs.
func (vm *VM) handlers() peer.Handlers {
	return peer.Handlers{
		Relay:     vm.serveRelayed,
		Offer:     vm.takeState,
		Fetch:     vm.giveState,
		Release:   vm.release,
		Report:    vm.takeReports,
		Handover:  vm.acceptHandover,
		Recall:    vm.answerRecall,
		Inventory: vm.inventory,
		Claim:     vm.takeClaim,
		Warn:      vm.takeWarning,
	}
}

// serveRelayed answers a request that another VM has passed on; it is never passed on twice.
func (vm *VM) serveRelayed(ctx context.Context, r *exchange.Request) (answer *exchange.Response, err error) {
	ctx, span := vm.options.Tracer.Start(ctx, r.Header, "relay")
	defer span.End()
	serve, ok := vm.local(r.Group)
	if !ok {
		return nil, outcome.NotRun(outcome.Moved, "VM %s does not hold the lease of group %s", vm.options.Settings.VM, r.Group)
	}
	vm.options.Tracer.Inject(ctx, r.Header)
	return serve(ctx, r)
}

// takeState applies what is newer than what this VM knows.
func (vm *VM) takeState(_ context.Context, s *peerpb.State) {
	if c := s.GetConfiguration(); c != nil {
		if _, err := vm.directory.SetConfiguration(id.Revision(c.GetRevision()), c.GetDocument()); err != nil {
			vm.log.Error("a configuration from another VM can't be used", "error", err)
		}
	}
	for _, l := range s.GetLeases() {
		vm.directory.SetLease(peer.DecodeLease(l))
	}
	for _, m := range s.GetTables() {
		t, err := peer.DecodeTable(m)
		if err != nil {
			vm.log.Error("a slice table from another VM can't be used", "error", err)
			continue
		}
		vm.directory.SetTable(id.Revision(m.GetRevision()), t)
	}
}

// giveState returns what the asking VM lacks.
func (vm *VM) giveState(_ context.Context, h *peerpb.Have) (s *peerpb.State, err error) {
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

// announceLease tells other VMs of a new holder before they learn of it by the watch.
func (vm *VM) announceLease(ctx context.Context, r lease.Record) {
	state := &peerpb.State{Leases: []*peerpb.Lease{peer.EncodeLease(r)}}
	for i, m := range vm.members.Live(vm.options.Clock.Boot()) {
		if i > 0 && i <= announceTo {
			vm.offer(ctx, m.VM, state)
		}
	}
}

// offer passes state to a VM without waiting for it.
func (vm *VM) offer(ctx context.Context, to id.VM, s *peerpb.State) {
	vm.tasks.Go(context.WithoutCancel(ctx), func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, announceTime)
		defer cancel()
		p, err := vm.client.Peer(to)
		if err == nil {
			_, err = p.Offer(ctx, s)
		}
		if err != nil {
			vm.log.Debug("a VM did not take an offer", "to", to, "error", err)
		}
	})
}

// release stops serving what a table version moves away from a group that this VM holds.
func (vm *VM) release(ctx context.Context, r *peerpb.ReleaseRequest) (*peerpb.ReleaseAnswer, error) {
	t, err := peer.DecodeTable(r.GetTable())
	if err != nil {
		return nil, err
	}
	vm.directory.SetTable(id.Revision(r.GetTable().GetRevision()), t)
	g := id.Group(r.GetGroup())
	vm.mu.Lock()
	held, ok := vm.groups[g]
	vm.mu.Unlock()
	answer := &peerpb.ReleaseAnswer{Term: uint64(vm.leaseOf(g).Term())}
	answer.Released = ok && held.group.Release(ctx, t.Version)
	return answer, nil
}

// warn tells other VMs of a request that was in flight when a backend server died.
func (vm *VM) warn(f poison.Fingerprint, deaths int) {
	vm.log.Warn("a request was in flight at a backend server that died", "fingerprint", uint64(f), "deaths", deaths)
	w := &peerpb.Warning{Fingerprint: uint64(f), Deaths: int32(deaths)}
	for i, m := range vm.members.Live(vm.options.Clock.Boot()) {
		if i == 0 || i > announceTo {
			continue
		}
		vm.tasks.Go(context.Background(), func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, announceTime)
			defer cancel()
			p, err := vm.client.Peer(m.VM)
			if err == nil {
				_, err = p.Warn(ctx, w)
			}
			if err != nil {
				vm.log.Debug("a VM could not be warned", "vm", m.VM, "error", err)
			}
		})
	}
}

func (vm *VM) takeWarning(_ context.Context, w *peerpb.Warning) {
	vm.poison.MergeCrashes(vm.options.Clock.Boot(), poison.Fingerprint(w.GetFingerprint()), int(w.GetDeaths()))
}
