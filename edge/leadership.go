package edge

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// members returns the registered VMs with this one.
func (e *Edge) members() (out []id.VM) {
	s := e.snapshot.Load()
	self := false
	for vm := range s.Peers {
		out = append(out, vm)
		self = self || vm == e.settings.VM
	}
	if !self {
		out = append(out, e.settings.VM)
	}
	return out
}

// leads reports whether this VM may act as the leader now.
func (e *Edge) leads() bool {
	members := e.members()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.elector.Leads(e.clock.Boot(), members)
}

// isolated reports whether this VM hears less than half of the others.
func (e *Edge) isolated(now clock.Instant) bool {
	members := e.members()
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.elector.HasMajority(now, members)
}

// campaign tries to become the leader.
func (e *Edge) campaign(ctx context.Context) {
	won, begun, term, lease := e.writeLeader(ctx)
	if won {
		e.keys.begin(e.clock.Boot())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.campaigning = false
	now := e.clock.Boot()
	if !won {
		e.elector.CampaignFailed(now)
		return
	}
	e.lease = lease
	e.elector.Won(begun, term)
	e.log.Info("this VM leads", "term", uint64(term))
	e.poke(e.resync)
}

// writeLeader writes the leader's record where there is none, and reads the store once more under it.
func (e *Edge) writeLeader(ctx context.Context) (won bool, begun clock.Instant, term id.Revision, lease platform.Lease) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	begun = e.clock.Boot()
	lease, err := e.store.GrantLease(ctx, leader.LeaseTTL)
	if err != nil {
		return false, begun, 0, 0
	}
	value, err := json.Marshal(fleet.Leader{VM: e.settings.VM, Incarnation: e.incarnation})
	if err == nil {
		term, err = e.store.Write(ctx, []platform.Condition{{Key: platform.KeyLeader()}}, platform.Put{Key: platform.KeyLeader(), Value: value, Lease: lease})
	}
	var u fleet.Update
	if err == nil {
		u, err = e.store.ReadAll(ctx)
	}
	if err != nil {
		if endErr := e.endLease(lease); endErr != nil {
			e.log.Debug("a lease could not be ended; it runs out by itself", "error", endErr)
		}
		return false, begun, 0, 0
	}
	e.storeAnswered()
	e.mirror.Apply(u)
	e.publish()
	return true, begun, term, lease
}

// endLease ends a lease, so that a write that was not answered can't take effect under it later.
func (e *Edge) endLease(lease platform.Lease) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return e.store.RevokeLease(ctx, lease)
}

// keepLease renews the leader's lease.
func (e *Edge) keepLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.mu.Lock()
	lease, term := e.lease, e.elector.Term()
	e.mu.Unlock()
	sent := e.clock.Boot()
	err := e.store.RenewLease(ctx, lease)
	if err == nil {
		e.storeAnswered()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.elector.Term() != term {
		return
	}
	switch {
	case err == nil:
		e.elector.Renewed(sent)
	case errors.Is(err, platform.ErrLeaseNotFound):
		e.log.Warn("this VM no longer leads: its lease has ended", "term", uint64(term))
		e.elector.LeaseEnded(e.clock.Boot())
	default:
		e.log.Warn("the leader's lease could not be renewed", "error", err)
	}
}

// resign gives the leadership up and says that this VM leaves.
//
// Where the store doesn't take the lease back, no other VM can lead yet. This
// one then goes on as long as most VMs don't reach the store either, and done
// is false.
func (e *Edge) resign(ctx context.Context) (done bool) {
	e.mu.Lock()
	vm, _, _ := e.elector.Leader(e.clock.Boot())
	leading, lease := vm == e.settings.VM, e.lease
	e.mu.Unlock()
	if leading {
		if err := e.endLease(lease); err != nil && !errors.Is(err, platform.ErrLeaseNotFound) {
			e.log.Warn("the leadership could not be handed over: the store does not answer", "error", err)
			e.mu.Lock()
			e.elector.MarkUncertain()
			e.mu.Unlock()
			return false
		}
	}
	e.mu.Lock()
	e.elector.LeaseEnded(e.clock.Boot())
	e.mu.Unlock()
	e.resigned.Store(true)
	e.broadcast(ctx)
	return true
}
