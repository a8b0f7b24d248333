package edge

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/fleet"
)

func (e *Edge) isRegistered() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registered
}

// register writes this VM's address to the store, so that other VMs find it.
func (e *Edge) register(ctx context.Context) {
	if e.leaving.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := e.store.GrantLease(ctx, registrationTTL)
	if err != nil {
		e.log.Warn("this VM could not be registered", "error", err)
		return
	}
	value, err := json.Marshal(fleet.Peer{VM: e.settings.VM, Domain: e.settings.FailureDomain, Address: e.settings.PeerAddress, Incarnation: e.incarnation, Strength: e.strength()})
	if err != nil {
		e.log.Error("the registration could not be encoded", "error", err)
		return
	}
	if _, err := e.store.Write(ctx, nil, platform.Put{Key: platform.KeyPeer(e.settings.VM), Value: value, Lease: lease}); err != nil {
		e.log.Warn("this VM could not be registered", "error", err)
		return
	}
	e.mu.Lock()
	e.registered = true
	e.mu.Unlock()
	e.log.Info("this VM is registered", "address", e.settings.PeerAddress)
	e.tasks.Go(context.WithoutCancel(ctx), func(ctx context.Context) { e.renewRegistration(ctx, lease) })
}

// linkMbpsPerCore is the link rate, in Mbit/s, that counts as much as one processor core in the election of a leader.
const linkMbpsPerCore = 200.0

// strength returns this VM's suitability as the leader: the scarcer of processor and link, in cores.
func (e *Edge) strength() float64 {
	return min(e.settings.Processor, e.settings.Link/linkMbpsPerCore)
}

// renewRegistration renews the registration until the VM leaves or the lease is lost.
func (e *Edge) renewRegistration(ctx context.Context, lease platform.Lease) {
	for !e.leaving.Load() {
		<-e.clock.After(registrationRenewPeriod)
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := e.store.RenewLease(callCtx, lease)
		cancel()
		if errors.Is(err, platform.ErrLeaseNotFound) {
			e.mu.Lock()
			e.registered = false
			e.mu.Unlock()
			return
		}
	}
}
