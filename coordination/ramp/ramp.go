// Package ramp limits the concurrency of a backend server during its warm-up.
//
// The limit starts at the number of slots of a cold backend server and rises by
// one after a number of answers that are not slow. It falls again after an
// overload, a restart, or several consecutive slow answers.
//
// # Usage
//
//	l := ramp.NewLimiter(1, 4)
//	if running < l.Limit() {
//		// Send.
//	}
//	l.RecordAnswer(latency)
package ramp

import "time"

// Constants that control how fast the limit rises and falls.
const (
	// goodAnswersPerSlot, multiplied by the current limit, is the number of answers that are not slow after which the limit
	// rises by one.
	goodAnswersPerSlot = 10
	// slowFactor is the ratio to the smoothed latency above which an answer counts as slow.
	slowFactor = 6
	// slowAnswersPerCut is the number of consecutive slow answers after which the limit is halved.
	slowAnswersPerCut = 3
	// latencyEWMAWeight is the weight of a new sample in the EWMA of the latency.
	latencyEWMAWeight = 0.1
	// maxSmoothedLatency bounds the smoothed latency as estimated from cancelled requests.
	maxSmoothedLatency = time.Second
	// minBaselineLatency is the lowest latency that slowFactor is applied to.
	minBaselineLatency = 2 * time.Millisecond
)

// Limiter holds the concurrency limit of one backend server; it is not safe for concurrent use.
type Limiter struct {
	cold, slots     int
	limit           int
	goodAnswers     int
	slowAnswers     int
	smoothedLatency time.Duration
}

// NewLimiter returns the limiter of a cold backend server.
//
// The limit starts at cold and rises up to slots.
func NewLimiter(cold, slots int) *Limiter {
	return &Limiter{cold: cold, slots: slots, limit: min(cold, slots)}
}

// Limit returns the number of requests that may be in flight at the same time.
func (l *Limiter) Limit() int { return l.limit }

// SmoothedLatency returns the EWMA of the latency, or 0 while there are no samples.
func (l *Limiter) SmoothedLatency() time.Duration { return l.smoothedLatency }

// RaiseLimit raises the limit to the one that another VM reached for the same incarnation.
func (l *Limiter) RaiseLimit(limit int) {
	l.limit = max(l.limit, min(limit, l.slots))
}

// SetBounds applies changed bounds and lowers the limit where it exceeds them.
func (l *Limiter) SetBounds(cold, slots int) {
	l.cold, l.slots = cold, slots
	l.limit = min(l.limit, slots)
}

// Reset sets the limit back to that of a cold backend server.
func (l *Limiter) Reset() {
	l.limit = min(l.cold, l.slots)
	l.goodAnswers, l.slowAnswers = 0, 0
}

// RecordOverload halves the limit, but not below that of a cold backend server.
//
// It is called when the backend server sheds a request, and after consecutive
// slow answers.
func (l *Limiter) RecordOverload() {
	l.limit = max(min(l.cold, l.slots), l.limit/2)
	l.goodAnswers = 0
}

// RecordCancelled records a request that was cancelled because a hedge at another server was answered first.
//
// Its latency is only known to exceed the time waited, so the smoothed latency
// is set to 1.5 times the larger of the two, up to maxSmoothedLatency. Later
// answers correct the estimate.
func (l *Limiter) RecordCancelled(waited time.Duration) {
	l.smoothedLatency = min(max(l.smoothedLatency, waited)*3/2, maxSmoothedLatency)
}

// RecordAnswer records an answer and its latency.
func (l *Limiter) RecordAnswer(latency time.Duration) {
	if l.smoothedLatency > 0 && latency > slowFactor*max(l.smoothedLatency, minBaselineLatency) {
		if l.slowAnswers++; l.slowAnswers < slowAnswersPerCut {
			return
		}
		l.RecordOverload()
	}
	l.slowAnswers = 0
	if l.smoothedLatency == 0 {
		l.smoothedLatency = latency
	}
	l.smoothedLatency += time.Duration(latencyEWMAWeight * float64(latency-l.smoothedLatency))
	if l.goodAnswers++; l.goodAnswers >= goodAnswersPerSlot*l.limit && l.limit < l.slots {
		l.limit++
		l.goodAnswers = 0
	}
}
