// Package queue provides a bounded queue with fair queueing between flows.
//
// A flow is a class of entries that must not starve others, such as the
// requests of a route or of a key. Flows are served round-robin. When the
// queue is full, the newest entry of the longest flow is evicted, so that a
// flow that floods the queue delays and loses only its own entries.
//
// # Usage
//
//	q := queue.NewFair[*waiter](16)
//	evicted, full, ok := q.Push("renew", w)
//	next, ok := q.Pop()
package queue

import "slices"

// flow is a FIFO queue of the entries of one flow.
type flow[T comparable] struct {
	name    string
	entries []T
}

// Fair is a bounded queue that serves its flows round-robin; it is not safe for concurrent use.
type Fair[T comparable] struct {
	limit int
	size  int
	// ring holds the flows that have entries, in the order in which they are served.
	ring []*flow[T]
}

// NewFair returns a queue of at most limit entries.
func NewFair[T comparable](limit int) *Fair[T] {
	return &Fair[T]{limit: limit}
}

// Len returns the number of entries.
func (q *Fair[T]) Len() int { return q.size }

// SetLimit changes the maximum number of entries; excess entries stay queued until they are served.
func (q *Fair[T]) SetLimit(limit int) { q.limit = limit }

// Push appends an entry to the flow of a name.
//
// Where the queue is full, full is true and either the newest entry of the
// longest flow is evicted and returned, or the new entry is rejected and
// returned with ok false.
func (q *Fair[T]) Push(name string, entry T) (evicted T, full, ok bool) {
	if q.size >= q.limit {
		longest := q.longestFlow()
		if longest == nil || len(longest.entries) <= q.flowLen(name)+1 {
			return entry, true, false
		}
		last := len(longest.entries) - 1
		evicted, full = longest.entries[last], true
		q.Remove(evicted)
	}
	f := q.flowNamed(name)
	if f == nil {
		f = &flow[T]{name: name}
		q.ring = append(q.ring, f)
	}
	f.entries = append(f.entries, entry)
	q.size++
	return evicted, full, true
}

// Pop removes and returns the oldest entry of the next flow; ok is false where the queue is empty.
func (q *Fair[T]) Pop() (entry T, ok bool) {
	if q.size == 0 {
		return entry, false
	}
	f := q.ring[0]
	q.ring = q.ring[1:]
	entry = f.entries[0]
	f.entries = f.entries[1:]
	if len(f.entries) > 0 {
		q.ring = append(q.ring, f)
	}
	q.size--
	return entry, true
}

// Remove removes an entry from its flow and reports whether it was queued.
func (q *Fair[T]) Remove(entry T) bool {
	for i, f := range q.ring {
		at := slices.Index(f.entries, entry)
		if at < 0 {
			continue
		}
		f.entries = slices.Delete(f.entries, at, at+1)
		if len(f.entries) == 0 {
			q.ring = slices.Delete(q.ring, i, i+1)
		}
		q.size--
		return true
	}
	return false
}

func (q *Fair[T]) flowNamed(name string) *flow[T] {
	for _, f := range q.ring {
		if f.name == name {
			return f
		}
	}
	return nil
}

func (q *Fair[T]) flowLen(name string) int {
	if f := q.flowNamed(name); f != nil {
		return len(f.entries)
	}
	return 0
}

func (q *Fair[T]) longestFlow() (out *flow[T]) {
	for _, f := range q.ring {
		if out == nil || len(f.entries) > len(out.entries) {
			out = f
		}
	}
	return out
}
