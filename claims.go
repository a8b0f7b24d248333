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

// Times of a claim.
const (
	claimTime  = 150 * time.Millisecond
	claimPause = 50 * time.Millisecond
)

// claiming is the successor that a group's claims go to, and since when.
type claiming struct {
	successor id.VM
	since     time.Time
}

// claim announces a request that runs at most once to the first witness of its group, who is the successor.
//
// Without the successor's answer the request is not run. A successor that is
// gone is replaced as a witness within about a second.
func (vm *VM) claim(ctx context.Context, g id.Group, identity string) (err error) {
	for {
		if err = vm.claimOnce(ctx, g, identity); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-vm.options.Clock.After(claimPause):
		}
		if !vm.holds(g) {
			return err
		}
	}
}

func (vm *VM) claimOnce(ctx context.Context, g id.Group, identity string) error {
	request, successor := vm.claimRequest(g, identity)
	if successor == "" || successor == vm.options.Settings.VM {
		// There is no other VM that could succeed this one with what it knows.
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTime)
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

// claimRequest returns the claim and who it is for.
func (vm *VM) claimRequest(g id.Group, identity string) (r *peerpb.ClaimRequest, successor id.VM) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	record, ok := vm.keeper.Record(g)
	if !ok || len(record.Witnesses) == 0 {
		return nil, ""
	}
	successor = record.Witnesses[0]
	c := vm.claims[g]
	if c.successor != successor {
		c = claiming{successor: successor, since: vm.options.Clock.Now()}
		vm.claims[g] = c
	}
	return &peerpb.ClaimRequest{
		Group:      string(g),
		Term:       uint64(record.Term),
		SinceNanos: c.since.UnixNano(),
		Identity:   uint64(table.HashKey(identity)),
	}, successor
}

// takeClaim takes note of a request at the holder that this VM would succeed.
func (vm *VM) takeClaim(_ context.Context, r *peerpb.ClaimRequest) *peerpb.ClaimAnswer {
	taken := vm.claimed.Add(vm.options.Clock.Now(), idempotency.Claim{
		Group:         id.Group(r.GetGroup()),
		Term:          id.Term(r.GetTerm()),
		CompleteSince: time.Unix(0, r.GetSinceNanos()),
		Identity:      table.Hash(r.GetIdentity()),
	})
	return &peerpb.ClaimAnswer{Taken: taken}
}
