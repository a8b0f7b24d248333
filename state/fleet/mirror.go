package fleet

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/hickorylug/hickorylug/state/id"
)

// Item is a key of the store with its latest value.
type Item struct {
	Key      string
	Value    []byte `cbor:",omitempty"`
	Revision id.Revision
	// Deleted is set if the key was deleted at Revision.
	Deleted bool `cbor:",omitempty"`
}

// Update holds all changes after revision From, up to and including To.
type Update struct {
	From  id.Revision
	To    id.Revision
	Items []Item
	// Whole is set if Items is a full copy of the store at To; From is ignored then.
	Whole bool `cbor:",omitempty"`
}

// Decoder decodes items into a new snapshot; it skips items that it can't decode. The keys in changed were added,
// modified or deleted since old was made.
type Decoder func(old *Snapshot, items map[string]Item, changed []string) *Snapshot

// maxTombstones limits the deleted keys that are remembered; earlier deletions are recognized by the position.
const maxTombstones = 4096

// Mirror is a replica of the store's items. It is safe for concurrent use.
type Mirror struct {
	decode Decoder

	mu         sync.Mutex
	items      map[string]Item
	tombstones map[string]id.Revision
	// tombstonesFrom is the revision after which tombstones holds every deletion.
	tombstonesFrom id.Revision
	position       id.Revision

	snapshot atomic.Pointer[Snapshot]
	changed  atomic.Pointer[chan struct{}]
}

// NewMirror returns an empty mirror.
func NewMirror(decode Decoder) *Mirror {
	m := &Mirror{decode: decode, items: map[string]Item{}, tombstones: map[string]id.Revision{}}
	m.snapshot.Store(decode(&Snapshot{}, m.items, nil))
	c := make(chan struct{})
	m.changed.Store(&c)
	return m
}

// Snapshot returns the latest snapshot.
func (m *Mirror) Snapshot() *Snapshot { return m.snapshot.Load() }

// Changed returns a channel that is closed at the next change of an item. To miss no change, call Changed before
// Snapshot.
func (m *Mirror) Changed() <-chan struct{} { return *m.changed.Load() }

// Position returns the revision up to which the mirror is complete.
func (m *Mirror) Position() id.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position
}

// Apply applies an update. complete is false if changes between the mirror's position and u.From are missing.
//
// Items that are newer than the known ones are applied in either case.
func (m *Mirror) Apply(u Update) (complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var changed []string
	for _, item := range u.Items {
		if m.applyItem(item) {
			changed = append(changed, item.Key)
		}
	}
	if u.Whole {
		changed = append(changed, m.removeAbsent(u)...)
		// A full copy doesn't list the keys that were deleted before it was made.
		m.tombstonesFrom = max(m.tombstonesFrom, u.To)
	}
	complete = u.Whole || u.From <= m.position
	advanced := complete && u.To > m.position
	if advanced {
		m.position = u.To
	}
	if len(changed) > 0 || advanced {
		m.publish(changed)
	}
	return complete
}

// applyItem applies an item if it is newer than the known one, and reports whether the items have changed.
func (m *Mirror) applyItem(item Item) bool {
	if old, ok := m.items[item.Key]; ok && old.Revision >= item.Revision {
		return false
	}
	if _, ok := m.items[item.Key]; !ok && (item.Revision <= m.position || m.tombstones[item.Key] >= item.Revision) {
		// All changes up to the position are applied, so a missing item was deleted after this change.
		return false
	}
	if !item.Deleted {
		m.items[item.Key] = item
		delete(m.tombstones, item.Key)
		return true
	}
	_, existed := m.items[item.Key]
	delete(m.items, item.Key)
	if len(m.tombstones) >= maxTombstones {
		clear(m.tombstones)
		m.tombstonesFrom = max(m.position, item.Revision)
	}
	m.tombstones[item.Key] = item.Revision
	return existed
}

// removeAbsent deletes the items that a full copy of the store no longer contains, and returns their keys.
func (m *Mirror) removeAbsent(u Update) (removed []string) {
	present := make(map[string]bool, len(u.Items))
	for _, item := range u.Items {
		present[item.Key] = true
	}
	for key, item := range m.items {
		if !present[key] && item.Revision <= u.To {
			delete(m.items, key)
			m.tombstones[key] = u.To
			removed = append(removed, key)
		}
	}
	return removed
}

func (m *Mirror) publish(changed []string) {
	s := m.snapshot.Load()
	if len(changed) > 0 {
		s = m.decode(s, m.items, changed)
	} else {
		c := *s
		s = &c
	}
	s.Position = m.position
	m.snapshot.Store(s)
	if len(changed) == 0 {
		return
	}
	next := make(chan struct{})
	close(*m.changed.Swap(&next))
}

// AllItems returns a full copy of the items, to be sent to another VM.
func (m *Mirror) AllItems() Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Update{To: m.position, Whole: true, Items: slices.Collect(maps.Values(m.items))}
}

// Since returns the changes after a revision, or a full copy if deletions after it are no longer remembered.
func (m *Mirror) Since(after id.Revision) (u Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.tombstonesFrom {
		return Update{To: m.position, Whole: true, Items: slices.Collect(maps.Values(m.items))}
	}
	u = Update{From: after, To: max(after, m.position)}
	for _, item := range m.items {
		if item.Revision > after {
			u.Items = append(u.Items, item)
		}
	}
	for key, revision := range m.tombstones {
		if revision > after {
			u.Items = append(u.Items, Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	return u
}

// Item returns the item of a key.
func (m *Mirror) Item(key string) (item Item, found bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	item, found = m.items[key]
	return item, found
}
