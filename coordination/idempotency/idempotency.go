// Package idempotency lets a resent request meet its first sending.
//
// The memory is kept by the lease holder of a group, bounded in entries' bytes
// and time. What the memory can't have seen, because another VM held the lease
// or because the entry was dropped, is told from the identity's own time of
// creation (UUIDv7): older identities are answered as unknown and not run.
//
// # Usage
//
//	m := idempotency.NewDeduplicator(clock.Now())
//	entry, first, err := m.Begin(now, key)
//	if first {
//		entry.Finish(answer)
//	}
package idempotency

import (
	"container/list"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// ID names a request that must run at most once.
type ID struct {
	Service  id.Service
	Identity string
}

// Answer is a kept answer, or the failure in its place.
type Answer struct {
	Response exchange.Response
	Body     []byte
	// Err is set where the first sending has no answer.
	Err *outcome.Error
}

// Size returns the memory that the answer takes, in bytes.
func (a Answer) Size() int {
	n := len(a.Body) + entryOverhead
	for name, values := range a.Response.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// entryOverhead is the memory of an entry beside its answer, in bytes.
const entryOverhead = 256

// Entry is one request's place in the memory.
type Entry struct {
	id     ID
	begun  time.Time
	done   chan struct{}
	answer Answer
}

// Done returns a channel that is closed when the first sending is over.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Answer returns the answer of the first sending; Done must be closed.
func (e *Entry) Answer() Answer { return e.answer }

// Deduplicator is the memory of one group; it is safe for concurrent use.
type Deduplicator struct {
	options Options
	mu      sync.Mutex
	entries map[ID]*list.Element
	// order has the oldest entry in front.
	order *list.List
	bytes int
	// since is the time of creation from which every identity would be known.
	since time.Time
}

// NewDeduplicator returns a memory that is complete from a time on.
func NewDeduplicator(since time.Time, opts ...Option) *Deduplicator {
	m := &Deduplicator{
		options: newOptions(opts),
		entries: map[ID]*list.Element{},
		order:   list.New(),
		since:   since,
	}
	for _, kept := range m.options.Entries {
		m.adopt(kept)
	}
	m.options.Entries = nil
	return m
}

// FinishedEntry is a finished entry, for the next holder of the lease.
type FinishedEntry struct {
	ID        ID
	StartedAt time.Time
	Answer    Answer
}

// Export returns all finished entries, the oldest first.
func (m *Deduplicator) Export() (out []FinishedEntry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for element := m.order.Front(); element != nil; element = element.Next() {
		if e := element.Value.(*Entry); e.finished() {
			out = append(out, FinishedEntry{ID: e.id, StartedAt: e.begun, Answer: e.answer})
		}
	}
	return out
}

// CompleteSince returns the time from which the memory is complete.
func (m *Deduplicator) CompleteSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.since
}

// Begin returns the entry of a request and whether it is the first sending.
//
// Floor is the time at which the request's slice came from another group,
// whose memory is not here. The error is a refusal where a first sending may
// have been forgotten.
func (m *Deduplicator) Begin(now time.Time, i ID, floor time.Time) (e *Entry, first bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	if found, ok := m.entries[i]; ok {
		return found.Value.(*Entry), false, nil
	}
	if err := m.checkAge(now, i, floor); err != nil {
		return nil, false, err
	}
	e = &Entry{id: i, begun: now, done: make(chan struct{})}
	m.entries[i] = m.order.PushBack(e)
	m.bytes += entryOverhead
	return e, true, nil
}

// Lookup returns a finished entry for another group; known is false where the memory can't tell.
func (m *Deduplicator) Lookup(now time.Time, i ID, floor time.Time) (kept FinishedEntry, found, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if element, ok := m.entries[i]; ok {
		e := element.Value.(*Entry)
		return FinishedEntry{ID: e.id, StartedAt: e.begun, Answer: e.answer}, e.finished(), e.finished()
	}
	return FinishedEntry{}, false, m.checkAge(now, i, floor) == nil
}

// Import takes over an entry of another group's memory.
func (m *Deduplicator) Import(kept FinishedEntry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.entries[kept.ID]; !ok {
		m.adopt(kept)
	}
}

func (m *Deduplicator) adopt(kept FinishedEntry) {
	e := &Entry{id: kept.ID, begun: kept.StartedAt, done: make(chan struct{}), answer: kept.Answer}
	close(e.done)
	m.entries[e.id] = m.order.PushBack(e)
	m.bytes += entryOverhead + e.answer.Size()
}

// checkAge refuses an identity whose first sending could have been forgotten.
func (m *Deduplicator) checkAge(now time.Time, i ID, floor time.Time) error {
	if m.options.Claimed[table.HashKey(i.Identity)] {
		return outcome.Unknown(outcome.DuplicateRejected, "a first sending of this request was at a VM that was lost")
	}
	since := later(m.since, floor)
	if since.IsZero() {
		return nil
	}
	created, ok := CreatedAt(i.Identity)
	if !ok {
		if now.Sub(since) >= m.options.Retention {
			return nil
		}
		return outcome.Unknown(outcome.DuplicateRejected,
			"a first sending of this Idempotency-Key may have been forgotten at %s; keys that are UUIDv7 are told apart by their age",
			since.UTC().Format(time.RFC3339)).WithRetryAfter(m.options.Retention - now.Sub(since))
	}
	if created.Before(since.Add(m.options.MaxClockSkew)) {
		return outcome.Unknown(outcome.DuplicateRejected,
			"this Idempotency-Key was made at %s, and earlier sendings are known only from %s on",
			created.UTC().Format(time.RFC3339Nano), since.UTC().Format(time.RFC3339Nano))
	}
	return nil
}

// Finish records the answer of a first sending.
func (m *Deduplicator) Finish(e *Entry, a Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e.answer = a
	m.bytes += a.Size()
	close(e.done)
	m.shrink()
}

// Abandon removes a first sending that was not run, so that a resend may run.
func (m *Deduplicator) Abandon(e *Entry, a Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e.answer = a
	close(e.done)
	if found, ok := m.entries[e.id]; ok && found.Value == e {
		m.order.Remove(found)
		delete(m.entries, e.id)
		m.bytes -= entryOverhead
	}
}

// expire drops what is older than the time that the memory promises.
func (m *Deduplicator) expire(now time.Time) {
	for front := m.order.Front(); front != nil; front = m.order.Front() {
		e := front.Value.(*Entry)
		if now.Sub(e.begun) < m.options.Retention || !e.finished() {
			return
		}
		m.drop(front)
	}
}

// shrink drops the oldest answers while the memory is over its bound.
func (m *Deduplicator) shrink() {
	for front := m.order.Front(); front != nil && m.bytes > m.options.MaxBytes; front = m.order.Front() {
		if !front.Value.(*Entry).finished() {
			return
		}
		m.drop(front)
	}
}

func (m *Deduplicator) drop(element *list.Element) {
	e := element.Value.(*Entry)
	m.order.Remove(element)
	delete(m.entries, e.id)
	m.bytes -= entryOverhead + e.answer.Size()
	if created, ok := CreatedAt(e.id.Identity); ok && created.After(m.since) {
		e.begun = later(e.begun, created)
	}
	m.since = later(m.since, e.begun)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (e *Entry) finished() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// CreatedAt returns the time of creation that a UUIDv7 carries.
func CreatedAt(identity string) (t time.Time, ok bool) {
	u, err := uuid.Parse(identity)
	if err != nil || u.Version() != 7 {
		return t, false
	}
	ms := int64(u[0])<<40 | int64(u[1])<<32 | int64(u[2])<<24 | int64(u[3])<<16 | int64(u[4])<<8 | int64(u[5])
	return time.UnixMilli(ms), true
}
