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

// register tells the store this VM's address, so that other VMs find it.
func (e *Edge) register(ctx context.Context) {
	if e.leaving.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := e.store.GrantLease(ctx, registrationTime)
	if err != nil {
		e.log.Warn("this VM could not be registered", "error", err)
		return
	}
	value, err := json.Marshal(fleet.Peer{VM: e.settings.VM, Domain: e.settings.FailureDomain, Address: e.settings.PeerAddress, Incarnation: e.incarnation, Strength: e.strength()})
	if err != nil {
		e.log.Error("the registration can't be encoded", "error", err)
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
	e.tasks.Go(context.WithoutCancel(ctx), func(ctx context.Context) { e.keepRegistration(ctx, lease) })
}

// linkPerProcessor is the rate of a link, in Mbit/s, that counts as much as a whole core when a leader is chosen.
const linkPerProcessor = 200.0

// strength returns how well this VM can lead, by what it has least of: processor or link.
func (e *Edge) strength() float64 {
	return min(e.settings.Processor, e.settings.Link/linkPerProcessor)
}

// keepRegistration renews the registration until the VM leaves or the lease is lost.
func (e *Edge) keepRegistration(ctx context.Context, lease platform.Lease) {
	for !e.leaving.Load() {
		<-e.clock.After(registrationKeep)
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := e.store.RenewLease(call, lease)
		cancel()
		if errors.Is(err, platform.ErrLeaseNotFound) {
			e.mu.Lock()
			e.registered = false
			e.mu.Unlock()
			return
		}
	}
}
