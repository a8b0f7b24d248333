package dispatch

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
)

const (
	// initialWork is the assumed time of a request before any was answered.
	initialWork = 100 * time.Millisecond
	// smoothing is the weight of a new latency in the usual one.
	smoothing = 0.15
	// reportFresh is how long a backend server's own report of its load counts.
	reportFresh = 400 * time.Millisecond
	// paceFresh is how long a report of the machine's pace counts; it changes several times per second.
	paceFresh = 200 * time.Millisecond
	// firstPause and maxPause bound the time for which a backend server that failed gets nothing.
	firstPause = 250 * time.Millisecond
	maxPause   = 2 * time.Second
	// failuresToPause is the number of failures in a row after which a backend server is left alone.
	failuresToPause = 3
	// errorSmoothing is the weight of an answer in the share of failures; three failures in a row pass errorShare.
	errorSmoothing = 0.3
	// ejectedPart bounds the backend servers of a service that one VM tells others to eject: one in so many. Where it
	// sees more failing, the fault may be its own.
	ejectedPart = 5
	// errorShare is the share of failures among a backend server's answers from which it is ejected.
	errorShare = 0.6
	// firstEjection and maxEjection bound the time for which all VMs send it nothing.
	firstEjection = time.Second
	maxEjection   = 5 * time.Second
	// shedPause is how long a backend server that turned a request away gets nothing from this VM.
	shedPause = 60 * time.Millisecond
	// normalPace is the pace of a machine without disturbing neighbours, in percent.
	normalPace = 100
	// momentShare is the weight of a fresh report of the pace against the average, since the pace changes while a request runs.
	momentShare = 0.5
)

// server is what a VM knows of one backend server.
type server struct {
	fleet.Server
	inFlight int
	// others is what other VMs have in flight there.
	others int
	// work is the usual time of one request.
	work time.Duration
	// peerWork is the work time that other VMs have seen; it counts until this VM has seen its own.
	peerWork time.Duration
	// coldUntil is when the backend server is warm.
	coldUntil clock.Instant
	// cold limits requests while the backend server is cold; it is nil where this VM may send none.
	cold *rate.Limiter

	// reported is the number of requests that the backend server said it had, to this VM or to another one.
	reported   int
	reportedAt clock.Instant
	// heard is what it said to this VM itself.
	heard   int
	heardAt clock.Instant
	// sinceReport counts the requests that this VM has sent since the report.
	sinceReport int
	// pace is how long work took on its machine at the last report, in percent, and usualPace the average; 0 means unknown.
	pace      float64
	usualPace float64

	pressure pressure

	failures    int
	failing     float64
	pausedUntil clock.Instant
	// errorRate is the share of failures among its answers, and ejections the number of times that it was too high.
	errorRate float64
	ejections int
	// ejectedUntil is when it may be tried again after such answers to this VM, and peersEjectedUntil after those to others.
	ejectedUntil, peersEjectedUntil clock.Instant
	// answeredAt is when it last answered this VM without a failure.
	answeredAt clock.Instant
	// refusedAt is when a connection was last refused, or 0.
	refusedAt clock.Instant
}

func newServer() *server { return &server{} }

// update takes over a newer entry.
func (s *server) update(now clock.Instant, next fleet.Server) {
	if s.Revision != next.Revision && next.WarmupLeft > 0 {
		s.coldUntil = max(s.coldUntil, now.Add(next.WarmupLeft))
		s.cold = nil
	}
	s.Server = next
}

// load returns the number of requests at the backend server, as far as it is known.
func (s *server) load(now clock.Instant) int {
	n := s.inFlight + s.others
	if now.Sub(s.reportedAt) < reportFresh {
		n = max(n, s.reported+s.sinceReport)
	}
	return n
}

// usual returns the usual time of a request, where the service's takes a time on a machine of normal pace.
func (s *server) usual(service time.Duration) time.Duration {
	switch {
	case s.usualPace > 0:
		return time.Duration(float64(service) * s.usualPace / normalPace)
	case s.work > 0:
		return s.work
	case s.peerWork > 0:
		return s.peerWork
	default:
		return service
	}
}

// expected returns the time that a further request would take.
func (s *server) expected(now clock.Instant, service time.Duration) time.Duration {
	work := float64(s.usual(service))
	if now.Sub(s.heardAt) < paceFresh && s.pace > 0 {
		work = momentShare*float64(service)*s.pace/normalPace + (1-momentShare)*work
	}
	return time.Duration(work * s.turns(now) / math.Max(0.1, 1-s.failing))
}

// turns returns how many times the usual work a further request would take, for those that are there before it.
func (s *server) turns(now clock.Instant) float64 {
	over := s.load(now) - s.Slots + 1
	return 1 + float64(max(0, over))/float64(s.Slots)
}

// answered takes the time of a request's work over.
func (s *server) answered(now clock.Instant, latency time.Duration) {
	s.failures, s.pausedUntil, s.refusedAt = 0, 0, 0
	s.failing *= 1 - smoothing
	s.errorRate *= 1 - errorSmoothing
	s.ejectedUntil, s.answeredAt = 0, now
	if s.errorRate < errorShare/2 {
		s.ejections = 0
	}
	if s.work == 0 {
		s.work = latency
	}
	s.work += time.Duration(smoothing * float64(latency-s.work))
}

// failed notes a sending that brought no answer.
func (s *server) failed(now clock.Instant) {
	s.failing += smoothing * (1 - s.failing)
	if s.failures++; s.failures >= failuresToPause {
		s.pause(now)
	}
}

// noteError notes an answer by which the backend server says that it has failed, or a connection that it broke off.
//
// Both are quick, so that a backend server that does little else would draw
// most requests: it always has free slots.
func (s *server) noteError(now clock.Instant) {
	s.errorRate += errorSmoothing * (1 - s.errorRate)
	if s.errorRate < errorShare {
		return
	}
	s.ejections++
	s.ejectedUntil = now.Add(min(firstEjection<<min(s.ejections-1, 4), maxEjection))
}

// isEjected reports whether the backend server gets nothing for some time, since most of its answers are failures.
func (s *server) isEjected(now clock.Instant) bool {
	return now < s.ejectedUntil || now < s.peersEjectedUntil && now.Sub(s.answeredAt) > ownAnswer
}

// pause leaves the backend server alone, longer with each failure.
func (s *server) pause(now clock.Instant) {
	pause := firstPause << min(s.failures, 4)
	s.pausedUntil = now.Add(min(pause, maxPause))
}

// isCold reports whether the backend server bears only its warm-up rate.
func (s *server) isCold(now clock.Instant) bool { return now < s.coldUntil }
