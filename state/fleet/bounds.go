package fleet

import (
	"cmp"
	"math"
	"time"
)

// Bounds of the figures of a configuration. One beyond them is moved to the bound, so that sums, products and conversions to durations
// don't overflow, and the other fields are used.
const (
	// maxTime is far above the time for which any caller waits.
	maxTime = 24 * time.Hour
	// maxRate, in requests per second, is more than all VMs of the largest fleet can send, and minRate is one request in eleven days.
	maxRate = 1e9
	minRate = 1e-6
	// maxCount bounds numbers of attempts, connections and the like, and maxSize sizes in bytes.
	maxCount = math.MaxInt32
	maxSize  = 1 << 40
)

// boundary moves figures into their bounds and records the fields that were outside.
type boundary struct {
	configuration *Configuration
	// place is that of the fields in the operators' document.
	place func() string
}

func bound[T cmp.Ordered](b boundary, field string, value *T, least, most T) {
	before := *value
	*value = min(max(before, least), most)
	if *value != before && len(b.configuration.Unused) < maxSkippedProblems {
		b.configuration.Unused.Add(b.place()+field, "%v is not from %v to %v", before, least, most)
	}
}

// boundLimits moves the limits into their bounds.
func (c *Configuration) boundLimits() {
	b := boundary{c, func() string { return "Limits." }}
	bound(b, "MaxHeaderBytes", &c.Limits.MaxHeader, 0, maxSize)
	bound(b, "MaxBodyBytes", &c.Limits.MaxBody, 0, maxSize)
	bound(b, "HeaderTimeoutS", &c.Limits.HeaderTimeout, 0, maxTime)
	bound(b, "IdleTimeoutS", &c.Limits.IdleTimeout, 0, maxTime)
}

// boundService moves the figures of a service into their bounds.
func (c *Configuration) boundService(s *Service) {
	b := boundary{c, func() string { return "Clusters." + string(s.Name) + "." }}
	bound(b, "MaxConnections", &s.MaxConnections, 0, maxCount)
	bound(b, "WarmupS", &s.WarmupTime, 0, maxTime)
	bound(b, "WarmupPerS", &s.WarmupRate, 0, maxRate)
}

// boundRoute moves the figures of a route into their bounds.
func (c *Configuration) boundRoute(r *Route) {
	b := boundary{c, func() string { return "Listeners." + r.Host + ".Rules." + string(r.Name) + "." }}
	bound(b, "Action.TimeoutS", &r.Timeout, 0, maxTime)
	bound(b, "TargetLatencyS", &r.Objective, 0, maxTime)
	bound(b, "Action.MaxAttempts", &r.MaxAttempts, 0, maxCount)
	bound(b, "Priority", &r.Priority, -maxCount, maxCount)
	for i := range r.Targets {
		bound(b, "Action.TrafficSplit.Weight", &r.Targets[i].Weight, 0, maxCount)
	}
}

// bounded returns the allotment with figures within their bounds; Check reports negative ones.
func (a Allotment) bounded() Allotment {
	if a.Rate > 0 {
		a.Rate = min(max(a.Rate, minRate), maxRate)
	}
	a.Burst = min(a.Burst, maxRate)
	return a
}
