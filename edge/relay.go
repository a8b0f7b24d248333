package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/clearance"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/transport/http1"
	"github.com/hickorylug/hickorylug/transport/http1server"
	"github.com/hickorylug/hickorylug/transport/relay"
)

// grantUserTimeout bounds the time in which the kernel sends the bytes of a grant again, also after this process was killed.
const grantUserTimeout = 200 * time.Millisecond

// errLinksHang is the cause of attempts that end because this VM's links to all backend servers hang.
var errLinksHang = errors.New("the links of this VM hang")

// Causes of attempts that are not sent although a connection is there.
var (
	errLate           = errors.New("the latest time to send it has passed")
	errConnectionLate = errors.New("the leadership wasn't confirmed after the connection was opened")
	// errWithheld marks reasons for which a request must not be sent any more.
	errWithheld = errors.New("the request was withheld")
)

// isWithheld reports whether an attempt was given up before its first byte, for a reason that says nothing of the backend server.
func isWithheld(err error) bool {
	return errors.IsAny(err, errLate, errConnectionLate, errWithheld, http1.ErrUnwanted)
}

// attempt makes an attempt at a backend server: directly or, where this VM may be cut off from all of them, through another VM.
//
// What the other VM says counts as if this VM had seen it. An attempt that was
// sent is never made again here.
func (e *Edge) attempt(ctx context.Context, a relay.Attempt) relay.Result {
	deadline := e.clock.Boot().Add(a.Timeout)
	if e.reach.IsSuspected() {
		if r, ok := e.attemptThroughOthers(ctx, a); ok || e.reach.IsCutOff() {
			return r
		}
	}
	a.Timeout = deadline.Sub(e.clock.Boot())
	r := e.attemptDirectly(ctx, a)
	if f := r.Failure; f == nil || f.Sent || f.AtConnectionLimit || f.Withheld || !e.reach.IsSuspected() {
		return r
	}
	// Only connections failed, and those to other backend servers as well.
	a.Timeout = deadline.Sub(e.clock.Boot())
	if a.IsWanted(ctx) {
		if relayed, ok := e.attemptThroughOthers(ctx, a); ok {
			return relayed
		}
	}
	r.Failure.Refused = false
	return r
}

// attemptDirectly makes an attempt on a connection of this VM.
func (e *Edge) attemptDirectly(ctx context.Context, a relay.Attempt) (r relay.Result) {
	if a.Timeout <= 0 {
		return relay.Result{Failure: &relay.Failure{Cause: "no time is left"}}
	}
	if failure := e.mayBegin(a); failure != nil {
		return relay.Result{Failure: failure}
	}
	deadline := e.clock.Boot().Add(a.Timeout)
	request := http1.Request{
		Address: a.Address, Server: string(a.Server), ID: a.RequestID, Method: a.Method, Target: a.Target, Host: a.Host, Header: a.Header, Body: a.Body,
		MaxConnections: a.MaxConnections, Wanted: a.Wanted,
		// A connection that was opened for a grant and is young yet is kept for its next try.
		NewConnection: a.NewConnection && a.OpenedBy == nil, UnusedConnection: a.NewConnection, OldestConnection: a.OpenedBy != nil,
		OnHead: func(status int, h http.Header) { e.observeHead(a, status, h) },
	}
	if !a.Detached {
		request.IfUnwanted = http1.EndUnwanted
	}
	if a.NotAfter > 0 {
		request.UserTimeout = grantUserTimeout
	}
	if a.Command {
		request.Match = func(_ int, h http.Header) http1.Match { return platform.MatchResponse(h, "") }
	} else {
		request.Header = a.Header.Clone()
		request.Match = func(_ int, h http.Header) http1.Match { return platform.MatchResponse(h, a.RequestID) }
	}
	ctx, abandon := context.WithCancelCause(ctx)
	defer abandon(nil)
	request.BeforeWrite = func(request *http1.Request, age time.Duration) error {
		if a.Command {
			return e.clearCommand(ctx, a, age, &r)
		}
		return e.clearRequest(request, a, deadline, &r)
	}
	request.AfterWrite = func() { r.WriteReturnedAt = e.clock.Boot() }
	wait := e.reach.Begin(a.Server, func() {
		if !a.Detached {
			abandon(errLinksHang)
		}
	})
	answered := false
	defer func() { e.reach.End(wait, answered) }()
	resp, err := e.backends.Do(ctx, request)
	if err != nil {
		isAbandoned := errors.Is(context.Cause(ctx), errLinksHang)
		r.Failure = &relay.Failure{
			Sent: http1.WasSent(err), Refused: errors.Is(err, http1.ErrRefused), AtConnectionLimit: errors.Is(err, http1.ErrNoConnection),
			Abandoned: isAbandoned, Withheld: isWithheld(err) && !isAbandoned, Cause: err.Error(),
		}
		return r
	}
	answered = true
	e.reach.Answered(wait)
	defer resp.Body.Close()
	limit := maxResponseBytes
	if a.Command {
		limit = maxCommandResponseBytes
	}
	body, err := http1.ReadBody(resp.Body, limit, e.bodies)
	if err != nil {
		r.Failure = &relay.Failure{Sent: true, Abandoned: errors.Is(context.Cause(ctx), errLinksHang), Cause: "read the answer: " + err.Error()}
		return r
	}
	r.Status, r.Header, r.Body = resp.Status, resp.Header, body
	return r
}

