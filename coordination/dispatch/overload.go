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

const (
	// saturationWeight is the weight of one arrival in the saturation of a service.
	saturationWeight = 0.1
	// saturatedShare is the saturation from which a service counts as overloaded.
	saturatedShare = 0.7
)

// saturation is the average share of arrivals that find no free slot.
//
// It recognizes a lasting overload also where each of many VMs has a few
// requests per second, so that the queue of one VM is nearly always empty.
type saturation struct {
	share float64
	// since is when the share last rose to saturatedShare.
	since clock.Instant
}

// observe adds an arrival; found says that it got a slot at once.
func (s *saturation) observe(now clock.Instant, found bool) {
	before := s.share
	s.share -= saturationWeight * s.share
	if !found {
		s.share += saturationWeight
	}
	if before < saturatedShare && s.share >= saturatedShare {
		s.since = now
	}
}

// isLasting reports whether most arrivals have found no free slot for longer than a burst lasts.
func (s *saturation) isLasting(now clock.Instant) bool {
	return s.share >= saturatedShare && now.Sub(s.since) > burstTolerance
}

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
