// Package task runs goroutines that their owner waits for before it ends.
//
// # Usage
//
//	tasks := task.NewSet()
//	tasks.Go(ctx, func(ctx context.Context) { probe(ctx, server) })
//	tasks.Wait()
package task

import (
	"context"
	"runtime/debug"
	"sync"
)

// Set is a set of goroutines. It is safe for concurrent use.
type Set struct {
	mu      sync.Mutex
	running int
	onPanic func(value any, stack []byte)
	// idle is closed, and replaced, whenever the number of running goroutines falls to 0.
	idle chan struct{}
}

// Option sets an option of a Set.
type Option func(*Set)

// WithOnPanic sets the function that is called with the value and the stack of a panic, which then ends only its goroutine. Without it a
// panic ends the process.
func WithOnPanic(f func(value any, stack []byte)) Option { return func(s *Set) { s.onPanic = f } }

// NewSet returns an empty Set.
func NewSet(opts ...Option) *Set {
	s := &Set{idle: make(chan struct{})}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Go runs f in a goroutine. f must return soon after the context is done.
func (s *Set) Go(ctx context.Context, f func(context.Context)) {
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	go func() {
		defer s.done()
		if s.onPanic != nil {
			defer func() {
				if value := recover(); value != nil {
					s.onPanic(value, debug.Stack())
				}
			}()
		}
		f(ctx)
	}()
}

func (s *Set) done() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.running == 0 {
		close(s.idle)
		s.idle = make(chan struct{})
	}
}

// Wait waits until no goroutine of the set is running.
func (s *Set) Wait() {
	for {
		s.mu.Lock()
		running, idle := s.running, s.idle
		s.mu.Unlock()
		if running == 0 {
			return
		}
		<-idle
	}
}
