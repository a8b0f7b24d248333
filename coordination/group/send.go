package group

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/protocol/backend"
	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
)

// ErrNotSent marks an error of Link.Send after which no byte can have reached the backend server.
var ErrNotSent = errors.New("the request was not sent")

// errServerLost cancels idempotent requests at a server that is lost.
var errServerLost = errors.New("the backend server is lost")

// maxRefusals is the number of times that a request which was not run is sent to a server again.
const maxRefusals = 4

// flight is one sending of a request.
type flight struct {
	request *exchange.Request
	payload *exchange.Payload
	cancel  context.CancelCauseFunc
}

// fingerprint identifies requests that are equal as far as their body has been read.
func fingerprint(r *exchange.Request, p *exchange.Payload) poison.Fingerprint {
	return poison.FingerprintOf(string(r.Service), r.Method, r.Target, p.Prefix())
}

// dispatch sends a request, again where its route and the budget allow it.
func (g *Group) dispatch(ctx context.Context, r *exchange.Request) (answer *exchange.Response, err error) {
	p, err := exchange.NewPayload(r)
	if err != nil {
		return nil, err
	}
	g.retries.Deposit()
	g.hedges.Deposit()
	var avoid id.Server
	unknown := false
	for refusals, retries := 0, 0; ; {
		answer, last, err := g.race(ctx, r, p, avoid)
		if err == nil {
			return answer, nil
		}
		refusal := outcome.FromError(err)
		if refusal.Outcome == outcome.KindUnknown {
			unknown = true
		}
		switch {
		case last == "" || !p.IsReplayable() || ctx.Err() != nil:
			return nil, outcome.Final(refusal, unknown)
		case refusal.Outcome == outcome.KindNotRun && refusal.IsRetryable() && refusals < maxRefusals:
			refusals++
		case refusal.Outcome == outcome.KindUnknown && r.Idempotent && retries < r.Retries && g.retries.TryWithdraw():
			retries++
		default:
			return nil, outcome.Final(refusal, unknown)
		}
		avoid = last
	}
}

// attempt waits for a slot and sends the request once; last names the server that was tried.
func (g *Group) attempt(ctx context.Context, r *exchange.Request, p *exchange.Payload, avoid id.Server) (answer *exchange.Response, last id.Server, err error) {
	release, err := g.screen(ctx, r, p)
	if err != nil {
		return nil, "", err
	}
	s, err := g.acquire(ctx, r, avoid)
	if err != nil {
		release()
		return nil, "", err
	}
	done := func() {
		g.vacate(s, r)
		release()
	}
	answer, err = g.send(ctx, r, p, s, done)
	return answer, s.name, err
}

// screen refuses a request that kills servers and lets suspects run one at a time.
func (g *Group) screen(ctx context.Context, r *exchange.Request, p *exchange.Payload) (release func(), err error) {
	release = func() {}
	if g.options.Poison.IsEmpty() {
		return release, nil
	}
	f := fingerprint(r, p)
	switch g.options.Poison.Check(g.options.Clock.Boot(), f) {
	case poison.Blocked:
		return release, outcome.NotRun(outcome.PoisonRequest, "equal requests have crashed backend servers of service %s", g.service)
	case poison.Suspect:
		select {
		case g.suspects <- struct{}{}:
		case <-ctx.Done():
			return release, outcome.NotRun(outcome.DeadlineExceeded, "the request waited behind others that may crash backend servers")
		}
		if g.options.Poison.Check(g.options.Clock.Boot(), f) == poison.Blocked {
			<-g.suspects
			return func() {}, outcome.NotRun(outcome.PoisonRequest, "equal requests have crashed backend servers of service %s", g.service)
		}
		return func() { <-g.suspects }, nil
	default:
		return release, nil
	}
}

// send sends the request to a server whose slot it has; done gives the slot back.
func (g *Group) send(ctx context.Context, r *exchange.Request, p *exchange.Payload, s *server, done func()) (answer *exchange.Response, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	f := &flight{request: r, payload: p, cancel: cancel}
	finish := sync.OnceFunc(func() {
		g.land(s, f)
		cancel(nil)
		done()
	})
	req, c, limit, err := g.prepare(ctx, r, p, s, f)
	if err != nil {
		finish()
		return nil, err
	}
	watched := g.watch(s)
	startedAt := g.options.Clock.Boot()
	resp, err := g.link.Send(ctx, c, limit, req)
	watched()
	if err != nil {
		err = g.failed(ctx, s, f, err, g.options.Clock.Boot().Sub(startedAt))
		finish()
		return nil, err
	}
	if refusal := g.answered(s, r, f, resp, g.options.Clock.Boot().Sub(startedAt)); refusal != nil {
		resp.Body.Close()
		finish()
		return nil, refusal
	}
	return &exchange.Response{
		Status: resp.StatusCode,
		Header: resp.Header,
		Body:   exchange.OnClose(resp.Body, finish),
		Length: resp.ContentLength,
		Server: s.name,
		Load:   g.Load(),
	}, nil
}

