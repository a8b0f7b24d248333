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

// Constants of heartbeats.
const (
	heartbeatPeriod = time.Second
	// heartbeatPartners is the number of VMs that get each heartbeat.
	heartbeatPartners = 2
	// heartbeatSightings is the number of VMs that a heartbeat tells of.
	heartbeatSightings = 3
)

// heartbeat tells other VMs of this one, and of those that it has heard, until the context ends.
func (vm *VM) heartbeat(ctx context.Context) error {
	vm.greetSeeds()
	for {
		vm.heartbeatOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-vm.options.Clock.After(heartbeatPeriod):
		}
	}
}

// greetSeeds tells the VMs named in the settings of this one, for a start without the platform.
func (vm *VM) greetSeeds() {
	for _, address := range vm.options.Settings.Peers {
		d := vm.introduction()
		d.Heartbeat = true
		if err := vm.datagrams.Send(address, d); err != nil {
			vm.log.Debug("a VM can't be greeted", "address", address, "error", err)
		}
	}
}

func (vm *VM) heartbeatOnce(context.Context) {
	partners := heartbeatPartners
	vm.mu.Lock()
	if vm.leaving {
		// All must know soon that this VM takes no lease any more.
		partners = 1 << 10
	}
	vm.mu.Unlock()
	now := vm.options.Clock.Boot()
	for _, m := range vm.members.NextHeartbeatPeers(partners) {
		d := vm.introduction()
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
		vm.send(m.Address, d)
	}
}

// introduction returns a datagram that tells who this VM is and which configuration it has.
func (vm *VM) introduction() *peerpb.Datagram {
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

func (vm *VM) send(address string, d *peerpb.Datagram) {
	if address == "" {
		return
	}
	if err := vm.datagrams.Send(address, d); err != nil {
		vm.log.Debug("a datagram was not sent", "address", address, "error", err)
	}
}

func (vm *VM) sendLeases(to id.VM, m leasemanager.Message) {
	if to == vm.options.Settings.VM {
		vm.receiveLeases(to, m)
		return
	}
	address, ok := vm.members.Address(to)
	if !ok {
		return
	}
	d := &peerpb.Datagram{From: string(vm.options.Settings.VM)}
	peer.AppendLeaseMessages(d, m)
	vm.send(address, d)
}

// receiveLeases answers a keeper's message.
func (vm *VM) receiveLeases(from id.VM, m leasemanager.Message) {
	vm.mu.Lock()
	reply := vm.keeper.Receive(vm.options.Clock.Boot(), from, m)
	vm.mu.Unlock()
	if !reply.IsEmpty() {
		vm.sendLeases(from, reply)
	}
}

// receive takes a datagram of another VM.
func (vm *VM) receive(d *peerpb.Datagram) {
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
		vm.receiveLeases(from, m)
	}
	mine := vm.directory.View().Revision
	switch {
	case id.Revision(d.GetConfigurationRevision()) > mine:
		vm.tasks.Go(context.Background(), func(ctx context.Context) { vm.fetchFrom(ctx, from) })
	case d.GetHeartbeat() && id.Revision(d.GetConfigurationRevision()) < mine:
		vm.send(d.GetAddress(), vm.introduction())
	}
}
