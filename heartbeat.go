package hickorylug

import (
	"context"
	"time"

	"github.com/hickorylug/hickorylug/coordination/leasemanager"
	"github.com/hickorylug/hickorylug/coordination/member"
	"github.com/hickorylug/hickorylug/protocol/peerpb"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/peer"
)

const (
	heartbeatPeriod = time.Second
	// heartbeatFanout is the number of VMs to which each heartbeat is sent.
	heartbeatFanout = 2
	// heartbeatSightings is the maximum number of other VMs whose last contact a heartbeat carries.
	heartbeatSightings = 3
)

// sendHeartbeats sends heartbeats with membership data to other VMs until ctx is done.
func (vm *VM) sendHeartbeats(ctx context.Context) error {
	vm.contactSeeds()
	for {
		vm.sendHeartbeat(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-vm.options.Clock.After(heartbeatPeriod):
		}
	}
}

// contactSeeds sends a heartbeat to the VMs named in the settings, so that a VM can join while the platform is unreachable.
func (vm *VM) contactSeeds() {
	for _, address := range vm.options.Settings.Peers {
		d := vm.identityDatagram()
		d.Heartbeat = true
		if err := vm.datagrams.Send(address, d); err != nil {
			vm.log.Debug("failed to send a heartbeat to a seed VM", "address", address, "error", err)
		}
	}
}

// sendHeartbeat sends one round of heartbeats.
func (vm *VM) sendHeartbeat(context.Context) {
	fanout := heartbeatFanout
	vm.mu.Lock()
	if vm.leaving {
		// All VMs must know quickly that this VM no longer accepts leases.
		fanout = 1 << 10
	}
	vm.mu.Unlock()
	now := vm.options.Clock.Boot()
	for _, m := range vm.members.NextHeartbeatPeers(fanout) {
		d := vm.identityDatagram()
		d.Heartbeat = true
		for _, s := range vm.members.Sightings(now, heartbeatSightings) {
			d.Sightings = append(d.Sightings, &peerpb.Sighting{
				Vm:          string(s.Member.VM),
				Incarnation: string(s.Member.Incarnation),
				Domain:      string(s.Member.FailureDomain),
				Address:     s.Member.Address,
				AgeNanos:    int64(s.Age),
			})
		}
		vm.sendDatagram(m.Address, d)
	}
}

// identityDatagram returns a datagram with the identity and the configuration revision of this VM, and whether it is
// shutting down.
func (vm *VM) identityDatagram() *peerpb.Datagram {
	vm.mu.Lock()
	leaving := vm.leaving
	vm.mu.Unlock()
	s := vm.options.Settings
	return &peerpb.Datagram{
		From:                  string(s.VM),
		Incarnation:           string(vm.incarnation),
		Domain:                string(s.FailureDomain),
		Address:               s.PeerAddress,
		ConfigurationRevision: uint64(vm.directory.View().Revision),
		Leaving:               leaving,
	}
}

// sendDatagram sends a datagram without retries. It does nothing if the address is empty.
func (vm *VM) sendDatagram(address string, d *peerpb.Datagram) {
	if address == "" {
		return
	}
	if err := vm.datagrams.Send(address, d); err != nil {
		vm.log.Debug("failed to send a datagram", "address", address, "error", err)
	}
}

// sendLeaseMessage sends a message of the lease manager to a VM, which may be this one.
func (vm *VM) sendLeaseMessage(to id.VM, m leasemanager.Message) {
	if to == vm.options.Settings.VM {
		vm.handleLeaseMessage(to, m)
		return
	}
	address, ok := vm.members.Address(to)
	if !ok {
		return
	}
	d := &peerpb.Datagram{From: string(vm.options.Settings.VM)}
	peer.AppendLeaseMessages(d, m)
	vm.sendDatagram(address, d)
}

// handleLeaseMessage passes a message to the lease manager and sends its reply.
func (vm *VM) handleLeaseMessage(from id.VM, m leasemanager.Message) {
	vm.mu.Lock()
	reply := vm.leaseManager.Receive(vm.options.Clock.Boot(), from, m)
	vm.mu.Unlock()
	if !reply.IsEmpty() {
		vm.sendLeaseMessage(from, reply)
	}
}

// handleDatagram processes a datagram from another VM.
//
// If the configuration revisions differ, the VM with the older one fetches the
// newer state: this VM directly, or the sender after a datagram from this VM.
func (vm *VM) handleDatagram(d *peerpb.Datagram) {
	now := vm.options.Clock.Boot()
	from := id.VM(d.GetFrom())
	if d.GetIncarnation() != "" {
		vm.members.RecordMessage(now, member.Member{
			VM:            from,
			Incarnation:   id.Incarnation(d.GetIncarnation()),
			FailureDomain: id.Domain(d.GetDomain()),
			Address:       d.GetAddress(),
			Leaving:       d.GetLeaving(),
		})
	}
	for _, s := range d.GetSightings() {
		vm.members.RecordSighting(now, member.Member{
			VM:            id.VM(s.GetVm()),
			Incarnation:   id.Incarnation(s.GetIncarnation()),
			FailureDomain: id.Domain(s.GetDomain()),
			Address:       s.GetAddress(),
		}, time.Duration(s.GetAgeNanos()))
	}
	if m := peer.DecodeLeaseMessages(d); !m.IsEmpty() {
		vm.handleLeaseMessage(from, m)
	}
	revision := vm.directory.View().Revision
	switch {
	case id.Revision(d.GetConfigurationRevision()) > revision:
		vm.tasks.Go(context.Background(), func(ctx context.Context) { vm.fetchStateFrom(ctx, from) })
	case d.GetHeartbeat() && id.Revision(d.GetConfigurationRevision()) < revision:
		vm.sendDatagram(d.GetAddress(), vm.identityDatagram())
	}
}
