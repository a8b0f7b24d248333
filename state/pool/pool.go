// Package pool keeps values that are costly to make for their next use.
//
// # Usage
//
//	buffers := pool.NewPool(func() *[]byte { b := make([]byte, 32<<10); return &b })
//	b := buffers.Get()
//	defer buffers.Put(b)
package pool

import "sync"

// Pool is a set of values of one type; it is safe for concurrent use.
type Pool[T any] struct{ pool sync.Pool }

// NewPool returns a pool whose values are made by create where none is kept.
func NewPool[T any](create func() T) *Pool[T] {
	return &Pool[T]{pool: sync.Pool{New: func() any { return create() }}}
}

// Get returns a value for the caller's use alone.
func (p *Pool[T]) Get() T {
	return p.pool.Get().(T)
}

// Put gives a value back.
func (p *Pool[T]) Put(v T) { p.pool.Put(v) }
