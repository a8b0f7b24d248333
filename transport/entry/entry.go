// Package entry implements the HTTP/1.1 handler for callers' requests on an entry VM.
//
// # Usage
//
//	h := entry.NewHandler(entry.Dependencies{View: view, Forward: forwarder.Forward, Headers: headers})
//	s := &http.Server{Handler: h}
//	err := s.Serve(listener)
package entry

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/apikey"
	"github.com/hickorylug/hickorylug/coordination/forward"
	routing "github.com/hickorylug/hickorylug/coordination/route"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/http1"
)

// HeaderNames are the names of the header fields in callers' requests, as the platform defines them.
type HeaderNames struct {
	RequestID string
	// Deadline is the field with the time that the caller still waits, in whole milliseconds.
	Deadline string
	Key      string
	// APIKey is the field with the caller's API key, and Customer the one that names the customer to backend servers. Both are ordinary
	// fields where the configuration has no customers.
	APIKey   string
	Customer string
	// Reserved are the fields that only this system may set; they are removed from callers' requests.
	Reserved []string
}

// Dependencies are the functions and settings that a Handler uses.
type Dependencies struct {
	Clock   clock.Clock
	Headers HeaderNames
	// Bodies is the quota for the long bodies that are being read; nil means no limit.
	Bodies *http1.Quota
	// View returns the latest snapshot of the deployment; current is false if it may be stale.
	View func() (s *fleet.Snapshot, current bool)
	// MayHoldRevokedKeys reports whether requests that need an API key must be refused, since the key may have been revoked meanwhile. Nil
	// means never.
	MayHoldRevokedKeys func() bool
	// PickService selects the service of a request from its route's targets.
	PickService func(r *fleet.Route) id.Service
	// Accepts reports whether a request may be sent to a backend server now; one that may not isn't charged to an allotment. Nil means always.
	Accepts func(r *forward.Request) bool
	// Admit charges a request to its customer's allotment, after a wait of some milliseconds if needed. The error is an *outcome.Error that
	// says not run. Nil means that there are no allotments.
	Admit func(ctx context.Context, c *fleet.Customer, deadline clock.Instant) (t Ticket, err error)
	// Forward sends a request to a backend server and returns the response.
	Forward func(ctx context.Context, r *forward.Request) (*forward.Answer, error)
	// Observe is called once for each request, after it was answered.
	Observe func(e Event)
	// HasLeft reports whether the caller of the request with the given context has left, maybe before the context ends. Nil means that the context
	// says it.
	HasLeft func(ctx context.Context) bool
	// OnPanic is called with the id of a request, and the value and the stack of a panic while it was handled.
	OnPanic func(request string, value any, stack []byte)
}

// Ticket is a request's charge against its customer's allotment.
type Ticket interface {
	// ChargeAttempt charges one more attempt that may run, and reports whether the allotment has room for it.
	ChargeAttempt() bool
	// Release gives the charge back, since the request was not run and never will be.
	Release()
}

// Event describes an answered request and its result.
type Event struct {
	ID      string
	Route   *fleet.Route
	Service id.Service
	Server  id.Server
	// Customer is the customer that sent the request, or empty if none is identified.
	Customer id.Customer
	Version  uint64
	Status   int
	Attempts int
	Duration time.Duration
	// CallerLeftAfter is the time from the request's arrival until its caller left, or 0 if the caller waited for the answer.
	CallerLeftAfter time.Duration
	// Refusal is nil if a backend server's response was forwarded.
	Refusal *outcome.Error
}

// Limits of requests.
const (
	// defaultDeadline limits the time of a request if neither the caller nor the route sets a limit.
	defaultDeadline = 10 * time.Second
	// maxBodyBytes limits the length of a body, which is held in memory until it is sent.
	maxBodyBytes = 8 << 20
	// fieldOverheadBytes is the size of a header field without its name and value: colon, space and CRLF.
	fieldOverheadBytes = 4
)

// Handler answers callers' requests. It is safe for concurrent use.
type Handler struct {
	deps       Dependencies
	waitLimits *waitLimits
	bodyReads  bodyReads
	inFlight   atomic.Int64
	draining   atomic.Bool
	// givenUp is done once all requests are given up.
	givenUp context.Context
	giveUp  context.CancelFunc
}

