// Package caller is the HTTP server for callers: it parses their requests and writes the responses.
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

// Header fields of callers' requests.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerForwardedFor   = "X-Forwarded-For"
	// reservedPrefix is the prefix of the header fields that only the router may set.
	reservedPrefix = "Hickorylug-"
)

// hopByHopFields lists the header fields that apply to a single connection and must not be forwarded (RFC 9110, section 7.6.1).
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Handler serves callers' requests; it is an http.Handler.
type Handler struct {
	options   Options
	directory *directory.Directory
	serve     exchange.Handler
}

// NewHandler returns a handler that passes requests to serve.
func NewHandler(d *directory.Directory, serve exchange.Handler, opts ...Option) *Handler {
	return &Handler{options: newOptions(opts), directory: d, serve: serve}
}

// ServeHTTP serves one request. An error is written as a problem document with its outcome and reason.
func (h *Handler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	startedAt := h.options.Clock.Now()
	ctx, span := h.options.Tracer.Start(req.Context(), req.Header, "caller")
	defer span.End()
	r, err := h.parseRequest(ctx, w, req)
	if err == nil {
		span.SetAttributes(attribute.String("Route", string(r.Route)), attribute.String("Service", string(r.Service)))
		var resp *exchange.Response
		if resp, err = h.serve(ctx, r); err == nil {
			h.options.Observe(r.Route, resp.Status, nil, h.options.Clock.Now().Sub(startedAt))
			h.writeResponse(w, resp)
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

// parseRequest matches a caller's request to its route and converts it, with its deadline and its key.
//
// Where only the key is invalid, it also returns the request, so that the refusal counts for the route.
func (h *Handler) parseRequest(ctx context.Context, w http.ResponseWriter, req *http.Request) (r *exchange.Request, err error) {
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
	deadline, err := h.requestDeadline(req, m)
	if err != nil {
		return nil, err
	}
	r = &exchange.Request{
		Method:         req.Method,
		Target:         req.URL.RequestURI(),
		Host:           req.Host,
		Header:         forwardedHeader(req),
		Body:           http.MaxBytesReader(w, req.Body, limit),
		Length:         req.ContentLength,
		Route:          m.Name,
		Service:        m.Route.Service,
		IdempotencyKey: req.Header.Get(headerIdempotencyKey),
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

// requestDeadline returns the request's deadline, by the route's timeout or by a shorter one that the caller sets in milliseconds.
func (h *Handler) requestDeadline(req *http.Request, m route.Match) (deadline time.Time, err error) {
	timeout := m.Route.Timeout.Std()
	if text := req.Header.Get(backend.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return deadline, outcome.NotRun(outcome.BadRequest, "%s: %q is not a positive number of milliseconds", backend.HeaderDeadline, text)
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	return h.options.Clock.Now().Add(timeout), nil
}

// forwardedHeader returns the header fields that are forwarded to the backend server.
func forwardedHeader(req *http.Request) http.Header {
	out := req.Header.Clone()
	removeHopByHop(out)
	for name := range out {
		if strings.HasPrefix(name, reservedPrefix) {
			delete(out, name)
		}
	}
	if host, _, err := net.SplitHostPort(req.RemoteAddr); err == nil {
		out[headerForwardedFor] = []string{strings.Join(append(req.Header.Values(headerForwardedFor), host), ", ")}
	}
	return out
}

// removeHopByHop removes the hop-by-hop fields and the fields that the Connection field lists.
func removeHopByHop(h http.Header) {
	for _, names := range h.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		h.Del(name)
	}
}

// writeResponse writes a response. Where the body is truncated, it aborts the connection, so that the caller can't take
// the response for a complete one.
func (h *Handler) writeResponse(w http.ResponseWriter, resp *exchange.Response) {
	defer resp.Body.Close()
	removeHopByHop(resp.Header)
	for name, values := range resp.Header {
		if !strings.HasPrefix(name, reservedPrefix) {
			w.Header()[name] = values
		}
	}
	if resp.Length >= 0 {
		w.Header().Set("Content-Length", fmt.Sprint(resp.Length))
	}
	w.WriteHeader(resp.Status)
	if err := copyBody(w, resp.Body, resp.Length < 0); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyBody copies a response body to the caller. With flush, which is set for a body of unknown length, each read is
// flushed at once.
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
