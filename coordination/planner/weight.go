package planner

import (
	"slices"
	"time"
)

// Bounds of the weights of slow owners.
const (
	// slowRatio is the ratio to the median latency up to which an owner counts as normal.
	slowRatio = 2
	minWeight = 0.05
)

// SetLatencyWeights gives owners that are much slower than most a weight by which they get less work.
//
// Latencies holds the usual time to an answer of each owner, or 0 where it
// isn't known. A slowness that all share weighs on nobody.
func SetLatencyWeights(owners []Owner, latencies []time.Duration) {
	known := slices.DeleteFunc(slices.Sorted(slices.Values(latencies)), func(d time.Duration) bool { return d == 0 })
	if len(known) == 0 {
		return
	}
	median := known[len(known)/2]
	for i := range owners {
		owners[i].Weight = 1
		if latencies[i] > slowRatio*median {
			owners[i].Weight = max(minWeight, float64(median)/float64(latencies[i]))
		}
	}
}
