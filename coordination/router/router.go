// Package router forwards a request to the lease holder of its group, on this VM or on another one.
//
// # Usage
//
//	r := router.NewRouter("vm1", "east", directory, local, client.Relay)
//	response, err := r.Serve(ctx, request)
package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/budget"
	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/id"
)

// Limits of retries at another group or at a new lease holder.
const (
	// retryDelay is the time between two attempts, unless a change of the directory ends it early.
	retryDelay = 25 * time.Millisecond
	// retryTokenRatio is the number of retries after an unknown outcome that each request earns.
	retryTokenRatio = 0.1
	// retryMaxTokens is the maximum number of such retries that can be saved up for a burst.
	retryMaxTokens = 50
	// maxRetries is the maximum number of retries of one request.
	maxRetries = 60
)

// Relay forwards a request to another VM.
type Relay func(ctx context.Context, vm id.VM, r *exchange.Request) (*exchange.Response, error)

// Local returns the handler of a group if this VM holds its lease.
type Local func(g id.Group) (exchange.Handler, bool)

// Router forwards requests to lease holders. It is safe for concurrent use.
type Router struct {
	options   Options
	vm        id.VM
	domain    id.Domain
	directory *directory.Directory
	local     Local
	relay     Relay
	loads     *loadTracker
	// retryBudget limits retries after an unknown outcome.
	retryBudget *budget.Budget
}

// NewRouter returns the Router of a VM in a failure domain.
func NewRouter(vm id.VM, domain id.Domain, d *directory.Directory, local Local, relay Relay, opts ...Option) *Router {
	return &Router{
		options:     newOptions(opts),
		vm:          vm,
		domain:      domain,
		directory:   d,
		local:       local,
		relay:       relay,
		loads:       newLoadTracker(),
		retryBudget: budget.NewBudget(retryTokenRatio, retryMaxTokens),
	}
}

// Serve forwards a request to the lease holder of its group and returns the response.
//
// A request that was not run because its key is being moved, or because its
// holder was lost, is retried until the wait limit of its route is reached.
// The error is an outcome.Error.
func (r *Router) Serve(ctx context.Context, req *exchange.Request) (resp *exchange.Response, err error) {
	p, err := exchange.NewPayload(req)
	if err != nil {
		return nil, err
	}
	r.retryBudget.Deposit()
	waitUntil := r.options.Clock.Now().Add(min(max(req.Wait, r.options.MinWait), req.Deadline.Sub(r.options.Clock.Now())))
	tried := map[id.Group]bool{}
	unknownRetries, unknown := 0, false
	for attempt := 0; ; attempt++ {
		changed := r.directory.Changed()
		copied := *req
		copied.Body = p.Reader()
		resp, err := r.attempt(ctx, &copied, tried)
		if err == nil {
			return resp, nil
		}
		refusal := outcome.FromError(err)
		if refusal.Outcome == outcome.KindUnknown {
			unknown = true
			if !r.allowRetry(ctx, req, p, refusal, unknownRetries) {
				return nil, refusal
			}
			unknownRetries++
		} else if !refusal.IsRetryable() || refusal.Reason == outcome.Overloaded && len(tried) == 0 {
			return nil, outcome.Final(refusal, unknown)
		}
		if ctx.Err() != nil || !p.IsReplayable() || attempt >= maxRetries || !r.options.Clock.Now().Before(waitUntil) {
			return nil, outcome.Final(refusal, unknown)
		}
		if err := r.waitForChange(ctx, changed); err != nil {
			return nil, outcome.Final(refusal, unknown)
		}
	}
}

// allowRetry reports whether a request with an unknown outcome may be retried, and takes a token from the budget if so.
//
// The argument retries counts the earlier retries at this router, so that it allows one more than the route's Retries. The
// lease holder counts its own retries.
func (r *Router) allowRetry(ctx context.Context, req *exchange.Request, p *exchange.Payload, e *outcome.Error, retries int) bool {
	return req.Idempotent && e.Reason == outcome.PeerFailed && ctx.Err() == nil &&
		p.IsReplayable() && retries <= req.Retries && r.retryBudget.TryWithdraw()
}

// waitForChange waits until the directory changes, retryDelay has passed or the context ends.
func (r *Router) waitForChange(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
	case <-r.options.Clock.After(retryDelay):
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// attempt selects a group and forwards the request to its lease holder once.
//
// It adds the group to tried; once all groups of the service were tried, tried is cleared.
func (r *Router) attempt(ctx context.Context, req *exchange.Request, tried map[id.Group]bool) (resp *exchange.Response, err error) {
	view := r.directory.View()
	g, err := r.selectGroup(view, req, tried)
	if err != nil {
		return nil, err
	}
	req.Group = g
	if !req.RoutedByHash() {
		tried[g] = true
		defer func() {
			if len(tried) >= len(view.ByService[req.Service]) {
				clear(tried)
			}
		}()
	}
	resp, err = r.forward(ctx, view, req)
	if err == nil {
		r.loads.record(r.options.Clock.Now(), g, resp.Load)
	} else {
		r.loads.recordRefusal(r.options.Clock.Now(), g, outcome.FromError(err))
	}
	return resp, err
}

// errHolderChanged is the cause with which an idempotent request is cancelled at a replaced lease holder.
var errHolderChanged = errors.New("the holder of the lease was replaced")

// forward passes the request to the lease holder of its group, on this VM or by relay.
func (r *Router) forward(ctx context.Context, view *directory.View, req *exchange.Request) (resp *exchange.Response, err error) {
	if serve, ok := r.local(req.Group); ok {
		return serve(ctx, req)
	}
	record, ok := view.Leases[req.Group]
	if !ok || record.IsVacant() || record.Holder == r.vm {
		return nil, outcome.NotRun(outcome.NoOwner, "nobody holds the lease of group %s", req.Group)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	answered := make(chan struct{})
	if req.Idempotent {
		go r.cancelOnFailover(ctx, req.Group, record.Holder, cancel, answered)
	}
	resp, err = r.relay(ctx, record.Holder, req)
	close(answered)
	if err != nil {
		cancel(nil)
		if errors.Is(context.Cause(ctx), errHolderChanged) {
			return nil, outcome.Unknown(outcome.PeerFailed, "VM %s lost the lease of group %s while it had the request", record.Holder, req.Group)
		}
		return nil, err
	}
	resp.Body = exchange.OnClose(resp.Body, func() { cancel(nil) })
	return resp, nil
}

// cancelOnFailover cancels a relayed request once the lease changes hands, since the old holder may never answer.
func (r *Router) cancelOnFailover(ctx context.Context, g id.Group, holder id.VM, cancel context.CancelCauseFunc, answered <-chan struct{}) {
	for {
		changed := r.directory.Changed()
		if record := r.directory.View().Leases[g]; record.Holder != holder {
			// A holder that released its lease in a planned stop still answers its requests in flight.
			select {
			case <-r.options.Clock.After(r.options.FailoverGrace):
				cancel(errHolderChanged)
			case <-answered:
			case <-ctx.Done():
			}
			return
		}
		select {
		case <-changed:
		case <-answered:
			return
		case <-ctx.Done():
			return
		}
	}
}
