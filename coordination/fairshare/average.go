package fairshare

import (
	"math"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
)

// average is a number of events that decays exponentially.
type average struct {
	constant time.Duration
	// count is the decayed number of events at the time at.
	count float64
	at    clock.Instant
}

// value returns the decayed number of events.
func (a *average) value(now clock.Instant) float64 {
	return a.count * math.Exp(-float64(now.Sub(a.at))/float64(a.constant))
}

// add counts one event.
func (a *average) add(now clock.Instant) {
	a.count, a.at = a.value(now)+1, now
}

// subtract removes a decayed number of events.
func (a *average) subtract(now clock.Instant, count float64) {
	a.count, a.at = max(0, a.value(now)-count), now
}

// window returns the time in seconds by which the value has to be divided for a rate, given the time since which events are counted.
func (a *average) window(now, began clock.Instant) float64 {
	elapsed := max(now.Sub(began), time.Second)
	return a.constant.Seconds() * (1 - math.Exp(-float64(elapsed)/float64(a.constant)))
}

// rate returns the events per second, given the time since which they are counted.
func (a *average) rate(now, began clock.Instant) float64 {
	return a.value(now) / a.window(now, began)
}

// logValue returns the logarithm of the value at time zero, whose order among averages of the same constant doesn't change with time.
func (a *average) logValue() float64 {
	return math.Log(a.count) + float64(a.at)/float64(a.constant)
}

// demandHeap is a heap of customers by demand.
type demandHeap []*customer

// Len returns the number of customers.
func (h demandHeap) Len() int { return len(h) }

// Less orders customers by demand.
func (h demandHeap) Less(i, j int) bool { return h[i].demand.logValue() < h[j].demand.logValue() }

// Swap exchanges two customers.
func (h demandHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a customer at the end.
func (h *demandHeap) Push(x any) {
	c := x.(*customer)
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop removes the last customer.
func (h *demandHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return c
}
