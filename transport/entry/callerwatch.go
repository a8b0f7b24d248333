package entry

import (
	"context"
	"sync/atomic"

	"github.com/hickorylug/hickorylug/state/clock"
)

// callerWatch records when a request's caller left. It is safe for concurrent use.
type callerWatch struct{ leftAt atomic.Int64 }

// watchCaller watches the caller of the request with the given context, until stop is called.
func watchCaller(ctx context.Context, c clock.Clock) (w *callerWatch, stop func() bool) {
	w = &callerWatch{}
	return w, context.AfterFunc(ctx, func() { w.leftAt.Store(int64(c.Boot())) })
}

// left returns when the caller left, or 0 while it waits.
func (w *callerWatch) left() clock.Instant { return clock.Instant(w.leftAt.Load()) }
