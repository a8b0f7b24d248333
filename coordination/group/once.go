package group

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/hickorylug/hickorylug/coordination/idempotency"
	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// maxKeptBody is the largest answer that is kept for resends, in bytes.
const maxKeptBody = 256 << 10

// once runs a request that is not idempotent, or gives a resend the answer of its first sending.
func (g *Group) once(ctx context.Context, r *exchange.Request) (answer *exchange.Response, err error) {
	i := idempotency.ID{Service: g.service, Identity: r.IdempotencyKey}
	came, leave, err := g.claim(r)
	if err != nil {
		return nil, err
	}
	defer leave()
	entry, first, err := g.memory.Begin(g.options.Clock.Now(), i, came.at)
	if err != nil {
		entry, first, err = g.recall(ctx, i, r.RoutingHash(), came, err)
	}
	if err != nil {
		return nil, err
	}
	if !first {
		return g.await(ctx, entry)
	}
	// The first sending goes on when its caller leaves, so that the resend finds its answer.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	defer cancel()
	if err := g.options.Claim(ctx, g.name, r.IdempotencyKey); err != nil {
		return nil, g.conclude(entry, outcome.NotRun(outcome.NoOwner, "the successor of group %s did not take note of the request: %v", g.name, err))
	}
	answer, err = g.dispatch(ctx, r)
	if err != nil {
		return nil, g.conclude(entry, err)
	}
	return g.keep(entry, answer)
}

// recall begins a request whose first sending the group that had the slice before may know.
func (g *Group) recall(ctx context.Context, i idempotency.ID, place table.Hash, came origin, refusal error) (entry *idempotency.Entry, first bool, err error) {
	if came.from == "" {
		return nil, false, refusal
	}
	kept, found, known := g.options.Recall(ctx, came.from, i, place)
	if !known {
		return nil, false, refusal
	}
	if found {
		g.memory.Import(kept)
	}
	return g.memory.Begin(g.options.Clock.Now(), i, time.Time{})
}

// Recall returns what the group's memory has of a request, for the group that has its slice now.
//
// Known is false where the memory can't tell, or where the request is still in flight.
func (g *Group) Recall(identity string, place table.Hash) (kept idempotency.FinishedEntry, found, known bool) {
	i := idempotency.ID{Service: g.service, Identity: identity}
	g.mu.Lock()
	t := g.directory.View().Tables[g.service]
	var floor time.Time
	if t != nil && len(t.Slices) > 0 {
		floor = g.gained[t.SliceOf(place)].at
	}
	g.mu.Unlock()
	return g.memory.Lookup(g.options.Clock.Now(), i, floor)
}

// claim checks that resends of a request are sent to this group, and keeps them here until leave is called.
//
// Came tells where the request's slice came from.
func (g *Group) claim(r *exchange.Request) (came origin, leave func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t, ok := g.directory.View().Tables[g.service]
	if !ok || len(t.Slices) == 0 {
		return came, nil, outcome.NotRun(outcome.NoOwner, "service %s has no slice table yet", g.service)
	}
	hash := r.RoutingHash()
	slice := t.SliceOf(hash)
	if !r.Keyed {
		if owner, ok := t.Owner(hash); !ok || owner != id.Owner(g.name) {
			return came, nil, outcome.NotRun(outcome.Moved, "resends of the request are sent to another group than %s", g.name)
		}
	}
	g.claims[slice]++
	leave = func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.claims[slice]--; g.claims[slice] <= 0 {
			delete(g.claims, slice)
			g.settledLocked()
		}
	}
	return g.gained[slice], leave, nil
}

// conclude records a failure; a request that was not run may be run by a resend.
func (g *Group) conclude(entry *idempotency.Entry, err error) error {
	refusal := outcome.FromError(err)
	if refusal.Outcome == outcome.KindNotRun {
		g.memory.Abandon(entry, idempotency.Answer{Err: refusal})
		return refusal
	}
	g.memory.Finish(entry, idempotency.Answer{Err: outcome.Unknown(outcome.DuplicateRejected,
		"the first sending has no answer and is not repeated: %s", refusal.Detail)})
	return refusal
}

// keep reads the whole answer, so that a resend gets the same one.
func (g *Group) keep(entry *idempotency.Entry, answer *exchange.Response) (*exchange.Response, error) {
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxKeptBody+1))
	if err != nil {
		return nil, g.conclude(entry, outcome.Unknown(outcome.Interrupted, "the answer of backend server %s was cut short: %v", answer.Server, err))
	}
	if len(body) > maxKeptBody {
		return nil, g.conclude(entry, outcome.Unknown(outcome.Interrupted, "the answer of backend server %s is over %d bytes, too large for a route that is not idempotent", answer.Server, maxKeptBody))
	}
	kept := idempotency.Answer{Response: *answer, Body: body}
	kept.Response.Body = nil
	g.memory.Finish(entry, kept)
	return replay(kept), nil
}

// await gives a resend the answer of its first sending.
func (g *Group) await(ctx context.Context, entry *idempotency.Entry) (*exchange.Response, error) {
	select {
	case <-entry.Done():
	case <-ctx.Done():
		return nil, outcome.Unknown(outcome.DeadlineExceeded, "the first sending of this request has no answer yet")
	}
	if answer := entry.Answer(); answer.Err != nil {
		return nil, answer.Err
	}
	return replay(entry.Answer()), nil
}

func replay(a idempotency.Answer) *exchange.Response {
	r := a.Response
	r.Header = r.Header.Clone()
	r.Body = io.NopCloser(bytes.NewReader(a.Body))
	r.Length = int64(len(a.Body))
	return &r
}

// AwaitClaims waits until no request that runs at most once is in flight, and reports whether that came.
func (g *Group) AwaitClaims(ctx context.Context) bool {
	for {
		g.mu.Lock()
		none, changed := len(g.claims) == 0, g.settled
		g.mu.Unlock()
		if none {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}