// NewHandler returns a handler that uses the given dependencies.
func NewHandler(d Dependencies) *Handler {
	if d.Accepts == nil {
		d.Accepts = func(*forward.Request) bool { return true }
	}
	if d.HasLeft == nil {
		d.HasLeft = func(context.Context) bool { return false }
	}
	if d.OnPanic == nil {
		d.OnPanic = func(string, any, []byte) {}
	}
	h := &Handler{deps: d, waitLimits: newWaitLimits()}
	h.givenUp, h.giveUp = context.WithCancel(context.Background())
	return h
}

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// Drain makes all further responses carry "Connection: close", so that callers open other connections.
func (h *Handler) Drain() { h.draining.Store(true) }

// StopReading refuses the requests whose bodies are not complete, now and later.
func (h *Handler) StopReading() { h.bodyReads.stop() }

// GiveUp gives up all requests, now and later, so that they get an answer before this VM ends.
func (h *Handler) GiveUp() { h.giveUp() }

// ServeHTTP parses a request, forwards it to a backend server and writes the response or a refusal.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	started := h.deps.Clock.Boot()
	e := Event{ID: r.Header.Get(h.deps.Headers.RequestID)}
	response, err := h.handle(w, r, started, &e)
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		e.Refusal = outcome.FromError(err)
		e.Status = statusOf(e.Refusal)
		h.writeRefusal(w, e)
	} else {
		e.Status, e.Server, e.Attempts = response.Status, response.Server, response.Attempts
		h.writeResponse(w, response)
	}
	e.Duration = h.deps.Clock.Boot().Sub(started)
	// net/http writes the end of the response only after this, and after a panic not at all.
	defer h.survive(e.ID, func() {})
	h.deps.Observe(e)
}

// handle parses a request and forwards it to a backend server. After a panic its outcome is unknown, unless it was not forwarded yet.
func (h *Handler) handle(w http.ResponseWriter, r *http.Request, started clock.Instant, e *Event) (response *forward.Answer, err error) {
	fault := outcome.NotRun
	defer h.survive(e.ID, func() {
		response, err = nil, fault(outcome.InternalError, "an unexpected error ended the handling of the request")
	})
	request, customer, err := h.parseRequest(w, r, started, e)
	if err != nil {
		return nil, err
	}
	fault = outcome.Unknown
	caller, stop := watchCaller(r.Context(), h.deps.Clock)
	defer stop()
	request.CallerLeft = caller.left
	response, err = h.forward(r, request, customer)
	if left := caller.left(); left > 0 {
		e.CallerLeftAfter = left.Sub(started)
	}
	return response, err
}

// survive is to be deferred. It reports a panic of the function that defers it and calls then.
func (h *Handler) survive(request string, then func()) {
	if value := recover(); value != nil {
		h.deps.OnPanic(request, value, debug.Stack())
		then()
	}
}

// forward charges a request to its customer's allotment and sends it to a backend server.
func (h *Handler) forward(r *http.Request, request *forward.Request, customer *fleet.Customer) (response *forward.Answer, err error) {
	exchange, giveUp := context.WithCancelCause(context.WithoutCancel(r.Context()))
	defer context.AfterFunc(h.givenUp, func() { giveUp(forward.ErrStopping) })()
	exchange, cancel := context.WithTimeout(exchange, request.Deadline.Sub(h.deps.Clock.Boot()))
	defer cancel()
	ctx, leave := context.WithCancelCause(exchange)
	defer leave(nil)
	defer context.AfterFunc(r.Context(), func() { leave(forward.ErrCallerLeft) })()
	request.Exchange = exchange
	request.HasCallerLeft = func() bool { return h.deps.HasLeft(r.Context()) }
	if h.deps.Admit == nil || customer == nil || !customer.Allotment.IsLimited() {
		return h.deps.Forward(ctx, request)
	}
	if !h.deps.Accepts(request) {
		// Its wait for the allotment could outlast this VM.
		return nil, forward.RefuseStopping()
	}
	ticket, err := h.deps.Admit(ctx, customer, request.Deadline)
	if err != nil {
		return nil, err
	}
	request.ChargeAttempt = ticket.ChargeAttempt
	response, err = h.deps.Forward(ctx, request)
	if err != nil && outcome.FromError(err).Outcome == outcome.KindNotRun {
		ticket.Release()
	}
	return response, err
}

