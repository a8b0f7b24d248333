package hickorylug

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/idempotency"
	"github.com/hickorylug/hickorylug/protocol/peerpb"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

const (
	// claimTimeout bounds one claim call to the successor.
	claimTimeout = 150 * time.Millisecond
	// claimRetryDelay is the delay between two attempts to claim the same request.
	claimRetryDelay = 50 * time.Millisecond
)

// claimTarget is the successor that receives a group's claims, and the time since which it receives them.
type claimTarget struct {
	successor id.VM
	since     time.Time
}

// claim announces an at-most-once request to the successor of its group, which is the first witness of the lease.
//
// The request must not run unless the successor acknowledges the claim. claim
// retries until ctx is done or the lease is lost, since a failed successor is
// replaced as a witness within about a second.
func (vm *VM) claim(ctx context.Context, g id.Group, identity string) (err error) {
	for {
		if err = vm.claimOnce(ctx, g, identity); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-vm.options.Clock.After(claimRetryDelay):
		}
		if !vm.holdsLease(g) {
			return err
		}
	}
}

// claimOnce sends one claim to the current successor; without a successor it succeeds.
func (vm *VM) claimOnce(ctx context.Context, g id.Group, identity string) error {
	request, successor := vm.newClaimRequest(g, identity)
	if successor == "" || successor == vm.options.Settings.VM {
		// No other VM would use the claims.
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	p, err := vm.client.Peer(successor)
	if err != nil {
		return err
	}
	answer, err := p.Claim(ctx, request)
	if err != nil {
		return err
	}
	if !answer.GetTaken() {
		return errors.Newf("VM %s knows a later term of group %s", successor, g)
	}
	return nil
}

// newClaimRequest returns the claim for a request and the successor to send it to, which is empty if there is none.
func (vm *VM) newClaimRequest(g id.Group, identity string) (r *peerpb.ClaimRequest, successor id.VM) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	record, ok := vm.leaseManager.Record(g)
	if !ok || len(record.Witnesses) == 0 {
		return nil, ""
	}
	successor = record.Witnesses[0]
	c := vm.claimTargets[g]
	if c.successor != successor {
		c = claimTarget{successor: successor, since: vm.options.Clock.Now()}
		vm.claimTargets[g] = c
	}
	return &peerpb.ClaimRequest{
		Group:      string(g),
		Term:       uint64(record.Term),
		SinceNanos: c.since.UnixNano(),
		Identity:   uint64(table.HashKey(identity)),
	}, successor
}

// handleClaim records a request of a lease holder whose first witness is this VM.
func (vm *VM) handleClaim(_ context.Context, r *peerpb.ClaimRequest) *peerpb.ClaimAnswer {
	taken := vm.receivedClaims.Add(vm.options.Clock.Now(), idempotency.Claim{
		Group:         id.Group(r.GetGroup()),
		Term:          id.Term(r.GetTerm()),
		CompleteSince: time.Unix(0, r.GetSinceNanos()),
		Identity:      table.Hash(r.GetIdentity()),
	})
	return &peerpb.ClaimAnswer{Taken: taken}
}
