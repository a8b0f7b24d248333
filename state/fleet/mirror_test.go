package fleet_test

import (
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// keep is a decoder that keeps nothing but the position.
func keep(old *fleet.Snapshot, _ map[string]fleet.Item, _ []string) *fleet.Snapshot {
	s := *old
	return &s
}

func item(key string, revision id.Revision) fleet.Item {
	return fleet.Item{Key: key, Value: []byte(key), Revision: revision}
}

func removal(key string, revision id.Revision) fleet.Item {
	return fleet.Item{Key: key, Revision: revision, Deleted: true}
}

func whole(to id.Revision, items ...fleet.Item) fleet.Update {
	return fleet.Update{To: to, Whole: true, Items: items}
}

func change(from, to id.Revision, items ...fleet.Item) fleet.Update {
	return fleet.Update{From: from, To: to, Items: items}
}

func TestMirror(t *testing.T) {
	tests := map[string]struct {
		updates  []fleet.Update
		want     map[string]id.Revision
		position id.Revision
	}{
		"changes follow a copy":                 {updates: []fleet.Update{whole(3, item("a", 2)), change(3, 4, item("b", 4))}, want: map[string]id.Revision{"a": 2, "b": 4}, position: 4},
		"an older change says nothing":          {updates: []fleet.Update{whole(3, item("a", 3)), change(1, 2, item("a", 2))}, want: map[string]id.Revision{"a": 3}, position: 3},
		"a gap is seen but newer items count":   {updates: []fleet.Update{whole(3, item("a", 2)), change(5, 6, item("b", 6))}, want: map[string]id.Revision{"a": 2, "b": 6}, position: 3},
		"a removal":                             {updates: []fleet.Update{whole(3, item("a", 2)), change(3, 4, removal("a", 4))}, want: map[string]id.Revision{}, position: 4},
		"what was removed doesn't come back":    {updates: []fleet.Update{whole(3, item("a", 2)), change(3, 4, removal("a", 4)), change(1, 2, item("a", 2))}, want: map[string]id.Revision{}, position: 4},
		"a removal that overtakes the creation": {updates: []fleet.Update{whole(3), change(4, 5, removal("a", 5)), change(3, 4, item("a", 4))}, want: map[string]id.Revision{}, position: 4},
		"a copy lacks what was removed":         {updates: []fleet.Update{whole(3, item("a", 2), item("b", 3)), whole(5, item("b", 3))}, want: map[string]id.Revision{"b": 3}, position: 5},
		"an old copy removes nothing newer":     {updates: []fleet.Update{whole(3, item("a", 2)), change(3, 6, item("b", 6)), whole(4, item("a", 2))}, want: map[string]id.Revision{"a": 2, "b": 6}, position: 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := fleet.NewMirror(keep)
			for _, u := range test.updates {
				m.Apply(u)
			}
			got := map[string]id.Revision{}
			for _, i := range m.AllItems().Items {
				got[i.Key] = i.Revision
			}
			is.Equal(got, test.want)
			is.Equal(m.Position(), test.position)
		})
	}
}

// Updates may come in any order and more than once; once all have come, every mirror holds what the store holds.
func TestMirrorConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]id.Revision{}
		var updates []fleet.Update
		keys := []string{"a", "b", "c"}
		for revision := id.Revision(1); revision <= 12; revision++ {
			key := rapid.SampledFrom(keys).Draw(t, "key")
			i := item(key, revision)
			if _, ok := store[key]; ok && rapid.Bool().Draw(t, "remove") {
				i = removal(key, revision)
				delete(store, key)
			} else {
				store[key] = revision
			}
			updates = append(updates, change(revision-1, revision, i))
		}
		var all []fleet.Item
		for key, revision := range store {
			all = append(all, item(key, revision))
		}
		updates = append(updates, whole(12, all...))
		m := fleet.NewMirror(keep)
		for _, u := range rapid.Permutation(slices.Concat(updates, updates[:6])).Draw(t, "order") {
			m.Apply(u)
		}
		got := map[string]id.Revision{}
		for _, i := range m.AllItems().Items {
			got[i.Key] = i.Revision
		}
		if !maps.Equal(got, store) {
			t.Fatalf("the mirror holds %v, the store %v", got, store)
		}
	})
}
