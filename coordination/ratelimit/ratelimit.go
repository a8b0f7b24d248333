// Package ratelimit divides the request limits that backend servers in need name in their answers between the VMs.
//
// A limit applies to the requests of all VMs together, until the backend server
// answers without one. A VM learns of it by an answer or from another VM, so
// observations may arrive in any order: the latest one holds. A few VMs, chosen
// by a hash that all VMs compute, share the limit, each with a token bucket of
// one request; the others send nothing. The sum therefore holds without any
// message between them, and VMs that start, stop or hear of the limit late change
// it by their own share only.
//
// # Usage
//
//	var l ratelimit.Limit
//	l.Observe(now, ratelimit.Observation{Rate: 11.8, At: now})
//	senders := ratelimit.Senders(server, vms, ratelimit.MaxSenders(l.Rate(now)))
//	bucket := ratelimit.NewBucket(now)
//	bucket.SetRate(now, l.Rate(now)/ratelimit.Rate(len(senders)))
//	if bucket.Wait(now, 1) == 0 {
//		bucket.Take(now) // and send
//	}
package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// Rate is a number of requests per second.
type Rate float64

// maxRate is the highest limit that makes sense; a higher one, or no number at all, is a malformed message.
const maxRate = 1e9

// IsValid reports whether a rate is a number that a limit may have, or 0.
func (r Rate) IsValid() bool { return r >= 0 && r <= maxRate }

const (
	// observationTTL is how long an observation holds without a later one. Requests that no VM sends show no end of a limit.
	observationTTL = 10 * time.Second
	// refreshPeriod is the time after which the other VMs hear of an unchanged limit again.
	refreshPeriod = 2500 * time.Millisecond
	// significantChange is the relative change of a limit that the other VMs hear of at once.
	significantChange = 0.2
)

// Observation is what an answer of a backend server said about its limit.
type Observation struct {
	// Rate is the limit, or 0 for an answer without one.
	Rate Rate
	At   clock.Instant
}

// Limit is the limit of one incarnation of a backend server, as one VM knows it. The zero value is no limit.
type Limit struct {
	latest Observation
	// own is the latest observation by this VM, and shared the latest one that the other VMs know, too.
	own, shared Observation
}

// Observe records an observation by this VM. It reports whether the limit in force changed significantly.
func (l *Limit) Observe(now clock.Instant, o Observation) (changed bool) {
	l.own = o
	return l.record(now, o)
}

// ObserveShared records an observation by another VM, which all VMs hear of.
func (l *Limit) ObserveShared(now clock.Instant, o Observation) (changed bool) {
	if o.At > l.shared.At {
		l.shared = o
	}
	return l.record(now, o)
}

func (l *Limit) record(now clock.Instant, o Observation) (changed bool) {
	if o.At < l.latest.At {
		return false
	}
	before := l.Rate(now)
	l.latest = o
	return differs(l.Rate(now), before)
}

// differs reports whether a limit began, ended or changed significantly.
func differs(a, b Rate) bool {
	return (a == 0) != (b == 0) || math.Abs(float64(a-b)) > significantChange*float64(max(a, b))
}

// Rate returns the limit in force, or 0 if there is none.
func (l *Limit) Rate(now clock.Instant) Rate {
	if l.latest.Rate == 0 || now.Sub(l.latest.At) > observationTTL {
		return 0
	}
	return l.latest.Rate
}

// Latest returns the latest observation.
func (l *Limit) Latest() Observation { return l.latest }

// TakeNews returns this VM's latest observation if the other VMs should hear of it. It counts as known to them from then on.
func (l *Limit) TakeNews() (o Observation, ok bool) {
	if l.own.At <= l.shared.At || !differs(l.own.Rate, l.shared.Rate) && (l.own.Rate == 0 || l.own.At.Sub(l.shared.At) < refreshPeriod) {
		return o, false
	}
	l.shared = l.own
	return l.own, true
}

// MaxSenders returns the number of VMs that may share a limit. Each of them may send one request more than its share at any moment.
func MaxSenders(rate Rate) int {
	const least = 3
	return least + int(rate)
}

// Senders returns at most n of the VMs, in an order that all VMs agree on and that differs by backend server.
//
// A VM that is added or removed replaces at most one of them.
func Senders(server id.Server, vms []id.VM, n int) []id.VM {
	score := func(vm id.VM) uint64 { return xxhash.Sum64String(string(server) + "\x00" + string(vm)) }
	senders := slices.Clone(vms)
	slices.SortFunc(senders, func(a, b id.VM) int { return cmp.Compare(score(a), score(b)) })
	return senders[:max(min(1, len(senders)), min(len(senders), n))]
}
