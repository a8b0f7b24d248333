// Package idempotency deduplicates requests, so that a retry gets the answer of the original attempt.
//
// The deduplication state of a group is kept by the group's lease holder and is
// bounded in size and age. It lacks requests that were sent under another VM's
// lease and entries that have been evicted. Whether a request may be one of those
// is decided by the time of creation in its identity (UUIDv7): a request with an
// older identity is not run, and its outcome is unknown.
//
// # Usage
//
//	d := idempotency.NewDeduplicator(completeSince)
//	entry, first, err := d.Begin(now, id, movedAt)
//	if first {
//		d.Finish(entry, answer)
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

// ID identifies a request that must run at most once.
type ID struct {
	Service  id.Service
	Identity string
}

// Answer is the stored answer to a request, or the error of its original attempt.
type Answer struct {
	Response exchange.Response
	Body     []byte
	// Err is set if the original attempt got no answer.
	Err *outcome.Error
}

// Size returns the memory use of the answer, in bytes.
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

// entryOverhead is the memory use of an entry without its answer, in bytes.
const entryOverhead = 256

// Entry is the deduplication state of one request.
type Entry struct {
	id        ID
	startedAt time.Time
	done      chan struct{}
	answer    Answer
}

// Done returns a channel that is closed once the original attempt has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Answer returns the answer to the original attempt. It may be called only after Done is closed.
func (e *Entry) Answer() Answer { return e.answer }

// Deduplicator holds the deduplication state of one group; it is safe for concurrent use.
type Deduplicator struct {
	options Options
	mu      sync.Mutex
	entries map[ID]*list.Element
	// order holds the entries, the oldest first.
	order *list.List
	// bytes is the memory use of all entries.
	bytes int
	// completeSince is the earliest time of creation from which all identities that were run have an entry.
	completeSince time.Time
}

// NewDeduplicator returns the deduplication state of a group, which has all requests since the given time.
func NewDeduplicator(since time.Time, opts ...Option) *Deduplicator {
	d := &Deduplicator{
		options:       newOptions(opts),
		entries:       map[ID]*list.Element{},
		order:         list.New(),
		completeSince: since,
	}
	for _, entry := range d.options.Entries {
		d.importEntry(entry)
	}
	d.options.Entries = nil
	return d
}

// FinishedEntry is an entry whose original attempt has ended, for transfer to another VM or group.
type FinishedEntry struct {
	ID        ID
	StartedAt time.Time
	Answer    Answer
}

// Export returns the entries whose original attempts have ended, the oldest first.
func (d *Deduplicator) Export() (out []FinishedEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for element := d.order.Front(); element != nil; element = element.Next() {
		if e := element.Value.(*Entry); e.isFinished() {
			out = append(out, FinishedEntry{ID: e.id, StartedAt: e.startedAt, Answer: e.answer})
		}
	}
	return out
}

// CompleteSince returns the earliest time of creation from which all identities that were run have an entry.
func (d *Deduplicator) CompleteSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.completeSince
}

// Begin returns the entry of a request, and whether this is the original attempt.
//
// The argument movedAt is the time at which the request's slice moved here from
// another group, whose deduplication state is not here; it is zero if the slice
// has not moved. The error is an unknown outcome if an earlier attempt is
// possible whose entry is missing.
func (d *Deduplicator) Begin(now time.Time, i ID, movedAt time.Time) (e *Entry, first bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	if found, ok := d.entries[i]; ok {
		return found.Value.(*Entry), false, nil
	}
	if err := d.checkAge(now, i, movedAt); err != nil {
		return nil, false, err
	}
	e = &Entry{id: i, startedAt: now, done: make(chan struct{})}
	d.entries[i] = d.order.PushBack(e)
	d.bytes += entryOverhead
	return e, true, nil
}

// Lookup returns the finished entry of a request for another group.
//
// Known is false if the attempt is in flight or if an earlier attempt is possible
// whose entry is missing. The argument movedAt is as in Begin.
func (d *Deduplicator) Lookup(now time.Time, i ID, movedAt time.Time) (entry FinishedEntry, found, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if element, ok := d.entries[i]; ok {
		e := element.Value.(*Entry)
		return FinishedEntry{ID: e.id, StartedAt: e.startedAt, Answer: e.answer}, e.isFinished(), e.isFinished()
	}
	return FinishedEntry{}, false, d.checkAge(now, i, movedAt) == nil
}

