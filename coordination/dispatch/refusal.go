package dispatch

import (
	"fmt"
	"time"

	"github.com/hickorylug/hickorylug/coordination/ratelimit"
	"github.com/hickorylug/hickorylug/state/clock"
)

// Reason is why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// Overloaded means that no backend server has capacity before the request would be too late.
	Overloaded Reason = "overloaded"
	// NoServer means that the service has no usable backend server.
	NoServer Reason = "no server"
	// NoOwner means that no backend server owns the key at the moment.
	NoOwner Reason = "no owner"
	// VersionExcluded means that the owner of the key runs a version of its software that must not run the request.
	VersionExcluded Reason = "version excluded"
	// RanEarlier means that the owner of the key may have run the request under an earlier grant. Another one may have owned the key since, and
	// the backend server may take both runs for one.
	RanEarlier Reason = "ran under an earlier grant"
	// Stopping means that this VM stops and the request may no longer wait.
	Stopping Reason = "stopping"
	// CallerGone means that the caller disconnected or timed out while the request was queued.
	CallerGone Reason = "caller gone"
)

// Refusal is the error for a request that was not sent to any backend server.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time until capacity is expected, or 0.
	RetryAfter time.Duration
	// Waiting and ServiceTime are the inputs of the decision: the queue length, and the average service time.
	Waiting     int
	ServiceTime time.Duration
	// PausedFor is the time until the first of the backend servers that want no requests accepts them again; 0 means that this isn't the reason.
	PausedFor time.Duration
	// Final says that waiting in the queue can't help.
	Final bool
}

// Error returns the reason with the inputs of the decision.
func (r *Refusal) Error() string {
	if r.PausedFor > 0 {
		return fmt.Sprintf("%s: no backend server wants requests for another %s", r.Reason, r.PausedFor)
	}
	return fmt.Sprintf("%s: %d requests wait, one takes %s", r.Reason, r.Waiting, r.ServiceTime)
}

// err returns the refusal as an error; a nil refusal becomes a nil error.
func (r *Refusal) err() error {
	if r == nil {
		return nil
	}
	return r
}

const (
	// minRetryAfter is the lower bound of RetryAfter, which keeps refused callers from retrying before the load can have changed.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the upper bound of RetryAfter.
	maxRetryAfter = 2 * time.Second
	// waitSafetyFactor multiplies the estimated wait, since other VMs compete for the same capacity.
	waitSafetyFactor = 1.35
	// minThroughput is the lower bound of a VM's assumed throughput, in requests per second.
	minThroughput = 2.0
)

// refuse returns the refusal of a request that can't be served in time.
func (d *Dispatcher) refuse(now clock.Instant, s *service, demand Demand) *Refusal {
	r := &Refusal{Reason: Overloaded, Waiting: len(s.waiting), ServiceTime: s.serviceTime}
	wait := time.Duration(float64(len(s.waiting)+1) / max(s.throughput.value(now), minThroughput) * float64(time.Second))
	r.RetryAfter = min(max(wait, minRetryAfter), maxRetryAfter)
	owner := d.owner(s.name, demand.Key)
	switch {
	case demand.Keyed && owner == nil:
		r.Reason, r.RetryAfter = NoOwner, noOwnerRetryAfter
	case demand.Keyed && d.isOwnerAvailable(now, owner):
		// The owner has capacity again when the requests beyond its slots are done.
		r.RetryAfter = min(max(owner.expectedLatency(now, s.serviceTime)-owner.averageServiceTime(s.serviceTime), minRetryAfter), maxRetryAfter)
		if wait := d.ownerLimitWait(now, s, owner, nil); wait == ratelimit.Never {
			r.RetryAfter = limitedRetryAfter
		} else {
			r.RetryAfter = min(max(r.RetryAfter, wait), maxRetryAfter)
		}
	case !d.hasUsableServer(s.name):
		r.Reason = NoServer
	}
	return r
}

