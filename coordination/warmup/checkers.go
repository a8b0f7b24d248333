package warmup

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorylug/hickorylug/state/id"
)

// localCheckers is the number of VMs in its own failure domain that ask the same backend server, and remoteCheckers that in others. There are
// several, since followers don't hear whether other followers still run.
const (
	localCheckers  = 2
	remoteCheckers = 1
)

// Checkers returns the VMs that ask a backend server of a failure domain whether it is cold, given all VMs by failure domain in the same order
// everywhere.
//
// Most are in its own failure domain: they reach it while the domain is cut off,
// and no bytes between domains are needed.
func Checkers(server id.Server, domain id.Domain, vms map[id.Domain][]id.VM) []id.VM {
	hash := xxhash.Sum64String(string(server))
	others := slices.Sorted(maps.Keys(vms))
	others = slices.DeleteFunc(others, func(d id.Domain) bool { return d == domain })
	checkers := draw(hash, vms[domain], localCheckers)
	if len(others) == 0 {
		return checkers
	}
	return append(checkers, draw(hash, vms[others[hash%uint64(len(others))]], remoteCheckers)...)
}

// draw returns at most n of the VMs; which ones depends on the hash.
func draw(hash uint64, vms []id.VM, n int) (drawn []id.VM) {
	for i := range min(n, len(vms)) {
		drawn = append(drawn, vms[(hash%uint64(len(vms))+uint64(i))%uint64(len(vms))])
	}
	return drawn
}
