package fleet

import (
	"slices"
	"sort"

	"github.com/hickorylug/hickorylug/state/id"
)

// Key is a position in the ordered key space of a service.
type Key uint16

// KeyCount is the size of the key space.
const KeyCount = 1 << 16

// Fence is a fencing token of a key range; each new owner gets a higher one.
type Fence int64

// Range is a contiguous range of keys with the same owner.
type Range struct {
	// From and To are the first and last key, both inclusive.
	From, To Key
	Owner    Incarnation
	Fence    Fence
	// PreviousOwner is the owner that must release the keys before they are granted to Owner; it is nil once they are
	// granted.
	PreviousOwner *Incarnation
	// PreviousFence is the fence under which PreviousOwner held the keys.
	PreviousFence Fence
}

// Size returns the number of keys.
func (r Range) Size() int { return int(r.To) - int(r.From) + 1 }

// Moving reports whether the keys are being handed over to a new owner.
func (r Range) Moving() bool { return r.PreviousOwner != nil }

// Table is the key ownership of a service, as it is kept in the store.
type Table struct {
	Service id.Service
	// Fence is the highest fence that was ever issued for the service.
	Fence Fence
	// Ranges are sorted and don't overlap; keys between them have no owner.
	Ranges []Range
	// Revision is the store revision of the stored table, or 0 if there is none; it isn't part of the encoded table.
	Revision id.Revision
	// Unsaved is set if the stored table is older than this one, or missing: the store came back from an older copy.
	Unsaved bool
	// Unreadable is set if the stored table can't be read and none was known before. The table has no ranges then, and which fences backend
	// servers have seen isn't known.
	Unreadable bool
}

// maxFence is the highest fence of a stored table. Those that follow it stay exact numbers of JSON, as which backend servers get them
// (RFC 8259, section 6).
const maxFence Fence = 1 << 52

// NewerTable returns the table that is in force where the store holds stored, which may be nil, and known was in force before.
//
// Backend servers refuse fences below those that they have seen. So an older copy
// of the store doesn't take back a table: the known one stays in force until it
// is stored again.
func NewerTable(known, stored *Table) *Table {
	if known == nil || stored != nil && stored.Fence >= known.Fence {
		return stored
	}
	t := *known
	t.Revision, t.Unsaved = 0, true
	if stored != nil {
		t.Revision = stored.Revision
	}
	return &t
}

// Find returns the range that contains a key.
func (t *Table) Find(k Key) (r Range, found bool) {
	i := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].To >= k })
	if i < len(t.Ranges) && t.Ranges[i].From <= k {
		return t.Ranges[i], true
	}
	return Range{}, false
}

// Clone returns a copy whose ranges can be modified.
func (t *Table) Clone() *Table {
	c := *t
	c.Ranges = slices.Clone(t.Ranges)
	return &c
}

// IsValid reports whether the ranges are sorted, don't overlap, have owners, and have fences up to the table's.
func (t *Table) IsValid() bool {
	next := 0
	for _, r := range t.Ranges {
		isOwned := r.Owner.Server != "" && (r.PreviousOwner == nil || r.PreviousOwner.Server != "")
		if int(r.From) < next || r.To < r.From || !t.hasIssued(r.Fence) || !t.hasIssued(r.PreviousFence) || !isOwned {
			return false
		}
		next = int(r.To) + 1
	}
	return true
}

// hasIssued reports whether a fence is one that was issued for the service, or 0.
func (t *Table) hasIssued(f Fence) bool { return f >= 0 && f <= t.Fence }
