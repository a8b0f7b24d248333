package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/hickorylug/hickorylug/coordination/allotment"
	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/coordination/ratelimit"
	"github.com/hickorylug/hickorylug/protocol/customers"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/entry"
	"github.com/hickorylug/hickorylug/transport/http1server"
)

// metrics holds the counters and histograms of one VM.
type metrics struct {
	edge         *Edge
	lostMessages atomic.Int64
	panics       atomic.Int64
	store        *expvar.Map
	requests     *expvar.Map
	attempts     *expvar.Map
	// lost counts the responses that were not written completely, by cause.
	lost      *expvar.Map
	customers *customerCounters
	lines     *lineLimiter
	// afterCallerLeft bounds the log lines of requests that were sent long after their callers had left.
	afterCallerLeft rate.Sometimes
	// leaving counts the incarnations of backend servers that announced that they leave, and pauses the times that one wanted no requests.
	leaving, pauses atomic.Int64

	mu        sync.Mutex
	latencies map[string]*hdrhistogram.Histogram
}

const (
	// latencyDigits is the precision of histograms, in significant decimal digits; a single digit keeps them small.
	latencyDigits = 1
	maxLatencyMs  = int64(60 * time.Second / time.Millisecond)
	// maxCallerLeftLogs is the number of requests sent long after their callers had left that are logged each; of later ones, one per
	// callerLeftLogPeriod is.
	maxCallerLeftLogs   = 100
	callerLeftLogPeriod = time.Second
	// callerLeftTolerance is the time from which a request that is sent after its caller has left counts as late.
	callerLeftTolerance = 500 * time.Millisecond
)

func newMetrics(e *Edge) *metrics {
	return &metrics{
		edge: e, store: new(expvar.Map).Init(), requests: new(expvar.Map).Init(), attempts: new(expvar.Map).Init(), lost: new(expvar.Map).Init(),
		afterCallerLeft: rate.Sometimes{First: maxCallerLeftLogs, Interval: callerLeftLogPeriod},
		latencies:       map[string]*hdrhistogram.Histogram{}, customers: newCustomerCounters(), lines: newLineLimiter(e.clock, e.log),
	}
}

func (m *metrics) observeStore(call string, _ time.Duration, err error) {
	m.store.Add(call, 1)
	if err != nil {
		m.store.Add(call+".failed", 1)
	}
}

func (m *metrics) observeLatency(name string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.latencies[name]
	if !ok {
		h = hdrhistogram.New(1, maxLatencyMs, latencyDigits)
		m.latencies[name] = h
	}
	_ = h.RecordValue(min(max(took.Milliseconds(), 1), maxLatencyMs))
}

// statusLabel returns the name of a status in the metrics. Statuses that HTTP doesn't define share the name of their class, so that a
// backend server's choice of statuses doesn't add metrics without bound.
func statusLabel(status int) string {
	if http.StatusText(status) == "" {
		return strconv.Itoa(status/100) + "xx"
	}
	return strconv.Itoa(status)
}

// observeRequest counts a request, and logs it if it was refused, failed or took more than one attempt.
func (e *Edge) observeRequest(v entry.Event) {
	e.metrics.requests.Add(string(v.Service)+"."+statusLabel(v.Status), 1)
	e.metrics.observeLatency(string(v.Service), v.Duration)
	e.metrics.customers.observe(&v)
	if v.Refusal == nil && v.Status < http.StatusInternalServerError && v.Attempts <= 1 {
		return
	}
	if v.Refusal != nil {
		e.metrics.requests.Add("refused."+string(v.Refusal.Reason), 1)
		if e.metrics.lines.isLimited(v.Refusal.Reason) && !e.metrics.lines.allow(v.Refusal.Reason, v.Customer) {
			return
		}
	}
	args := []any{"request", v.ID, "service", string(v.Service), "status", v.Status, "tookMs", v.Duration.Milliseconds(), "version", v.Version, "attempts", v.Attempts, "server", string(v.Server), "newsAgeMs", e.newsAge().Milliseconds()}
	if v.Route != nil {
		args = append(args, "route", string(v.Route.Name))
	}
	if v.Customer != "" {
		args = append(args, "customer", string(v.Customer))
	}
	if v.CallerLeftAfter > 0 {
		args = append(args, "callerLeftAfterMs", v.CallerLeftAfter.Milliseconds())
	}
	if v.Refusal != nil {
		args = append(args, "outcome", string(v.Refusal.Outcome), "reason", string(v.Refusal.Reason), "detail", v.Refusal.Detail, "retryAfterMs", v.Refusal.RetryAfter.Milliseconds())
	}
	e.log.Info("request ended", args...)
}

