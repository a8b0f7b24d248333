package fleet

import (
	"slices"
	"sort"

	"github.com/hickorylug/hickorylug/state/id"
)

// Key is a place in the ordered key space of a service.
type Key uint16

// KeyCount is the size of the key space.
const KeyCount = 1 << 16

// Fence orders the owners of a key; each new owner has a higher one.
type Fence int64

// Range is a run of keys with their owner.
type Range struct {
	// From and To are both inclusive.
	From, To Key
	Owner    Incarnation
	Fence    Fence
	// PreviousOwner is the owner that has to let go before Owner may begin; it is empty once Owner was granted the keys.
	PreviousOwner *Incarnation
	// PreviousFence is the fence under which Before had the keys.
	PreviousFence Fence
}

// Size returns the number of keys.
func (r Range) Size() int { return int(r.To) - int(r.From) + 1 }

// Moving reports whether the keys are between two owners.
func (r Range) Moving() bool { return r.PreviousOwner != nil }

// Table is the ownership of all keys of a service, as it is kept in the store.
type Table struct {
	Service id.Service
	// Fence is the highest fence that was ever used for the service.
	Fence Fence
	// Ranges are in order and don't overlap; keys between them have no owner.
	Ranges []Range
	// Revision is the store's revision of the table; it isn't part of the document.
	Revision id.Revision
}

// Find returns the range that holds a key.
func (t *Table) Find(k Key) (r Range, found bool) {
	i := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].To >= k })
	if i < len(t.Ranges) && t.Ranges[i].From <= k {
		return t.Ranges[i], true
	}
	return Range{}, false
}

// Clone returns a copy that can be changed.
func (t *Table) Clone() *Table {
	c := *t
	c.Ranges = slices.Clone(t.Ranges)
	return &c
}

// IsValid reports whether the ranges are in order and have owners with valid fences.
func (t *Table) IsValid() bool {
	next := 0
	for _, r := range t.Ranges {
		if int(r.From) < next || r.To < r.From || r.Fence > t.Fence || r.Owner.Server == "" {
			return false
		}
		next = int(r.To) + 1
	}
	return true
}
