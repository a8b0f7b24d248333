package task_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/task"
)

// An unexpected error in one task must not end the process, and must not keep its owner waiting.
func TestPanicEndsOneTask(t *testing.T) {
	is := is.New(t)
	panics := make(chan any, 1)
	s := task.NewSet(task.WithOnPanic(func(value any, stack []byte) {
		is.True(len(stack) > 0)
		panics <- value
	}))
	s.Go(context.Background(), func(context.Context) { panic("unexpected") })
	s.Wait()
	is.Equal(<-panics, "unexpected")
	ran := false
	s.Go(context.Background(), func(context.Context) { ran = true })
	s.Wait()
	is.True(ran)
}
