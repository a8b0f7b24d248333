// Package queue holds what waits, with a fair turn for every flow.
//
// A flow is whatever must not crowd out others: a route, or a caller's key.
// Flows are served in turn. When the queue is full, the newest entry of the
// longest flow gives way, so that a flow that floods it harms only itself.
//
// # Usage
//
//	q := queue.NewFair[*ticket](16)
//	evicted, ok := q.Push("renew", t)
//	next, ok := q.Pop()
package queue

import "slices"

type flow[T comparable] struct {
	name    string
	entries []T
}

// Fair is a bounded queue that serves its flows in turn; it is not safe for concurrent use.
type Fair[T comparable] struct {
	limit int
	size  int
	// ring holds the flows that have entries, the next one to be served first.
	ring []*flow[T]
}

// NewFair returns a queue of at most limit entries.
func NewFair[T comparable](limit int) *Fair[T] {
	return &Fair[T]{limit: limit}
}

// Len returns the number of entries.
func (q *Fair[T]) Len() int { return q.size }

// SetLimit changes the bound; entries beyond it stay until they are served.
func (q *Fair[T]) SetLimit(limit int) { q.limit = limit }

// Push appends an entry to its flow.
//
// Where the queue is full, either another flow's newest entry is evicted and
// returned, or the new entry is refused and returned with false.
func (q *Fair[T]) Push(name string, entry T) (evicted T, full, ok bool) {
	if q.size >= q.limit {
		longest := q.longest()
		if longest == nil || len(longest.entries) <= q.lenOf(name)+1 {
			return entry, true, false
		}
		last := len(longest.entries) - 1
		evicted, full = longest.entries[last], true
		q.Remove(evicted)
	}
	f := q.find(name)
	if f == nil {
		f = &flow[T]{name: name}
		q.ring = append(q.ring, f)
	}
	f.entries = append(f.entries, entry)
	q.size++
	return evicted, full, true
}

// Pop takes the oldest entry of the flow whose turn it is.
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

// Remove takes an entry out, wherever it waits.
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

func (q *Fair[T]) find(name string) *flow[T] {
	for _, f := range q.ring {
		if f.name == name {
			return f
		}
	}
	return nil
}

func (q *Fair[T]) lenOf(name string) int {
	if f := q.find(name); f != nil {
		return len(f.entries)
	}
	return 0
}

func (q *Fair[T]) longest() (out *flow[T]) {
	for _, f := range q.ring {
		if out == nil || len(f.entries) > len(out.entries) {
			out = f
		}
	}
	return out
}