// observeAttempt counts an attempt, and logs its result.
func (e *Edge) observeAttempt(r *forward.Request, slot *dispatch.Slot, took time.Duration, reply *forward.Reply, failure *forward.Failure) {
	s := slot.Server
	if failure != nil {
		e.observeAfterCallerLeft(r, slot, took, failure.Sending, failure.Sent)
	} else {
		e.observeAfterCallerLeft(r, slot, took, reply.Sending, true)
	}
	switch {
	case failure != nil && failure.Withheld:
		e.metrics.attempts.Add("withheld", 1)
		e.log.Info("sending withheld", "request", r.ID, "server", string(s.Server), "tookMs", took.Milliseconds(), "cause", failure.Cause.Error())
	case failure != nil:
		e.metrics.attempts.Add("failed", 1)
		e.log.Info("sending failed", "request", r.ID, "server", string(s.Server), "sent", failure.Sent, "tookMs", took.Milliseconds(), "cause", failure.Cause.Error())
	case reply.NotRun || reply.Misplaced:
		e.metrics.attempts.Add("rejected", 1)
		e.log.Info("sending rejected", "request", r.ID, "server", string(s.Server), "status", reply.Answer.Status, "misplaced", reply.Misplaced, "key", int(r.Key), "running", reply.Report.Running, "waiting", reply.Report.Waiting)
	case reply.Unsigned:
		e.metrics.attempts.Add("unsigned", 1)
		e.log.Warn("a success without signature is not passed on", "request", r.ID, "server", string(s.Server), "status", reply.Answer.Status, "tookMs", took.Milliseconds())
	default:
		e.metrics.attempts.Add("answered", 1)
		e.log.Debug("sending answered", "request", r.ID, "service", string(r.Service), "server", string(s.Server), "tookMs", took.Milliseconds(),
			"expectedMs", slot.ExpectedLatency.Milliseconds(), "load", slot.Load, "waitedMs", e.clock.Boot().Sub(r.Arrived).Milliseconds()-took.Milliseconds(),
			"running", reply.Report.Running, "waiting", reply.Report.Waiting, "pace", reply.Report.Slowdown)
	}
}

// observeAfterCallerLeft counts a request that was sent after its caller had left, and logs it if that was long after. If it isn't known when it was written, the end of the
// attempt counts.
func (e *Edge) observeAfterCallerLeft(r *forward.Request, slot *dispatch.Slot, took time.Duration, sending forward.Sending, sent bool) {
	if !sent || r.CallerLeft == nil {
		return
	}
	now, left := e.clock.Boot(), r.CallerLeft()
	at := cmp.Or(sending.WrittenAt, now)
	if left == 0 || at <= left {
		return
	}
	e.metrics.attempts.Add("afterCallerLeft", 1)
	if at.Sub(left) <= callerLeftTolerance {
		return
	}
	e.metrics.attempts.Add("longAfterCallerLeft", 1)
	e.metrics.afterCallerLeft.Do(func() {
		e.log.Info("a request was sent long after its caller had left", "request", r.ID, "service", string(r.Service), "server", string(slot.Server.Server),
			"idempotent", r.Route.Idempotent, "keyed", r.Keyed, "leftAfterMs", left.Sub(r.Arrived).Milliseconds(), "begunAfterMs", now.Sub(r.Arrived).Milliseconds()-took.Milliseconds(),
			"writtenAfterMs", at.Sub(r.Arrived).Milliseconds(), "endedAfterMs", now.Sub(r.Arrived).Milliseconds(), "relayed", sending.Relayed, "writeKnown", sending.WrittenAt > 0)
	})
}

// observeLost counts and logs a request whose connection ended before its response was written.
func (e *Edge) observeLost(l http1server.Lost) {
	level, cause := slog.LevelError, "closed here"
	switch {
	case errors.Is(l.Cause, http1server.ErrClosedHere):
	case errors.Is(l.Cause, http1server.ErrAborted):
		cause = "aborted"
	default:
		// The caller has left, which is not a failure of this system.
		level, cause = slog.LevelDebug, "caller"
	}
	e.metrics.lost.Add(cause, 1)
	e.log.Log(context.Background(), level, "a connection ended without the response", "request", l.Request, "ageMs", l.Age.Milliseconds(), "cause", l.Cause.Error(), "stopping", e.leaving.Load())
}

// observeLostByVM logs a request of another VM whose connection ended before its response was written, unless that VM ended it.
func (e *Edge) observeLostByVM(l http1server.Lost) {
	if errors.Is(l.Cause, http1server.ErrClosedHere) || errors.Is(l.Cause, http1server.ErrAborted) {
		e.log.Warn("a connection to another VM ended without the response", "request", l.Request, "ageMs", l.Age.Milliseconds(), "cause", l.Cause.Error(), "stopping", e.leaving.Load())
	}
}

// observeDroppedSuspects logs that a crash no longer counts against requests.
func (e *Edge) observeDroppedSuspects(p fleet.Incarnation, cause poison.Cause, suspects []poison.Fingerprint) {
	if len(suspects) == 0 {
		return
	}
	e.log.Info("a crash no longer counts against requests", "server", string(p.Server), "born", int64(p.Born), "cause", string(cause), "fingerprints", suspects)
}

// observeSuspect logs that a request got no answer, so that it may have crashed the backend server.
func (e *Edge) observeSuspect(server id.Server, f poison.Fingerprint) {
	e.log.Info("a request got no answer: it may have crashed the backend server", "server", string(server), "fingerprint", uint64(f))
}

