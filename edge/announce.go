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
	// minRelayDomainSize is the minimum number of VMs in another failure domain for the use of a relay VM; those of a smaller domain are addressed directly.
	minRelayDomainSize = 3
	// minRelayStrength is the minimum strength of a relay VM, as a fraction of the strongest VM of its failure domain.
	minRelayStrength = 0.5
)

// announce sends a message to all registered VMs, using one relay VM per other failure domain.
//
// Traffic between failure domains is priced, traffic within one is not. A VM that
// misses an announcement detects the gap at the next heartbeat and fetches the
// missing items.
func (e *Edge) announce(m gossip.Message) {
	peers := e.snapshot.Load().Peers
	e.mu.Lock()
	now := e.clock.Boot()
	isReachable := func(vm id.VM) bool { return e.elector.IsReachable(now, vm) }
	direct, relays := announceTargets(peers, e.settings.VM, e.settings.FailureDomain, isReachable, rand.IntN)
	e.mu.Unlock()
	e.sendTo(m, direct...)
	m.Relay = true
	e.sendTo(m, relays...)
}

// announceTargets returns the addresses that receive the message directly, and those of the VMs that relay it within their failure domains.
//
// The relay is chosen at random among the strong VMs with a recent heartbeat, so
// that a failed relay loses single messages only. The VMs of a failure domain
// without such a VM are addressed directly.
func announceTargets(peers map[id.VM]fleet.Peer, self id.VM, ownDomain id.Domain, isReachable func(id.VM) bool, random func(n int) int) (direct, relays []string) {
	domains := map[id.Domain][]fleet.Peer{}
	for vm, p := range peers {
		if vm != self {
			domains[p.Domain] = append(domains[p.Domain], p)
		}
	}
	for domain, list := range domains {
		candidates := relayCandidates(list, isReachable)
		if domain == ownDomain || len(list) < minRelayDomainSize || len(candidates) == 0 {
			for _, p := range list {
				direct = append(direct, p.Address)
			}
			continue
		}
		relays = append(relays, candidates[random(len(candidates))].Address)
	}
	return direct, relays
}

// relayCandidates returns the VMs of a failure domain that may relay messages: the reachable ones that are strong enough.
func relayCandidates(list []fleet.Peer, isReachable func(id.VM) bool) (candidates []fleet.Peer) {
	for _, p := range list {
		if isReachable(p.VM) {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	sortByStrength(candidates)
	minStrength := minRelayStrength * candidates[0].Strength
	firstWeak := slices.IndexFunc(candidates, func(p fleet.Peer) bool { return p.Strength < minStrength })
	if firstWeak > 0 {
		candidates = candidates[:firstWeak]
	}
	return candidates
}

// sortByStrength sorts VMs by strength, the strongest first.
func sortByStrength(list []fleet.Peer) {
	slices.SortFunc(list, func(a, b fleet.Peer) int {
		return cmp.Or(-cmp.Compare(a.Strength, b.Strength), cmp.Compare(a.VM, b.VM))
	})
}

// relayWithinDomain forwards an announcement from another failure domain to the VMs of this one.
func (e *Edge) relayWithinDomain(m gossip.Message) {
	m.Relay = false
	e.sendTo(m, e.peerAddresses(func(p fleet.Peer) bool { return p.Domain == e.settings.FailureDomain && p.VM != m.From })...)
}
