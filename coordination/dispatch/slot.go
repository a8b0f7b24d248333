package dispatch

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// Result is what became of a sending.
type Result int

// The results of sendings.
const (
	// Answered means that the backend server has run the request.
	Answered Result = iota
	// Shed means that it was full.
	Shed
	// TimedOut means that no whole answer came.
	TimedOut
	// Unreachable means that no connection could be opened.
	Unreachable
	// Cancelled means that the caller left.
	Cancelled
	// Misplaced means that the backend server does not hold the key.
	Misplaced
	// ServerError means that the backend server has run the request and answered with a failure of its own.
	ServerError
	// ConnectionBroken means that the connection ended before a whole answer came.
	ConnectionBroken
)

// Report is what a backend server has said of its own load.
type Report struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes on its machine, in percent of the usual; 0 means unknown.
	Slowdown int
	Known    bool
}

// Done gives the room back and learns from what became of the request.
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
	c, ok := d.servers[s.Server.Server]
	if ok && c.Incarnation == s.Server.Incarnation {
		c.inFlight--
		c.note(now, report)
		before := c.ejections
		c.learn(now, result, report, time.Duration(float64(now.Sub(s.taken))/s.turns))
		if c.ejections > before {
			d.options.OnEject(s.Server.Server, c.errorRate, c.ejectedUntil.Sub(now))
		}
	}
	if result == Answered {
		service.served++
		service.rate.add(now)
		service.learn(time.Duration(float64(now.Sub(s.taken))/s.turns), report)
	}
	d.wake(s.Server.Service)
}

func (s *server) note(now clock.Instant, r Report) {
	if !r.Known {
		return
	}
	s.heard, s.heardAt = r.Running+r.Waiting, now
	s.reported, s.reportedAt, s.sinceReport = s.heard, now, 0
	s.pace = float64(r.Slowdown)
	s.notePace(s.pace)
}

// notePace takes a report of the pace, to this VM or to another one, into the average.
func (s *server) notePace(pace float64) {
	switch {
	case pace <= 0:
	case s.usualPace == 0:
		s.usualPace = pace
	default:
		s.usualPace += smoothing * (pace - s.usualPace)
	}
}

// serviceSmoothing is the weight of one request in the usual work of a service.
const serviceSmoothing = 0.04

// learn takes over how long a request's work took, as on a machine of normal pace.
func (s *service) learn(work time.Duration, r Report) {
	if r.Slowdown > 0 {
		work = time.Duration(float64(work) * normalPace / float64(r.Slowdown))
	}
	s.work += time.Duration(serviceSmoothing * float64(work-s.work))
}

func (s *server) learn(now clock.Instant, result Result, report Report, latency time.Duration) {
	switch result {
	case Answered:
		s.answered(now, latency)
	case Shed:
		s.failing += smoothing * (1 - s.failing)
		if !report.Known || report.Running+report.Waiting >= s.Slots {
			s.pausedUntil = max(s.pausedUntil, now.Add(shedPause))
		}
	case TimedOut:
		s.failed(now)
	case ConnectionBroken:
		s.failed(now)
		s.noteError(now)
	case Unreachable:
		s.failures++
		s.refusedAt = now
		s.pause(now)
	case ServerError:
		s.noteError(now)
	case Cancelled, Misplaced:
	}
}

// RefusesConnections reports whether connections to a backend server have been refused since an answer came.
func (d *Dispatcher) RefusesConnections(name id.Server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.servers[name]
	return ok && c.refusedAt > 0
}
