package forward

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/clearance"
	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/clock"
)

// writing is the write of an attempt, as the ledger of crashes knows it.
type writing struct {
	forwarder *Forwarder
	state     *requestState
	slot      *dispatch.Slot
	// verdict is the last one; Granted if none was asked for.
	verdict clearance.Verdict
	// since is when the attempt was last granted, or its beginning.
	since clock.Instant
	// isInFlight says that the ledger has the attempt.
	isInFlight bool
}

// ask returns the verdict on the request. If it is granted, the attempt is in flight at the backend server from now on, and no longer since an
// earlier grant: another VM has declined it after that one.
func (w *writing) ask(ctx context.Context) clearance.Verdict {
	w.end()
	if w.verdict = w.forwarder.clear(ctx, w.state, w.slot); w.verdict == clearance.Granted {
		w.since = w.forwarder.options.Clock.Boot()
		w.begin()
	}
	return w.verdict
}

// begin makes the attempt count as in flight at the backend server.
func (w *writing) begin() {
	if !w.isInFlight {
		w.isInFlight = true
		w.forwarder.options.Crashes.Begin(w.since, w.slot.Server.Incarnation, w.state.fingerprint)
	}
}

// end makes the attempt no longer count as in flight, as if it hadn't been sent.
func (w *writing) end() {
	if w.isInFlight {
		w.isInFlight = false
		w.forwarder.options.Crashes.End(w.slot.Server.Incarnation, w.state.fingerprint)
	}
}

// clear decides whether a request that is about to be written may still be sent to the backend server of a slot. ctx ends when the caller leaves.
func (f *Forwarder) clear(ctx context.Context, s *requestState, slot *dispatch.Slot) clearance.Verdict {
	r := s.request
	return clearance.Decide(f.options.Clock.Boot(), clearance.Facts{
		HasCallerLeft: errors.Is(ctx.Err(), context.Canceled) || r.HasCallerLeft != nil && r.HasCallerLeft(),
		Deadline:      r.Deadline,
		IsStopping:    !f.options.Accepts(r),
		IsCrashing:    !f.mayRun(s, slot.Server.Version),
		IsServerOut:   !f.dispatcher.IsUsable(slot, r.Keyed, r.Key),
	})
}

// refuse returns the refusal of a request that no backend server may get any more.
func refuse(v clearance.Verdict) *outcome.Error {
	switch v {
	case clearance.CallerLeft:
		return outcome.NotRun(outcome.CallerDisconnected, "the caller left before the request was sent")
	case clearance.Stopping:
		return RefuseStopping()
	default:
		return outcome.NotRun(outcome.Overloaded, "no time is left for a sending")
	}
}

// refuseEnded returns the refusal of a request whose wait was ended by its context.
func refuseEnded(ctx context.Context) *outcome.Error {
	switch {
	case errors.Is(context.Cause(ctx), ErrStopping):
		return RefuseStopping()
	case errors.Is(ctx.Err(), context.Canceled):
		return refuse(clearance.CallerLeft)
	default:
		return refuse(clearance.TooLate)
	}
}
