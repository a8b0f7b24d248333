// Package kv is a stand-in for the users' key-value store, for tests and the soak test.
//
// It implements the documented API: items with revisions, conditional
// transactions, leases and watches. A test can make it unavailable or slow,
// make it drop the responses to writes that it has applied, and restore it from
// an older copy.
//
// # Usage
//
//	s := kv.NewStore(rand.Float64)
//	go http.Serve(listener, s)
//	s.Put("op/config", document)
//	s.SetFault(kv.Fault{Down: true})
package kv

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault describes the faults injected into the store. The zero value injects none.
type Fault struct {
	// Down fails every call with status 503 before it has any effect.
	Down bool
	// Delay is added to each call.
	Delay time.Duration
	// LostWrites is the share, from 0 to 1, of writes that are applied but get no response.
	LostWrites float64
}

// Item is a key with its value in the wire format.
type Item struct {
	Key        string
	Value      []byte `json:",omitempty"`
	Revision   int64
	CreatedRev int64 `json:",omitempty"`
	Lease      int64 `json:",omitempty"`
	Tombstone  bool  `json:",omitempty"`
}

// lease is a lease that has been granted and neither expired nor been revoked.
type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// maxEvents bounds the event history; a watch of an older revision gets status 410.
const maxEvents = 4096

// Store is an in-memory store with an HTTP API. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	items    map[string]Item
	leases   map[int64]*lease
	events   []Item
	revision int64
	nextID   int64
	changed  chan struct{}
	fault    Fault
	random   func() float64
	// era rises each time the store is restored from a copy.
	era uint64
}

// Copy is the state of a store at one moment.
type Copy struct {
	items    map[string]Item
	leases   map[int64]lease
	events   []Item
	revision int64
	nextID   int64
}

// NewStore returns an empty store. random returns a number from 0 to 1 and decides which responses are dropped.
func NewStore(random func() float64) *Store {
	return &Store{items: map[string]Item{}, leases: map[int64]*lease{}, revision: 1, changed: make(chan struct{}), random: random, era: 1}
}

// Copy returns a copy of the store's state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{items: maps.Clone(s.items), leases: map[int64]lease{}, events: slices.Clone(s.events), revision: s.revision, nextID: s.nextID}
	for n, l := range s.leases {
		c.leases[n] = *l
	}
	return c
}

// othersPrefixes are the prefixes of the keys that others than the system write.
var othersPrefixes = []string{"op/", "servers/"}

// Restore returns the store to a copy of its state and begins a new era: later changes are gone, and their revisions and lease ids are
// given out again. Leases of the copy run for their whole TTL. What others than the system wrote since is written again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	before := s.items
	s.items, s.events, s.revision, s.nextID = maps.Clone(c.items), slices.Clone(c.events), c.revision, c.nextID
	s.leases = map[int64]*lease{}
	for n, l := range c.leases {
		s.leases[n] = &lease{ttl: l.ttl, expiry: time.Now().Add(l.ttl)}
	}
	s.writeOthersAgain(before)
	s.wake()
}

// writeOthersAgain makes the changes of others than the system again that a restoration took back.
func (s *Store) writeOthersAgain(before map[string]Item) {
	isOthers := func(key string) bool {
		return slices.ContainsFunc(othersPrefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
	}
	for key, i := range before {
		if isOthers(key) && !bytes.Equal(s.items[key].Value, i.Value) {
			s.putLocked(key, i.Value, 0)
		}
	}
	for _, key := range slices.Collect(maps.Keys(s.items)) {
		if _, present := before[key]; isOthers(key) && !present {
			s.removeLocked(key)
		}
	}
}

// SetFault replaces the injected faults.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Put writes an item unconditionally, as the operator or a backend server does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(key, value, 0)
	s.wake()
}

// Values returns the values of the keys with a prefix.
func (s *Store) Values(prefix string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := map[string][]byte{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			values[key] = item.Value
		}
	}
	return values
}

// Remove deletes an item.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key)
	s.wake()
}

func (s *Store) putLocked(key string, value []byte, lease int64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedRev
	}
	i := Item{Key: key, Value: value, Revision: s.revision, CreatedRev: created, Lease: lease}
	s.items[key] = i
	s.recordEvent(i)
}

