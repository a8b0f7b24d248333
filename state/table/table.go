// Package table assigns the slices of a service's key space to owners.
//
// A key is hashed into a slice. The table names the owner of each slice, and
// of single hot keys that were taken out of theirs. For a service that is
// divided by key, the owners are backend servers. For another service they are
// groups, and the keys are the identities of requests that must run at most
// once, so that a resend meets its first sending. A slice that is being moved
// names the next owner too; nobody serves it until the move is complete.
//
// # Usage
//
//	t := table.New("plans", 1024)
//	owner := t.Owner(table.HashKey("subscriber-17"))
//	if owner.Moving() {
//		// Wait for the next version.
//	}
package table

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/state/id"
)

// Hash is a key's place in the hashed key space.
type Hash uint64

// HashKey returns the place of a key.
func HashKey(key string) Hash { return Hash(xxhash.Sum64String(key)) }

// Entry is the assignment of one slice or single key.
type Entry struct {
	// Owner is the index in Owners of the owner, or -1 where there is none yet.
	Owner int32
	// Next is the index of the owner-to-be while the entry is moved, or -1.
	Next int32
}

// Unassigned is the entry of a slice that never had an owner.
var Unassigned = Entry{Owner: -1, Next: -1}

// Moving reports whether the entry is on its way to another owner.
func (e Entry) Moving() bool { return e.Next >= 0 }

// Table is a version of a service's assignments.
type Table struct {
	Service id.Service
	Version id.Version
	Owners  []id.Owner
	Slices  []Entry
	// Keys holds single keys, by hash, that have an owner of their own.
	Keys map[Hash]Entry
}

// New returns a table in which no slice has an owner.
func New(service id.Service, slices int) *Table {
	t := &Table{Service: service, Slices: make([]Entry, slices), Keys: map[Hash]Entry{}}
	for i := range t.Slices {
		t.Slices[i] = Unassigned
	}
	return t
}

// MovingCount returns the number of slices and single keys that are on their way.
func (t *Table) MovingCount() (n int) {
	for _, e := range t.Slices {
		if e.Moving() {
			n++
		}
	}
	for _, e := range t.Keys {
		if e.Moving() {
			n++
		}
	}
	return n
}

// Clone returns a copy that shares nothing with t.
func (t *Table) Clone() *Table {
	return &Table{
		Service: t.Service,
		Version: t.Version,
		Owners:  slices.Clone(t.Owners),
		Slices:  slices.Clone(t.Slices),
		Keys:    maps.Clone(t.Keys),
	}
}

// SliceOf returns the slice that a hash falls into.
func (t *Table) SliceOf(h Hash) id.Slice {
	return id.Slice(uint64(h) % uint64(len(t.Slices)))
}

// Lookup returns the entry that decides over a hash.
func (t *Table) Lookup(h Hash) Entry {
	if e, ok := t.Keys[h]; ok {
		return e
	}
	if len(t.Slices) == 0 {
		return Unassigned
	}
	return t.Slices[t.SliceOf(h)]
}

// Owner returns who serves a hash, or false while there is none.
func (t *Table) Owner(h Hash) (owner id.Owner, ok bool) {
	e := t.Lookup(h)
	if e.Owner < 0 || e.Moving() {
		return "", false
	}
	return t.Owners[e.Owner], true
}

// OwnerAt returns the owner at an index, or the empty name for -1.
func (t *Table) OwnerAt(index int32) id.Owner {
	if index < 0 || int(index) >= len(t.Owners) {
		return ""
	}
	return t.Owners[index]
}

// EnsureOwner returns the index of an owner, adding it where it is new.
func (t *Table) EnsureOwner(owner id.Owner) int32 {
	if i := slices.Index(t.Owners, owner); i >= 0 {
		return int32(i)
	}
	t.Owners = append(t.Owners, owner)
	return int32(len(t.Owners) - 1)
}

// SlicesOf returns the slices that an owner serves, without those on the move.
func (t *Table) SlicesOf(owner id.Owner) (out []id.Slice) {
	index := int32(slices.Index(t.Owners, owner))
	if index < 0 {
		return nil
	}
	for i, e := range t.Slices {
		if e.Owner == index && !e.Moving() {
			out = append(out, id.Slice(i))
		}
	}
	return out
}

// KeysOf returns the single keys that an owner serves, in order.
func (t *Table) KeysOf(owner id.Owner) (out []Hash) {
	index := int32(slices.Index(t.Owners, owner))
	for h, e := range t.Keys {
		if index >= 0 && e.Owner == index && !e.Moving() {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b Hash) int { return cmp.Compare(a, b) })
	return out
}

// Validate returns an error where the table contradicts itself.
func (t *Table) Validate() (err error) {
	defer func() { err = errors.Wrapf(err, "table of service %s, version %d", t.Service, t.Version) }()
	for i, e := range t.Slices {
		if err := t.checkEntry(e); err != nil {
			return errors.Wrapf(err, "slice %d", i)
		}
	}
	for h, e := range t.Keys {
		if err := t.checkEntry(e); err != nil {
			return errors.Wrapf(err, "key %x", h)
		}
	}
	return nil
}

func (t *Table) checkEntry(e Entry) error {
	n := int32(len(t.Owners))
	if e.Owner < -1 || e.Owner >= n || e.Next < -1 || e.Next >= n {
		return errors.Newf("entry %+v names no known owner", e)
	}
	return nil
}
