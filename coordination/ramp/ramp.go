// Package ramp paces the load of a backend server that has just started.
//
// The limit begins at what a cold backend server bears and rises by one after
// a number of answers that were no slower than the limit before. An overload,
// a new process or a sudden slowness takes it down again.
//
// # Usage
//
//	r := ramp.NewLimiter(1, 4)
//	if running < r.Limit() {
//		// Send.
//	}
//	r.Answered(latency)
package ramp

import "time"

// Constants of the ramp.
const (
	// answersPerStep is the number of good answers, for each slot in use, before the next slot.
	answersPerStep = 10
	// slowFactor is the ratio to the usual latency from which a backend server counts as cold again.
	slowFactor = 6
	// slowAnswers is the number of slow answers in a row that take the limit down.
	slowAnswers = 3
	// smoothing is the weight of a new latency in the average.
	smoothing = 0.1
	// maxUsual bounds the usual latency that is concluded from cancelled requests.
	maxUsual = time.Second
	// minUsual is the shortest usual latency that slowness is measured against.
	minUsual = 2 * time.Millisecond
)

// Limiter is the limit of one backend server; it is not safe for concurrent use.
type Limiter struct {
	cold, slots int
	limit       int
	good        int
	slow        int
	usual       time.Duration
}

// NewLimiter returns the ramp of a cold backend server.
func NewLimiter(cold, slots int) *Limiter {
	return &Limiter{cold: cold, slots: slots, limit: min(cold, slots)}
}

// Limit returns the number of requests that may run at once.
func (r *Limiter) Limit() int { return r.limit }

// SmoothedLatency returns the usual latency, or 0 while it isn't known.
func (r *Limiter) SmoothedLatency() time.Duration { return r.usual }

// RaiseLimit sets the limit to what another VM has seen the same process bear.
func (r *Limiter) RaiseLimit(limit int) {
	r.limit = max(r.limit, min(limit, r.slots))
}

// SetBounds takes over changed bounds.
func (r *Limiter) SetBounds(cold, slots int) {
	r.cold, r.slots = cold, slots
	r.limit = min(r.limit, slots)
}

// Reset sets the limit back to what a cold backend server bears.
func (r *Limiter) Reset() {
	r.limit = min(r.cold, r.slots)
	r.good, r.slow = 0, 0
}

// RecordOverload halves the limit after the backend server has shed a request.
func (r *Limiter) RecordOverload() {
	r.limit = max(min(r.cold, r.slots), r.limit/2)
	r.good = 0
}

// RecordCancelled counts a request that was cancelled after a time because another server answered first.
//
// How long it would have taken stays unknown, so the usual latency is raised
// step by step; the next answers bring it back to what it is.
func (r *Limiter) RecordCancelled(waited time.Duration) {
	r.usual = min(max(r.usual, waited)*3/2, maxUsual)
}

// RecordAnswer counts an answer and its latency.
func (r *Limiter) RecordAnswer(latency time.Duration) {
	if r.usual > 0 && latency > slowFactor*max(r.usual, minUsual) {
		if r.slow++; r.slow < slowAnswers {
			return
		}
		r.RecordOverload()
	}
	r.slow = 0
	if r.usual == 0 {
		r.usual = latency
	}
	r.usual += time.Duration(smoothing * float64(latency-r.usual))
	if r.good++; r.good >= answersPerStep*r.limit && r.limit < r.slots {
		r.limit++
		r.good = 0
	}
}