// parseRequest matches a request to a route, identifies its customer and returns the request to forward. The customer is nil if none is
// identified. It sets the version, route, customer and service of e, or those that are known when it returns an error.
func (h *Handler) parseRequest(w http.ResponseWriter, r *http.Request, started clock.Instant, e *Event) (request *forward.Request, customer *fleet.Customer, err error) {
	s, current := h.deps.View()
	c := s.Configuration
	if c == nil {
		return nil, nil, outcome.NotRun(outcome.Stopping, "this VM has no configuration yet")
	}
	e.Version = c.Version
	path := routing.Path(r.URL)
	route, found := c.Match(r.Host, path)
	if !found {
		if !current {
			return nil, nil, outcome.NotRun(outcome.Stopping, "no route matches %s, but the configuration may be out of date", path)
		}
		return nil, nil, outcome.NotRun(outcome.NoRoute, "no route matches host %s and path %s", r.Host, path)
	}
	e.Route = route
	// A request without a valid key is refused before its body is read, so that a flood of them costs little.
	if customer, err = h.identify(c, route, r.Header, current); err != nil {
		return nil, nil, err
	}
	if customer != nil {
		e.Customer = customer.Name
	}
	limit := h.timeLimit(r, route)
	body, err := h.readBody(w, r, c.Limits, limit)
	if err != nil {
		return nil, nil, err
	}
	request = &forward.Request{
		ID: e.ID, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: h.forwardedHeader(r.Header), Body: body,
		Route: route, Service: h.deps.PickService(route), Arrived: started, Deadline: started.Add(limit),
		Priority: route.Priority,
	}
	if c.Customers != nil {
		h.setCustomer(request, customer)
	}
	request.Objective = started.Add(route.Objective - h.waitLimits.elapsed(route.Name, h.callerTimeout(r)))
	e.Service = request.Service
	if c.Services[request.Service].Keyed {
		key, err := strconv.ParseUint(r.Header.Get(h.deps.Headers.Key), 10, 16)
		if err != nil {
			return nil, nil, outcome.NotRun(outcome.NoKey, "header field %s: a number from 0 to 65535 is wanted", h.deps.Headers.Key)
		}
		request.Keyed, request.Key = true, fleet.Key(key)
	}
	return request, customer, nil
}

// identify returns the customer that sent a request, or nil if the request needs no API key.
func (h *Handler) identify(c *fleet.Configuration, route *fleet.Route, header http.Header, current bool) (customer *fleet.Customer, err error) {
	freshness := apikey.Current
	switch {
	case h.deps.MayHoldRevokedKeys != nil && h.deps.MayHoldRevokedKeys():
		freshness = apikey.MayHoldRevokedKeys
	case !current:
		freshness = apikey.MayLackKeys
	}
	customer, rejection := apikey.Identify(c, route, header.Values(h.deps.Headers.APIKey), freshness)
	switch {
	case rejection == apikey.Accepted:
		return customer, nil
	case rejection.IsTemporary():
		return nil, outcome.NotRun(outcome.Stopping, "header field %s: %s", h.deps.Headers.APIKey, rejection)
	default:
		return nil, outcome.NotRun(outcome.Unauthenticated, "header field %s: %s", h.deps.Headers.APIKey, rejection)
	}
}

// setCustomer removes the caller's API key from a request and names the customer instead, or none if it is nil.
func (h *Handler) setCustomer(request *forward.Request, customer *fleet.Customer) {
	request.Header.Del(h.deps.Headers.APIKey)
	request.Header.Del(h.deps.Headers.Customer)
	if customer == nil {
		return
	}
	request.Header.Set(h.deps.Headers.Customer, string(customer.Name))
	request.Customer, request.Weight = customer.Name, customer.Allotment.Rate
	if customer.HasPriority {
		request.Priority = customer.Priority
	}
}

// timeLimit returns the shorter of the caller's timeout and the route's.
func (h *Handler) timeLimit(r *http.Request, route *fleet.Route) time.Duration {
	limit := defaultDeadline
	if route.Timeout > 0 {
		limit = route.Timeout
	}
	if timeout := h.callerTimeout(r); timeout > 0 {
		limit = min(limit, timeout)
	}
	return limit
}

