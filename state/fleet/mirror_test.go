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

// decodePosition is a decoder that ignores all items; only the position of the snapshot changes.
func decodePosition(old *fleet.Snapshot, _ map[string]fleet.Item, _ []string) *fleet.Snapshot {
	s := *old
	return &s
}

func item(key string, revision id.Revision) fleet.Item {
	return fleet.Item{Key: key, Value: []byte(key), Revision: revision}
}

func removal(key string, revision id.Revision) fleet.Item {
	return fleet.Item{Key: key, Revision: revision, Deleted: true}
}

// later returns a revision of a store that came back from an older copy.
func later(number uint64) id.Revision { return id.Era(1).Revision(number) }

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
		"change after a full copy":                                     {updates: []fleet.Update{whole(3, item("a", 2)), change(3, 4, item("b", 4))}, want: map[string]id.Revision{"a": 2, "b": 4}, position: 4},
		"older change is ignored":                                      {updates: []fleet.Update{whole(3, item("a", 3)), change(1, 2, item("a", 2))}, want: map[string]id.Revision{"a": 3}, position: 3},
		"items after a gap are applied but don't advance the position": {updates: []fleet.Update{whole(3, item("a", 2)), change(5, 6, item("b", 6))}, want: map[string]id.Revision{"a": 2, "b": 6}, position: 3},
		"deletion": {updates: []fleet.Update{whole(3, item("a", 2)), change(3, 4, removal("a", 4))}, want: map[string]id.Revision{}, position: 4},
		"older change doesn't restore a deleted key":    {updates: []fleet.Update{whole(3, item("a", 2)), change(3, 4, removal("a", 4)), change(1, 2, item("a", 2))}, want: map[string]id.Revision{}, position: 4},
		"deletion arrives before the creation":          {updates: []fleet.Update{whole(3), change(4, 5, removal("a", 5)), change(3, 4, item("a", 4))}, want: map[string]id.Revision{}, position: 4},
		"full copy removes absent keys":                 {updates: []fleet.Update{whole(3, item("a", 2), item("b", 3)), whole(5, item("b", 3))}, want: map[string]id.Revision{"b": 3}, position: 5},
		"full copy of a later era with lower numbers":   {updates: []fleet.Update{whole(9, item("a", 8), item("b", 9)), whole(later(3), item("a", later(2)))}, want: map[string]id.Revision{"a": later(2)}, position: later(3)},
		"change of a later era with a lower number":     {updates: []fleet.Update{whole(9, item("a", 8)), whole(later(3), item("a", later(2))), change(later(3), later(4), item("a", later(4)))}, want: map[string]id.Revision{"a": later(4)}, position: later(4)},
		"change of the era before is ignored":           {updates: []fleet.Update{whole(later(3), item("a", later(2))), change(8, 9, item("a", 9), item("b", 9))}, want: map[string]id.Revision{"a": later(2)}, position: later(3)},
		"full copy of the era before is ignored":        {updates: []fleet.Update{whole(later(3), item("a", later(2))), whole(9, item("b", 9))}, want: map[string]id.Revision{"a": later(2)}, position: later(3)},
		"change of a later era before its full copy":    {updates: []fleet.Update{whole(9, item("a", 8)), change(later(3), later(4), item("a", later(4)))}, want: map[string]id.Revision{"a": later(4)}, position: 9},
		"deletion of the era before doesn't hide a key": {updates: []fleet.Update{whole(3, item("a", 2)), change(3, 9, removal("a", 9)), whole(later(3), item("a", later(2)))}, want: map[string]id.Revision{"a": later(2)}, position: later(3)},
		"older full copy keeps newer keys":              {updates: []fleet.Update{whole(3, item("a", 2)), change(3, 6, item("b", 6)), whole(4, item("a", 2))}, want: map[string]id.Revision{"a": 2, "b": 6}, position: 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := fleet.NewMirror(decodePosition)
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

// Updates may arrive in any order and more than once. After all of them have arrived, the mirror must hold the same
// keys and revisions as the store.
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
		m := fleet.NewMirror(decodePosition)
		for _, u := range rapid.Permutation(slices.Concat(updates, updates[:6])).Draw(t, "order") {
			m.Apply(u)
		}
		got := map[string]id.Revision{}
		for _, i := range m.AllItems().Items {
			got[i.Key] = i.Revision
		}
		if !maps.Equal(got, store) {
			t.Fatalf("the mirror holds %v, want %v as in the store", got, store)
		}
	})
}
