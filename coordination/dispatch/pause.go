package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
)

// pausedOwnerWaitShare is the part of the time to its objective for which a request waits for the paused owner of its key. Others wait for
// the same moment, so that the rest is needed to serve them one after another.
const pausedOwnerWaitShare = 0.5

// pauses holds until when incarnations of backend servers want no requests of this VM.
//
// Only time ends a pause. An answer doesn't, since its request may have been
// sent before, and an entry that is missing for a moment doesn't either.
type pauses map[fleet.Incarnation]clock.Instant

// left returns the time until the pause of an incarnation ends, or 0 if it has none.
func (p pauses) left(now clock.Instant, inc fleet.Incarnation) time.Duration {
	if len(p) == 0 {
		return 0
	}
	return max(0, p[inc].Sub(now))
}

// begin records a pause and reports whether there was none before. A longer one that was named earlier holds.
func (p pauses) begin(now clock.Instant, inc fleet.Incarnation, duration time.Duration) (began bool) {
	began = p.left(now, inc) == 0
	if began {
		maps.DeleteFunc(p, func(_ fleet.Incarnation, until clock.Instant) bool { return until <= now })
	}
	p[inc] = max(p[inc], now.Add(duration))
	return began
}

// Pause records that an incarnation of a backend server wants no requests of this VM for some time, and assigns the queued requests anew.
func (d *Dispatcher) Pause(inc fleet.Incarnation, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beginPause(d.options.Clock.Boot(), inc, duration)
	if c, ok := d.servers[inc.Server]; ok {
		d.wake(c.Service)
	}
}

// IsPaused reports whether an incarnation of a backend server wants no requests of this VM.
func (d *Dispatcher) IsPaused(inc fleet.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pauses.left(d.options.Clock.Boot(), inc) > 0
}

// beginPause records a pause.
func (d *Dispatcher) beginPause(now clock.Instant, inc fleet.Incarnation, duration time.Duration) {
	if duration > 0 && d.pauses.begin(now, inc, duration) {
		d.options.OnPause(inc.Server, duration)
	}
}

// recordPause records the pause that an answer on a connection of this VM names.
func (s *Slot) recordPause(now clock.Instant, report Report) {
	if !report.Relayed {
		s.dispatcher.beginPause(now, s.Server.Incarnation, report.RetryAfter)
	}
}

// refusePaused returns the refusal of a request for which no backend server is left because of pauses, or nil.
func (d *Dispatcher) refusePaused(now clock.Instant, s *service, demand Demand) *Refusal {
	if len(d.pauses) == 0 {
		return nil
	}
	p, first := d.preference(s.name), time.Duration(0)
	skipEjected := hasFewEjected(now, p)
	for c := range p.all {
		if !d.snapshot.Usable(c.Server) {
			continue
		}
		if left := d.pauses.left(now, c.Incarnation); left > 0 {
			if first == 0 || left < first {
				first = left
			}
			continue
		}
		available := c.pausedUntil
		if skipEjected && c.isEjected(now) {
			available = max(available, c.ejectedUntil, c.peersEjectedUntil)
		}
		if available < demand.Deadline && !slices.Contains(demand.Avoid, c.Incarnation.Server) {
			return nil
		}
	}
	if first == 0 {
		return nil
	}
	return d.pauseRefusal(s, first)
}

// refusePausedOwner returns the refusal of a request for a key whose owner is paused, or nil if it may wait for the end of the pause.
func (d *Dispatcher) refusePausedOwner(now clock.Instant, s *service, demand Demand, left time.Duration) *Refusal {
	if left+s.serviceTime <= time.Duration(pausedOwnerWaitShare*float64(demand.Objective.Sub(now))) {
		return nil
	}
	return d.pauseRefusal(s, left)
}

// pauseRefusal returns a refusal until a pause ends. Its RetryAfter isn't bounded: an earlier retry would be refused as well.
func (d *Dispatcher) pauseRefusal(s *service, left time.Duration) *Refusal {
	return &Refusal{Reason: Overloaded, RetryAfter: max(left, minRetryAfter), Waiting: len(s.waiting), ServiceTime: s.serviceTime, PausedFor: left, Final: true}
}
