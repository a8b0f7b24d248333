package dispatch

import (
	"time"

	"github.com/hickorylug/hickorylug/coordination/ratelimit"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// Result is the result of an attempt.
type Result int

// Results of attempts.
const (
	// Answered means that the backend server has run the request.
	Answered Result = iota
	// Shed means that the backend server rejected the request as overloaded, or that all connections to it were in use.
	Shed
	// TimedOut means that no complete answer came before the deadline.
	TimedOut
	// Unreachable means that no connection could be opened.
	Unreachable
	// Cancelled means that the caller disconnected, or that the request was not sent.
	Cancelled
	// Misplaced means that another backend server than expected answered, or that it does not own the key.
	Misplaced
	// ServerError means that the backend server has run the request and answered with a server error.
	ServerError
	// ConnectionBroken means that the connection broke before a complete answer came.
	ConnectionBroken
)

// Report is a backend server's report of its own load; it is valid if Known is set.
type Report struct {
	Running, Waiting, Slots int
	// Slowdown is the current service time on its machine, in percent of the usual one; 0 means unknown.
	Slowdown int
	Known    bool
	// RequestLimit is the number of requests per second that the backend server accepts from all VMs together, also if Known isn't set; 0
	// means that it named no limit.
	RequestLimit ratelimit.Rate
	// RetryAfter is the time for which a backend server that rejected the request wants no further ones of the VM that opened the connection,
	// also if Known isn't set; 0 means that it names none.
	RetryAfter time.Duration
	// Relayed says that another VM opened the connection.
	Relayed bool
}

// Done releases the slot and records the result of the attempt. Further calls have no effect.
func (s *Slot) Done(result Result, report Report) {
	d := s.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.done {
		return
	}
	s.done = true
	now := d.options.Clock.Boot()
	service := d.service(s.Server.Service)
	if s.outside {
		service.outside.record(now, report)
	}
	c, ok := d.servers[s.Server.Server]
	if ok && c.Incarnation == s.Server.Incarnation {
		c.inFlight--
		c.recordReport(now, report)
		s.recordRequestLimit(now, c, result, report)
		s.recordPause(now, report)
		before := c.ejections
		c.recordResult(now, result, report, time.Duration(float64(now.Sub(s.acquiredAt))/s.queueFactor))
		if c.ejections > before {
			d.options.OnEject(s.Server.Server, c.errorRate, c.ejectedUntil.Sub(now))
		}
	}
	if result == Answered {
		service.served++
		service.throughput.add(now)
		service.recordServiceTime(time.Duration(float64(now.Sub(s.acquiredAt))/s.queueFactor), report)
	}
	d.wake(s.Server.Service)
}

// recordReport records a load report to this VM.
func (s *server) recordReport(now clock.Instant, r Report) {
	if !r.Known {
		return
	}
	s.ownReported, s.ownReportedAt = r.Running+r.Waiting, now
	s.reported, s.reportedAt, s.sinceReport = s.ownReported, now, 0
	s.slowdown = float64(r.Slowdown)
	s.recordSlowdown(s.slowdown)
}

// recordSlowdown adds a reported slowdown to the moving average; reports to other VMs count, too.
func (s *server) recordSlowdown(slowdown float64) {
	switch {
	case slowdown <= 0:
	case s.averageSlowdown == 0:
		s.averageSlowdown = slowdown
	default:
		s.averageSlowdown += ewmaWeight * (slowdown - s.averageSlowdown)
	}
}

// serviceTimeWeight is the weight of one request in the average service time of a service.
const serviceTimeWeight = 0.04

// recordServiceTime adds a request's service time to the average, scaled to normalSlowdown.
func (s *service) recordServiceTime(took time.Duration, r Report) {
	if r.Slowdown > 0 {
		took = time.Duration(float64(took) * normalSlowdown / float64(r.Slowdown))
	}
	s.serviceTime += time.Duration(serviceTimeWeight * float64(took-s.serviceTime))
}

// recordResult updates the view of a backend server after an attempt; latency is without queueing.
func (s *server) recordResult(now clock.Instant, result Result, report Report, latency time.Duration) {
	switch result {
	case Answered:
		s.recordAnswer(now, latency)
	case Shed:
		s.failureRate += ewmaWeight * (1 - s.failureRate)
		namesPause := report.RetryAfter > 0 && !report.Relayed
		if !namesPause && (!report.Known || report.Running+report.Waiting >= s.Slots) {
			s.pausedUntil = max(s.pausedUntil, now.Add(shedPause))
		}
	case TimedOut:
		s.recordFailure(now)
	case ConnectionBroken:
		s.recordFailure(now)
		s.recordError(now)
	case Unreachable:
		s.consecutiveFailures++
		s.refusedAt = now
		s.pause(now)
	case ServerError:
		// A pause is for one VM. Ejections, which the other VMs adopt, must not follow from it.
		if report.RetryAfter == 0 {
			s.recordError(now)
		}
	case Cancelled, Misplaced:
	}
}

// ForgetFailures drops what failures of this VM's attempts said of the backend servers, since they were those of its own links.
func (d *Dispatcher) ForgetFailures() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.servers {
		c.forgetFailures()
	}
	for name := range d.services {
		d.wake(name)
	}
}

// RefusesConnections reports whether a backend server has refused a connection since its last answer.
func (d *Dispatcher) RefusesConnections(name id.Server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.servers[name]
	return ok && c.refusedAt > 0
}
