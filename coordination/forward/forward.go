// Package forward carries a request to backend servers until it has an answer or a refusal.
//
// It decides which request may be sent again: one that a backend server says
// it has not run, one that was never sent, and, within the route's attempts
// and the retry budget, an idempotent one whose outcome is unknown.
//
// # Usage
//
//	f := forward.NewForwarder(dispatcher, forward.WithSend(send))
//	answer, err := f.Forward(ctx, request)
//	if refusal := outcome.FromError(err); refusal.Outcome == outcome.KindNotRun {
//		// No backend server has run the request, and none will.
//	}
package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// Request is a caller's request with its route.
type Request struct {
	// ID is the caller's name for this attempt.
	ID      string
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
	Route   *fleet.Route
	Service id.Service
	Keyed   bool
	Key     fleet.Key
	Arrived clock.Instant
	// Deadline is when the caller or the route gives up.
	Deadline clock.Instant
	// Objective is when the answer loses most of its worth, counted from the caller's first attempt.
	Objective clock.Instant
}

// Answer is a backend server's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Server id.Server
	// Attempts is the number of sendings.
	Attempts int
}

// Attempt is one sending of a request to a backend server.
type Attempt struct {
	Request *Request
	Slot    *dispatch.Slot
	// Timeout is the time that the backend server is given.
	Timeout time.Duration
	// NewConnection asks for a new connection.
	NewConnection bool
}

// Reply is what came back from one sending.
type Reply struct {
	Answer Answer
	Report dispatch.Report
	// NotRun says that the backend server has not run the request.
	NotRun bool
	// Misplaced says that another backend server than the expected one answered, or one that doesn't hold the key.
	Misplaced bool
}

// Failure is a sending without an answer.
type Failure struct {
	// Sent says that the backend server may have the request.
	Sent bool
	// Refused says that nothing listens at the address.
	Refused bool
	// AtConnectionLimit says that all connections were in use.
	AtConnectionLimit bool
	Cause             error
}

