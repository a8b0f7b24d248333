// Package problem writes an outcome.Error to callers as problem details (RFC 9457).
//
// # Usage
//
//	problem.Write(w, outcome.NotRun(outcome.Overloaded, "the queue is full"), traceID)
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/hickorylug/hickorylug/protocol/outcome"
)

// ContentType is the media type of problem details.
const ContentType = "application/problem+json"

// HeaderOutcome is the header field with the outcome, for callers that don't parse the body.
const HeaderOutcome = "Hickorylug-Outcome"

// Details is the response body: the members of RFC 9457 and, as extensions, the outcome, the reason and the trace ID.
type Details struct {
	Type    string         `json:"type"`
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Detail  string         `json:"detail"`
	Outcome outcome.Kind   `json:"Outcome"`
	Reason  outcome.Reason `json:"Reason"`
	Trace   string         `json:"Trace,omitempty"`
}

// Write writes e as the response, with the trace ID if it isn't empty.
func Write(w http.ResponseWriter, e *outcome.Error, trace string) {
	body, err := json.Marshal(Details{
		Type:    "urn:hickorylug:" + strings.ReplaceAll(string(e.Reason), " ", "-"),
		Title:   http.StatusText(e.Status()),
		Status:  e.Status(),
		Detail:  e.Detail,
		Outcome: e.Outcome,
		Reason:  e.Reason,
		Trace:   trace,
	})
	if err != nil {
		http.Error(w, e.Error(), e.Status())
		return
	}
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set(HeaderOutcome, string(e.Outcome))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.Status())
	// An error means that the caller has disconnected, so it can't be reported to anyone.
	_, _ = w.Write(body)
}
