// Package router brings a request to the lease holder of its group, wherever that is.
//
// # Usage
//
//	r := router.NewRouter("vm1", "east", directory, local, client.Relay)
//	answer, err := r.Serve(ctx, request)
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

// Limits of another try at another or a later holder.
const (
	// retryPause is the time after which a request that was not run is tried again.
	retryPause = 25 * time.Millisecond
	// repeatShare is the share of idempotent requests that may be sent again after an unknown outcome.
	repeatShare = 0.1
	repeatSaved = 50
	// maxMoves is the number of times that one request is brought to a holder.
	maxMoves = 60
)

// Relay passes a request to another VM.
type Relay func(ctx context.Context, vm id.VM, r *exchange.Request) (*exchange.Response, error)

// Local returns the handler of a group whose lease this VM holds.
type Local func(g id.Group) (exchange.Handler, bool)

// Router is safe for concurrent use.
type Router struct {
	options   Options
	vm        id.VM
	domain    id.Domain
	directory *directory.Directory
	local     Local
	relay     Relay
	loads     *loads
	repeats   *budget.Budget
}

// NewRouter returns the router of a VM in a failure domain.
func NewRouter(vm id.VM, domain id.Domain, d *directory.Directory, local Local, relay Relay, opts ...Option) *Router {
	return &Router{
		options:   newOptions(opts),
		vm:        vm,
		domain:    domain,
		directory: d,
		local:     local,
		relay:     relay,
		loads:     newLoads(),
		repeats:   budget.NewBudget(repeatShare, repeatSaved),
	}
}

// Serve answers a request or says what became of it.
//
// A request that was not run because its key is just being moved, or because
// its holder was lost, waits for the new holder as long as its route allows.
func (r *Router) Serve(ctx context.Context, req *exchange.Request) (answer *exchange.Response, err error) {
	p, err := exchange.NewPayload(req)
	if err != nil {
		return nil, err
	}
	r.repeats.Deposit()
	patience := r.options.Clock.Now().Add(min(max(req.Wait, r.options.MinWait), req.Deadline.Sub(r.options.Clock.Now())))
	tried := map[id.Group]bool{}
	repeated, unknown := 0, false
	for move := 0; ; move++ {
		changed := r.directory.Changed()
		one := *req
		one.Body = p.Reader()
		answer, err := r.try(ctx, &one, tried)
		if err == nil {
			return answer, nil
		}
		refusal := outcome.FromError(err)
		if refusal.Outcome == outcome.KindUnknown {
			unknown = true
			if !r.repeatable(ctx, req, p, refusal, repeated) {
				return nil, refusal
			}
			repeated++
		} else if !refusal.IsRetryable() || refusal.Reason == outcome.Overloaded && len(tried) == 0 {
			return nil, outcome.Final(refusal, unknown)
		}
		if ctx.Err() != nil || !p.IsReplayable() || move >= maxMoves || !r.options.Clock.Now().Before(patience) {
			return nil, outcome.Final(refusal, unknown)
		}
		if err := r.pause(ctx, changed); err != nil {
			return nil, outcome.Final(refusal, unknown)
		}
	}
}

// repeatable reports whether a request with an unknown outcome may be run again.
func (r *Router) repeatable(ctx context.Context, req *exchange.Request, p *exchange.Payload, e *outcome.Error, repeated int) bool {
	return req.Idempotent && e.Reason == outcome.PeerFailed && ctx.Err() == nil &&
		p.IsReplayable() && repeated <= req.Retries && r.repeats.TryWithdraw()
}

func (r *Router) pause(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
	case <-r.options.Clock.After(retryPause):
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// try brings a request to the holder of its group once.
func (r *Router) try(ctx context.Context, req *exchange.Request, tried map[id.Group]bool) (answer *exchange.Response, err error) {
	view := r.directory.View()
	g, err := r.group(view, req, tried)
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
	answer, err = r.bring(ctx, view, req)
	if err == nil {
		r.loads.note(r.options.Clock.Now(), g, answer.Load)
	} else {
		r.loads.refused(r.options.Clock.Now(), g, outcome.FromError(err))
	}
	return answer, err
}

// errHolderChanged cancels an idempotent request at a holder that has been replaced.
var errHolderChanged = errors.New("the holder of the lease was replaced")

// bring passes the request to the holder.
func (r *Router) bring(ctx context.Context, view *directory.View, req *exchange.Request) (answer *exchange.Response, err error) {
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
		go r.abandon(ctx, req.Group, record.Holder, cancel, answered)
	}
	answer, err = r.relay(ctx, record.Holder, req)
	close(answered)
	if err != nil {
		cancel(nil)
		if errors.Is(context.Cause(ctx), errHolderChanged) {
			return nil, outcome.Unknown(outcome.PeerFailed, "VM %s lost the lease of group %s while it had the request", record.Holder, req.Group)
		}
		return nil, err
	}
	answer.Body = exchange.OnClose(answer.Body, func() { cancel(nil) })
	return answer, nil
}

// abandon cancels a relayed request once another VM holds the lease, since the old holder may never answer.
func (r *Router) abandon(ctx context.Context, g id.Group, holder id.VM, cancel context.CancelCauseFunc, answered <-chan struct{}) {
	for {
		changed := r.directory.Changed()
		if record := r.directory.View().Leases[g]; record.Holder != holder {
			// A holder that has stopped on purpose finishes what it has.
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
