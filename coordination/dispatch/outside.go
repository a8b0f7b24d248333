package dispatch

import (
	"math"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
)

const (
	// outsideWeight is the weight of a new report in the average load of the backend servers outside the group.
	outsideWeight = 0.2
	// outsideTimeConstant is the time constant with which the average fades, so that a VM that stopped sending there tries again.
	outsideTimeConstant = 3 * time.Second
)

// outsideLoad is the average load, per slot, of the backend servers of a service about which this VM isn't informed.
//
// It answers the load of a fleet in which all groups have too few backend
// servers at the same time. Each VM would then take the backend servers of the
// other groups for free, and requests would queue there until they fail.
type outsideLoad struct {
	average   float64
	updatedAt clock.Instant
}

// record adds a load report.
func (o *outsideLoad) record(now clock.Instant, r Report) {
	if !r.Known || r.Slots <= 0 {
		return
	}
	o.average = o.value(now) + outsideWeight*(float64(r.Running+r.Waiting)/float64(r.Slots)-o.value(now))
	o.updatedAt = now
}

// value returns the average load per slot; it fades without reports.
func (o *outsideLoad) value(now clock.Instant) float64 {
	return o.average * math.Exp(-float64(now.Sub(o.updatedAt))/float64(outsideTimeConstant))
}
