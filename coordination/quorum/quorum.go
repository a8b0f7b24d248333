// Package quorum says which VMs are enough to act for all.
//
// A majority is more than half of the VMs, in more than half of the failure
// domains. So a failure domain that is cut off with most VMs is no majority: seen
// from within it, the others and the store might as well have lost power.
//
// VMs block if each majority contains one of them. Half of the VMs do, and so do
// all VMs of half of the failure domains. The two kinds of quorums only have to
// intersect each other (Howard, Malkhi, Spiegelman, "Flexible Paxos", OPODIS 2016).
//
// # Usage
//
//	members := map[id.VM]id.Domain{"a1": "a", "a2": "a", "b1": "b"}
//	quorum.HasMajority(members, func(vm id.VM) bool { return vm != "b1" }) // false
//	quorum.Blocks(members, func(vm id.VM) bool { return vm == "b1" })      // true
package quorum

import (
	"slices"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// HasMajority reports whether the VMs for which has returns true are a majority of the members.
func HasMajority(members map[id.VM]id.Domain, has func(vm id.VM) bool) bool {
	count, domains := 0, map[id.Domain]bool{}
	for vm, domain := range members {
		isIn := has(vm)
		if isIn {
			count++
		}
		domains[domain] = domains[domain] || isIn
	}
	reached := 0
	for _, isReached := range domains {
		if isReached {
			reached++
		}
	}
	return 2*count > len(members) && 2*reached > len(domains)
}

// Blocks reports whether each majority of the members has a VM for which has returns true. No VMs block if there are no members.
func Blocks(members map[id.VM]id.Domain, has func(vm id.VM) bool) bool {
	return len(members) > 0 && !HasMajority(members, func(vm id.VM) bool { return !has(vm) })
}

// Times returns a time for a VM, or ok as false if it has none.
type Times func(vm id.VM) (at clock.Instant, ok bool)

// MajorityAt returns the latest time that no VM of some majority is before; ok is false if there is none.
func MajorityAt(members map[id.VM]id.Domain, times Times) (at clock.Instant, ok bool) {
	sorted := timesOf(members, times)
	slices.Reverse(sorted)
	return first(sorted, func(at clock.Instant) bool {
		return HasMajority(members, func(vm id.VM) bool { t, known := times(vm); return known && t >= at })
	})
}

// BlockedSince returns the earliest time at which VMs block, each from its own time on; ok is false if they never do.
func BlockedSince(members map[id.VM]id.Domain, times Times) (since clock.Instant, ok bool) {
	return first(timesOf(members, times), func(at clock.Instant) bool {
		return Blocks(members, func(vm id.VM) bool { t, known := times(vm); return known && t <= at })
	})
}

func timesOf(members map[id.VM]id.Domain, times Times) (sorted []clock.Instant) {
	for vm := range members {
		if at, ok := times(vm); ok {
			sorted = append(sorted, at)
		}
	}
	slices.Sort(sorted)
	return sorted
}

// first returns the first time for which holds returns true, as it does for all that follow.
func first(times []clock.Instant, holds func(at clock.Instant) bool) (at clock.Instant, ok bool) {
	i, _ := slices.BinarySearchFunc(times, true, func(at clock.Instant, _ bool) int {
		if holds(at) {
			return 0
		}
		return -1
	})
	if i == len(times) {
		return 0, false
	}
	return times[i], true
}
