package subset_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/subset"
	"github.com/hickorylug/hickorylug/state/id"
)

func names[T ~string](prefix string, n int) (out []T) {
	for i := range n {
		out = append(out, T(fmt.Sprint(prefix, i)))
	}
	return out
}

// Each backend server must have VMs that prefer it, and each VM must prefer about as many backend servers as the others;
// otherwise some stay idle while others are overloaded.
func TestDivision(t *testing.T) {
	tests := map[string]struct {
		vms, servers int
		groups       int
		exclusive    bool
		// least and most bound the backend servers that a VM prefers, and the VMs that prefer a backend server.
		least, most               int
		leastSenders, mostSenders int
	}{
		"a small fleet":            {vms: 4, servers: 3, groups: 1, exclusive: true, least: 3, most: 3, leastSenders: 4, mostSenders: 4},
		"15 VMs":                   {vms: 15, servers: 20, groups: 1, exclusive: true, least: 20, most: 20, leastSenders: 15, mostSenders: 15},
		"59 VMs and 30 servers":    {vms: 59, servers: 30, groups: 7, exclusive: true, least: 4, most: 5, leastSenders: 8, mostSenders: 9},
		"59 VMs and few servers":   {vms: 59, servers: 9, groups: 7, exclusive: false, least: 4, most: 5, leastSenders: 29, mostSenders: 30},
		"112 VMs and 1750 servers": {vms: 112, servers: 1750, groups: 14, exclusive: true, least: 125, most: 125, leastSenders: 8, mostSenders: 8},
		"no servers":               {vms: 20, servers: 0, groups: 2, exclusive: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			vms, servers := names[id.VM]("vm", test.vms), names[id.Server]("s", test.servers)
			d := subset.Divide(vms)
			is.Equal(d.Groups(), test.groups)
			for _, vm := range vms {
				preferred, exclusive := d.Servers(vm, servers)
				is.Equal(exclusive, test.exclusive)
				is.True(len(preferred) >= test.least && len(preferred) <= test.most)
				for _, s := range preferred[:min(len(preferred), 5)] {
					is.True(slices.Contains(d.Senders(s, servers), vm))
				}
				for _, n := range d.Neighbours(vm) {
					is.True(slices.Contains(d.Neighbours(n), vm))
				}
			}
			for _, s := range servers[:min(len(servers), 50)] {
				n := len(d.Senders(s, servers))
				is.True(n >= test.leastSenders && n <= test.mostSenders)
			}
		})
	}
}

// A VM that joins or leaves must not change what most others prefer, since they would open new connections to other
// backend servers at the same moment.
func TestDivisionIsStable(t *testing.T) {
	is := is.New(t)
	vms, servers := names[id.VM]("vm", 59), names[id.Server]("s", 30)
	before := subset.Divide(vms)
	changed := 0
	for _, vm := range vms[1:] {
		a, _ := before.Servers(vm, servers)
		b, _ := subset.Divide(vms[1:]).Servers(vm, servers)
		if !slices.Equal(a, b) {
			changed++
		}
	}
	is.True(changed <= len(vms)/5)
}

func TestUnknownVM(t *testing.T) {
	is := is.New(t)
	d := subset.Divide(names[id.VM]("vm", 20))
	preferred, exclusive := d.Servers("other", names[id.Server]("s", 10))
	is.Equal(len(preferred), 10)
	is.True(!exclusive)
	is.Equal(len(d.Neighbours("other")), 0)
}
