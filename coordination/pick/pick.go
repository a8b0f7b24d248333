// Package pick chooses the backend server of a request that any one of a group may answer.
//
// Least is what the router uses. The other policies are the baselines that the
// benchmarks hold it against.
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

// Candidate is a backend server that may take another request.
type Candidate struct {
	// Running is the number of requests in flight.
	Running int
	// Limit is the number of requests that may be in flight.
	Limit int
	// ReportedLoad is the load that the backend server itself reported last.
	ReportedLoad int
	// Latency is the smoothed latency, or 0 where it isn't known.
	Latency time.Duration
}

// Policy returns the index of the chosen candidate; there is at least one.
type Policy func(candidates []Candidate) int

// LeastUtilized chooses the smallest share of slots in use, and avoids those that are much slower than others.
//
// Ties are broken in turn, so that idle backend servers share the work. Now
// and then a slow one is tried all the same, since its latency is known from
// its answers only.
func LeastUtilized() Policy {
	turn := 0
	return func(candidates []Candidate) int {
		turn++
		forgive := turn%forgivePeriod == 0
		best := turn % len(candidates)
		for i := range candidates {
			at := (turn + i) % len(candidates)
			if less(candidates[at], candidates[best], forgive) {
				best = at
			}
		}
		return best
	}
}

const (
	// slownessThatCounts is the ratio of latencies from which the faster candidate is preferred.
	slownessThatCounts = 3
	// forgivePeriod is the number of choices of which one doesn't look at latencies.
	forgivePeriod = 32
)

func less(a, b Candidate, forgive bool) bool {
	slowA, slowB := slower(a, b), slower(b, a)
	if slowA != slowB && !forgive {
		return slowB
	}
	return a.Running*b.Limit < b.Running*a.Limit
}

func slower(a, b Candidate) bool {
	return b.Latency > 0 && a.Latency > slownessThatCounts*b.Latency
}

// Random chooses without looking.
func Random(rng *rand.Rand) Policy {
	return func(candidates []Candidate) int { return rng.IntN(len(candidates)) }
}

// RoundRobin chooses in turn.
func RoundRobin() Policy {
	turn := 0
	return func(candidates []Candidate) int {
		turn++
		return turn % len(candidates)
	}
}

// TwoChoices chooses the better of two by the load that the backend servers reported.
func TwoChoices(rng *rand.Rand) Policy {
	return func(candidates []Candidate) int {
		a, b := rng.IntN(len(candidates)), rng.IntN(len(candidates))
		if candidates[b].ReportedLoad < candidates[a].ReportedLoad {
			return b
		}
		return a
	}
}
