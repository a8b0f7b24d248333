package dispatch

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/hickorylug/hickorylug/coordination/ratelimit"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
)

const (
	// initialServiceTime is the assumed service time before any request was answered.
	initialServiceTime = 100 * time.Millisecond
	// ewmaWeight is the weight of a new sample in the moving averages of latency, failures and slowdown.
	ewmaWeight = 0.15
	// reportTTL is how long a backend server's load report is used.
	reportTTL = 400 * time.Millisecond
	// slowdownTTL is how long a reported slowdown counts as current; it changes several times per second.
	slowdownTTL = 200 * time.Millisecond
	// initialPause, doubled with each consecutive failure up to maxPause, is how long this VM sends nothing to a backend server that failed.
	initialPause = 250 * time.Millisecond
	maxPause     = 2 * time.Second
	// failuresToPause is the number of consecutive failures after which a backend server is paused.
	failuresToPause = 3
	// errorRateWeight is the weight of an answer in the error rate; three failures in a row exceed ejectionErrorRate.
	errorRateWeight = 0.3
	// sharedEjectionDivisor limits the ejections that a VM reports to others: it reports those of a service only while it ejects at most
	// one in so many of the service's backend servers, or a single one. A VM that ejects more may itself be at fault.
	sharedEjectionDivisor = 5
	// ejectionErrorRate is the error rate from which a backend server is ejected.
	ejectionErrorRate = 0.6
	// initialEjection and maxEjection limit the time for which all VMs send nothing to an ejected backend server.
	initialEjection = time.Second
	maxEjection     = 5 * time.Second
	// shedPause is how long this VM sends nothing to a backend server that rejected a request as overloaded.
	shedPause = 60 * time.Millisecond
	// normalSlowdown is the slowdown of a machine without noisy neighbours, in percent.
	normalSlowdown = 100
	// currentSlowdownWeight is the weight of the current slowdown against its average, since the slowdown changes while a request runs.
	currentSlowdownWeight = 0.5
)

// server is this VM's view of one backend server.
type server struct {
	fleet.Server
	inFlight int
	// peersInFlight is the number of requests that other VMs have in flight there.
	peersInFlight int
	// serviceTime is the average latency of a request, without queueing; 0 means unknown.
	serviceTime time.Duration
	// peerServiceTime is the service time that other VMs report; it is used until this VM has measured its own.
	peerServiceTime time.Duration
	// coldUntil is when the warm-up ends.
	coldUntil clock.Instant
	// presumedAt is when it was last presumed cold, and presumedUntil when that ends; returnedUntil is when it would have ended at the latest.
	presumedAt, presumedUntil, returnedUntil clock.Instant
	// warmupLimiter limits the requests during the warm-up; it is nil until the first of them may be sent.
	warmupLimiter *rate.Limiter
	// warmupKnownAt is when this VM heard of the warm-up, and sentBeforeWarmup the number of requests that it sent within the second before.
	warmupKnownAt    time.Time
	sentBeforeWarmup int
	// hasWarmupNews says that it has told this VM whether it is cold, and that the other VMs haven't heard of that yet.
	hasWarmupNews bool
	// sends are the latest requests that this VM has sent there.
	sends recentSends

	// reported is the number of requests in the latest load report, to this VM or to another one.
	reported   int
	reportedAt clock.Instant
	// ownReported is the number of requests in the latest load report to this VM.
	ownReported   int
	ownReportedAt clock.Instant
	// sinceReport is the number of requests that this VM has sent since the latest report.
	sinceReport int
	// slowdown is the service time on its machine at the last report, in percent of the usual one, and averageSlowdown its average; 0
	// means unknown.
	slowdown        float64
	averageSlowdown float64

	overload overloadDetector

	// consecutiveFailures counts the attempts without an answer since the last answer without a failure, and failureRate is the average
	// share of attempts that were rejected as overloaded or, once sent, got no answer.
	consecutiveFailures int
	failureRate         float64
	pausedUntil         clock.Instant
	// errorRate is the average share of server errors and broken connections, and ejections counts the ejections since that
	// share was last low.
	errorRate float64
	ejections int
	// ejectedUntil is when an ejection by this VM ends, and peersEjectedUntil when those by other VMs end.
	ejectedUntil, peersEjectedUntil clock.Instant
	// requestLimit is the limit of requests of all VMs that it names in its answers.
	requestLimit ratelimit.Limit
	// limitBucket holds this VM's share of the request limit, as it follows from sharedRate; it is nil without a limit.
	limitBucket *ratelimit.Bucket
	sharedRate  ratelimit.Rate
	// answeredAt is when it last answered this VM without a failure.
	answeredAt clock.Instant
	// refusedAt is when it last refused a connection, or 0 if it has answered since.
	refusedAt clock.Instant
}

