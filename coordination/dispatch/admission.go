package dispatch

import (
	"time"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// admissionTTL is how long the leader's limits are used without a newer message of the leader.
	admissionTTL = time.Second
	// throttledRetryAfter is the RetryAfter of requests that exceed a limit. The keys may have moved to an owner with free slots by then.
	throttledRetryAfter = 500 * time.Millisecond
)

// admissions holds the limits of the requests for keys of overloaded owners, as the leader computes them for all VMs.
type admissions struct {
	limits     map[id.Service][]ownership.Admission
	receivedAt clock.Instant
}

// SetAdmissions replaces the limits of the requests for keys.
func (d *Dispatcher) SetAdmissions(limits map[id.Service][]ownership.Admission) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admissions = admissions{limits: limits, receivedAt: d.options.Clock.Boot()}
}

// admits reports whether a request for a key is within the limit of its key; it draws the admitted requests at random.
func (d *Dispatcher) admits(now clock.Instant, demand Demand) bool {
	limits := d.admissions.limits[demand.Service]
	if len(limits) == 0 || now.Sub(d.admissions.receivedAt) > admissionTTL {
		return true
	}
	fence := d.fenceOf(demand)
	for _, l := range limits {
		if l.From <= demand.Key && demand.Key <= l.To && l.Fence == fence {
			return d.options.Random() < l.Share
		}
	}
	return true
}

// fenceOf returns the fence of the range of a request's key, or 0 if it has none.
func (d *Dispatcher) fenceOf(demand Demand) fleet.Fence {
	t := d.snapshot.Tables[demand.Service]
	if t == nil {
		return 0
	}
	r, ok := t.Find(demand.Key)
	if !ok {
		return 0
	}
	return r.Fence
}

// Admissions returns the limits in force, for the metrics.
func (d *Dispatcher) Admissions() map[id.Service][]ownership.Admission {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.options.Clock.Boot().Sub(d.admissions.receivedAt) > admissionTTL {
		return nil
	}
	return d.admissions.limits
}
