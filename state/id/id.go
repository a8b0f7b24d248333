// Package id defines the identifiers used in a hickorylug deployment.
//
// Each kind of identifier has its own type, so that the compiler rejects a
// server where a service is expected.
//
// # Usage
//
//	fence := id.Fence{Term: 3, Version: 12}
//	if fence.Less(newest) {
//		// The grant is older than one that the server has already seen.
//	}
package id

import "fmt"

// Site names one deployment, for example the installation of one company.
type Site string

// VM names one entry VM within a site.
type VM string

// Domain names a failure domain within a site.
type Domain string

// Service names a service to which routes map requests.
type Service string

// Server names one backend server of a service.
type Server string

// Customer names a customer, a party whose callers identify themselves with API keys.
type Customer string

// Route names a rule that maps requests to a service.
type Route string

// Owner names the owner of a slice: a backend server if the service is sharded by key, otherwise a group.
type Owner string

// Group names a set of backend servers of one service and failure domain that are covered by one lease.
type Group string

// Incarnation distinguishes successive processes of the same VM or backend server.
type Incarnation string

// SoftwareVersion names the version of the software that a backend server runs.
type SoftwareVersion string

// Fingerprint is a hash of a request that is the same for equal requests.
type Fingerprint uint64

// Slice is the index of a shard, which is a range of the hashed key space.
type Slice uint32

// Term counts the successive holders of a lease; it never decreases.
type Term uint64

// Version counts the changes of a slice table; it never decreases.
type Version uint64

// Revision counts the writes to a store; it never decreases.
//
// A store that comes back from an older copy gives its own numbers out again. The
// upper bits of a revision hold the era, so that each revision of a later era is
// above all of the eras before.
type Revision uint64

// eraShift is the number of bits for a store's own number of a revision.
const eraShift = 48

// Era returns the era of the revision.
func (r Revision) Era() Era { return Era(r >> eraShift) }

// Number returns the store's own number of the revision.
func (r Revision) Number() uint64 { return uint64(r) & (1<<eraShift - 1) }

// Revision returns the revision with the store's own number in the era.
func (e Era) Revision(number uint64) Revision { return Revision(e)<<eraShift | Revision(number) }

// Era counts how often a store came back from an older copy, which takes back the changes since; it is 0 before the first time.
type Era uint64

// Planner is the group whose lease holder computes the slice tables of a site.
const Planner Group = "planner"

// GroupOf returns the default group of a service's backend servers in a failure domain.
func GroupOf(s Service, d Domain) Group {
	return Group(string(s) + "." + string(d))
}

// Fence is a fencing token that orders grants: by the lease's term first, then by the table's version.
type Fence struct {
	Term    Term
	Version Version
}

// Less reports whether f was issued before other.
func (f Fence) Less(other Fence) bool {
	if f.Term != other.Term {
		return f.Term < other.Term
	}
	return f.Version < other.Version
}

// String returns the fence as "term.version", for example "3.12".
func (f Fence) String() string {
	return fmt.Sprintf("%d.%d", f.Term, f.Version)
}
