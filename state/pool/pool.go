// Package pool reuses values that are expensive to create.
//
// # Usage
//
//	buffers := pool.NewPool(func() *[]byte { b := make([]byte, 32<<10); return &b })
//	b := buffers.Get()
//	defer buffers.Put(b)
package pool

import "sync"

// Pool is a typed sync.Pool. It is safe for concurrent use.
type Pool[T any] struct{ pool sync.Pool }

// NewPool returns a pool that calls create if it has no value to reuse.
func NewPool[T any](create func() T) *Pool[T] {
	return &Pool[T]{pool: sync.Pool{New: func() any { return create() }}}
}

// Get returns a value for exclusive use by the caller.
func (p *Pool[T]) Get() T {
	return p.pool.Get().(T)
}

// Put returns a value to the pool; the caller must not use it afterwards.
func (p *Pool[T]) Put(v T) { p.pool.Put(v) }
