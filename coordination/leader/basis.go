package leader

import (
	"slices"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// Basis is why a VM may act as the leader.
type Basis string

// Reasons for which a VM may act as the leader.
const (
	// NoBasis means that it may not act.
	NoBasis Basis = "none"
	// ByLease means that it holds the lease on the leader's record.
	ByLease Basis = "lease"
	// ByReports means that enough VMs report that they can't reach the store either.
	ByReports Basis = "reports"
)

// Basis returns why this VM may act as the leader now.
func (e *Elector) Basis(now clock.Instant) Basis {
	switch {
	case !e.leading:
		return NoBasis
	case !e.uncertain && now.Sub(e.leaseFrom) < LeaseTTL:
		return ByLease
	case e.isStoreUnreachable(now):
		return ByReports
	default:
		return NoBasis
	}
}

// Reporters returns the other VMs whose reports that they can't reach the store count now, sorted.
func (e *Elector) Reporters(now clock.Instant) []id.VM {
	return e.peersThat(func(p peer) bool { return now < p.reportUntil })
}

// Followers returns the other VMs that are known to have followed this VM's term, sorted.
func (e *Elector) Followers() []id.VM {
	return e.peersThat(func(p peer) bool { return p.followedTerm == e.term })
}

func (e *Elector) peersThat(isWanted func(p peer) bool) (out []id.VM) {
	for vm, p := range e.peers {
		if isWanted(p) {
			out = append(out, vm)
		}
	}
	slices.Sort(out)
	return out
}
