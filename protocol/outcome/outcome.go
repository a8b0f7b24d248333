// Package outcome defines the error of a request that has no response from a backend server.
//
// The error says whether the request may have been run. All layers pass it on
// unchanged, and over the wire to the caller, so that "not run" comes only from
// the code that knows it.
//
// # Usage
//
//	return outcome.NotRun(outcome.Overloaded, "the queue of service %s is full", service)
//
//	refusal := outcome.FromError(err)
//	if refusal.Outcome == outcome.KindNotRun {
//		// The request may be retried at another backend server.
//	}
package outcome

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind says whether a request without a response may have been run.
type Kind string

// Outcomes of a request without a response.
const (
	// KindNotRun means that no backend server has acted on any byte of the request, and that none will.
	KindNotRun Kind = "not run"
	// KindUnknown means that a backend server may have run the request.
	KindUnknown Kind = "unknown"
)

// Reason is the cause of an Error, as sent to callers and used as a label of metrics.
type Reason string

// Reasons of an Error.
const (
	BadRequest         Reason = "bad request"
	NoRoute            Reason = "no route"
	WrongMethod        Reason = "wrong method"
	NoKey              Reason = "no key"
	BodyTooLarge       Reason = "body too large"
	BodyTimeout        Reason = "body timeout"
	HeaderTooLarge     Reason = "header too large"
	Overloaded         Reason = "overloaded"
	DeadlineExceeded   Reason = "deadline"
	NoOwner            Reason = "no owner"
	Moved              Reason = "moved"
	NoServer           Reason = "no server"
	PoisonRequest      Reason = "poisonous"
	DuplicateRejected  Reason = "not repeated"
	ServerFailed       Reason = "server failed"
	Interrupted        Reason = "interrupted"
	Stopping           Reason = "stopping"
	CallerDisconnected Reason = "caller gone"
	PeerFailed         Reason = "peer failed"
	InternalError      Reason = "internal"
	// Unauthenticated means that the request has no valid API key.
	Unauthenticated Reason = "unauthenticated"
	// AllotmentExhausted means that the customer has used up its allotment.
	AllotmentExhausted Reason = "allotment exhausted"
)

// statusOf holds the HTTP status of each reason that doesn't use 503 Service Unavailable.
var statusOf = map[Reason]int{
	BadRequest:        http.StatusBadRequest,
	NoRoute:           http.StatusNotFound,
	WrongMethod:       http.StatusMethodNotAllowed,
	NoKey:             http.StatusBadRequest,
	BodyTooLarge:      http.StatusRequestEntityTooLarge,
	BodyTimeout:       http.StatusRequestTimeout,
	HeaderTooLarge:    http.StatusRequestHeaderFieldsTooLarge,
	DeadlineExceeded:  http.StatusGatewayTimeout,
	PoisonRequest:     http.StatusUnprocessableEntity,
	DuplicateRejected: http.StatusConflict,
	ServerFailed:      http.StatusBadGateway,
	Interrupted:       http.StatusBadGateway,
	PeerFailed:        http.StatusBadGateway,

	Unauthenticated:    http.StatusUnauthorized,
	AllotmentExhausted: http.StatusTooManyRequests,
}

// PromisesNotRun reports whether callers may take a response with an HTTP status for the promise that their request has not been run and never
// will be, whichever header fields it has. They retry requests that aren't idempotent only after such a response.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// Error is the error of a request that has no response from a backend server.
type Error struct {
	Outcome Kind
	Reason  Reason
	Detail  string
	// RetryAfter is the time after which a retry may succeed, or 0 if it is unknown.
	RetryAfter time.Duration
}

// Error returns the outcome, the reason and the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Outcome, e.Reason, e.Detail)
}

// Status returns the HTTP status code of the reason.
func (e *Error) Status() int {
	if s, ok := statusOf[e.Reason]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// IsRetryable reports whether a retry, at another VM or group or later, is safe and may succeed.
func (e *Error) IsRetryable() bool {
	switch e.Reason {
	case Moved, NoOwner, NoServer, Stopping, Overloaded, PeerFailed:
		return e.Outcome == KindNotRun
	default:
		return false
	}
}

// NotRun returns the Error of a request that no backend server has run.
func NotRun(r Reason, format string, args ...any) *Error {
	return &Error{Outcome: KindNotRun, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// Unknown returns the Error of a request that a backend server may have run.
func Unknown(r Reason, format string, args ...any) *Error {
	return &Error{Outcome: KindUnknown, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// Final returns the Error of a request after its last attempt. The argument unknown says that the outcome of an earlier
// attempt is unknown.
//
// A later attempt that was not run doesn't undo what an earlier one may have
// done, so the outcome of the request is then unknown.
func Final(e *Error, unknown bool) *Error {
	if !unknown || e.Outcome == KindUnknown {
		return e
	}
	out := *e
	out.Outcome = KindUnknown
	out.Detail = "an earlier sending may have been run, then: " + e.Detail
	return &out
}

// WithRetryAfter sets the time after which a retry may succeed, and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// FromError returns the Error in err's chain. For an error without one it returns an Error with an unknown outcome.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return Unknown(DeadlineExceeded, "%v", err)
	}
	return Unknown(InternalError, "%v", err)
}