func (s *Store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.recordEvent(Item{Key: key, Revision: s.revision, Tombstone: true})
}

// recordEvent appends to the event history and drops the older half when it is full.
func (s *Store) recordEvent(i Item) {
	s.events = append(s.events, i)
	if len(s.events) > maxEvents {
		s.events = slices.Clone(s.events[maxEvents/2:])
	}
}

// wake notifies the waiting watches of a change.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeasesLocked revokes the leases that have expired, with their items.
func (s *Store) expireLeasesLocked(now time.Time) {
	for n, l := range s.leases {
		if now.After(l.expiry) {
			s.revokeLeaseLocked(n)
		}
	}
}

// revokeLeaseLocked deletes a lease and its items.
func (s *Store) revokeLeaseLocked(n int64) {
	delete(s.leases, n)
	for key, i := range s.items {
		if i.Lease == n {
			s.removeLocked(key)
		}
	}
	s.wake()
}

// Run expires leases until stop is closed. The returned channel is closed when it has finished.
func (s *Store) Run(stop <-chan struct{}) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				s.mu.Lock()
				s.expireLeasesLocked(now)
				s.mu.Unlock()
			case <-stop:
				return
			}
		}
	}()
	return done
}

// ServeHTTP handles one API call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault, era := s.fault, s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	if fault.Delay > 0 {
		time.Sleep(fault.Delay)
	}
	if fault.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	call := strings.TrimPrefix(r.URL.Path, "/hickorylug/")
	name, id, _ := strings.Cut(call, "/")
	number, _ := strconv.ParseInt(id, 10, 64)
	switch name {
	case "kv-range":
		s.readRange(w, r)
	case "kv-watch":
		s.watch(w, r)
	case "kv-txn":
		s.transact(w, r, fault)
	case "kv-lease":
		s.grantLease(w, r)
	case "kv-keep":
		s.renewLease(w, number)
	case "kv-lease-end":
		s.mu.Lock()
		s.revokeLeaseLocked(number)
		s.mu.Unlock()
	default:
		http.NotFound(w, r)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// page is a response with items or events; CurrentRev is the store's revision.
type page struct {
	Items      []Item `json:"items,omitempty"`
	Events     []Item `json:"events,omitempty"`
	HasMore    bool
	CurrentRev int64
}

// maxPageItems and maxPageBytes limit the items of a page; one item is always sent.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

func (s *Store) readRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("PathPrefix"), r.URL.Query().Get("after")
	p, size := page{CurrentRev: s.revision}, 0
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		i := s.items[key]
		if size += len(key) + len(i.Value); len(p.Items) == maxPageItems || len(p.Items) > 0 && size > maxPageBytes {
			p.HasMore = true
			break
		}
		p.Items = append(p.Items, i)
	}
	writeJSON(w, p)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		if after > revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		// The first event has revision 2, so a later one at the front means that older events were dropped.
		compacted := len(s.events) > 0 && s.events[0].Revision > after+1 && s.events[0].Revision > 2
		var events []Item
		for _, e := range s.events {
			if e.Revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, page{Events: events, CurrentRev: revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, page{CurrentRev: revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request, fault Fault) {
	var t struct {
		Expected []struct {
			Key      string
			Revision int64
		}
		Puts   []Item
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Expected {
		if s.items[c.Key].Revision != c.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range t.Puts {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.removeLocked(key)
	}
	s.wake()
	if s.random() < fault.LostWrites {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]any{"Revision": s.revision})
}

// leaseBody is a lease in the wire format; the TTL is in seconds.
type leaseBody struct {
	Lease   int64   `json:",omitempty"`
	Seconds float64 `json:"TtlS_time"`
}

func (s *Store) grantLease(w http.ResponseWriter, r *http.Request) {
	var b leaseBody
	if json.NewDecoder(r.Body).Decode(&b) != nil || b.Seconds < 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(b.Seconds * float64(time.Second))
	s.leases[s.nextID] = &lease{ttl: ttl, expiry: time.Now().Add(ttl)}
	writeJSON(w, leaseBody{Lease: s.nextID, Seconds: b.Seconds})
}

func (s *Store) renewLease(w http.ResponseWriter, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[n]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiry = time.Now().Add(l.ttl)
	writeJSON(w, leaseBody{Seconds: l.ttl.Seconds()})
}
