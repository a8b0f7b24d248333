// Package lease implements the lease protocol that decides which VM may send requests to a group of backend servers.
//
// A record in the store names the holder, its term and up to three witnesses.
// The holder renews its lease with the witnesses; the lease TTL runs from the
// time at which it sent the newest renewal that a majority has granted. A
// successor asks the witnesses to refuse further renewals of the old term, waits
// until the renewals that they have granted have expired, and only then writes
// the record of the next term with a compare-and-swap. There is no log and no
// election: the store decides who holds the lease, and the witnesses only track
// the holder's liveness.
//
// The types are state machines without sockets, clocks or goroutines: the
// package's caller passes in the time and transports the messages.
//
// # Usage
//
//	h := lease.NewHolder(record, swapSentAt, lease.WithTiming(timing))
//	renewal, to, ok := h.Renew(now)      // every Timing.RenewPeriod; send renewal to the witnesses in to
//	h.HandleAnswer(now, witness, answer) // for each answer
//	if h.IsValid(now) {                  // before each request to a backend server
//	}
package lease

import (
	"slices"

	"github.com/hickorylug/hickorylug/state/id"
)

// MaxWitnesses is the number of witnesses of a lease at a site with enough VMs.
const MaxWitnesses = 3

// Record is the lease record in the store.
type Record struct {
	Group id.Group
	Term  id.Term
	// Holder is empty while the lease is vacant.
	Holder id.VM
	// Incarnation identifies the process of Holder that holds the lease.
	Incarnation id.Incarnation
	Witnesses   []id.VM
	// Revision is the store's revision of the record; 0 means that the store has no record yet.
	Revision id.Revision `json:"-"`
}

// IsVacant reports whether no VM holds the lease.
func (r Record) IsVacant() bool { return r.Holder == "" }

// IsHeldBy reports whether incarnation inc of a VM holds the lease.
func (r Record) IsHeldBy(vm id.VM, inc id.Incarnation) bool {
	return r.Holder == vm && r.Incarnation == inc
}

// IsWitness reports whether a VM is a witness of the lease.
func (r Record) IsWitness(vm id.VM) bool { return slices.Contains(r.Witnesses, vm) }

// Majority returns the size of a majority of the witnesses.
func (r Record) Majority() int { return len(r.Witnesses)/2 + 1 }

// Next returns the record of the next term, to be written where the store still has the revision of r.
func (r Record) Next(holder id.VM, inc id.Incarnation, witnesses []id.VM) Record {
	return Record{
		Group:       r.Group,
		Term:        r.Term + 1,
		Holder:      holder,
		Incarnation: inc,
		Witnesses:   witnesses,
		Revision:    r.Revision,
	}
}
