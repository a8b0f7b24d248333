// Package id names the things that a hickorylug deployment consists of.
//
// Every identifier has a type of its own, so that a server can't be passed
// where a service is wanted.
//
// # Usage
//
//	fence := id.Fence{Term: 3, Version: 12}
//	if fence.Less(newest) {
//		// The grant is older than one that the server has already seen.
//	}
package id

import "fmt"

// Site names one deployment, for example one firm's installation.
type Site string

// VM names one entry VM within a site.
type VM string

// Domain names a failure domain within a site.
type Domain string

// Service names a service that routes bind requests to.
type Service string

// Server names one backend server of a service.
type Server string

// Route names a rule that binds requests to a service.
type Route string

// Owner names who owns a slice: a backend server of a service that is divided by key, or a group of another service.
type Owner string

// Group names a set of backend servers of one service and failure domain that share a lease.
type Group string

// Incarnation tells successive processes of the same VM or backend server apart.
type Incarnation string

// Slice is the index of a range of the hashed key space.
type Slice uint32

// Term counts the holders of a lease; it never falls.
type Term uint64

// Version counts the changes of a slice table; it never falls.
type Version uint64

// Revision counts the writes to a store key; it never falls.
type Revision uint64

// Planner is the group whose lease holder plans the slice tables of a site.
const Planner Group = "planner"

// GroupOf returns the default group of a service's backend servers in a failure domain.
func GroupOf(s Service, d Domain) Group {
	return Group(string(s) + "." + string(d))
}

// Fence orders grants: first by the lease's term, then by the table's version.
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

// String returns the fence as term and version, separated by a dot.
func (f Fence) String() string {
	return fmt.Sprintf("%d.%d", f.Term, f.Version)
}
