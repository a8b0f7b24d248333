// Package subset divides the VMs of a failure domain into groups and gives each group a part of the backend servers.
//
// It answers the load of a large fleet. If every one of many VMs chose among
// all backend servers, each would send little to any of them, hear late of the
// others' requests and, by the same late reports, choose the same backend
// servers as the others. A group is small enough for its VMs to tell each other
// about their requests often, and its VMs keep their connections to a few
// backend servers. A fleet with few VMs in a failure domain is one group.
//
// All VMs with the same view compute the same division. A change of the view
// moves only the members next to a group's bounds, unless the number of groups
// changes.
//
// # Usage
//
//	d := subset.Divide(vms)
//	neighbours := d.Neighbours("vm1")
//	preferred, exclusive := d.Servers("vm1", servers)
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// groupSize is the least number of VMs in a group, if there is more than one group.
	groupSize = 8
	// minServers is the least number of backend servers of a service in a group. The fewer they are, the more often all of them are
	// busy while those of other groups have free slots.
	minServers = 4
)

// Division is the division of the VMs of a failure domain. It is immutable.
type Division struct {
	// order holds the VMs ordered by hash; a group is a run of them.
	order  []id.VM
	groups int
}

// Divide divides the VMs of a failure domain.
func Divide(vms []id.VM) Division {
	return Division{order: byHash(vms), groups: max(1, len(vms)/groupSize)}
}

// Groups returns the number of groups.
func (d Division) Groups() int { return d.groups }

// groupOf returns the group, out of the given number, of the member at a position among n.
func groupOf(position, n, groups int) int { return position * groups / max(1, n) }

// Neighbours returns the other VMs in the group of a VM.
func (d Division) Neighbours(vm id.VM) (out []id.VM) {
	at := slices.Index(d.order, vm)
	if at < 0 {
		return nil
	}
	group := groupOf(at, len(d.order), d.groups)
	for i, other := range d.order {
		if other != vm && groupOf(i, len(d.order), d.groups) == group {
			out = append(out, other)
		}
	}
	return out
}

// groupsFor returns the number of groups for a service with n backend servers in the failure domain.
func (d Division) groupsFor(n int) int { return max(1, min(d.groups, n/minServers)) }

// Servers returns those of a service's backend servers in the failure domain that a VM prefers.
//
// Exclusive is false if VMs other than the neighbours prefer them, too, because
// the service has too few backend servers for so many groups.
func (d Division) Servers(vm id.VM, servers []id.Server) (preferred []id.Server, exclusive bool) {
	at := slices.Index(d.order, vm)
	groups := d.groupsFor(len(servers))
	if at < 0 || groups == 1 {
		return servers, d.groups == 1
	}
	group := groupOf(at, len(d.order), groups)
	for i, server := range byHash(servers) {
		if groupOf(i, len(servers), groups) == group {
			preferred = append(preferred, server)
		}
	}
	return preferred, groups == d.groups
}

// Senders returns the VMs that prefer a backend server, out of a service's backend servers in the failure domain.
func (d Division) Senders(server id.Server, servers []id.Server) (out []id.VM) {
	groups := d.groupsFor(len(servers))
	at := slices.Index(byHash(servers), server)
	for i, vm := range d.order {
		if groupOf(i, len(d.order), groups) == groupOf(max(0, at), len(servers), groups) {
			out = append(out, vm)
		}
	}
	return out
}

// byHash returns names in the order of their hashes.
func byHash[T ~string](names []T) []T {
	type hashed struct {
		hash uint64
		name T
	}
	order := make([]hashed, len(names))
	for i, n := range names {
		order[i] = hashed{xxhash.Sum64String(string(n)), n}
	}
	slices.SortFunc(order, func(a, b hashed) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name)) })
	out := make([]T, len(names))
	for i, o := range order {
		out[i] = o.name
	}
	return out
}
