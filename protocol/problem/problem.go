// Package problem writes refusals to callers as problem details (RFC 9457).
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

// HeaderOutcome carries the outcome beside the body, for callers that don't parse it.
const HeaderOutcome = "Hickorylug-Outcome"

// Details are the members of RFC 9457 and the outcome of the request.
type Details struct {
	Type    string         `json:"type"`
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Detail  string         `json:"detail"`
	Outcome outcome.Kind   `json:"Outcome"`
	Reason  outcome.Reason `json:"Reason"`
	Trace   string         `json:"Trace,omitempty"`
}

// Write sends the refusal as the response.
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
	// The caller is gone where this fails; there is nobody to tell.
	_, _ = w.Write(body)
}
