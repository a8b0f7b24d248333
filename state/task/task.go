// Package task runs goroutines that all end before their owner does.
//
// # Usage
//
//	tasks := task.NewSet()
//	tasks.Go(ctx, func(ctx context.Context) { probe(ctx, server) })
//	tasks.Wait()
package task

import (
	"context"
	"sync"
)

// Set is the goroutines of one owner; it is safe for concurrent use.
type Set struct {
	mu      sync.Mutex
	running int
	ends    chan struct{}
}

// NewSet returns a set without goroutines.
func NewSet() *Set {
	return &Set{ends: make(chan struct{})}
}

// Go starts f, which has to end soon after the context does.
func (s *Set) Go(ctx context.Context, f func(context.Context)) {
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	go func() {
		defer s.end()
		f(ctx)
	}()
}

func (s *Set) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.running == 0 {
		close(s.ends)
		s.ends = make(chan struct{})
	}
}

// Wait returns when no goroutine of the set is running.
func (s *Set) Wait() {
	for {
		s.mu.Lock()
		running, ends := s.running, s.ends
		s.mu.Unlock()
		if running == 0 {
			return
		}
		<-ends
	}
}
