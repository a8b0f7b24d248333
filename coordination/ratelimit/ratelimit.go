// Package ratelimit keeps the request limits that backend servers in need name in their answers.
//
// A limit applies to the requests of all VMs together, until the backend server
// answers without one. A VM learns of it by an answer or from another VM, so
// observations may arrive in any order: the latest one holds.
//
// # Usage
//
//	var l ratelimit.Limit
//	if l.Observe(ratelimit.Observation{Rate: 11.8, At: now}) {
//		// The limit began, changed or ended.
//	}
//	rate := l.Rate(now)
package ratelimit

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
)

// Rate is a number of requests per second.
type Rate float64

// observationTTL is how long an observation holds without a later one. Requests that no VM sends show no end of a limit.
const observationTTL = 10 * time.Second

// Observation is what an answer of a backend server said about its limit.
type Observation struct {
	// Rate is the limit, or 0 for an answer without one.
	Rate Rate
	At   clock.Instant
}

// Limit is the limit of one incarnation of a backend server, as one VM knows it. The zero value is no limit.
type Limit struct {
	latest Observation
}

// Observe records an observation, unless a later one is known. It reports whether the limit in force changed.
func (l *Limit) Observe(now clock.Instant, o Observation) (changed bool) {
	if o.At < l.latest.At {
		return false
	}
	before := l.Rate(now)
	l.latest = o
	return l.Rate(now) != before
}

// Rate returns the limit in force, or 0 if there is none.
func (l *Limit) Rate(now clock.Instant) Rate {
	if now.Sub(l.latest.At) > observationTTL {
		return 0
	}
	return l.latest.Rate
}

// Latest returns the latest observation.
func (l *Limit) Latest() Observation { return l.latest }