func newServer() *server { return &server{} }

// update replaces the registered entry, and returns the remaining warm-up time if it says one that wasn't known.
func (s *server) update(next fleet.Server) (warmupLeft time.Duration) {
	if s.Revision != next.Revision {
		warmupLeft = next.WarmupLeft
	}
	s.Server = next
	return warmupLeft
}

// load returns the estimated number of requests at the backend server.
func (s *server) load(now clock.Instant) int {
	n := s.inFlight + s.peersInFlight
	if now.Sub(s.reportedAt) < reportTTL {
		n = max(n, s.reported+s.sinceReport)
	}
	return n
}

// averageServiceTime returns the average service time of a request, given the service's average at normalSlowdown.
func (s *server) averageServiceTime(normal time.Duration) time.Duration {
	switch {
	case s.averageSlowdown > 0:
		return time.Duration(float64(normal) * s.averageSlowdown / normalSlowdown)
	case s.serviceTime > 0:
		return s.serviceTime
	case s.peerServiceTime > 0:
		return s.peerServiceTime
	default:
		return normal
	}
}

// expectedLatency returns the expected latency of one more request, given the service's average service time at normalSlowdown.
func (s *server) expectedLatency(now clock.Instant, normal time.Duration) time.Duration {
	serviceTime := float64(s.averageServiceTime(normal))
	if now.Sub(s.ownReportedAt) < slowdownTTL && s.slowdown > 0 {
		serviceTime = currentSlowdownWeight*float64(normal)*s.slowdown/normalSlowdown + (1-currentSlowdownWeight)*serviceTime
	}
	return time.Duration(serviceTime * s.queueFactor(now) / math.Max(0.1, 1-s.failureRate))
}

// queueFactor returns the latency of one more request as a multiple of the service time, due to the requests queued ahead of it.
func (s *server) queueFactor(now clock.Instant) float64 {
	excess := s.load(now) - s.Slots + 1
	return 1 + float64(max(0, excess))/float64(s.Slots)
}

// recordAnswer records an answer without a failure; latency is without queueing.
func (s *server) recordAnswer(now clock.Instant, latency time.Duration) {
	s.consecutiveFailures, s.pausedUntil, s.refusedAt = 0, 0, 0
	s.failureRate *= 1 - ewmaWeight
	s.errorRate *= 1 - errorRateWeight
	s.ejectedUntil, s.answeredAt = 0, now
	if s.errorRate < ejectionErrorRate/2 {
		s.ejections = 0
	}
	if s.serviceTime == 0 {
		s.serviceTime = latency
	}
	s.serviceTime += time.Duration(ewmaWeight * float64(latency-s.serviceTime))
}

// recordFailure records an attempt without an answer.
func (s *server) recordFailure(now clock.Instant) {
	s.failureRate += ewmaWeight * (1 - s.failureRate)
	if s.consecutiveFailures++; s.consecutiveFailures >= failuresToPause {
		s.pause(now)
	}
}

// forgetFailures drops what failures of this VM's attempts said of the backend server.
func (s *server) forgetFailures() {
	s.consecutiveFailures, s.failureRate, s.errorRate, s.ejections = 0, 0, 0, 0
	s.pausedUntil, s.ejectedUntil, s.refusedAt = 0, 0, 0
}

// recordError records a server error or a broken connection.
//
// Both are quick, so that without ejection a backend server that answers little
// else would attract most requests: it always has free slots.
func (s *server) recordError(now clock.Instant) {
	s.errorRate += errorRateWeight * (1 - s.errorRate)
	if s.errorRate < ejectionErrorRate {
		return
	}
	s.ejections++
	s.ejectedUntil = now.Add(min(initialEjection<<min(s.ejections-1, 4), maxEjection))
}

// isEjected reports whether the backend server gets no requests for some time, since most of its answers were failures.
func (s *server) isEjected(now clock.Instant) bool {
	return now < s.ejectedUntil || now < s.peersEjectedUntil && now.Sub(s.answeredAt) > ownAnswerTTL
}

// pause stops sending to the backend server for a time that doubles with each failure, up to maxPause.
func (s *server) pause(now clock.Instant) {
	pause := initialPause << min(s.consecutiveFailures, 4)
	s.pausedUntil = now.Add(min(pause, maxPause))
}