// callerTimeout returns how long the caller still waits, or 0 if the request has no valid deadline field.
func (h *Handler) callerTimeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(h.deps.Headers.Deadline), 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// headerSize returns the size of a header in bytes.
func headerSize(h http.Header) (size int) {
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v) + fieldOverheadBytes
		}
	}
	return size
}

// readBody checks the size of the header and reads the whole body, so that a request that was not run can be retried
// at another backend server. A body that isn't complete within timeout is an error.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, limits fleet.Limits, timeout time.Duration) (body []byte, err error) {
	if size := headerSize(r.Header); limits.MaxHeader > 0 && size > limits.MaxHeader {
		return nil, outcome.NotRun(outcome.HeaderTooLarge, "the header has %d bytes, %d are allowed", size, limits.MaxHeader)
	}
	allowed := int64(maxBodyBytes)
	if limits.MaxBody > 0 {
		allowed = min(allowed, limits.MaxBody)
	}
	if r.ContentLength > allowed {
		return nil, outcome.NotRun(outcome.BodyTooLarge, "the body has %d bytes, %d are allowed", r.ContentLength, allowed)
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	// A caller that sends its body slowly must not hold the request beyond its deadline.
	connection := http.NewResponseController(w)
	if err := h.bodyReads.begin(connection, time.Now().Add(timeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, outcome.NotRun(outcome.CallerDisconnected, "the connection is closed: %v", err)
	}
	body, err = http1.ReadBody(r.Body, int(allowed), h.deps.Bodies)
	stopped := h.bodyReads.end(connection)
	if err != nil {
		return nil, bodyRefusal(err, stopped, timeout, allowed)
	}
	if stopped {
		// From the end of the body on, net/http reads for the next request and cancels this one when that fails.
		return nil, outcome.NotRun(outcome.Stopping, "this VM stops, and the body was only just complete")
	}
	if err := connection.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, outcome.NotRun(outcome.CallerDisconnected, "the connection is closed: %v", err)
	}
	return body, nil
}

// bodyRefusal returns the refusal of a request whose body could not be read; stopped says that this VM reads no bodies any more.
func bodyRefusal(err error, stopped bool, timeout time.Duration, allowed int64) *outcome.Error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && stopped:
		return outcome.NotRun(outcome.Stopping, "this VM stops, and the body was not complete")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.NotRun(outcome.BodyTimeout, "the body was not complete within %s", timeout)
	case errors.Is(err, http1.ErrTooLarge):
		return outcome.NotRun(outcome.BodyTooLarge, "the body has more than %d bytes", allowed)
	case errors.Is(err, http1.ErrQuota):
		return outcome.NotRun(outcome.Overloaded, "%v", err)
	default:
		return outcome.NotRun(outcome.CallerDisconnected, "the body broke off: %v", err)
	}
}

// hopByHop are the header fields that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// forwardedHeader returns a copy of the header without the hop-by-hop and reserved fields.
func (h *Handler) forwardedHeader(in http.Header) http.Header {
	out := in.Clone()
	removeConnectionFields(out)
	for _, name := range h.deps.Headers.Reserved {
		out.Del(name)
	}
	return out
}

func removeConnectionFields(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// writeResponse forwards a backend server's response to the caller.
func (h *Handler) writeResponse(w http.ResponseWriter, a *forward.Answer) {
	head := w.Header()
	removeConnectionFields(a.Header)
	for name, values := range a.Header {
		head[name] = values
	}
	if _, ok := head["Content-Type"]; !ok {
		// A nil value prevents net/http from detecting a content type.
		head["Content-Type"] = nil
	}
	head.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		// The caller has disconnected, so the error can't be reported to it.
		return
	}
}

// writeRefusal answers a request for which there is no response of a backend server.
func (h *Handler) writeRefusal(w http.ResponseWriter, e Event) {
	head := w.Header()
	if e.ID != "" {
		head.Set(h.deps.Headers.RequestID, e.ID)
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

// statusOf returns the HTTP status of a refusal. If the request may have been run, 502 replaces the statuses that promise that it was not, and
// the others that would blame the caller.
func statusOf(e *outcome.Error) int {
	status := e.Status()
	if e.Outcome != outcome.KindNotRun && (outcome.PromisesNotRun(status) || status < http.StatusBadGateway) {
		return http.StatusBadGateway
	}
	return status
}
