// Package lease decides who may send work to a group of backend servers.
//
// The store's record names the holder, its term and up to three witnesses. The
// holder renews with the witnesses; its lease runs from the time it sent the
// newest renewal that a majority answered. A successor asks the witnesses to
// refuse the old term, waits out what they promised, and only then swaps the
// record to the next term. There is no log and no election: the store decides,
// and witnesses only confirm that the decided holder is still there.
//
// Everything here is a state machine without sockets, clocks or goroutines:
// the caller passes the time and carries the messages.
//
// # Usage
//
//	h := lease.NewHolder(record, swapSentAt, lease.WithTiming(timing))
//	renewal := h.Renew(now)            // send it to record.Witnesses
//	h.Answer(witness, answer)          // as answers come in
//	if h.Valid(now) {                  // before each send to a backend server
//	}
package lease

import (
	"slices"

	"github.com/hickorylug/hickorylug/state/id"
)

// MaxWitnesses is the number of witnesses of a lease where the site has enough VMs.
const MaxWitnesses = 3

// Record is what the store holds about a lease.
type Record struct {
	Group id.Group
	Term  id.Term
	// Holder is empty while the lease is vacant.
	Holder id.VM
	// Incarnation is that of the process which holds the lease.
	Incarnation id.Incarnation
	Witnesses   []id.VM
	// Revision is the store's revision of the record; 0 means that there is none yet.
	Revision id.Revision `json:"-"`
}

// IsVacant reports whether nobody holds the lease.
func (r Record) IsVacant() bool { return r.Holder == "" }

// IsHeldBy reports whether a process of a VM holds the lease.
func (r Record) IsHeldBy(vm id.VM, inc id.Incarnation) bool {
	return r.Holder == vm && r.Incarnation == inc
}

// IsWitness reports whether a VM is a witness of the lease.
func (r Record) IsWitness(vm id.VM) bool { return slices.Contains(r.Witnesses, vm) }

// Majority returns the number of witnesses that make a majority.
func (r Record) Majority() int { return len(r.Witnesses)/2 + 1 }

// Next returns the record of the following term.
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
