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

// maxStoredBodyBytes is the largest body of an answer that is stored for duplicates, in bytes.
const maxStoredBodyBytes = 256 << 10

// serveAtMostOnce runs a request that is not idempotent, or answers a duplicate with the answer to the original.
func (g *Group) serveAtMostOnce(ctx context.Context, r *exchange.Request) (answer *exchange.Response, err error) {
	i := idempotency.ID{Service: g.service, Identity: r.IdempotencyKey}
	origin, done, err := g.claim(r)
	if err != nil {
		return nil, err
	}
	defer done()
	entry, first, err := g.memory.Begin(g.options.Clock.Now(), i, origin.at)
	if err != nil {
		entry, first, err = g.beginWithRecall(ctx, i, r.RoutingHash(), origin, err)
	}
	if err != nil {
		return nil, err
	}
	if !first {
		return g.await(ctx, entry)
	}
	// The original continues after its caller is gone, so that a duplicate gets its answer.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	defer cancel()
	if err := g.options.Claim(ctx, g.name, r.IdempotencyKey); err != nil {
		return nil, g.finishFailed(entry, outcome.NotRun(outcome.NoOwner, "the successor of group %s did not take note of the request: %v", g.name, err))
	}
	answer, err = g.sendWithRetries(ctx, r)
	if err != nil {
		return nil, g.finishFailed(entry, err)
	}
	return g.finishAnswered(entry, answer)
}

// beginWithRecall asks the slice's previous group whether it has run the original, and begins the request.
//
// It returns refusal where there is no previous group or that group can't tell.
func (g *Group) beginWithRecall(ctx context.Context, i idempotency.ID, place table.Hash, origin sliceOrigin, refusal error) (entry *idempotency.Entry, first bool, err error) {
	if origin.from == "" {
		return nil, false, refusal
	}
	kept, found, known := g.options.LookupPrevious(ctx, origin.from, i, place)
	if !known {
		return nil, false, refusal
	}
	if found {
		g.memory.Import(kept)
	}
	return g.memory.Begin(g.options.Clock.Now(), i, time.Time{})
}

// LookupEntry returns the stored result of a request, for the group that its slice was moved to.
//
// Known is false where the stored state doesn't reach back far enough, or where the request is still in flight.
func (g *Group) LookupEntry(identity string, place table.Hash) (kept idempotency.FinishedEntry, found, known bool) {
	i := idempotency.ID{Service: g.service, Identity: identity}
	g.mu.Lock()
	t := g.directory.View().Tables[g.service]
	var floor time.Time
	if t != nil && len(t.Slices) > 0 {
		floor = g.gainedSlices[t.SliceOf(place)].at
	}
	g.mu.Unlock()
	return g.memory.Lookup(g.options.Clock.Now(), i, floor)
}

// claim checks that duplicates of a request are routed to this group.
//
// It counts the request as a claim, for which Release and AwaitClaims wait, until done is called.
//
// Origin is when, and from which group, the request's slice was received.
func (g *Group) claim(r *exchange.Request) (origin sliceOrigin, done func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t, ok := g.directory.View().Tables[g.service]
	if !ok || len(t.Slices) == 0 {
		return origin, nil, outcome.NotRun(outcome.NoOwner, "service %s has no slice table yet", g.service)
	}
	hash := r.RoutingHash()
	slice := t.SliceOf(hash)
	if !r.Keyed {
		if owner, ok := t.Owner(hash); !ok || owner != id.Owner(g.name) {
			return origin, nil, outcome.NotRun(outcome.Moved, "resends of the request are sent to another group than %s", g.name)
		}
	}
	g.claims[slice]++
	done = func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.claims[slice]--; g.claims[slice] <= 0 {
			delete(g.claims, slice)
			g.notifyStateChangedLocked()
		}
	}
	return g.gainedSlices[slice], done, nil
}

// finishFailed records a failure; a request that was not run may be run by a duplicate.
func (g *Group) finishFailed(entry *idempotency.Entry, err error) error {
	refusal := outcome.FromError(err)
	if refusal.Outcome == outcome.KindNotRun {
		g.memory.Abandon(entry, idempotency.Answer{Err: refusal})
		return refusal
	}
	g.memory.Finish(entry, idempotency.Answer{Err: outcome.Unknown(outcome.DuplicateRejected,
		"the first sending has no answer and is not repeated: %s", refusal.Detail)})
	return refusal
}

// finishAnswered reads and stores the whole answer, so that duplicates get the same one.
func (g *Group) finishAnswered(entry *idempotency.Entry, answer *exchange.Response) (*exchange.Response, error) {
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxStoredBodyBytes+1))
	if err != nil {
		return nil, g.finishFailed(entry, outcome.Unknown(outcome.Interrupted, "the answer of backend server %s was cut short: %v", answer.Server, err))
	}
	if len(body) > maxStoredBodyBytes {
		return nil, g.finishFailed(entry, outcome.Unknown(outcome.Interrupted, "the answer of backend server %s is over %d bytes, too large for a route that is not idempotent", answer.Server, maxStoredBodyBytes))
	}
	kept := idempotency.Answer{Response: *answer, Body: body}
	kept.Response.Body = nil
	g.memory.Finish(entry, kept)
	return replay(kept), nil
}

// await answers a duplicate with the answer to its original, once that has ended.
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

// replay returns a stored answer with a body of its own.
func replay(a idempotency.Answer) *exchange.Response {
	r := a.Response
	r.Header = r.Header.Clone()
	r.Body = io.NopCloser(bytes.NewReader(a.Body))
	r.Length = int64(len(a.Body))
	return &r
}

// AwaitClaims waits until no at-most-once request is in flight; it returns false where the context ends first.
func (g *Group) AwaitClaims(ctx context.Context) bool {
	for {
		g.mu.Lock()
		none, changed := len(g.claims) == 0, g.stateChanged
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