// Error returns the cause.
func (f *Failure) Error() string { return f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Limits of further sendings.
const (
	// maxRejections bounds the sendings of one request that backend servers turn away.
	maxRejections = 4
	// minLeft is the least time for which a further sending is worth while.
	minLeft = 20 * time.Millisecond
	// misplacedPause is the time before a key that moves is tried again.
	misplacedPause = 40 * time.Millisecond
	// retryAfterShed is what callers are told whose request was turned away by full backend servers.
	retryAfterShed = 200 * time.Millisecond
)

// Forwarder is safe for concurrent use.
type Forwarder struct {
	options    Options
	dispatcher *dispatch.Dispatcher

	mu       sync.Mutex
	budgets  map[id.Service]*budget
	suspects map[id.Server]*suspects
}

// NewForwarder returns a forwarder that takes room from a dispatcher.
func NewForwarder(d *dispatch.Dispatcher, opts ...Option) *Forwarder {
	return &Forwarder{options: newOptions(opts), dispatcher: d, budgets: map[id.Service]*budget{}, suspects: map[id.Server]*suspects{}}
}

// course is the state of one request on its way.
type course struct {
	request *Request
	tried   []id.Server
	// runs counts the sendings that a backend server may have run.
	runs       int
	rejections int
	arrivals   int
	sendings   int
	misplaced  int
	// failure is the last answer by which a backend server said that it has failed.
	failure *Answer
}

// Forward returns the answer of a backend server or says what became of the request.
func (f *Forwarder) Forward(ctx context.Context, r *Request) (answer *Answer, err error) {
	f.budget(r.Service).earn()
	if refusal := f.convicted(r); refusal != nil {
		return nil, refusal
	}
	c := &course{request: r}
	answer, err = f.follow(ctx, c)
	if err != nil && c.failure != nil {
		// The answer of a backend server says more than that no other one gave a better one.
		c.failure.Attempts = c.sendings
		return c.failure, nil
	}
	return answer, err
}

// follow makes sendings until one brings an answer or none may follow.
func (f *Forwarder) follow(ctx context.Context, c *course) (answer *Answer, err error) {
	r := c.request
	for {
		slot, err := f.dispatcher.Acquire(ctx, f.demand(c))
		if err != nil {
			return nil, c.final(refusalOf(err))
		}
		if c.arrivals > 0 && !f.budget(r.Service).spend() {
			slot.Done(dispatch.Cancelled, dispatch.Report{})
			return nil, c.final(outcome.NotRun(outcome.Overloaded, "the retry budget of service %s is used up", r.Service).WithRetryAfter(retryAfterShed))
		}
		answer, again, err := f.send(ctx, c, slot)
		if !again {
			return answer, err
		}
	}
}

func (f *Forwarder) demand(c *course) dispatch.Demand {
	r := c.request
	return dispatch.Demand{
		Service: r.Service, Priority: r.Route.Priority, Keyed: r.Keyed, Key: r.Key, Arrived: r.Arrived,
		Deadline: r.Deadline, Objective: r.Objective, Avoid: c.tried, Retry: c.sendings > 0,
	}
}

// send makes one sending; again says that the request may be sent once more.
func (f *Forwarder) send(ctx context.Context, c *course, slot *dispatch.Slot) (answer *Answer, again bool, err error) {
	r := c.request
	left := r.Deadline.Sub(f.options.Clock.Boot())
	if left < minLeft {
		slot.Done(dispatch.Cancelled, dispatch.Report{})
		return nil, false, c.final(outcome.NotRun(outcome.Overloaded, "no time is left for a sending"))
	}
	c.sendings++
	began := f.options.Clock.Boot()
	reply, failure := f.options.Send(ctx, Attempt{Request: r, Slot: slot, Timeout: left, NewConnection: !r.Route.Idempotent && c.sendings > 1})
	f.options.Observe(r, slot, f.options.Clock.Boot().Sub(began), reply, failure)
	if failure != nil {
		return f.failed(ctx, c, slot, failure)
	}
	c.arrivals++
	if reply.Misplaced || reply.NotRun {
		return f.rejected(ctx, c, slot, reply)
	}
	c.runs++
	f.acquit(slot.Server.Server)
	slot.Done(resultOf(reply.Answer.Status), reply.Report)
	reply.Answer.Attempts = c.sendings
	if reply.Answer.Status >= http.StatusInternalServerError && f.mayRepeat(ctx, c) {
		c.failure = &reply.Answer
		c.tried = append(c.tried, slot.Server.Server)
		return nil, true, nil
	}
	return &reply.Answer, false, nil
}

// resultOf tells a failure of the backend server from an answer; one that ran out of time is slow, not broken.
func resultOf(status int) dispatch.Result {
	if status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout {
		return dispatch.ServerError
	}
	return dispatch.Answered
}

// rejected decides about a request that the backend server has not run.
func (f *Forwarder) rejected(ctx context.Context, c *course, slot *dispatch.Slot, reply *Reply) (answer *Answer, again bool, err error) {
	if reply.Misplaced {
		slot.Done(dispatch.Misplaced, reply.Report)
		c.misplaced++
		if c.request.Keyed && !f.pause(ctx, misplacedPause) {
			return nil, false, c.final(outcome.NotRun(outcome.CallerDisconnected, "the caller left"))
		}
	} else {
		slot.Done(dispatch.Shed, reply.Report)
	}
	if c.rejections++; c.rejections >= maxRejections {
		return nil, false, c.final(outcome.NotRun(outcome.Overloaded, "%d backend servers turned the request away", c.rejections).WithRetryAfter(retryAfterShed))
	}
	if !c.request.Keyed {
		c.tried = append(c.tried, slot.Server.Server)
	}
	return nil, true, nil
}

// failed decides about a request that brought no answer.
func (f *Forwarder) failed(ctx context.Context, c *course, slot *dispatch.Slot, failure *Failure) (answer *Answer, again bool, err error) {
	server := slot.Server.Server
	if !failure.Sent {
		if failure.Refused {
			f.confirm(server)
		}
		result := dispatch.Unreachable
		if failure.AtConnectionLimit {
			result = dispatch.Shed
		}
		slot.Done(result, dispatch.Report{})
		if ctx.Err() != nil {
			return nil, false, c.final(outcome.NotRun(outcome.CallerDisconnected, "the caller left before the request was sent"))
		}
		if c.rejections++; c.rejections >= maxRejections {
			return nil, false, c.final(outcome.NotRun(outcome.NoServer, "%d backend servers were out of reach", c.rejections).WithRetryAfter(retryAfterShed))
		}
		if !c.request.Keyed {
			c.tried = append(c.tried, server)
		}
		return nil, true, nil
	}
	c.runs++
	c.arrivals++
	if errors.Is(ctx.Err(), context.Canceled) {
		slot.Done(dispatch.Cancelled, dispatch.Report{})
		return nil, false, outcome.Unknown(outcome.CallerDisconnected, "the caller left while backend server %s had the request", server)
	}
	result := dispatch.TimedOut
	if ctx.Err() == nil {
		result = dispatch.ConnectionBroken
	}
	slot.Done(result, dispatch.Report{})
	if result == dispatch.ConnectionBroken {
		f.suspect(server, f.fingerprint(c.request))
	}
	if f.mayRepeat(ctx, c) {
		c.tried = append(c.tried, server)
		return nil, true, nil
	}
	if ctx.Err() != nil {
		return nil, false, outcome.Unknown(outcome.DeadlineExceeded, "backend server %s did not answer in time", server)
	}
	return nil, false, outcome.Unknown(outcome.ServerFailed, "backend server %s gave no answer: %v", server, failure.Cause)
}

// mayRepeat reports whether a request that may have run can be sent to another backend server.
func (f *Forwarder) mayRepeat(ctx context.Context, c *course) bool {
	r := c.request
	return r.Route.Idempotent && c.runs < r.Route.MaxAttempts && ctx.Err() == nil &&
		r.Deadline.Sub(f.options.Clock.Boot()) > minLeft && f.convicted(r) == nil
}

func (f *Forwarder) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-f.options.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// final keeps a refusal honest: what an earlier sending may have done isn't undone by it.
func (c *course) final(e *outcome.Error) *outcome.Error { return outcome.Final(e, c.runs > 0) }

// refusalOf translates what the dispatcher says.
func refusalOf(err error) *outcome.Error {
	var r *dispatch.Refusal
	if !errors.As(err, &r) {
		return outcome.NotRun(outcome.InternalError, "%v", err)
	}
	reason := map[dispatch.Reason]outcome.Reason{
		dispatch.Overloaded: outcome.Overloaded, dispatch.NoServer: outcome.NoServer,
		dispatch.NoOwner: outcome.NoOwner, dispatch.CallerGone: outcome.CallerDisconnected,
	}[r.Reason]
	return outcome.NotRun(reason, "%v", r).WithRetryAfter(r.RetryAfter)
}
