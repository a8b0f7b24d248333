// Package caller takes callers' HTTP requests and writes their answers.
//
// # Usage
//
//	h := caller.NewHandler(directory, router.Serve)
//	server := caller.NewServer(h)
//	err := server.Serve(ctx, listener)
package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"

	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/coordination/route"
	"github.com/hickorylug/hickorylug/protocol/backend"
	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/protocol/problem"
	"github.com/hickorylug/hickorylug/protocol/trace"
	"github.com/hickorylug/hickorylug/state/table"
)

// Header fields that callers use.
const (
	headerIdentity  = "Idempotency-Key"
	headerForwarded = "X-Forwarded-For"
	// ownPrefix begins the header fields that only the router itself may set.
	ownPrefix = "Hickorylug-"
)

// hopByHop lists the header fields that concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Handler answers callers.
type Handler struct {
	options   Options
	directory *directory.Directory
	serve     exchange.Handler
}

// NewHandler returns a handler that passes requests to serve.
func NewHandler(d *directory.Directory, serve exchange.Handler, opts ...Option) *Handler {
	return &Handler{options: newOptions(opts), directory: d, serve: serve}
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	startedAt := h.options.Clock.Now()
	ctx, span := h.options.Tracer.Start(req.Context(), req.Header, "caller")
	defer span.End()
	r, err := h.request(ctx, w, req)
	if err == nil {
		span.SetAttributes(attribute.String("Route", string(r.Route)), attribute.String("Service", string(r.Service)))
		var answer *exchange.Response
		if answer, err = h.serve(ctx, r); err == nil {
			h.options.Observe(r.Route, answer.Status, nil, h.options.Clock.Now().Sub(startedAt))
			h.answer(w, answer)
			return
		}
	}
	refusal := outcome.FromError(err)
	span.SetAttributes(attribute.String("Outcome", string(refusal.Outcome)), attribute.String("Reason", string(refusal.Reason)))
	name, status := routeOf(r), refusal.Status()
	h.options.Observe(name, status, refusal, h.options.Clock.Now().Sub(startedAt))
	if refusal.Reason == outcome.WrongMethod {
		w.Header().Set("Allow", strings.Join(h.directory.View().Routes.AllowedMethods(req), ", "))
	}
	problem.Write(w, refusal, trace.ID(ctx))
}

// request reads what the route needs to know of a caller's request.
func (h *Handler) request(ctx context.Context, w http.ResponseWriter, req *http.Request) (r *exchange.Request, err error) {
	if h.directory.View().Revision == 0 {
		return nil, outcome.NotRun(outcome.NoServer, "this VM has no configuration yet").WithRetryAfter(time.Second)
	}
	m, err := h.directory.View().Routes.Match(req)
	if err != nil {
		return nil, err
	}
	limit := m.Route.MaxBody.Int64()
	if req.ContentLength > limit {
		return nil, outcome.NotRun(outcome.BodyTooLarge, "the body of %d bytes is over the route's limit of %s", req.ContentLength, m.Route.MaxBody)
	}
	deadline, err := h.deadline(req, m)
	if err != nil {
		return nil, err
	}
	r = &exchange.Request{
		Method:         req.Method,
		Target:         req.URL.RequestURI(),
		Host:           req.Host,
		Header:         forwardHeader(req),
		Body:           http.MaxBytesReader(w, req.Body, limit),
		Length:         req.ContentLength,
		Route:          m.Name,
		Service:        m.Route.Service,
		IdempotencyKey: req.Header.Get(headerIdentity),
		Idempotent:     m.Route.Idempotent,
		Retries:        m.Route.Retries,
		Hedge:          m.Route.Hedge,
		Wait:           m.Route.Wait.Std(),
		Deadline:       deadline,
	}
	h.options.Tracer.Inject(ctx, r.Header)
	if !m.Route.Key.IsZero() {
		key, err := m.Key(req)
		if err != nil {
			return r, err
		}
		r.Keyed, r.Key = true, table.HashKey(key)
	}
	return r, nil
}

// deadline returns the end of the request: the route's, or an earlier one that the caller asks for.
func (h *Handler) deadline(req *http.Request, m route.Match) (end time.Time, err error) {
	timeout := m.Route.Timeout.Std()
	if text := req.Header.Get(backend.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return end, outcome.NotRun(outcome.BadRequest, "%s: %q is not a positive number of milliseconds", backend.HeaderDeadline, text)
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	return h.options.Clock.Now().Add(timeout), nil
}

// forwardHeader returns the fields that go on to the backend server.
func forwardHeader(req *http.Request) http.Header {
	out := req.Header.Clone()
	removeHopByHop(out)
	for name := range out {
		if strings.HasPrefix(name, ownPrefix) {
			delete(out, name)
		}
	}
	if host, _, err := net.SplitHostPort(req.RemoteAddr); err == nil {
		out[headerForwarded] = []string{strings.Join(append(req.Header.Values(headerForwarded), host), ", ")}
	}
	return out
}

func removeHopByHop(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// answer writes an answer; one that is cut short aborts the connection, so that it never looks whole.
func (h *Handler) answer(w http.ResponseWriter, a *exchange.Response) {
	defer a.Body.Close()
	removeHopByHop(a.Header)
	for name, values := range a.Header {
		if !strings.HasPrefix(name, ownPrefix) {
			w.Header()[name] = values
		}
	}
	if a.Length >= 0 {
		w.Header().Set("Content-Length", fmt.Sprint(a.Length))
	}
	w.WriteHeader(a.Status)
	if err := copyBody(w, a.Body, a.Length < 0); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyBody passes a body on; one of unknown length is flushed as it comes.
func copyBody(w http.ResponseWriter, body io.Reader, flush bool) error {
	if !flush {
		_, err := io.Copy(w, body)
		return err
	}
	control := http.NewResponseController(w)
	buffer := make([]byte, 32<<10)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if err := control.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
