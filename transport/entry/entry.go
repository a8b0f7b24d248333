// Package entry takes callers' requests by HTTP/1.1 and answers them.
//
// # Usage
//
//	h := entry.NewHandler(entry.Dependencies{View: view, Forward: forwarder.Forward, Names: names})
//	s := entry.NewServer(h)
//	done := s.Serve(ctx, listener)
package entry

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// HeaderNames are the header fields of callers' requests, as the platform names them.
type HeaderNames struct {
	RequestID string
	// Deadline holds the time that the caller waits, in whole milliseconds.
	Deadline string
	Key      string
	// Reserved are the fields that only this system sets; those of callers are dropped.
	Reserved []string
}

// Dependencies are what a handler works with.
type Dependencies struct {
	Clock   clock.Clock
	Headers HeaderNames
	// View returns the newest state of the deployment; current is false where it may be out of date.
	View func() (s *fleet.Snapshot, current bool)
	// PickService chooses the service of a request among its route's targets.
	PickService func(r *fleet.Route) id.Service
	// Forward brings a request to a backend server.
	Forward func(ctx context.Context, r *forward.Request) (*forward.Answer, error)
	// Observe is told of each request and what became of it.
	Observe func(e Event)
}

// Event is what became of a request.
type Event struct {
	ID       string
	Route    *fleet.Route
	Service  id.Service
	Server   id.Server
	Version  uint64
	Status   int
	Attempts int
	Duration time.Duration
	// Refusal is nil where a backend server's answer was passed on.
	Refusal *outcome.Error
}

// Limits of requests.
const (
	// defaultDeadline is the time of a request that names none and whose route has no timeout.
	defaultDeadline = 10 * time.Second
	// maxBody is the length of a body that is kept to be sent, in bytes.
	maxBody = 8 << 20
	// headerOverhead is what a field costs beside its name and value: colon, space and line end.
	headerOverhead = 4
)

// Handler answers callers' requests; it is safe for concurrent use.
type Handler struct {
	parts    Dependencies
	patience *patience
	active   atomic.Int64
	closing  atomic.Bool
}

// NewHandler returns a handler.
func NewHandler(p Dependencies) *Handler { return &Handler{parts: p, patience: newPatience()} }

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int64 { return h.active.Load() }

// Drain asks callers to use other connections from now on.
func (h *Handler) Drain() { h.closing.Store(true) }

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	began := h.parts.Clock.Boot()
	e := Event{ID: r.Header.Get(h.parts.Headers.RequestID)}
	request, err := h.read(r, began, &e)
	var answer *forward.Answer
	if err == nil {
		answer, err = h.forward(r, request)
	}
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		e.Refusal = outcome.FromError(err)
		e.Status = statusOf(e.Refusal)
		h.refuse(w, e)
	} else {
		e.Status, e.Server, e.Attempts = answer.Status, answer.Server, answer.Attempts
		h.write(w, answer)
	}
	e.Duration = h.parts.Clock.Boot().Sub(began)
	h.parts.Observe(e)
}

