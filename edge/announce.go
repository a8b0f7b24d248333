package edge

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/gossip"
)

const (
	// relayFrom is the number of VMs of another failure domain from which one of them passes messages on to the others.
	relayFrom = 3
	// relayStrength is the least strength of a VM that passes messages on, as a share of its failure domain's strongest.
	relayStrength = 0.5
)

// announce tells all registered VMs something, by one message to each other failure domain.
//
// Bytes between failure domains are dear, those within one are not. A VM that
// misses an announcement sees the gap at the next heartbeat and fetches what
// it lacks.
func (e *Edge) announce(m gossip.Message) {
	peers := e.snapshot.Load().Peers
	e.mu.Lock()
	now := e.clock.Boot()
	heard := func(vm id.VM) bool { return e.elector.IsReachable(now, vm) }
	direct, relays := routes(peers, e.settings.VM, e.settings.FailureDomain, heard, rand.IntN)
	e.mu.Unlock()
	e.sendTo(m, direct...)
	m.Relay = true
	e.sendTo(m, relays...)
}

// routes returns the addresses that are told directly, and those that pass a message on within their failure domains.
//
// Each time another strong VM that was heard lately passes it on, so that a
// lost one costs single messages. Where none was heard, all are told directly.
func routes(peers map[id.VM]fleet.Peer, self id.VM, own id.Domain, heard func(id.VM) bool, random func(n int) int) (direct, relays []string) {
	domains := map[id.Domain][]fleet.Peer{}
	for vm, p := range peers {
		if vm != self {
			domains[p.Domain] = append(domains[p.Domain], p)
		}
	}
	for domain, list := range domains {
		able := relaysOf(list, heard)
		if domain == own || len(list) < relayFrom || len(able) == 0 {
			for _, p := range list {
				direct = append(direct, p.Address)
			}
			continue
		}
		relays = append(relays, able[random(len(able))].Address)
	}
	return direct, relays
}

// relaysOf returns the VMs of a failure domain that can pass messages on.
func relaysOf(list []fleet.Peer, heard func(id.VM) bool) (able []fleet.Peer) {
	for _, p := range list {
		if heard(p.VM) {
			able = append(able, p)
		}
	}
	if len(able) == 0 {
		return nil
	}
	slices.SortFunc(able, func(a, b fleet.Peer) int {
		return cmp.Or(-cmp.Compare(a.Strength, b.Strength), cmp.Compare(a.VM, b.VM))
	})
	least := relayStrength * able[0].Strength
	weak := slices.IndexFunc(able, func(p fleet.Peer) bool { return p.Strength < least })
	if weak > 0 {
		able = able[:weak]
	}
	return able
}

// passAlong tells the VMs of this failure domain what one of another domain has announced.
func (e *Edge) passAlong(m gossip.Message) {
	m.Relay = false
	e.sendTo(m, e.addresses(func(p fleet.Peer) bool { return p.Domain == e.settings.FailureDomain && p.VM != m.From })...)
}