// clearRequest checks the conditions of a caller's request right before it is written, and sets the header fields that depend on the time.
func (e *Edge) clearRequest(request *http1.Request, a relay.Attempt, deadline clock.Instant, r *relay.Result) error {
	if failure := e.mayBegin(a); failure != nil {
		return errors.Mark(errors.New(failure.Cause), errWithheld)
	}
	if a.Clear != nil {
		if err := a.Clear(); err != nil {
			return err
		}
	}
	now := e.clock.Boot()
	if deadline.Sub(now) < clearance.MinTime {
		return errLate
	}
	platform.SetAttemptHeaders(request.Header, a.RequestID, deadline.Sub(now), a.Server)
	r.WrittenAt = now
	return nil
}

// clearCommand checks the conditions of a command right before it is written on a connection that was opened some time ago.
func (e *Edge) clearCommand(ctx context.Context, a relay.Attempt, age time.Duration, r *relay.Result) error {
	if a.OpenedBy != nil {
		if opened := e.clock.Boot().Add(-age); opened.After(e.confirm(ctx, a, opened)) {
			return errConnectionLate
		}
	}
	now := e.clock.Boot()
	if a.IsLate(now) {
		return errLate
	}
	r.WrittenAt = now
	return nil
}

// confirm returns the latest time at which the connection of an attempt may have been opened. It waits for a time that is wanted until the attempt's
// latest time at most.
func (e *Edge) confirm(ctx context.Context, a relay.Attempt, wanted clock.Instant) clock.Instant {
	ctx, cancel := context.WithTimeout(ctx, a.NotAfter.Sub(e.clock.Boot()))
	defer cancel()
	return a.OpenedBy(ctx, wanted)
}

// attemptThroughOthers makes an attempt through another VM; ok is false if all that were asked declined.
func (e *Edge) attemptThroughOthers(ctx context.Context, a relay.Attempt) (r relay.Result, ok bool) {
	s := e.snapshot.Load()
	started := e.clock.Boot()
	r.Failure = &relay.Failure{Cause: "no other VM can be asked"}
	distrusted := false
	for _, peer := range e.relays.Candidates(e.settings.VM, s.Peers, s.Servers[a.Server].Domain, rand.IntN) {
		left := a
		if left.Timeout -= e.clock.Boot().Sub(started); left.Timeout <= 0 {
			break
		}
		if !a.IsWanted(ctx) {
			return relay.Result{Failure: &relay.Failure{Withheld: true, Cause: http1.ErrUnwanted.Error()}}, true
		}
		if failure := e.mayBegin(a); failure != nil {
			return relay.Result{Failure: failure}, true
		}
		askedAt := e.clock.Boot()
		result, err := e.attemptThrough(ctx, peer, left)
		result.AskedAt = askedAt
		switch {
		case err == nil && isUnreached(result) && !distrusted && e.reach.IsCutOff():
			// The other VM may be cut off without knowing it yet. A second one that says the same is believed.
			distrusted = true
			e.relays.Avoid(peer.VM)
			r.Failure = result.Failure
			continue
		case err == nil:
			return e.relayedResult(a, peer, result), true
		case !errors.Is(err, relay.ErrDeclined):
			return relay.Result{Failure: &relay.Failure{Sent: true, Cause: err.Error()}, Relayed: true}, true
		case isWithheld(err):
			return relay.Result{Failure: &relay.Failure{Withheld: true, Cause: err.Error()}}, true
		}
		e.metrics.attempts.Add("declined", 1)
		e.relays.Avoid(peer.VM)
		r.Failure = &relay.Failure{Cause: err.Error()}
	}
	return r, false
}

// isUnreached reports whether the VM that made an attempt could not connect to the backend server.
func isUnreached(r relay.Result) bool {
	f := r.Failure
	return f != nil && !f.Sent && !f.AtConnectionLimit && !f.Withheld
}

