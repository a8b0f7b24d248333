package dispatch

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
)

const (
	// burstTolerance is how long requests may be expected to miss the objective before they are refused for it.
	//
	// A burst or a short disturbance of a machine ends within this time, and a
	// late answer is better than none. A lasting queue would make every answer late.
	burstTolerance = 500 * time.Millisecond
	// lateGap is the time without a late request after which the queue counts as drained.
	lateGap = 300 * time.Millisecond
)

// overloadDetector distinguishes a lasting overload from a burst.
type overloadDetector struct {
	since, last clock.Instant
}

// observeLate records a request that would be late and reports whether requests have been late for longer than burstTolerance.
func (o *overloadDetector) observeLate(now clock.Instant) bool {
	if now.Sub(o.last) > lateGap {
		o.since = now
	}
	o.last = now
	return now.Sub(o.since) > burstTolerance
}