// Import adds a finished entry of another group if the request has none here.
func (d *Deduplicator) Import(entry FinishedEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.entries[entry.ID]; !ok {
		d.importEntry(entry)
	}
}

func (d *Deduplicator) importEntry(entry FinishedEntry) {
	e := &Entry{id: entry.ID, startedAt: entry.StartedAt, done: make(chan struct{}), answer: entry.Answer}
	close(e.done)
	d.entries[e.id] = d.order.PushBack(e)
	d.bytes += entryOverhead + e.answer.Size()
}

// checkAge returns an error if an earlier attempt of the request is possible whose entry is missing.
//
// An identity that carries no time of creation is accepted once Retention has
// passed since the state became complete.
func (d *Deduplicator) checkAge(now time.Time, i ID, movedAt time.Time) error {
	if d.options.Claimed[table.HashKey(i.Identity)] {
		return outcome.Unknown(outcome.DuplicateRejected, "a first sending of this request was at a VM that was lost")
	}
	since := later(d.completeSince, movedAt)
	if since.IsZero() {
		return nil
	}
	created, ok := CreatedAt(i.Identity)
	if !ok {
		if now.Sub(since) >= d.options.Retention {
			return nil
		}
		return outcome.Unknown(outcome.DuplicateRejected,
			"a first sending of this Idempotency-Key may have been forgotten at %s; keys that are UUIDv7 are told apart by their age",
			since.UTC().Format(time.RFC3339)).WithRetryAfter(d.options.Retention - now.Sub(since))
	}
	if created.Before(since.Add(d.options.MaxClockSkew)) {
		return outcome.Unknown(outcome.DuplicateRejected,
			"this Idempotency-Key was made at %s, and earlier sendings are known only from %s on",
			created.UTC().Format(time.RFC3339Nano), since.UTC().Format(time.RFC3339Nano))
	}
	return nil
}

// Finish records the answer to an original attempt.
func (d *Deduplicator) Finish(e *Entry, a Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e.answer = a
	d.bytes += a.Size()
	close(e.done)
	d.evict()
}

// Abandon removes an original attempt that was not run, so that a retry may run. Duplicates that wait for the attempt get
// the given answer.
func (d *Deduplicator) Abandon(e *Entry, a Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e.answer = a
	close(e.done)
	if found, ok := d.entries[e.id]; ok && found.Value == e {
		d.order.Remove(found)
		delete(d.entries, e.id)
		d.bytes -= entryOverhead
	}
}

// expire removes the entries that are older than Retention, up to the first one whose attempt is in flight.
func (d *Deduplicator) expire(now time.Time) {
	for front := d.order.Front(); front != nil; front = d.order.Front() {
		e := front.Value.(*Entry)
		if now.Sub(e.startedAt) < d.options.Retention || !e.isFinished() {
			return
		}
		d.remove(front)
	}
}

// evict removes the oldest entries while the memory use is above MaxBytes, up to the first one whose attempt is in flight.
func (d *Deduplicator) evict() {
	for front := d.order.Front(); front != nil && d.bytes > d.options.MaxBytes; front = d.order.Front() {
		if !front.Value.(*Entry).isFinished() {
			return
		}
		d.remove(front)
	}
}

// remove removes an entry and raises completeSince to the time of its request.
func (d *Deduplicator) remove(element *list.Element) {
	e := element.Value.(*Entry)
	d.order.Remove(element)
	delete(d.entries, e.id)
	d.bytes -= entryOverhead + e.answer.Size()
	if created, ok := CreatedAt(e.id.Identity); ok && created.After(d.completeSince) {
		e.startedAt = later(e.startedAt, created)
	}
	d.completeSince = later(d.completeSince, e.startedAt)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (e *Entry) isFinished() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// CreatedAt returns the time of creation in a UUIDv7; ok is false for any other identity.
func CreatedAt(identity string) (t time.Time, ok bool) {
	u, err := uuid.Parse(identity)
	if err != nil || u.Version() != 7 {
		return t, false
	}
	ms := int64(u[0])<<40 | int64(u[1])<<32 | int64(u[2])<<24 | int64(u[3])<<16 | int64(u[4])<<8 | int64(u[5])
	return time.UnixMilli(ms), true
}