// prepare checks once more that the request may be sent and makes the message for the server.
func (g *Group) prepare(ctx context.Context, r *exchange.Request, p *exchange.Payload, s *server, f *flight) (req *http.Request, c config.Server, limit int, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	left := r.Deadline.Sub(g.options.Clock.Now())
	if left <= 0 {
		return nil, c, 0, outcome.NotRun(outcome.DeadlineExceeded, "the request's time was over before it could be sent")
	}
	req, err = http.NewRequestWithContext(ctx, r.Method, "http://"+s.config.Address+r.Target, p.Reader())
	if err != nil {
		return nil, c, 0, outcome.NotRun(outcome.BadRequest, "%v", err)
	}
	req.Host, req.Header, req.ContentLength = r.Host, r.Header.Clone(), r.Length
	req.Header.Set(backend.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	if err := g.fence(req, r, s); err != nil {
		return nil, c, 0, err
	}
	s.flights[f] = struct{}{}
	g.loads.count(g.directory.View().Tables[g.service], s.name, r)
	return req, s.config, g.directory.View().Site.Services[g.service].Connections, nil
}

// fence checks the lease and, for a keyed request, states the grant that it is sent under.
func (g *Group) fence(req *http.Request, r *exchange.Request, s *server) error {
	if !g.mayServe(r) {
		return outcome.NotRun(outcome.Moved, "the lease of group %s lapsed before the request was sent", g.name)
	}
	if !r.Keyed {
		return nil
	}
	owner, err := g.owner(r)
	if err != nil {
		return err
	}
	if owner != s || !g.covers(s, r) {
		return outcome.NotRun(outcome.Moved, "the key was moved before the request was sent")
	}
	req.Header.Set(backend.HeaderFence, s.grant.fence.String())
	req.Header.Set(backend.HeaderKey, backend.FormatKey(r.Key))
	if g.directory.View().Site.Services[g.service].Fenced {
		end := g.expiryLocked()
		s.grant.expiry = max(s.grant.expiry, end)
		req.Header.Set(backend.HeaderExpiry, backend.FormatClock(s.grant.remote(end)))
	}
	return nil
}

// outrun takes note of a server that was slower than another one.
func (g *Group) outrun(s *server, waited time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.ramp.RecordCancelled(waited)
}

// land ends a sending.
func (g *Group) land(s *server, f *flight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(s.flights, f)
}

// answered takes note of an answer's header; a refusal by the server itself is returned as one.
func (g *Group) answered(s *server, r *exchange.Request, f *flight, resp *http.Response, latency time.Duration) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.lastHeard = g.options.Clock.Boot()
	if s.sawBoot(id.Incarnation(resp.Header.Get(backend.HeaderBoot))) {
		g.options.Log.Info("backend server was restarted", "group", g.name, "server", s.name)
	}
	if load, err := strconv.Atoi(resp.Header.Get(backend.HeaderLoad)); err == nil {
		s.reported = load
	}
	cause := resp.Header.Get(backend.HeaderNotRun)
	if cause == "" {
		s.ramp.RecordAnswer(latency)
		s.work += latency
		g.latency.add(latency)
		if !g.options.Poison.IsEmpty() {
			g.options.Poison.ClearSuspect(fingerprint(r, f.payload))
		}
		return nil
	}
	return g.refused(s, cause)
}

// refused takes note of a refusal by the server itself, which has run nothing.
func (g *Group) refused(s *server, cause string) error {
	switch cause {
	case backend.RefusedDraining:
		if s.condition != leaving {
			g.turn(s, leaving)
		}
		return outcome.NotRun(outcome.NoServer, "backend server %s is draining", s.name)
	case backend.RefusedFence, backend.RefusedExpired, backend.RefusedSlice:
		s.grant.acked = false
		g.poke()
		return outcome.NotRun(outcome.NoOwner, "backend server %s refused the grant: %s", s.name, cause)
	case backend.RefusedDeadline:
		return outcome.NotRun(outcome.DeadlineExceeded, "too little time was left for the request")
	default:
		s.ramp.RecordOverload()
		return outcome.NotRun(outcome.Overloaded, "backend server %s shed the request", s.name).WithRetryAfter(retryAfterOverload)
	}
}

// failed takes note of a sending without an answer and says what became of it.
func (g *Group) failed(ctx context.Context, s *server, f *flight, cause error, waited time.Duration) error {
	r := f.request
	if errors.Is(context.Cause(ctx), errOutrun) {
		g.outrun(s, waited)
		return outcome.Unknown(outcome.CallerDisconnected, "another copy was answered first")
	}
	if errors.Is(cause, ErrNotSent) {
		g.suspect(s)
		return outcome.NotRun(outcome.NoServer, "backend server %s can't be reached: %v", s.name, cause)
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errServerLost) {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return outcome.Unknown(outcome.DeadlineExceeded, "backend server %s did not answer in time", s.name)
		}
		return outcome.Unknown(outcome.CallerDisconnected, "the request was cancelled after it was sent")
	}
	g.suspect(s)
	if !errors.Is(context.Cause(ctx), errServerLost) && g.died(ctx, s) {
		deaths := g.options.Poison.RecordCrash(g.options.Clock.Boot(), fingerprint(r, f.payload))
		g.options.OnServerCrash(fingerprint(r, f.payload), deaths)
	}
	return outcome.Unknown(outcome.ServerFailed, "backend server %s failed after the request was sent: %v", s.name, cause)
}
