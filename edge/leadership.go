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

// members returns the registered VMs, always including this one.
func (e *Edge) members() (out []id.VM) {
	s := e.snapshot.Load()
	includesSelf := false
	for vm := range s.Peers {
		out = append(out, vm)
		includesSelf = includesSelf || vm == e.settings.VM
	}
	if !includesSelf {
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

// isIsolated reports whether this VM has recent heartbeats from too few VMs for a majority.
func (e *Edge) isIsolated(now clock.Instant) bool {
	members := e.members()
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.elector.HasMajority(now, members)
}

// campaign tries to become the leader.
func (e *Edge) campaign(ctx context.Context) {
	won, leaseStart, term, lease := e.acquireLeadership(ctx)
	if won {
		e.keys.reset(e.clock.Boot())
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
	e.elector.Won(leaseStart, term)
	e.log.Info("this VM leads", "term", uint64(term))
	e.notify(e.resync)
}

// acquireLeadership writes the leader record if there is none, and then reads the whole store.
func (e *Edge) acquireLeadership(ctx context.Context) (won bool, leaseStart clock.Instant, term id.Revision, lease platform.Lease) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	leaseStart = e.clock.Boot()
	lease, err := e.store.GrantLease(ctx, leader.LeaseTTL)
	if err != nil {
		return false, leaseStart, 0, 0
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
		if revokeErr := e.revokeLease(lease); revokeErr != nil {
			e.log.Debug("a lease could not be revoked; it will expire", "error", revokeErr)
		}
		return false, leaseStart, 0, 0
	}
	e.recordStoreSuccess()
	e.mirror.Apply(u)
	e.publishSnapshot()
	return true, leaseStart, term, lease
}

// revokeLease revokes a lease, so that an unanswered write can't take effect under it later.
func (e *Edge) revokeLease(lease platform.Lease) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return e.store.RevokeLease(ctx, lease)
}

// renewLease renews the leader's lease.
func (e *Edge) renewLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.mu.Lock()
	lease, term := e.lease, e.elector.Term()
	e.mu.Unlock()
	sentAt := e.clock.Boot()
	err := e.store.RenewLease(ctx, lease)
	if err == nil {
		e.recordStoreSuccess()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.elector.Term() != term {
		return
	}
	switch {
	case err == nil:
		e.elector.Renewed(sentAt)
	case errors.Is(err, platform.ErrLeaseNotFound):
		e.log.Warn("this VM no longer leads: its lease has ended", "term", uint64(term))
		e.elector.LeaseEnded(e.clock.Boot())
	default:
		e.log.Warn("the leader's lease could not be renewed", "error", err)
	}
}

// resign gives up the leadership and announces that this VM is leaving.
//
// If the store doesn't confirm that the lease is revoked, no other VM can be elected yet:
// this one then continues to lead while the majority of the VMs can't reach the store
// either, and done is false.
func (e *Edge) resign() (done bool) {
	e.mu.Lock()
	vm, _, _ := e.elector.Leader(e.clock.Boot())
	leading, lease := vm == e.settings.VM, e.lease
	e.mu.Unlock()
	if leading {
		if err := e.revokeLease(lease); err != nil && !errors.Is(err, platform.ErrLeaseNotFound) {
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
	e.broadcastHeartbeat()
	return true
}
