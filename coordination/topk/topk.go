// Package topk keeps a row of figures for each of the heaviest keys of a stream, in bounded memory.
//
// It uses the space-saving algorithm (Metwally, Agrawal and El Abbadi, 2005). A
// key without a row takes over the lightest row and its weight. A key that
// makes up more than 1/n of the stream always has one of the n rows. The figures
// of a row that is taken over are merged into the figures of the rest, so that
// the sum over all rows and the rest stays exact.
//
// # Usage
//
//	t := topk.NewTable[id.Customer](32, func(rest, row *counts) { rest.served += row.served })
//	t.Add("shop").served++
//	for _, row := range t.Rows() {
//		fmt.Println(row.Key, row.Figures.served, row.Missed)
//	}
package topk

import (
	"cmp"
	"slices"
)

// Row holds the figures of one key since it has the row.
type Row[K cmp.Ordered, V any] struct {
	Key K
	// Count is the number of additions since the key has this row, and Missed the largest number of earlier ones that are counted in the rest.
	Count, Missed uint64
	Figures       V
}

// weight is the upper bound of the additions of the row's key.
func (r *Row[K, V]) weight() uint64 { return r.Count + r.Missed }

// Table holds the rows of the heaviest keys. It isn't safe for concurrent use.
type Table[K cmp.Ordered, V any] struct {
	merge func(rest, row *V)
	// rows has room for all rows from the start, so that pointers into it stay valid; indexes holds the index of each key's row.
	rows    []Row[K, V]
	indexes map[K]int
	rest    Row[K, V]
}

// NewTable returns a table with a number of rows, at least one. The function merge adds the figures of a row to those of the rest.
func NewTable[K cmp.Ordered, V any](size int, merge func(rest, row *V)) *Table[K, V] {
	return &Table[K, V]{merge: merge, rows: make([]Row[K, V], 0, max(1, size)), indexes: map[K]int{}}
}

// Add counts one addition of a key and returns the figures of its row, which the caller updates before the next call.
func (t *Table[K, V]) Add(key K) (figures *V) {
	i, found := t.indexes[key]
	switch {
	case found:
	case len(t.rows) < cap(t.rows):
		i = len(t.rows)
		t.rows = append(t.rows, Row[K, V]{Key: key})
	default:
		i = t.lightest()
		missed := t.rows[i].weight()
		t.evict(i)
		t.rows[i] = Row[K, V]{Key: key, Missed: missed}
	}
	t.indexes[key] = i
	t.rows[i].Count++
	return &t.rows[i].Figures
}

// lightest returns the index of the row with the lowest weight.
func (t *Table[K, V]) lightest() (index int) {
	for i := range t.rows {
		if t.rows[i].weight() < t.rows[index].weight() {
			index = i
		}
	}
	return index
}

// evict merges a row into the rest.
func (t *Table[K, V]) evict(index int) {
	r := &t.rows[index]
	t.merge(&t.rest.Figures, &r.Figures)
	t.rest.Count += r.Count
	delete(t.indexes, r.Key)
}

// Rows returns copies of the rows, the heaviest first.
func (t *Table[K, V]) Rows() []Row[K, V] {
	out := slices.Clone(t.rows)
	slices.SortFunc(out, func(a, b Row[K, V]) int { return cmp.Or(-cmp.Compare(a.Count, b.Count), cmp.Compare(a.Key, b.Key)) })
	return out
}

// Rest returns a copy of the figures of all keys while they had no row.
func (t *Table[K, V]) Rest() Row[K, V] { return t.rest }
