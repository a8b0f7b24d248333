package topk_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickorylug/hickorylug/coordination/topk"
)

type figures struct{ served int }

func newTable(size int) *topk.Table[string, figures] {
	return topk.NewTable[string](size, func(rest, row *figures) { rest.served += row.served })
}

// The sums over a fleet are taken from the rows and the rest, so no addition may be lost or counted twice. A key with more than its part of
// all additions must have a row, or the heaviest customer of a VM would be missing.
func TestTableIsExactInSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 5).Draw(t, "size")
		keys := rapid.SliceOf(rapid.SampledFrom([]string{"a", "a", "a", "b", "b", "c", "d", "e", "f", "g", "h"})).Draw(t, "keys")
		table, counts := newTable(size), map[string]int{}
		for _, k := range keys {
			table.Add(k).served++
			counts[k]++
		}
		rows, rest := table.Rows(), table.Rest()
		if len(rows) > size {
			t.Fatalf("%d rows, %d are allowed", len(rows), size)
		}
		total, present := int(rest.Count), map[string]bool{}
		for _, r := range rows {
			total += int(r.Count)
			present[r.Key] = true
			if r.Figures.served != int(r.Count) {
				t.Fatalf("row %s: %d served, %d counted", r.Key, r.Figures.served, r.Count)
			}
			if int(r.Count) > counts[r.Key] || int(r.Count+r.Missed) < counts[r.Key] {
				t.Fatalf("row %s: counted %d, missed at most %d, added %d", r.Key, r.Count, r.Missed, counts[r.Key])
			}
		}
		if total != len(keys) || rest.Figures.served != int(rest.Count) {
			t.Fatalf("%d of %d additions are in the rows and the rest", total, len(keys))
		}
		for k, n := range counts {
			if n*size > len(keys) && !present[k] {
				t.Fatalf("%s was added %d of %d times and has none of %d rows", k, n, len(keys), size)
			}
		}
	})
}

// A flood of keys that come once each must not displace a heavy key.
func TestTableUnderManyKeys(t *testing.T) {
	is := is.New(t)
	table := newTable(32)
	for n := range 100_000 {
		table.Add(fmt.Sprint("once", n)).served++
		if n%20 == 0 {
			table.Add("heavy").served++
		}
	}
	rows := table.Rows()
	is.Equal(len(rows), 32)
	is.Equal(rows[0].Key, "heavy")
	is.Equal(int(rows[0].Count), 5000)
	is.True(rows[0].Missed < 100)
}

// One addition is made for each request of a VM, whose core also runs everything else.
func BenchmarkAdd(b *testing.B) {
	for name, keys := range map[string]int{"keys=32": 32, "keys=1000": 1000} {
		b.Run(name, func(b *testing.B) {
			table := newTable(32)
			names := make([]string, keys)
			for i := range names {
				names[i] = fmt.Sprint("customer", i)
			}
			for n := 0; b.Loop(); n++ {
				table.Add(names[n%keys]).served++
			}
		})
	}
}
