// Package pick chooses a backend server for a request that any server of a group may answer.
//
// The router uses LeastUtilized. The other policies are baselines that the
// benchmarks compare it with.
//
// # Usage
//
//	p := pick.LeastUtilized()
//	i := p(candidates)
package pick

import (
	"math/rand/v2"
	"time"
)

// Candidate is a backend server with a free slot.
type Candidate struct {
	// Running is the number of requests in flight.
	Running int
	// Limit is the number of requests that may be in flight.
	Limit int
	// ReportedLoad is the load that the backend server reported in its latest answer.
	ReportedLoad int
	// Latency is the smoothed latency, or 0 while it isn't known.
	Latency time.Duration
}

// Policy returns the index of the chosen candidate; candidates must not be empty.
type Policy func(candidates []Candidate) int

// LeastUtilized chooses the candidate with the lowest utilization of its slots, and avoids much slower candidates.
//
// Ties are broken round-robin, so that idle backend servers share the requests.
// One choice in explorePeriod ignores latencies: the latency of a slow server
// is measured only by its answers, so it has to get requests to be preferred
// again.
func LeastUtilized() Policy {
	turn := 0
	return func(candidates []Candidate) int {
		turn++
		ignoreLatency := turn%explorePeriod == 0
		best := turn % len(candidates)
		for i := range candidates {
			at := (turn + i) % len(candidates)
			if isBetter(candidates[at], candidates[best], ignoreLatency) {
				best = at
			}
		}
		return best
	}
}

const (
	// slowLatencyRatio is the ratio of latencies above which the faster candidate is preferred.
	slowLatencyRatio = 3
	// explorePeriod is the number of choices of which one ignores latencies.
	explorePeriod = 32
)

func isBetter(a, b Candidate, ignoreLatency bool) bool {
	slowA, slowB := isMuchSlower(a, b), isMuchSlower(b, a)
	if slowA != slowB && !ignoreLatency {
		return slowB
	}
	return a.Running*b.Limit < b.Running*a.Limit
}

func isMuchSlower(a, b Candidate) bool {
	return b.Latency > 0 && a.Latency > slowLatencyRatio*b.Latency
}

// Random chooses uniformly at random.
func Random(rng *rand.Rand) Policy {
	return func(candidates []Candidate) int { return rng.IntN(len(candidates)) }
}

// RoundRobin chooses the candidates in turn, whatever their load.
func RoundRobin() Policy {
	turn := 0
	return func(candidates []Candidate) int {
		turn++
		return turn % len(candidates)
	}
}

// TwoChoices draws two candidates at random and chooses the one with the lower reported load.
func TwoChoices(rng *rand.Rand) Policy {
	return func(candidates []Candidate) int {
		a, b := rng.IntN(len(candidates)), rng.IntN(len(candidates))
		if candidates[b].ReportedLoad < candidates[a].ReportedLoad {
			return b
		}
		return a
	}
}
