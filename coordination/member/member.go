// Package member is what a VM knows of the other entry VMs of its site.
//
// It brings together the settings, the platform's list, which lags, and what
// the VMs hear of one another. A VM that is listed but not heard isn't live;
// one that is heard but not listed yet is.
//
// # Usage
//
//	v := member.NewView(self)
//	v.Heard(now, other)
//	for _, m := range v.Live(now) {
//		consider(m)
//	}
package member

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/protocol/store"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// Times of membership.
const (
	// liveFor is the time after the last sighting for which a VM counts as live, in a small fleet.
	liveFor = 6 * time.Second
	// liveForEach is added for each VM, since heartbeats come to each one more rarely in a large fleet.
	liveForEach = 125 * time.Millisecond
	// forgetAfter is the time without a sighting after which an unlisted VM is forgotten.
	forgetAfter = time.Minute
)

// Member is one entry VM.
type Member struct {
	VM            id.VM
	Incarnation   id.Incarnation
	FailureDomain id.Domain
	// Address is where it takes gRPC calls and datagrams.
	Address string
	// Leaving says that the VM gives up its leases.
	Leaving bool
}

type entry struct {
	member Member
	// firstAt is the time of the first sighting of this process.
	firstAt clock.Instant
	seenAt  clock.Instant
	seen    bool
	listed  bool
}

// View is the membership as one VM knows it; it is safe for concurrent use.
type View struct {
	self Member

	mu      sync.Mutex
	entries map[id.VM]*entry
	turn    int
}

// NewView returns the view of a VM that knows only itself.
func NewView(self Member) *View {
	return &View{self: self, entries: map[id.VM]*entry{}}
}

// RecordMessage notes a message from another VM.
func (v *View) RecordMessage(now clock.Instant, m Member) {
	v.sight(m, now)
}

// RecordSighting notes that somebody else heard of a VM some time ago.
func (v *View) RecordSighting(now clock.Instant, m Member, age time.Duration) {
	v.mu.Lock()
	bound := v.liveFor()
	v.mu.Unlock()
	if age >= 0 && age < bound {
		v.sight(m, now.Add(-age))
	}
}

// liveFor returns the time after the last sighting for which a VM counts as live.
func (v *View) liveFor() time.Duration {
	return liveFor + time.Duration(len(v.entries))*liveForEach
}

func (v *View) sight(m Member, at clock.Instant) {
	if m.VM == v.self.VM || m.VM == "" {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.entry(m)
	if e.seen && at <= e.seenAt {
		return
	}
	if m.Address == "" {
		m.Address = e.member.Address
	}
	if !e.seen || e.member.Incarnation != m.Incarnation {
		e.firstAt = at
	}
	e.member, e.seenAt, e.seen = m, at, true
}

func (v *View) entry(m Member) *entry {
	e, ok := v.entries[m.VM]
	if !ok {
		e = &entry{member: m}
		v.entries[m.VM] = e
	}
	return e
}

// UpdateList takes the platform's list, which tells addresses but not who is up.
func (v *View) UpdateList(now clock.Instant, list []store.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed := map[id.VM]bool{}
	for _, vm := range list {
		if vm.Name == v.self.VM {
			continue
		}
		listed[vm.Name] = true
		e := v.entry(Member{VM: vm.Name, FailureDomain: vm.FailureDomain, Address: vm.PeerAddress})
		if !e.seen {
			e.member.Address, e.member.FailureDomain = vm.PeerAddress, vm.FailureDomain
		}
	}
	for name, e := range v.entries {
		e.listed = listed[name]
		if !e.listed && e.seen && now.Sub(e.seenAt) > forgetAfter {
			delete(v.entries, name)
		}
	}
}

// Live returns the VMs that have been heard of lately, this one first.
func (v *View) Live(now clock.Instant) (out []Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	out = append(out, v.self)
	for _, name := range v.names() {
		e := v.entries[name]
		if e.seen && now.Sub(e.seenAt) <= v.liveFor() {
			out = append(out, e.member)
		}
	}
	return out
}

// Known returns all other VMs that are listed or have been heard of lately.
func (v *View) Known() (out []Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, name := range v.names() {
		out = append(out, v.entries[name].member)
	}
	return out
}

// IsKnownFor reports whether a VM's process has been known for a time.
func (v *View) IsKnownFor(now clock.Instant, vm id.VM, d time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.entries[vm]
	return ok && e.seen && now.Sub(e.firstAt) >= d
}

// Address returns where a VM is reached.
func (v *View) Address(vm id.VM) (address string, ok bool) {
	if vm == v.self.VM {
		return v.self.Address, true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.entries[vm]
	if !ok || e.member.Address == "" {
		return "", false
	}
	return e.member.Address, true
}

// NextHeartbeatPeers returns the next n VMs to exchange heartbeats with, each in its turn.
func (v *View) NextHeartbeatPeers(n int) (out []Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	names := v.names()
	for range min(n, len(names)) {
		out = append(out, v.entries[names[v.turn%len(names)]].member)
		v.turn++
	}
	return out
}

// Sighting is a VM with the time since it was last heard of.
type Sighting struct {
	Member Member
	Age    time.Duration
}

// Sightings returns the n freshest sightings, to be passed on.
func (v *View) Sightings(now clock.Instant, n int) (out []Sighting) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, name := range v.names() {
		if e := v.entries[name]; e.seen && now.Sub(e.seenAt) < v.liveFor() {
			out = append(out, Sighting{Member: e.member, Age: now.Sub(e.seenAt)})
		}
	}
	slices.SortStableFunc(out, func(a, b Sighting) int { return cmp.Compare(a.Age, b.Age) })
	return out[:min(n, len(out))]
}

func (v *View) names() []id.VM {
	return slices.Sorted(maps.Keys(v.entries))
}
