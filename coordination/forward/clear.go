package forward

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/clearance"
	"github.com/hickorylug/hickorylug/protocol/outcome"
)

// clear decides whether a request that is about to be written may still be sent. ctx ends when the caller leaves.
func (f *Forwarder) clear(ctx context.Context, s *requestState) clearance.Verdict {
	r := s.request
	return clearance.Decide(clearance.Facts{HasCallerLeft: errors.Is(ctx.Err(), context.Canceled) || r.HasCallerLeft != nil && r.HasCallerLeft()})
}

// refuseEnded returns the refusal of a request whose wait was ended by its context, or by its caller's leaving.
func refuseEnded(ctx context.Context) *outcome.Error {
	switch {
	case errors.Is(context.Cause(ctx), ErrStopping):
		return RefuseStopping()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.NotRun(outcome.Overloaded, "no time is left for a sending")
	default:
		return outcome.NotRun(outcome.CallerDisconnected, "the caller left before the request was sent")
	}
}