// observeEra logs that the store came back from an older copy, or its era at the first call.
func (e *Edge) observeEra(before, now id.Era) {
	e.log.Warn("the store is in a new era", "before", uint64(before), "era", uint64(now), "position", e.mirror.Position().Number())
}

// observePanic counts and logs a panic in the handling of one message or in one task.
func (e *Edge) observePanic(value any, stack []byte) {
	e.metrics.panics.Add(1)
	e.log.Error("a panic ended the handling of one message or task", "value", fmt.Sprint(value), "stack", string(stack))
}

// survivePanic is to be deferred by goroutines whose panic would end the process.
func (e *Edge) survivePanic() {
	if value := recover(); value != nil {
		e.observePanic(value, debug.Stack())
	}
}

// observeRequestPanic counts and logs a panic in the handling of a caller's request.
func (e *Edge) observeRequestPanic(request string, value any, stack []byte) {
	e.metrics.panics.Add(1)
	e.log.Error("a panic ended the handling of a request", "request", request, "value", fmt.Sprint(value), "stack", string(stack))
}

// observeEjection counts and logs the ejection of a backend server.
func (e *Edge) observeEjection(server id.Server, share float64, duration time.Duration) {
	e.metrics.attempts.Add("ejected", 1)
	e.log.Warn("backend server is ejected: most of its answers are failures", "server", string(server), "share", share, "forMs", duration.Milliseconds())
}

// observeRequestLimit logs that a backend server's request limit began, changed or ended.
func (e *Edge) observeRequestLimit(server id.Server, rate ratelimit.Rate) {
	e.log.Info("backend server names a request limit", "server", string(server), "perSecond", float64(rate))
}

// server returns an HTTP server for the metrics as JSON.
func (m *metrics) server() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_ = json.NewEncoder(w).Encode(m.values())
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ErrorLog: discardLogger()}
}

// limitCounts returns the number of limits of requests for keys by service.
func limitCounts(limits map[id.Service][]ownership.Admission) map[id.Service]int {
	out := map[id.Service]int{}
	for service, list := range limits {
		out[service] = len(list)
	}
	return out
}

func (m *metrics) values() map[string]any {
	e := m.edge
	s := e.snapshot.Load()
	version := uint64(0)
	if s.Configuration != nil {
		version = s.Configuration.Version
	}
	allotments, crashes := e.Allotments(customerRows), e.crashes.Stats(e.clock.Boot())
	out := map[string]any{
		"Requests": json.RawMessage(m.requests.String()), "Sendings": json.RawMessage(m.attempts.String()), "Store": json.RawMessage(m.store.String()),
		"InFlight": e.handler.InFlight(), "Position": s.Position.Number(), "StoreEra": e.store.Era(), "Configuration": version, "NewsAgeMs": e.newsAge().Milliseconds(),
		"Leading": e.leads(), "Peers": len(s.Peers), "Servers": len(s.Servers), "UnusedItems": len(s.Unused), "LostMessages": m.lostMessages.Load(), "Panics": m.panics.Load(),
		"GossipBytes": e.socket.SentBytes(), "Connections": e.backends.OpenedConnections(), "Neighbours": len(e.dispatcher.Neighbours()), "LongBodyBytes": e.bodies.Used(),
		"Limits": limitCounts(e.dispatcher.Admissions()), "RequestLimits": e.dispatcher.RequestLimits(),
		"BlockedRequests": crashes.Blocked, "Crashes": crashes, "CutOff": e.reach.IsCutOff(), "AttemptsForOthers": e.relayHandler.Made(),
		"Customers": m.customerValues(allotments), "Granted": allotments.Granted,
		"Leaving": m.leaving.Load(), "Pauses": m.pauses.Load(),
		"CallerConnections": e.callers.Open(), "LostResponses": json.RawMessage(m.lost.String()),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	latencies := map[string]any{}
	for name, h := range m.latencies {
		latencies[name] = map[string]int64{"Count": h.TotalCount(), "P50Ms": h.ValueAtQuantile(50), "P99Ms": h.ValueAtQuantile(99), "MaxMs": h.Max()}
	}
	out["Latencies"] = latencies
	return out
}

// customerValues returns the figures about customers.
func (m *metrics) customerValues(held AllotmentView) customers.Metrics {
	v := m.customers.values()
	v.SuppressedLines = m.lines.suppressed.Load()
	for i := range v.Rows {
		a, _ := m.edge.allotments.lookup(v.Rows[i].Customer)
		v.Rows[i].RatePerS, v.Rows[i].Burst = a.Rate, a.Burst
	}
	v.InContact, v.AnswerAgeMs = held.InContact, held.AnswerAgeMs
	for _, h := range held.Held {
		a, _ := m.edge.allotments.lookup(h.Customer)
		v.Allotments = append(v.Allotments, customers.Allotment{
			Customer: h.Customer, RatePerS: a.Rate, Burst: a.Burst, SharePerS: a.Rate * float64(h.Share) / float64(allotment.WholeShare), Tokens: h.Held, Waiting: h.Waiting,
		})
	}
	return v
}
