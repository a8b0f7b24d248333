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

// ErrNotSent marks errors of Transport.Send that occur before any byte can have reached the backend server.
var ErrNotSent = errors.New("the request was not sent")

// errServerLost cancels idempotent requests in flight at a lost server.
var errServerLost = errors.New("the backend server is lost")

// maxNotRunRetries is the maximum number of retries after attempts that were not run; they don't use the retry budget.
const maxNotRunRetries = 4

// attempt is one attempt of a request at a backend server.
type attempt struct {
	request *exchange.Request
	payload *exchange.Payload
	cancel  context.CancelCauseFunc
}

// fingerprint identifies requests that are equal in service, method, target and the part of the body read so far.
func fingerprint(r *exchange.Request, p *exchange.Payload) poison.Fingerprint {
	return poison.FingerprintOf(string(r.Service), r.Method, r.Target, p.Prefix())
}

// sendWithRetries sends a request and retries it where its route and the retry budget allow it.
func (g *Group) sendWithRetries(ctx context.Context, r *exchange.Request) (answer *exchange.Response, err error) {
	p, err := exchange.NewPayload(r)
	if err != nil {
		return nil, err
	}
	g.retries.Deposit()
	g.hedges.Deposit()
	var avoid id.Server
	unknown := false
	for refusals, retries := 0, 0; ; {
		answer, last, err := g.sendHedged(ctx, r, p, avoid)
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
		case refusal.Outcome == outcome.KindNotRun && refusal.IsRetryable() && refusals < maxNotRunRetries:
			refusals++
		case refusal.Outcome == outcome.KindUnknown && r.Idempotent && retries < r.Retries && g.retries.TryWithdraw():
			retries++
		default:
			return nil, outcome.Final(refusal, unknown)
		}
		avoid = last
	}
}

// sendOnce waits for a slot and makes one attempt; last is the server that was tried.
func (g *Group) sendOnce(ctx context.Context, r *exchange.Request, p *exchange.Payload, avoid id.Server) (answer *exchange.Response, last id.Server, err error) {
	release, err := g.checkPoison(ctx, r, p)
	if err != nil {
		return nil, "", err
	}
	s, err := g.acquire(ctx, r, avoid)
	if err != nil {
		release()
		return nil, "", err
	}
	done := func() {
		g.releaseSlot(s, r)
		release()
	}
	answer, err = g.send(ctx, r, p, s, done)
	return answer, s.name, err
}

