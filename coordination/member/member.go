// Package member holds the membership of a site's entry VMs as one VM knows it.
//
// It merges the VM's own entry, the platform's VM list, which is updated with a
// delay, and the messages and sightings that the VMs exchange. A VM that is
// listed but wasn't seen recently isn't live; one that was seen but isn't listed
// yet is live.
//
// # Usage
//
//	v := member.NewView(self)
//	v.RecordMessage(now, other)
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

// Timeouts of membership.
const (
	// baseLivenessTimeout is the time after the last sighting for which a VM counts as live, in a fleet of few VMs.
	baseLivenessTimeout = 6 * time.Second
	// livenessTimeoutPerVM is added for each other VM, since each VM receives heartbeats less often in a large fleet.
	livenessTimeoutPerVM = 125 * time.Millisecond
	// removalTimeout is the time after its last sighting at which an unlisted VM is removed.
	removalTimeout = time.Minute
)

// Member is one entry VM.
type Member struct {
	VM            id.VM
	Incarnation   id.Incarnation
	FailureDomain id.Domain
	// Address is where the VM receives gRPC calls and datagrams.
	Address string
	// Leaving says that the VM is draining and releases its leases.
	Leaving bool
}

type entry struct {
	member Member
	// firstSeenAt is the time of the first sighting of this incarnation.
	firstSeenAt clock.Instant
	lastSeenAt  clock.Instant
	seen        bool
	listed      bool
}

// View is the membership from the point of view of one VM; it is safe for concurrent use.
type View struct {
	self Member

	mu       sync.Mutex
	entries  map[id.VM]*entry
	nextPeer int
}

// NewView returns a view whose only member is the VM itself.
func NewView(self Member) *View {
	return &View{self: self, entries: map[id.VM]*entry{}}
}

// RecordMessage records that a message was received from another VM at the time now.
func (v *View) RecordMessage(now clock.Instant, m Member) {
	v.record(m, now)
}

// RecordSighting records that another VM saw VM m some time ago.
//
// A sighting whose age is negative or not below the liveness timeout is ignored.
func (v *View) RecordSighting(now clock.Instant, m Member, age time.Duration) {
	v.mu.Lock()
	timeout := v.livenessTimeout()
	v.mu.Unlock()
	if age >= 0 && age < timeout {
		v.record(m, now.Add(-age))
	}
}

// livenessTimeout returns the time after the last sighting for which a VM counts as live.
//
// The caller must hold the mutex.
func (v *View) livenessTimeout() time.Duration {
	return baseLivenessTimeout + time.Duration(len(v.entries))*livenessTimeoutPerVM
}

func (v *View) record(m Member, at clock.Instant) {
	if m.VM == v.self.VM || m.VM == "" {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.entry(m)
	if e.seen && at <= e.lastSeenAt {
		return
	}
	if m.Address == "" {
		m.Address = e.member.Address
	}
	if !e.seen || e.member.Incarnation != m.Incarnation {
		e.firstSeenAt = at
	}
	e.member, e.lastSeenAt, e.seen = m, at, true
}

func (v *View) entry(m Member) *entry {
	e, ok := v.entries[m.VM]
	if !ok {
		e = &entry{member: m}
		v.entries[m.VM] = e
	}
	return e
}

// UpdateList sets the platform's VM list, which gives addresses but no liveness.
//
// An unlisted VM is removed removalTimeout after its last sighting; one that was never seen is kept.
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
		if !e.listed && e.seen && now.Sub(e.lastSeenAt) > removalTimeout {
			delete(v.entries, name)
		}
	}
}

// Live returns the VMs that were seen within the liveness timeout, this one first.
func (v *View) Live(now clock.Instant) (out []Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	out = append(out, v.self)
	for _, name := range v.names() {
		e := v.entries[name]
		if e.seen && now.Sub(e.lastSeenAt) <= v.livenessTimeout() {
			out = append(out, e.member)
		}
	}
	return out
}

// Known returns all other VMs that have not been removed, whether they are live or not.
func (v *View) Known() (out []Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, name := range v.names() {
		out = append(out, v.entries[name].member)
	}
	return out
}

// IsKnownFor reports whether the current incarnation of a VM was first seen at least d ago.
func (v *View) IsKnownFor(now clock.Instant, vm id.VM, d time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.entries[vm]
	return ok && e.seen && now.Sub(e.firstSeenAt) >= d
}

// Address returns the address for gRPC calls and datagrams of a VM; ok is false if it isn't known.
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

// NextHeartbeatPeers returns the next n VMs to send heartbeats to, in round-robin order.
func (v *View) NextHeartbeatPeers(n int) (out []Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	names := v.names()
	for range min(n, len(names)) {
		out = append(out, v.entries[names[v.nextPeer%len(names)]].member)
		v.nextPeer++
	}
	return out
}

// Sighting is a VM with the time since it was last seen.
type Sighting struct {
	Member Member
	Age    time.Duration
}

// Sightings returns at most n sightings, the most recent first, to be sent to other VMs.
func (v *View) Sightings(now clock.Instant, n int) (out []Sighting) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, name := range v.names() {
		if e := v.entries[name]; e.seen && now.Sub(e.lastSeenAt) < v.livenessTimeout() {
			out = append(out, Sighting{Member: e.member, Age: now.Sub(e.lastSeenAt)})
		}
	}
	slices.SortStableFunc(out, func(a, b Sighting) int { return cmp.Compare(a.Age, b.Age) })
	return out[:min(n, len(out))]
}

func (v *View) names() []id.VM {
	return slices.Sorted(maps.Keys(v.entries))
}
