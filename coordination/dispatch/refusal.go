package dispatch

import (
	"fmt"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
)

// Reason is why a request got no backend server.
type Reason string

// The reasons of refusals.
const (
	// Overloaded means that no backend server has room in time.
	Overloaded Reason = "overloaded"
	// NoServer means that the service has no backend server in service.
	NoServer Reason = "no server"
	// NoOwner means that nobody owns the key at the moment.
	NoOwner Reason = "no owner"
	// CallerGone means that the caller left while the request waited.
	CallerGone Reason = "caller gone"
)

// Refusal is the answer to a request that was not sent.
type Refusal struct {
	Reason Reason
	// RetryAfter is when room is expected, or 0.
	RetryAfter time.Duration
	// Waiting and Work are what the decision was made from: requests in the queue and the usual time of one.
	Waiting     int
	ServiceTime time.Duration
	// Final says that waiting doesn't help.
	Final bool
}

// Error returns the reason with its inputs.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %d requests wait, one takes %s", r.Reason, r.Waiting, r.ServiceTime)
}

// err returns nil for a nil refusal, as an error.
func (r *Refusal) err() error {
	if r == nil {
		return nil
	}
	return r
}

const (
	// minRetryAfter keeps refused callers from coming back before anything has changed.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the longest time that callers are sent away for.
	maxRetryAfter = 2 * time.Second
	// waitMargin is what the estimated wait is multiplied by, since other VMs compete for the same room.
	waitMargin = 1.35
	// minRate is the rate in requests per second that a VM is assumed to get through at least.
	minRate = 2.0
)

// refuse returns the refusal of a demand that can't be served in time.
func (d *Dispatcher) refuse(now clock.Instant, s *service, demand Demand) *Refusal {
	r := &Refusal{Reason: Overloaded, Waiting: len(s.waiting), ServiceTime: s.work}
	wait := time.Duration(float64(len(s.waiting)+1) / max(s.rate.value(now), minRate) * float64(time.Second))
	r.RetryAfter = min(max(wait, minRetryAfter), maxRetryAfter)
	owner := d.owner(s.name, demand.Key)
	switch {
	case demand.Keyed && owner == nil:
		r.Reason, r.RetryAfter = NoOwner, lossRetry
	case demand.Keyed && d.open(now, owner):
		// The owner has room again when those beyond its slots are done.
		r.RetryAfter = min(max(owner.expected(now, s.work)-owner.usual(s.work), minRetryAfter), maxRetryAfter)
	case !d.anyUsable(s.name):
		r.Reason = NoServer
	}
	return r
}

// patience returns until when a demand may wait, or a refusal where waiting is in vain.
//
// The queue is kept as short as the objective: a longer one would make every
// request late without serving more of them.
func (d *Dispatcher) patience(now clock.Instant, s *service, demand Demand) (until clock.Instant, refusal *Refusal) {
	last := demand.Deadline.Add(-s.work)
	if last <= now {
		return 0, d.refuse(now, s, demand)
	}
	inTime := demand.Objective.Add(-s.work)
	if demand.late(now) {
		// It is late in any case, so it waits for a part of its time until there is room.
		inTime = now.Add(time.Duration(lateShare * float64(last.Sub(now))))
	}
	if demand.Keyed {
		return d.keyedPatience(now, s, demand, last, inTime)
	}
	ahead := 0
	for _, w := range s.waiting {
		if !goesBefore(now, demand, w.demand) {
			ahead++
		}
	}
	if ahead > 0 && !demand.late(now) && s.pressure.lasts(now) {
		// Each request waits as long as it may in a queue that lasts, so the wait is kept short.
		inTime = min(inTime, now.Add(time.Duration(lastingShare*float64(demand.Objective.Sub(now)))))
	}
	wait := time.Duration(float64(ahead) / max(s.rate.value(now), minRate) * float64(time.Second))
	if ahead > 0 && now.Add(time.Duration(float64(wait)*waitMargin)) > inTime {
		return 0, d.refuse(now, s, demand)
	}
	return max(min(last, inTime), min(last, now.Add(s.work/2))), nil
}

// lastingShare is the part of the time to its objective that a request may wait in a queue that lasts.
const lastingShare = 0.25

// lateShare is the part of its time that a request waits whose objective has passed.
const lateShare = 0.25

// late reports whether the objective of a demand has passed, so that others go first.
func (d Demand) late(now clock.Instant) bool { return d.Objective <= now }

// Waits of requests whose key has no usable owner.
const (
	// moveWait is how long a request waits for keys that are between two owners: until the work on them has ended.
	moveWait = 600 * time.Millisecond
	// lossWait is how long it waits for an owner that is out of reach.
	lossWait = 200 * time.Millisecond
	// lossRetry is when callers may come back whose owner is out of reach.
	lossRetry = 500 * time.Millisecond
)

// keyedPatience returns until when a request with a key may wait for the key's owner.
func (d *Dispatcher) keyedPatience(now clock.Instant, s *service, demand Demand, last, inTime clock.Instant) (until clock.Instant, refusal *Refusal) {
	owner := d.owner(s.name, demand.Key)
	switch {
	case owner == nil:
		return min(last, now.Add(moveWait)), nil
	case !d.open(now, owner):
		return min(last, now.Add(lossWait)), nil
	case inTime <= now:
		return 0, d.refuse(now, s, demand)
	default:
		return min(last, inTime), nil
	}
}