func (h *Handler) forward(r *http.Request, request *forward.Request) (answer *forward.Answer, err error) {
	parent := r.Context()
	if !request.Route.Idempotent {
		// Work that was begun is finished, since its caller may have counted on it.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithTimeout(parent, request.Deadline.Sub(h.parts.Clock.Boot()))
	defer cancel()
	return h.parts.Forward(ctx, request)
}

// read checks a request against the configuration.
func (h *Handler) read(r *http.Request, began clock.Instant, e *Event) (request *forward.Request, err error) {
	s, current := h.parts.View()
	c := s.Configuration
	if c == nil {
		return nil, outcome.NotRun(outcome.Stopping, "this VM has no configuration yet")
	}
	e.Version = c.Version
	route, found := c.Match(r.Host, r.URL.Path)
	if !found {
		if !current {
			return nil, outcome.NotRun(outcome.Stopping, "no route matches %s, but the configuration may be out of date", r.URL.Path)
		}
		return nil, outcome.NotRun(outcome.NoRoute, "no route matches host %s and path %s", r.Host, r.URL.Path)
	}
	e.Route = route
	body, err := readBody(r, c.Limits)
	if err != nil {
		return nil, err
	}
	request = &forward.Request{
		ID: e.ID, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: h.passedOn(r.Header), Body: body,
		Route: route, Service: h.parts.PickService(route), Arrived: began, Deadline: began.Add(h.timeOf(r, route)),
	}
	request.Objective = began.Add(route.Objective - h.patience.spent(route.Name, h.waits(r)))
	e.Service = request.Service
	if c.Services[request.Service].Keyed {
		key, err := strconv.ParseUint(r.Header.Get(h.parts.Headers.Key), 10, 16)
		if err != nil {
			return nil, outcome.NotRun(outcome.NoKey, "header field %s: a number from 0 to 65535 is wanted", h.parts.Headers.Key)
		}
		request.Keyed, request.Key = true, fleet.Key(key)
	}
	return request, nil
}

// timeOf returns the shorter of the caller's time and the route's.
func (h *Handler) timeOf(r *http.Request, route *fleet.Route) time.Duration {
	limit := defaultDeadline
	if route.Timeout > 0 {
		limit = route.Timeout
	}
	if left := h.waits(r); left > 0 {
		limit = min(limit, left)
	}
	return limit
}

// waits returns how long the caller waits, or 0 where it doesn't say.
func (h *Handler) waits(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(h.parts.Headers.Deadline), 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// readBody reads the whole body, so that a request that was not run can be sent elsewhere.
func readBody(r *http.Request, limits fleet.Limits) (body []byte, err error) {
	size := 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + headerOverhead
		}
	}
	if limits.MaxHeader > 0 && size > limits.MaxHeader {
		return nil, outcome.NotRun(outcome.HeaderTooLarge, "the header has %d bytes, %d are allowed", size, limits.MaxHeader)
	}
	allowed := int64(maxBody)
	if limits.MaxBody > 0 {
		allowed = min(allowed, limits.MaxBody)
	}
	if r.ContentLength > allowed {
		return nil, outcome.NotRun(outcome.BodyTooLarge, "the body has %d bytes, %d are allowed", r.ContentLength, allowed)
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	body, err = io.ReadAll(io.LimitReader(r.Body, allowed+1))
	switch {
	case err != nil:
		return nil, outcome.NotRun(outcome.CallerDisconnected, "the body broke off after %d bytes", len(body))
	case int64(len(body)) > allowed:
		return nil, outcome.NotRun(outcome.BodyTooLarge, "the body has more than %d bytes", allowed)
	}
	return body, nil
}

// hopByHop are the header fields that concern only one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// passedOn returns the header without what concerns only the caller's connection.
func (h *Handler) passedOn(in http.Header) http.Header {
	out := in.Clone()
	dropConnection(out)
	for _, name := range h.parts.Headers.Reserved {
		out.Del(name)
	}
	return out
}

func dropConnection(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// write passes an answer on.
func (h *Handler) write(w http.ResponseWriter, a *forward.Answer) {
	head := w.Header()
	dropConnection(a.Header)
	for name, values := range a.Header {
		head[name] = values
	}
	if _, ok := head["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing a type.
		head["Content-Type"] = nil
	}
	head.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		// The caller has left; there is nobody to tell.
		return
	}
}

// refuse answers a request that no backend server's answer is for.
func (h *Handler) refuse(w http.ResponseWriter, e Event) {
	head := w.Header()
	if e.ID != "" {
		head.Set(h.parts.Headers.RequestID, e.ID)
	}
	if e.Refusal.RetryAfter > 0 {
		head.Set("Retry-After", strconv.FormatFloat(e.Refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	head.Set("Content-Type", "text/plain; charset=utf-8")
	text := e.Refusal.Error() + "\n"
	head.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(e.Status)
	_, _ = io.WriteString(w, text)
}

// statusOf returns the status of a refusal; only those that say "not run" are 503.
func statusOf(e *outcome.Error) int {
	status := e.Status()
	if e.Outcome != outcome.KindNotRun && status < http.StatusBadGateway || e.Outcome != outcome.KindNotRun && status == http.StatusServiceUnavailable {
		return http.StatusBadGateway
	}
	return status
}
