// Package forward sends a request to backend servers until it has an answer or a refusal.
//
// It decides which requests may be retried: those that a backend server says it
// has not run, those that were never sent, and, within the route's maximum
// number of attempts and the retry budget, idempotent ones whose outcome is
// unknown.
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

	"github.com/hickorylug/hickorylug/coordination/clearance"
	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// Request is a caller's request with its route.
type Request struct {
	// ID is the attempt ID that the caller sent.
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
	// Deadline is the end of the caller's or the route's timeout.
	Deadline clock.Instant
	// Objective is the time by which the request should be answered, counted from the caller's first attempt; a later answer is worth
	// little to the caller.
	Objective clock.Instant
	// CallerLeft returns when the caller left, or 0 while it waits. Nil means that it waits.
	CallerLeft func() clock.Instant
	// Customer is the customer that sent the request, or empty if none is identified.
	Customer id.Customer
	// Weight is the rate that the customer is entitled to over all VMs, in requests per second; 0 means that it has no limit.
	Weight float64
	// Priority orders the queue; 0 is the highest.
	Priority int
	// ChargeAttempt charges one more attempt to the customer's allotment, after one that may have run, and reports whether it is allowed.
	// Nil means no limit.
	ChargeAttempt func() bool
	// Exchange is the context of the request without its caller: it ends at the deadline or when this VM stops. Nil means the context given to Forward,
	// which also ends when the caller leaves.
	Exchange context.Context
	// HasCallerLeft reports whether the caller has left, maybe before the context ends. Nil means that the context says it.
	HasCallerLeft func() bool
}

// exchange returns the context of the request without its caller.
func (r *Request) exchange(ctx context.Context) context.Context {
	if r.Exchange != nil {
		return r.Exchange
	}
	return ctx
}

// whileSent returns the context that ends an attempt once it was sent. A request that isn't idempotent is completed even if its caller leaves,
// since the caller may rely on its effect.
func (r *Request) whileSent(ctx context.Context) context.Context {
	if r.Route.Idempotent {
		return ctx
	}
	return r.exchange(ctx)
}

// Answer is the complete answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Server id.Server
	// Attempts is the number of attempts that were made.
	Attempts int
}

// Attempt is one attempt to send a request to a backend server.
type Attempt struct {
	Request *Request
	Slot    *dispatch.Slot
	// Timeout is the time left to the deadline.
	Timeout time.Duration
	// NewConnection says that the attempt must not reuse a connection.
	NewConnection bool
	// Wanted ends when the request is no longer wanted unless it was sent. One that is idempotent ends with it then, too.
	Wanted context.Context
	// Clear decides right before the request is written whether it may still be sent.
	Clear func() clearance.Verdict
}

// Reply is the answer to one attempt.
type Reply struct {
	Answer Answer
	Report dispatch.Report
	// NotRun says that the backend server has not run the request.
	NotRun bool
	// Misplaced says that another backend server than the expected one answered, or that it does not own the key.
	Misplaced bool
	// Unsigned says that the answer is a success without the signature of the backend server's application, so that it may be anything.
	Unsigned bool
	Sending
}

// Sending says when and by whom the request of an attempt was written; it is for logs.
type Sending struct {
	// WrittenAt is when the write began, as far as this VM knows; 0 if it didn't begin or isn't known.
	WrittenAt clock.Instant
	// Relayed says that another VM wrote it.
	Relayed bool
}

// Failure is the error of an attempt without an answer.
type Failure struct {
	// Sent says that the backend server may have received the request.
	Sent bool
	// Refused says that the address refused the connection, so that no process listens there.
	Refused bool
	// AtConnectionLimit says that no connection was free and no further one was allowed.
	AtConnectionLimit bool
	// Abandoned says that this VM gave the attempt up, so that it says nothing of the backend server.
	Abandoned bool
	// Withheld says that the request must not be sent any more. It says nothing of the backend server.
	Withheld bool
	Cause    error
	Sending
}

