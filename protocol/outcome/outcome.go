// Package outcome says what became of a request that has no answer.
//
// The outcome travels with the error through every layer and over the wire to
// the caller, so that "not run" is said only by code that knows it.
//
// # Usage
//
//	return outcome.NotRun(outcome.Overloaded, "the queue of service %s is full", service)
//
//	refusal := outcome.FromError(err)
//	if refusal.Outcome == outcome.KindNotRun {
//		// The request may be sent elsewhere.
//	}
package outcome

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind says whether a request may have been run.
type Kind string

// The outcomes of a request without an answer.
const (
	// KindNotRun means that no byte of the request can have reached a backend server that acts on it.
	KindNotRun Kind = "not run"
	// KindUnknown means that the request may have been run.
	KindUnknown Kind = "unknown"
)

// Reason is the cause of a refusal, for callers' programs and for metrics.
type Reason string

// The reasons of refusals.
const (
	BadRequest         Reason = "bad request"
	NoRoute            Reason = "no route"
	WrongMethod        Reason = "wrong method"
	NoKey              Reason = "no key"
	BodyTooLarge       Reason = "body too large"
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
)

var statusOf = map[Reason]int{
	BadRequest:        http.StatusBadRequest,
	NoRoute:           http.StatusNotFound,
	WrongMethod:       http.StatusMethodNotAllowed,
	NoKey:             http.StatusBadRequest,
	BodyTooLarge:      http.StatusRequestEntityTooLarge,
	HeaderTooLarge:    http.StatusRequestHeaderFieldsTooLarge,
	DeadlineExceeded:  http.StatusGatewayTimeout,
	PoisonRequest:     http.StatusUnprocessableEntity,
	DuplicateRejected: http.StatusConflict,
	ServerFailed:      http.StatusBadGateway,
	Interrupted:       http.StatusBadGateway,
	PeerFailed:        http.StatusBadGateway,
}

// Error is a request that has no answer.
type Error struct {
	Outcome Kind
	Reason  Reason
	Detail  string
	// RetryAfter is the time after which another try can help, or 0.
	RetryAfter time.Duration
}

// Error returns the outcome, the reason and the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Outcome, e.Reason, e.Detail)
}

// Status returns the HTTP status that stands for the reason.
func (e *Error) Status() int {
	if s, ok := statusOf[e.Reason]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// IsRetryable reports whether the same request can be answered elsewhere or later.
func (e *Error) IsRetryable() bool {
	switch e.Reason {
	case Moved, NoOwner, NoServer, Stopping, Overloaded, PeerFailed:
		return e.Outcome == KindNotRun
	default:
		return false
	}
}

// NotRun returns the refusal of a request that no backend server has acted on.
func NotRun(r Reason, format string, args ...any) *Error {
	return &Error{Outcome: KindNotRun, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// Unknown returns the failure of a request that a backend server may have acted on.
func Unknown(r Reason, format string, args ...any) *Error {
	return &Error{Outcome: KindUnknown, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// Final returns the outcome of a request after its last sending; unknown says that an earlier one may have been run.
//
// What an earlier sending may have done isn't undone by a later refusal.
func Final(e *Error, unknown bool) *Error {
	if !unknown || e.Outcome == KindUnknown {
		return e
	}
	out := *e
	out.Outcome = KindUnknown
	out.Detail = "an earlier sending may have been run, then: " + e.Detail
	return &out
}

// WithRetryAfter returns e with a time after which another try can help.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// FromError returns the outcome that err carries; an error without one counts as unknown.
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
