package dispatch

import (
	"math"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
)

// meterTimeConstant is the time constant of a meter's average.
const meterTimeConstant = time.Second

// meter measures a rate of events as an exponentially weighted moving average.
type meter struct {
	// rate is the number of events per second at updatedAt.
	rate      float64
	updatedAt clock.Instant
}

func (m *meter) add(now clock.Instant) {
	m.rate = m.value(now) + float64(time.Second)/float64(meterTimeConstant)
	m.updatedAt = now
}

// value returns the number of events per second.
func (m *meter) value(now clock.Instant) float64 {
	return m.rate * math.Exp(-float64(now.Sub(m.updatedAt))/float64(meterTimeConstant))
}
