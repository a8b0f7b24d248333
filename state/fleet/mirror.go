package fleet

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/hickorylug/hickorylug/state/id"
)

// Item is a key of the store with its newest value.
type Item struct {
	Key      string
	Value    []byte `cbor:",omitempty"`
	Revision id.Revision
	// Deleted says that the key was removed at Revision.
	Deleted bool `cbor:",omitempty"`
}

// Update carries every change after the revision From up to To.
type Update struct {
	From  id.Revision
	To    id.Revision
	Items []Item
	// Whole says that Items are all items of the store at To; From doesn't count.
	Whole bool `cbor:",omitempty"`
}

// Decoder turns items into the parts of a snapshot; it leaves out what it can't read.
type Decoder func(old *Snapshot, items map[string]Item, changed []string) *Snapshot

// maxDeleted bounds the memory of removed keys; older removals are covered by the position.
const maxDeleted = 4096

// Mirror is a replica of the store's items; it is safe for concurrent use.
type Mirror struct {
	decode Decoder

	mu      sync.Mutex
	items   map[string]Item
	deleted map[string]id.Revision
	// complete is the revision after which deleted holds every removal.
	complete id.Revision
	position id.Revision

	snapshot atomic.Pointer[Snapshot]
	changed  atomic.Pointer[chan struct{}]
}

// NewMirror returns an empty mirror.
func NewMirror(decode Decoder) *Mirror {
	m := &Mirror{decode: decode, items: map[string]Item{}, deleted: map[string]id.Revision{}}
	m.snapshot.Store(decode(&Snapshot{}, m.items, nil))
	c := make(chan struct{})
	m.changed.Store(&c)
	return m
}

// Snapshot returns the newest state.
func (m *Mirror) Snapshot() *Snapshot { return m.snapshot.Load() }

// Changed returns a channel that is closed at the next change; take it before the snapshot.
func (m *Mirror) Changed() <-chan struct{} { return *m.changed.Load() }

// Position returns the revision up to which the mirror is complete.
func (m *Mirror) Position() id.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position
}

// Apply takes an update; complete is false where changes before it are missing.
//
// Items that are newer than what is known are taken in any case.
func (m *Mirror) Apply(u Update) (complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var changed []string
	for _, item := range u.Items {
		if m.take(item) {
			changed = append(changed, item.Key)
		}
	}
	if u.Whole {
		changed = append(changed, m.removeAbsent(u)...)
		// What was removed before the copy was made isn't known.
		m.complete = max(m.complete, u.To)
	}
	complete = u.Whole || u.From <= m.position
	moved := complete && u.To > m.position
	if moved {
		m.position = u.To
	}
	if len(changed) > 0 || moved {
		m.publish(changed)
	}
	return complete
}

// take keeps an item that is newer than the one that is known.
func (m *Mirror) take(item Item) bool {
	if old, ok := m.items[item.Key]; ok && old.Revision >= item.Revision {
		return false
	}
	if _, ok := m.items[item.Key]; !ok && (item.Revision <= m.position || m.deleted[item.Key] >= item.Revision) {
		// Everything up to the position is known, so an item that is missing was removed later.
		return false
	}
	if !item.Deleted {
		m.items[item.Key] = item
		delete(m.deleted, item.Key)
		return true
	}
	_, had := m.items[item.Key]
	delete(m.items, item.Key)
	if len(m.deleted) >= maxDeleted {
		clear(m.deleted)
		m.complete = max(m.position, item.Revision)
	}
	m.deleted[item.Key] = item.Revision
	return had
}

// removeAbsent removes what a whole copy of the store no longer has.
func (m *Mirror) removeAbsent(u Update) (removed []string) {
	present := make(map[string]bool, len(u.Items))
	for _, item := range u.Items {
		present[item.Key] = true
	}
	for key, item := range m.items {
		if !present[key] && item.Revision <= u.To {
			delete(m.items, key)
			m.deleted[key] = u.To
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

// AllItems returns all items, to be passed to another VM.
func (m *Mirror) AllItems() Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Update{To: m.position, Whole: true, Items: slices.Collect(maps.Values(m.items))}
}

// Since returns what has changed after a revision, or all items where that isn't known any more.
func (m *Mirror) Since(after id.Revision) (u Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.complete {
		return Update{To: m.position, Whole: true, Items: slices.Collect(maps.Values(m.items))}
	}
	u = Update{From: after, To: max(after, m.position)}
	for _, item := range m.items {
		if item.Revision > after {
			u.Items = append(u.Items, item)
		}
	}
	for key, revision := range m.deleted {
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
