package edge

import (
	"context"
	"encoding/json"

	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// isRegistered reports whether this VM has registered and its registration wasn't removed since.
func (e *Edge) isRegistered() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.registeredAt == 0 {
		return false
	}
	// The published snapshot also lists registrations that an older copy of the store lacks.
	_, listed := e.mirror.Snapshot().Peers[e.settings.VM]
	return listed || e.mirror.Position() < e.registeredAt
}

// register writes this VM's address to the store, so that other VMs find it.
func (e *Edge) register(ctx context.Context) {
	e.mu.Lock()
	now := e.clock.Boot()
	tooEarly := e.registerTriedAt > 0 && now.Sub(e.registerTriedAt) < registerRetryPeriod
	if !tooEarly {
		e.registerTriedAt = now
	}
	e.mu.Unlock()
	if tooEarly || e.leaving.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(fleet.Peer{VM: e.settings.VM, Domain: e.settings.FailureDomain, Address: e.settings.PeerAddress, Incarnation: e.incarnation, Strength: e.strength()})
	if err != nil {
		e.log.Error("the registration could not be encoded", "error", err)
		return
	}
	revision, err := e.store.Write(ctx, nil, platform.Put{Key: platform.KeyPeer(e.settings.VM), Value: value})
	if err != nil {
		e.log.Warn("this VM could not be registered", "error", err)
		return
	}
	e.mu.Lock()
	e.registeredAt = revision
	e.mu.Unlock()
	e.log.Info("this VM is registered", "address", e.settings.PeerAddress)
}

// linkMbpsPerCore is the link rate, in Mbit/s, that counts as much as one processor core in the election of a leader.
const linkMbpsPerCore = 200.0

// strength returns this VM's suitability as the leader: the scarcer of processor and link, in cores.
func (e *Edge) strength() float64 {
	return min(e.settings.Processor, e.settings.Link/linkMbpsPerCore)
}

// removeLostRegistrations removes the registrations of VMs that this VM, as the leader, hasn't heard of for a long time, until the
// context ends.
//
// Registrations have no lease, since its calls at hundreds of starts would cost
// more than this. A VM whose registration was removed although it runs registers
// again.
func (e *Edge) removeLostRegistrations(ctx context.Context) error {
	var silent map[id.VM]bool
	for {
		select {
		case <-e.clock.After(registrationCheckPeriod):
		case <-ctx.Done():
			return nil
		}
		s := e.snapshot.Load()
		if s.Leader == nil || s.Leader.VM != e.settings.VM || !e.leads() {
			silent = nil
			continue
		}
		var lost []string
		lost, silent = e.lostPeers(s, silent)
		if len(lost) == 0 {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := e.store.Remove(callCtx, []platform.Condition{{Key: platform.KeyLeader(), Revision: s.Leader.Term}}, lost...)
		cancel()
		if err != nil {
			e.log.Warn("registrations of lost VMs could not be removed", "count", len(lost), "error", err)
			continue
		}
		e.log.Info("registrations of lost VMs are removed", "keys", lost)
	}
}

// lostPeers returns the VMs that were not heard of for registrationTTL, and the store keys of those that were silent at the check before,
// too, at most maxRemovedRegistrations. A VM that has just registered may not have sent its first heartbeat yet.
func (e *Edge) lostPeers(s *fleet.Snapshot, before map[id.VM]bool) (keys []string, silent map[id.VM]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Boot()
	silent = map[id.VM]bool{}
	for vm := range s.Peers {
		if vm == e.settings.VM || e.elector.SilentFor(now, vm) < registrationTTL {
			continue
		}
		silent[vm] = true
		if before[vm] && len(keys) < maxRemovedRegistrations {
			keys = append(keys, platform.KeyPeer(vm))
		}
	}
	return keys, silent
}
