// Package drain decides which requests a VM still sends to backend servers while it stops.
//
// A VM that stops has a grace time, after which its process is killed. A request
// that is under way then is cut off without an answer, and its caller can't know
// whether it has run. So the VM refuses what may outlast the grace time, as
// long as it can still say that it has not run.
//
// # Usage
//
//	w := drain.NewWindow(now, ranAt, 3*time.Second, 5*time.Second)
//	if !w.Accepts(now, r.Deadline, r.Objective, r.Idempotent) {
//		// Refuse as not run; the caller's next connection goes to another VM.
//	}
//	if !w.MayWait(now, r.Deadline, r.Objective, r.Idempotent) {
//		// The same for a request that waits for a backend server.
//	}
package drain

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
)

// Window is the time of a planned stop.
type Window struct {
	// settled is when callers' new connections go to other VMs, and ends when the grace time is over at the earliest.
	settled, ends clock.Instant
	// givesUp is when the VM gives up what is still under way.
	givesUp clock.Instant
}

// minGraceShare is the part of the grace time that requests under way have after the stop was noticed, however late that was.
const minGraceShare = 0.9

// NewWindow returns the window of a stop that is noticed now, by a process that last ran at ranAt. settle is the time after which no new
// connections come, and grace the time after which requests are given up.
//
// The stop may have begun at any time since ranAt, as a process that doesn't
// get its processor notices it late. Its grace time doesn't wait for that.
func NewWindow(now, ranAt clock.Instant, settle, grace time.Duration) *Window {
	began := min(now, ranAt)
	w := &Window{settled: began.Add(settle), ends: began.Add(grace)}
	w.givesUp = max(w.ends, now.Add(time.Duration(minGraceShare*float64(grace))))
	return w
}

// GivesUp returns when the requests that are still under way are given up. It isn't much earlier than if the stop began when it was noticed,
// since backend servers are at work.
func (w *Window) GivesUp() clock.Instant { return w.givesUp }

// Accepts reports whether a request may be sent to a backend server. A nil window accepts everything.
//
// A request whose deadline lies before the end gets its answer. While new
// connections still come, one that may be repeated is also accepted if its
// objective lies before the end: it is answered by then as a rule, and its
// caller may ask again if not.
func (w *Window) Accepts(now, deadline, objective clock.Instant, idempotent bool) bool {
	if w == nil || deadline <= w.ends {
		return true
	}
	return idempotent && now < w.settled && max(objective, now) < w.ends
}

// answerTime is the time before the end in which requests that still wait are answered.
const answerTime = 200 * time.Millisecond

// WaitEnds returns when requests that wait for a backend server are refused, so that their callers get the refusal before the end.
func (w *Window) WaitEnds() clock.Instant { return w.ends.Add(-answerTime) }

// MayWait reports whether a request that no backend server has may go on waiting for one. A nil window lets everything wait.
//
// A request that would no longer be accepted is refused at once, since its wait can't help.
func (w *Window) MayWait(now, deadline, objective clock.Instant, idempotent bool) bool {
	return w == nil || now < w.WaitEnds() && w.Accepts(now, deadline, objective, idempotent)
}
