package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/transport/http1"
)

// maxInFlight limits the attempts that are made for other VMs at the same time.
const maxInFlight = 1000

// Send makes an attempt; ok is false if it was declined.
type Send func(ctx context.Context, a Attempt) (r Result, ok bool)

// Handler makes attempts for other VMs. It is safe for concurrent use.
type Handler struct {
	options  Options
	process  uint64
	send     Send
	quota    *http1.Quota
	inFlight atomic.Int64
	draining atomic.Bool
	made     atomic.Int64
}

// NewHandler returns a handler that makes attempts with send. Long attempts are read within the quota.
func NewHandler(quota *http1.Quota, send Send, opts ...Option) *Handler {
	return &Handler{options: newOptions(opts), process: rand.Uint64(), send: send, quota: quota}
}

// InFlight returns the number of attempts in flight.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// Made returns the number of attempts that were made for other VMs.
func (h *Handler) Made() int64 { return h.made.Load() }

// Drain makes the handler decline all further attempts.
func (h *Handler) Drain() { h.draining.Store(true) }

// ServeHTTP makes an attempt, or gives out a token for one. Every status but 200 says that it was declined.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	inFlight := h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	status, data := http.StatusServiceUnavailable, []byte(nil)
	switch {
	case inFlight > maxInFlight || h.draining.Load():
	case r.Method == http.MethodGet:
		status, data = h.giveToken()
	default:
		status, data = h.serve(w, r)
	}
	// A VM that stops ends once no attempt is in flight, so the whole result is written before. If it can't be, the other VM has gone.
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
	_ = http.NewResponseController(w).Flush()
}

// giveToken returns an encoded token, or another status than 200.
func (h *Handler) giveToken() (status int, token []byte) {
	token, err := cbor.Marshal(Token{Process: h.process, At: h.options.Clock.Boot()})
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	return http.StatusOK, token
}

// mayBegin sets the limits of an attempt with a token. It reports whether the token is this process's and the time hasn't passed.
func (h *Handler) mayBegin(a *Attempt) bool {
	if a.Token == nil {
		return true
	}
	a.NotAfter = a.Token.At.Add(a.WriteTime)
	if a.OpenTime != nil {
		openedBy := a.Token.At.Add(-*a.OpenTime)
		a.OpenedBy = func(context.Context, clock.Instant) clock.Instant { return openedBy }
	}
	return a.Token.Process == h.process && !a.IsLate(h.options.Clock.Boot())
}

// serve makes an attempt and returns its encoded result, or another status than 200.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request) (status int, result []byte) {
	data, err := http1.ReadBody(r.Body, maxAttemptBytes, h.quota)
	var a Attempt
	if err != nil || decode(data, &a) != nil || a.Server == "" || a.Timeout <= 0 {
		return http.StatusBadRequest, nil
	}
	if !h.mayBegin(&a) {
		return http.StatusServiceUnavailable, nil
	}
	// The server's read timeout is for the request only; it would end the attempt.
	if http.NewResponseController(w).SetReadDeadline(time.Time{}) != nil {
		return http.StatusServiceUnavailable, nil
	}
	ctx := r.Context()
	if a.Detached {
		a.Wanted, ctx = ctx, context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	made, ok := h.send(ctx, a)
	if !ok {
		return http.StatusServiceUnavailable, nil
	}
	h.made.Add(1)
	if result, err = cbor.Marshal(made); err != nil {
		// Any status says that the attempt was not made, so the connection is broken off instead.
		panic(http.ErrAbortHandler)
	}
	return http.StatusOK, result
}