// waitLimit returns until when a request may be queued, or a refusal if the queue is too long for it.
//
// The wait in the queue is limited to the objective: a longer queue would make
// every request late without increasing the throughput.
func (d *Dispatcher) waitLimit(now clock.Instant, s *service, w *waiter) (until clock.Instant, refusal *Refusal) {
	demand := w.demand
	last := demand.Deadline.Add(-s.serviceTime)
	if last <= now {
		return 0, d.refuse(now, s, demand)
	}
	inTime := demand.Objective.Add(-s.serviceTime)
	if demand.isLate(now) {
		// Its objective is missed in any case, so it may be queued for a part of the time to its deadline.
		inTime = now.Add(time.Duration(lateWaitShare * float64(last.Sub(now))))
	}
	if demand.Keyed {
		return d.keyedWaitLimit(now, s, w, last, inTime)
	}
	ahead := 0
	for _, other := range s.waiting {
		if !w.precedes(now, other) {
			ahead++
		}
	}
	if !demand.isLate(now) {
		// In a lasting queue each request waits as long as it may, so the limit is reduced.
		left := float64(demand.Objective.Sub(now))
		if ahead > 0 && s.overload.observeLate(now) {
			inTime = min(inTime, now.Add(time.Duration(d.waitShare(now, s, demand, overloadWaitShare)*left)))
		}
		if s.saturation.isLasting(now) {
			return min(last, inTime, now.Add(time.Duration(d.waitShare(now, s, demand, saturatedWaitShare)*left))), nil
		}
	}
	wait := time.Duration(float64(ahead) / max(s.throughput.value(now), minThroughput) * float64(time.Second))
	if ahead > 0 && now.Add(time.Duration(float64(wait)*waitSafetyFactor)) > inTime {
		return 0, d.refuse(now, s, demand)
	}
	return max(min(last, inTime), min(last, now.Add(s.serviceTime/2))), nil
}

// overloadWaitShare is the part of the time to its objective for which a request may be queued during a lasting overload.
const overloadWaitShare = 0.25

// saturatedWaitShare is the same while most arrivals find no free slot: a queue can't be worked off then.
const saturatedWaitShare = 0.125

// lateWaitShare is the part of the time to its deadline for which a request past its objective may be queued.
const lateWaitShare = 0.25

// isLate reports whether the objective of a request has passed, so that other requests are served first.
func (d Demand) isLate(now clock.Instant) bool { return d.Objective <= now }

// Limits for requests whose key has no owner, or one that gets no requests at the moment.
const (
	// handoverWait is how long a request is queued while its key has no owner. A handover of the key lasts until the requests in flight
	// for it have ended.
	handoverWait = 600 * time.Millisecond
	// unavailableOwnerWait is how long a request is queued while the owner of its key gets no requests, such as after failed attempts.
	unavailableOwnerWait = 200 * time.Millisecond
	// noOwnerRetryAfter is the RetryAfter of requests whose key has no owner.
	noOwnerRetryAfter = 500 * time.Millisecond
)

// keyedWaitLimit returns until when a request with a key may be queued for the key's owner, or a refusal.
func (d *Dispatcher) keyedWaitLimit(now clock.Instant, s *service, w *waiter, last, inTime clock.Instant) (until clock.Instant, refusal *Refusal) {
	owner := d.owner(s.name, w.demand.Key)
	switch {
	case owner == nil:
		return min(last, now.Add(handoverWait)), nil
	case d.pauses.left(now, owner.Incarnation) > 0:
		// The pause ends well within the objective; otherwise the request was refused.
		return min(last, inTime), nil
	case !d.isOwnerAvailable(now, owner):
		return min(last, now.Add(unavailableOwnerWait)), nil
	case inTime <= now || d.ownerLimitWait(now, s, owner, w) > inTime.Sub(now):
		return 0, d.refuse(now, s, w.demand)
	default:
		return min(last, inTime), nil
	}
}
