package planner

import (
	"slices"
	"time"
)

// Bounds of latency weights.
const (
	// slowLatencyRatio is the ratio to the median latency up to which an owner has the full weight.
	slowLatencyRatio = 2
	minWeight        = 0.05
)

// SetLatencyWeights sets the weights of the owners, so that those much slower than the median get less load.
//
// latencies holds the smoothed latency of each owner, or 0 if it isn't known.
// An increase that affects all owners alike changes no weight.
func SetLatencyWeights(owners []Owner, latencies []time.Duration) {
	known := slices.DeleteFunc(slices.Sorted(slices.Values(latencies)), func(d time.Duration) bool { return d == 0 })
	if len(known) == 0 {
		return
	}
	median := known[len(known)/2]
	for i := range owners {
		owners[i].Weight = 1
		if latencies[i] > slowLatencyRatio*median {
			owners[i].Weight = max(minWeight, float64(median)/float64(latencies[i]))
		}
	}
}
