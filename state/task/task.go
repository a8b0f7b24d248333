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
	"sync"
)

// Set is a set of goroutines. It is safe for concurrent use.
type Set struct {
	mu      sync.Mutex
	running int
	// idle is closed, and replaced, whenever the number of running goroutines falls to 0.
	idle chan struct{}
}

// NewSet returns an empty Set.
func NewSet() *Set {
	return &Set{idle: make(chan struct{})}
}

// Go runs f in a goroutine. f must return soon after the context is done.
func (s *Set) Go(ctx context.Context, f func(context.Context)) {
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	go func() {
		defer s.done()
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
