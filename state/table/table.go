// Package table assigns the slices of a service's key space to owners.
//
// A slice is a shard: each key is hashed to one slice. The table holds the owner
// of each slice, and of single hot keys that are isolated from their slice. For
// a service that is sharded by key, the owners are backend servers. For another
// service they are groups, and the keys are the idempotency keys of requests
// that must run at most once, so that a duplicate reaches the same group as the
// original. A slice that is being moved has a next owner too. Neither owner
// serves it until the move is complete.
//
// # Usage
//
//	t := table.New("plans", 1024)
//	owner, ok := t.Owner(table.HashKey("subscriber-17"))
//	if !ok {
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

// Hash is the hash of a key.
type Hash uint64

// HashKey returns the hash of a key.
func HashKey(key string) Hash { return Hash(xxhash.Sum64String(key)) }

// Entry is the assignment of one slice or of one isolated key.
type Entry struct {
	// Owner is the index of the owner in Table.Owners, or -1 if there is none yet.
	Owner int32
	// Next is the index of the next owner while the entry is being moved, else -1.
	Next int32
}

// Unassigned is the entry of a slice that never had an owner.
var Unassigned = Entry{Owner: -1, Next: -1}

// IsMoving reports whether the entry is being moved to another owner.
func (e Entry) IsMoving() bool { return e.Next >= 0 }

// Table is one version of the assignments of a service.
type Table struct {
	Service id.Service
	Version id.Version
	Owners  []id.Owner
	Slices  []Entry
	// Keys holds the entries of isolated keys by hash. They take precedence over the entries of their slices.
	Keys map[Hash]Entry
}

// New returns a Table in which no slice has an owner.
func New(service id.Service, slices int) *Table {
	t := &Table{Service: service, Slices: make([]Entry, slices), Keys: map[Hash]Entry{}}
	for i := range t.Slices {
		t.Slices[i] = Unassigned
	}
	return t
}

// MovingCount returns the number of slices and isolated keys that are being moved.
func (t *Table) MovingCount() (n int) {
	for _, e := range t.Slices {
		if e.IsMoving() {
			n++
		}
	}
	for _, e := range t.Keys {
		if e.IsMoving() {
			n++
		}
	}
	return n
}

// Clone returns a deep copy of t.
func (t *Table) Clone() *Table {
	return &Table{
		Service: t.Service,
		Version: t.Version,
		Owners:  slices.Clone(t.Owners),
		Slices:  slices.Clone(t.Slices),
		Keys:    maps.Clone(t.Keys),
	}
}

// SliceOf returns the slice of a hash.
func (t *Table) SliceOf(h Hash) id.Slice {
	return id.Slice(uint64(h) % uint64(len(t.Slices)))
}

// Lookup returns the entry of a hash: that of an isolated key, else that of its slice.
func (t *Table) Lookup(h Hash) Entry {
	if e, ok := t.Keys[h]; ok {
		return e
	}
	if len(t.Slices) == 0 {
		return Unassigned
	}
	return t.Slices[t.SliceOf(h)]
}

// Owner returns the owner of a hash, or false if it has none or is being moved.
func (t *Table) Owner(h Hash) (owner id.Owner, ok bool) {
	e := t.Lookup(h)
	if e.Owner < 0 || e.IsMoving() {
		return "", false
	}
	return t.Owners[e.Owner], true
}

// OwnerAt returns the owner at an index, or an empty name if the index is out of range.
func (t *Table) OwnerAt(index int32) id.Owner {
	if index < 0 || int(index) >= len(t.Owners) {
		return ""
	}
	return t.Owners[index]
}

// EnsureOwner returns the index of an owner. It adds an owner that isn't in the table yet.
func (t *Table) EnsureOwner(owner id.Owner) int32 {
	if i := slices.Index(t.Owners, owner); i >= 0 {
		return int32(i)
	}
	t.Owners = append(t.Owners, owner)
	return int32(len(t.Owners) - 1)
}

// SlicesOf returns the slices of an owner, without those that are being moved.
func (t *Table) SlicesOf(owner id.Owner) (out []id.Slice) {
	index := int32(slices.Index(t.Owners, owner))
	if index < 0 {
		return nil
	}
	for i, e := range t.Slices {
		if e.Owner == index && !e.IsMoving() {
			out = append(out, id.Slice(i))
		}
	}
	return out
}

// KeysOf returns the isolated keys of an owner in ascending order, without those that are being moved.
func (t *Table) KeysOf(owner id.Owner) (out []Hash) {
	index := int32(slices.Index(t.Owners, owner))
	for h, e := range t.Keys {
		if index >= 0 && e.Owner == index && !e.IsMoving() {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b Hash) int { return cmp.Compare(a, b) })
	return out
}

// Validate returns an error if an entry refers to an owner that isn't in the table.
func (t *Table) Validate() (err error) {
	defer func() { err = errors.Wrapf(err, "table of service %s, version %d", t.Service, t.Version) }()
	for i, e := range t.Slices {
		if err := t.validateEntry(e); err != nil {
			return errors.Wrapf(err, "slice %d", i)
		}
	}
	for h, e := range t.Keys {
		if err := t.validateEntry(e); err != nil {
			return errors.Wrapf(err, "key %x", h)
		}
	}
	return nil
}

func (t *Table) validateEntry(e Entry) error {
	n := int32(len(t.Owners))
	if e.Owner < -1 || e.Owner >= n || e.Next < -1 || e.Next >= n {
		return errors.Newf("entry %+v refers to an unknown owner", e)
	}
	return nil
}