// checkPoison refuses a poison request, and lets suspected ones run one at a time.
//
// The caller calls release when the request has ended.
func (g *Group) checkPoison(ctx context.Context, r *exchange.Request, p *exchange.Payload) (release func(), err error) {
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

// send sends the request to a server of which it holds a slot; done releases the slot.
func (g *Group) send(ctx context.Context, r *exchange.Request, p *exchange.Payload, s *server, done func()) (answer *exchange.Response, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{request: r, payload: p, cancel: cancel}
	finish := sync.OnceFunc(func() {
		g.endAttempt(s, a)
		cancel(nil)
		done()
	})
	req, c, limit, err := g.prepare(ctx, r, p, s, a)
	if err != nil {
		finish()
		return nil, err
	}
	stopTimer := g.startSuspectTimer(s)
	startedAt := g.options.Clock.Boot()
	resp, err := g.transport.Send(ctx, c, limit, req)
	stopTimer()
	if err != nil {
		err = g.handleFailure(ctx, s, a, err, g.options.Clock.Boot().Sub(startedAt))
		finish()
		return nil, err
	}
	if refusal := g.handleAnswer(s, r, a, resp, g.options.Clock.Boot().Sub(startedAt)); refusal != nil {
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

// prepare checks again that the request may be sent, since it may have waited, and builds the HTTP request.
func (g *Group) prepare(ctx context.Context, r *exchange.Request, p *exchange.Payload, s *server, a *attempt) (req *http.Request, c config.Server, limit int, err error) {
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
	if err := g.setFence(req, r, s); err != nil {
		return nil, c, 0, err
	}
	s.attempts[a] = struct{}{}
	g.loads.add(g.directory.View().Tables[g.service], s.name, r)
	return req, s.config, g.directory.View().Site.Services[g.service].Connections, nil
}

// setFence checks the lease and, for a keyed request, sets the headers with its fence and the grant's expiry.
func (g *Group) setFence(req *http.Request, r *exchange.Request, s *server) error {
	if !g.mayServe(r) {
		return outcome.NotRun(outcome.Moved, "the lease of group %s lapsed before the request was sent", g.name)
	}
	if !r.Keyed {
		return nil
	}
	owner, err := g.ownerOf(r)
	if err != nil {
		return err
	}
	if owner != s || !g.covers(s, r) {
		return outcome.NotRun(outcome.Moved, "the key was moved before the request was sent")
	}
	req.Header.Set(backend.HeaderFence, s.grant.fence.String())
	req.Header.Set(backend.HeaderKey, backend.FormatKey(r.Key))
	if g.directory.View().Site.Services[g.service].Fenced {
		expiry := g.grantExpiryLocked()
		s.grant.expiry = max(s.grant.expiry, expiry)
		req.Header.Set(backend.HeaderExpiry, backend.FormatClock(s.grant.toServerClock(expiry)))
	}
	return nil
}

// recordHedgeLost records the latency of an attempt that was cancelled because another one was answered first.
func (g *Group) recordHedgeLost(s *server, waited time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.limiter.RecordCancelled(waited)
}

// endAttempt removes an attempt from those in flight at a server.
func (g *Group) endAttempt(s *server, a *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(s.attempts, a)
}

// handleAnswer updates the state of a server with the header of its answer; a refusal by the server is returned as an error.
func (g *Group) handleAnswer(s *server, r *exchange.Request, a *attempt, resp *http.Response, latency time.Duration) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.lastChecked = g.options.Clock.Boot()
	if s.recordBoot(id.Incarnation(resp.Header.Get(backend.HeaderBoot))) {
		g.options.Log.Info("backend server answered with a new incarnation", "group", g.name, "server", s.name)
	}
	if load, err := strconv.Atoi(resp.Header.Get(backend.HeaderLoad)); err == nil {
		s.reportedLoad = load
	}
	cause := resp.Header.Get(backend.HeaderNotRun)
	if cause == "" {
		s.limiter.RecordAnswer(latency)
		s.serviceTime += latency
		g.latencies.observe(latency)
		if !g.options.Poison.IsEmpty() {
			g.options.Poison.ClearSuspect(fingerprint(r, a.payload))
		}
		return nil
	}
	return g.handleRefusal(s, cause)
}

// handleRefusal updates the state of a server that refused a request without running it.
func (g *Group) handleRefusal(s *server, cause string) error {
	switch cause {
	case backend.RefusedDraining:
		if s.state != draining {
			g.markUnavailable(s, draining)
		}
		return outcome.NotRun(outcome.NoServer, "backend server %s is draining", s.name)
	case backend.RefusedFence, backend.RefusedExpired, backend.RefusedSlice:
		s.grant.acked = false
		g.wakeRun()
		return outcome.NotRun(outcome.NoOwner, "backend server %s refused the grant: %s", s.name, cause)
	case backend.RefusedDeadline:
		return outcome.NotRun(outcome.DeadlineExceeded, "too little time was left for the request")
	default:
		s.limiter.RecordOverload()
		return outcome.NotRun(outcome.Overloaded, "backend server %s shed the request", s.name).WithRetryAfter(retryAfterOverload)
	}
}

// handleFailure handles an attempt without an answer and returns whether it was not run or its outcome is unknown.
func (g *Group) handleFailure(ctx context.Context, s *server, a *attempt, cause error, waited time.Duration) error {
	r := a.request
	if errors.Is(context.Cause(ctx), errHedgeLost) {
		g.recordHedgeLost(s, waited)
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
	if !errors.Is(context.Cause(ctx), errServerLost) && g.hasCrashed(ctx, s) {
		deaths := g.options.Poison.RecordCrash(g.options.Clock.Boot(), fingerprint(r, a.payload))
		g.options.OnServerCrash(fingerprint(r, a.payload), deaths)
	}
	return outcome.Unknown(outcome.ServerFailed, "backend server %s failed after the request was sent: %v", s.name, cause)
}