// Error returns the text of the cause.
func (f *Failure) Error() string { return f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Limits of retries.
const (
	// maxRejections limits the attempts of one request that backend servers reject or don't receive.
	maxRejections = 4
	// maxUnreachableOfDomain is the number of backend servers of a failure domain that must refuse a request's connection before the
	// request avoids the failure domain.
	maxUnreachableOfDomain = 2
	// misplacedDelay is the delay before the next attempt at a key that is being moved.
	misplacedDelay = 40 * time.Millisecond
	// retryAfterShed is the RetryAfter of requests that are refused after failed attempts, or because the retry budget is used up.
	retryAfterShed = 200 * time.Millisecond
)

// ErrStopping is the cause of a context that ends since this VM does, and not since the caller left.
var ErrStopping = errors.New("this VM stops")

// ErrCallerLeft is the cause of a context that ends since the caller has left.
var ErrCallerLeft = errors.New("the caller left")

// Forwarder sends the requests of one VM to backend servers. It is safe for concurrent use.
type Forwarder struct {
	options    Options
	dispatcher *dispatch.Dispatcher

	mu      sync.Mutex
	budgets map[id.Service]*budget
}

// NewForwarder returns a forwarder that gets its slots from a dispatcher.
func NewForwarder(d *dispatch.Dispatcher, opts ...Option) *Forwarder {
	return &Forwarder{options: newOptions(opts), dispatcher: d, budgets: map[id.Service]*budget{}}
}

// requestState is the state of a request across its attempts.
type requestState struct {
	request     *Request
	fingerprint poison.Fingerprint
	// tried are the backend servers that the next attempt must avoid.
	tried []id.Server
	// possibleRuns counts the attempts that a backend server may have run.
	possibleRuns int
	// runs are the same attempts if the request has a key.
	runs       []dispatch.Run
	rejections int
	// unreachable counts the backend servers that refused the connection, by failure domain, and avoidDomain is the one that has more
	// than a few of them.
	unreachable map[id.Domain]int
	avoidDomain id.Domain
	// excluded are the versions that must not run the request, and avoided those that run it only if no other one can.
	excluded, avoided []id.SoftwareVersion
	// received counts the attempts that a backend server may have received; further ones use the retry budget.
	received  int
	attempts  int
	misplaced int
	// errorAnswer is the last server error that a backend server answered.
	errorAnswer *Answer
	// charges counts the attempts charged to the customer's allotment. The first one was charged before the request was forwarded.
	charges int
	// noAnswer is the error of the last attempt that may have run and got no answer.
	noAnswer *outcome.Error
}

// Forward returns the answer of a backend server, or an *outcome.Error that says whether the request may have run.
func (f *Forwarder) Forward(ctx context.Context, r *Request) (answer *Answer, err error) {
	f.budget(r.Service).addRequest()
	s := &requestState{request: r, fingerprint: f.fingerprint(r), charges: 1}
	answer, err = f.attemptUntilDone(ctx, s)
	if err != nil && s.errorAnswer != nil {
		// A server error tells the caller more than the reason why no further attempt gave an answer.
		s.errorAnswer.Attempts = s.attempts
		return s.errorAnswer, nil
	}
	return answer, err
}

// attemptUntilDone makes attempts until one is answered or no further one is allowed.
func (f *Forwarder) attemptUntilDone(ctx context.Context, s *requestState) (answer *Answer, err error) {
	r := s.request
	for {
		if ctx.Err() != nil {
			return nil, s.finalError(refuseEnded(ctx))
		}
		if !f.options.Accepts(r) {
			return nil, s.finalError(RefuseStopping())
		}
		if refusal := f.followCrashes(s); refusal != nil {
			return nil, s.finalError(refusal)
		}
		slot, err := f.dispatcher.Acquire(ctx, f.demand(s))
		if err != nil {
			return nil, s.finalError(f.translateRefusal(s, err))
		}
		answer, retry, err := f.useSlot(ctx, s, slot)
		if !retry {
			return answer, err
		}
	}
}

// useSlot makes an attempt with a slot, if that is still allowed, and releases the slot in any case; retry says that another attempt may follow.
func (f *Forwarder) useSlot(ctx context.Context, s *requestState, slot *dispatch.Slot) (answer *Answer, retry bool, err error) {
	r, released := s.request, false
	defer func() {
		if !released {
			// No attempt was made, or a panic ended it.
			slot.Done(dispatch.Cancelled, dispatch.Report{})
		}
	}()
	if ctx.Err() != nil {
		// The slot became free as the wait ended.
		return nil, false, s.finalError(refuseEnded(ctx))
	}
	if !f.options.Accepts(r) {
		return nil, false, s.finalError(RefuseStopping())
	}
	if !f.mayRun(s, slot.Server.Version) {
		// Crashes may have become known during the wait in the queue.
		if r.Keyed {
			return nil, false, s.finalError(f.refusePoisonous(s))
		}
		s.tried = append(s.tried, slot.Server.Server)
		return nil, true, nil
	}
	if s.received > 0 && !f.budget(r.Service).trySpend() {
		return nil, false, s.finalError(outcome.NotRun(outcome.Overloaded, "the retry budget of service %s is used up", r.Service).WithRetryAfter(retryAfterShed))
	}
	if !s.chargeAttempt() {
		return nil, false, s.notRepeated()
	}
	answer, retry, err = f.attempt(ctx, s, slot)
	released = true
	return answer, retry, err
}

// recordRun records that the backend server of a slot may have run the request.
func (s *requestState) recordRun(slot *dispatch.Slot) {
	s.possibleRuns++
	if s.request.Keyed {
		s.runs = append(s.runs, dispatch.Run{Server: slot.Server.Server, Fence: slot.Fence})
	}
}

// chargeAttempt charges the next attempt to the customer's allotment if all charges so far belong to attempts that may have run, and reports
// whether the attempt is allowed.
func (s *requestState) chargeAttempt() bool {
	if s.request.ChargeAttempt == nil || s.possibleRuns < s.charges {
		return true
	}
	if !s.request.ChargeAttempt() {
		return false
	}
	s.charges++
	return true
}

// notRepeated returns the result of a request whose further attempt the allotment doesn't allow: that of the attempt before.
func (s *requestState) notRepeated() error {
	if s.noAnswer != nil {
		return s.noAnswer
	}
	return s.finalError(outcome.NotRun(outcome.AllotmentExhausted, "the allotment has no room for another sending"))
}

// demand returns the demand of the next attempt.
func (f *Forwarder) demand(s *requestState) dispatch.Demand {
	r := s.request
	return dispatch.Demand{
		Service: r.Service, Priority: r.Priority, Customer: r.Customer, Weight: r.Weight, Keyed: r.Keyed, Key: r.Key, Arrived: r.Arrived,
		Deadline: r.Deadline, Objective: r.Objective, Avoid: s.tried, Runs: s.runs, AvoidDomain: s.avoidDomain, ExcludedVersions: s.excluded, AvoidedVersions: s.avoided, Idempotent: r.Route.Idempotent, Retry: s.attempts > 0,
	}
}

// attempt sends the request once; retry says that another attempt may follow.
func (f *Forwarder) attempt(ctx context.Context, s *requestState, slot *dispatch.Slot) (answer *Answer, retry bool, err error) {
	r := s.request
	timeout := r.Deadline.Sub(f.options.Clock.Boot())
	if timeout < clearance.MinTime {
		slot.Done(dispatch.Cancelled, dispatch.Report{})
		return nil, false, s.finalError(outcome.NotRun(outcome.Overloaded, "no time is left for a sending"))
	}
	s.attempts++
	began, whileSent := f.options.Clock.Boot(), r.whileSent(ctx)
	w := &writing{forwarder: f, state: s, slot: slot, since: began}
	// After a panic.
	defer w.end()
	reply, failure := f.options.Send(r.exchange(ctx), Attempt{
		Request: r, Slot: slot, Timeout: timeout, NewConnection: !r.Route.Idempotent && s.attempts > 1, Wanted: ctx,
		Clear: func() clearance.Verdict { return w.ask(ctx) },
	})
	if failure == nil || failure.Sent {
		w.begin()
	}
	f.recordSigns(whileSent, s, w, reply, failure)
	f.options.Observe(r, slot, f.options.Clock.Boot().Sub(began), reply, failure)
	switch {
	case failure != nil && failure.Sent:
		return f.handleNoResponse(whileSent, s, slot, failure)
	case failure != nil:
		return f.handleUnsent(ctx, s, slot, failure, w.verdict)
	}
	s.received++
	if reply.Misplaced || reply.NotRun {
		return f.handleRejection(ctx, s, slot, reply)
	}
	s.recordRun(slot)
	if reply.Unsigned {
		slot.Done(dispatch.ServerError, reply.Report)
		return f.handleNoAnswer(ctx, s, slot.Server.Server, errors.Newf("a success without signature, status %d", reply.Answer.Status))
	}
	slot.Done(resultOf(reply.Answer.Status), reply.Report)
	return f.handleAnswer(ctx, s, &reply.Answer)
}

// handleAnswer handles an answer to an attempt that has run.
//
// Callers of a request that isn't idempotent would take some statuses for the
// promise that it has not run, and send it again. An idempotent one is retried
// here and by its caller anyway, so that it keeps the status of the backend server.
func (f *Forwarder) handleAnswer(ctx context.Context, s *requestState, a *Answer) (answer *Answer, retry bool, err error) {
	a.Attempts = s.attempts
	isPromise := outcome.PromisesNotRun(a.Status)
	switch {
	case isPromise && !s.request.Route.Idempotent:
		return nil, false, outcome.Unknown(outcome.ServerFailed, "backend server %s answered %d without saying that it has not run the request", a.Server, a.Status)
	case (isPromise || a.Status >= http.StatusInternalServerError) && f.canRetry(ctx, s):
		s.errorAnswer = a
		s.tried = append(s.tried, a.Server)
		return nil, true, nil
	}
	return a, false, nil
}

// resultOf distinguishes server errors from answers. A gateway timeout counts as an answer, since the backend server is slow but not broken.
func resultOf(status int) dispatch.Result {
	if status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout {
		return dispatch.ServerError
	}
	return dispatch.Answered
}

// handleRejection handles an attempt that the backend server has not run.
func (f *Forwarder) handleRejection(ctx context.Context, s *requestState, slot *dispatch.Slot, reply *Reply) (answer *Answer, retry bool, err error) {
	if reply.Misplaced {
		slot.Done(dispatch.Misplaced, reply.Report)
		s.misplaced++
		if s.request.Keyed && !f.sleep(ctx, misplacedDelay) {
			return nil, false, s.finalError(refuseEnded(ctx))
		}
	} else {
		slot.Done(dispatch.Shed, reply.Report)
	}
	if s.rejections++; s.rejections >= maxRejections {
		return nil, false, s.finalError(outcome.NotRun(outcome.Overloaded, "%d backend servers turned the request away", s.rejections).WithRetryAfter(retryAfterShed))
	}
	if !s.request.Keyed {
		s.tried = append(s.tried, slot.Server.Server)
	}
	return nil, true, nil
}

// handleUnsent handles an attempt that was certainly not sent.
func (f *Forwarder) handleUnsent(ctx context.Context, s *requestState, slot *dispatch.Slot, failure *Failure, verdict clearance.Verdict) (answer *Answer, retry bool, err error) {
	if failure.Refused {
		s.recordUnreachable(slot.Server.Domain)
	}
	switch {
	case failure.Withheld || errors.Is(s.request.exchange(ctx).Err(), context.Canceled):
		slot.Done(dispatch.Cancelled, dispatch.Report{})
	case failure.AtConnectionLimit:
		slot.Done(dispatch.Shed, dispatch.Report{})
	default:
		slot.Done(dispatch.Unreachable, dispatch.Report{})
	}
	switch {
	case ctx.Err() != nil:
		return nil, false, s.finalError(refuseEnded(ctx))
	case verdict != clearance.Granted && !verdict.IsOfServer():
		return nil, false, s.finalError(refuse(verdict))
	}
	if s.rejections++; s.rejections >= maxRejections {
		return nil, false, s.finalError(outcome.NotRun(outcome.NoServer, "%d backend servers were out of reach", s.rejections).WithRetryAfter(retryAfterShed))
	}
	if !s.request.Keyed {
		s.tried = append(s.tried, slot.Server.Server)
	}
	return nil, true, nil
}

// handleNoResponse handles an attempt that was sent and got no answer. ctx is that of the attempt once it was sent.
func (f *Forwarder) handleNoResponse(ctx context.Context, s *requestState, slot *dispatch.Slot, failure *Failure) (answer *Answer, retry bool, err error) {
	server := slot.Server.Server
	s.recordRun(slot)
	s.received++
	if errors.Is(ctx.Err(), context.Canceled) {
		slot.Done(dispatch.Cancelled, dispatch.Report{})
		if errors.Is(context.Cause(ctx), ErrStopping) {
			return nil, false, outcome.Unknown(outcome.Stopping, "this VM stopped while backend server %s had the request", server)
		}
		return nil, false, outcome.Unknown(outcome.CallerDisconnected, "the caller left while backend server %s had the request", server)
	}
	result := dispatch.TimedOut
	switch {
	case failure.Abandoned:
		result = dispatch.Cancelled
	case ctx.Err() == nil:
		result = dispatch.ConnectionBroken
	}
	slot.Done(result, dispatch.Report{})
	if ctx.Err() != nil {
		return nil, false, outcome.Unknown(outcome.DeadlineExceeded, "backend server %s did not answer in time", server)
	}
	return f.handleNoAnswer(ctx, s, server, failure.Cause)
}

// handleNoAnswer handles an attempt that may have run and whose answer is missing or can't be passed on.
func (f *Forwarder) handleNoAnswer(ctx context.Context, s *requestState, server id.Server, cause error) (answer *Answer, retry bool, err error) {
	s.noAnswer = outcome.Unknown(outcome.ServerFailed, "backend server %s gave no answer: %v", server, cause)
	if f.canRetry(ctx, s) {
		s.tried = append(s.tried, server)
		return nil, true, nil
	}
	return nil, false, s.noAnswer
}

// canRetry reports whether a request that may have run may be sent to another backend server.
func (f *Forwarder) canRetry(ctx context.Context, s *requestState) bool {
	r := s.request
	return r.Route.Idempotent && s.possibleRuns < r.Route.MaxAttempts && ctx.Err() == nil &&
		r.Deadline.Sub(f.options.Clock.Boot()) > clearance.MinTime && f.followCrashes(s) == nil
}

// RefuseStopping returns the refusal of a request that may outlast this VM.
func RefuseStopping() *outcome.Error {
	return outcome.NotRun(outcome.Stopping, "this VM stops, and the request may outlast it")
}

// recordUnreachable counts a backend server that refused the connection. After some of a failure domain, the next attempts avoid it:
// all of its backend servers may be down.
func (s *requestState) recordUnreachable(domain id.Domain) {
	if s.unreachable == nil {
		s.unreachable = map[id.Domain]int{}
	}
	if s.unreachable[domain]++; s.unreachable[domain] >= maxUnreachableOfDomain {
		s.avoidDomain = domain
	}
}

// sleep waits for d and reports false if ctx ended first.
func (f *Forwarder) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-f.options.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// finalError turns a refusal into the request's outcome: unknown if an earlier attempt may have run, else not run.
func (s *requestState) finalError(e *outcome.Error) *outcome.Error {
	return outcome.Final(e, s.possibleRuns > 0)
}

// translateRefusal converts an error of the dispatcher.
func (f *Forwarder) translateRefusal(s *requestState, err error) *outcome.Error {
	var r *dispatch.Refusal
	if !errors.As(err, &r) {
		return outcome.NotRun(outcome.InternalError, "%v", err)
	}
	switch r.Reason {
	case dispatch.VersionExcluded:
		return f.refusePoisonous(s)
	case dispatch.Stopping:
		return RefuseStopping()
	case dispatch.RanEarlier:
		if s.noAnswer != nil {
			return s.noAnswer
		}
	default:
	}
	reason := map[dispatch.Reason]outcome.Reason{
		dispatch.Overloaded: outcome.Overloaded, dispatch.NoServer: outcome.NoServer,
		dispatch.NoOwner: outcome.NoOwner, dispatch.CallerGone: outcome.CallerDisconnected,
		dispatch.RanEarlier: outcome.ServerFailed,
	}[r.Reason]
	return outcome.NotRun(reason, "%v", r).WithRetryAfter(r.RetryAfter)
}