// relayedResult returns the result of an attempt that another VM has made, and observes what it says of the backend server.
func (e *Edge) relayedResult(a relay.Attempt, peer fleet.Peer, r relay.Result) relay.Result {
	e.metrics.attempts.Add("relayed", 1)
	r.Relayed, r.WriteReturnedAt = true, e.clock.Boot()
	if inc, ok := e.respondent(a, r.Header); ok {
		e.observeLeaving(inc, r.Header)
	}
	if r.Failure != nil {
		r.Failure.Cause = "through VM " + string(peer.VM) + ": " + r.Failure.Cause
	}
	return r
}

// attemptThrough makes an attempt through another VM. If that withholds it as its connection is too young, it is asked again once the leadership is
// confirmed; it has kept the connection.
func (e *Edge) attemptThrough(ctx context.Context, peer fleet.Peer, a relay.Attempt) (r relay.Result, err error) {
	begun := e.clock.Boot()
	r, err = e.relayClient.Do(ctx, peer.VM, peer.Address, a)
	if a.OpenedBy == nil || err != nil || r.Failure == nil || !r.Failure.Withheld {
		return r, err
	}
	wanted := e.clock.Boot()
	if confirmed := e.confirm(ctx, a, wanted); wanted.After(confirmed) || a.IsLate(e.clock.Boot()) {
		return r, nil
	}
	a.Timeout -= e.clock.Boot().Sub(begun)
	if again, err := e.relayClient.Do(ctx, peer.VM, peer.Address, a); !errors.Is(err, relay.ErrDeclined) {
		return again, err
	}
	return r, nil
}

// attemptForOther makes an attempt for a VM that reaches no backend server; ok is false if this VM declines it.
//
// It declines what it wouldn't send itself, also while the backend server wants no requests of this VM. The other VM may know less of the
// backend server. Commands carry the name of the process that is to run them.
func (e *Edge) attemptForOther(ctx context.Context, a relay.Attempt) (r relay.Result, ok bool) {
	if e.reach.IsCutOff() || e.dispatcher.IsPaused(fleet.Incarnation{Server: a.Server, Born: a.Born}) && !a.Command {
		return r, false
	}
	if !a.Command {
		server, inUse := e.inUse(a)
		if !inUse {
			return relay.Result{Failure: &relay.Failure{Cause: errNotInUse.Error()}}, true
		}
		a.Address = server.Address
		a.Clear = func() error { return e.clearForOther(ctx, a) }
	}
	begun := e.clock.Boot()
	r = e.attemptDirectly(ctx, a)
	isUnsent := r.Failure != nil && !r.Failure.Sent
	if r.WrittenAt > 0 {
		r.WriteDelay = max(1, r.WrittenAt.Sub(begun))
	}
	if a.Command && a.Method == http.MethodPost {
		e.log.Info("an order was made for another VM", "server", string(a.Server), "born", int64(a.Born), "path", a.Target, "body", string(a.Body), "status", r.Status,
			"sent", !isUnsent, "writtenAfter", max(0, r.WrittenAt.Sub(begun)).String(), "endedAfter", e.clock.Boot().Sub(begun).String())
	}
	return r, !isUnsent || !e.reach.IsCutOff()
}

// clearForOther returns why an attempt for another VM must not be written any more, or nil. ctx is that of the other VM's request.
func (e *Edge) clearForOther(ctx context.Context, a relay.Attempt) error {
	if http1server.HasLeft(ctx) {
		return errors.Mark(errors.New("the other VM no longer waits for it"), errWithheld)
	}
	if server, inUse := e.inUse(a); !inUse || server.Address != a.Address {
		return errors.Mark(errNotInUse, errWithheld)
	}
	return nil
}

// errNotInUse means that this VM doesn't know the backend server of an attempt for another VM, or wouldn't send there itself.
var errNotInUse = errors.New("the backend server is not in use here")

// inUse returns the backend server of an attempt for another VM, and whether this VM would send there itself.
func (e *Edge) inUse(a relay.Attempt) (server fleet.Server, inUse bool) {
	s := e.snapshot.Load()
	server, known := s.Servers[a.Server]
	isUsable := s.Usable(server)
	if s.Tables[server.Service] != nil {
		isUsable = s.UsableForKeys(e.clock.Boot(), server)
	}
	return server, known && server.Born == a.Born && isUsable
}

// drainRelayed waits for the attempts that are made for other VMs, until the context ends.
func (e *Edge) drainRelayed(ctx context.Context, poll time.Duration) {
	for e.relayHandler.InFlight() > 0 && ctx.Err() == nil {
		<-e.clock.After(poll)
	}
}
