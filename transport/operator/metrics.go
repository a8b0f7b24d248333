package operator

import (
	"expvar"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/id"
)

// Range of the histogram of latencies, in microseconds.
const (
	minLatency = 1
	maxLatency = 60_000_000
	digits     = 2
)

// Metrics are the counters of one VM; expvar renders them.
type Metrics struct {
	root     *expvar.Map
	answers  *expvar.Map
	refusals *expvar.Map
	routes   *expvar.Map
	calls    *expvar.Map
	inFlight atomic.Int64

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
}

// NewMetrics returns metrics that count from 0.
func NewMetrics() *Metrics {
	m := &Metrics{
		root:      new(expvar.Map).Init(),
		answers:   new(expvar.Map).Init(),
		refusals:  new(expvar.Map).Init(),
		routes:    new(expvar.Map).Init(),
		calls:     new(expvar.Map).Init(),
		latencies: hdrhistogram.New(minLatency, maxLatency, digits),
	}
	m.root.Set("AnswersByStatus", m.answers)
	m.root.Set("RefusalsByReason", m.refusals)
	m.root.Set("RequestsByRoute", m.routes)
	m.root.Set("PeerBytesByCall", m.calls)
	m.Set("InFlight", func() any { return m.inFlight.Load() })
	m.Set("LatencyMilliseconds", m.quantiles)
	return m
}

// Set publishes a value that is computed when it is read.
func (m *Metrics) Set(name string, value func() any) {
	m.root.Set(name, expvar.Func(value))
}

// Observe counts a request; e is nil where it was answered.
func (m *Metrics) Observe(r id.Route, status int, e *outcome.Error, latency time.Duration) {
	m.routes.Add(string(r), 1)
	if e == nil {
		m.answers.Add(strconv.Itoa(status), 1)
	} else {
		m.refusals.Add(string(e.Outcome)+": "+string(e.Reason), 1)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// A latency beyond the range counts as the longest one.
	_ = m.latencies.RecordValue(min(max(latency.Microseconds(), minLatency), maxLatency))
}

// ObservePeerCall counts the bytes of a call to another VM.
func (m *Metrics) ObservePeerCall(method string, bytes int) { m.calls.Add(method, int64(bytes)) }

// PeerBytesByCall returns the bytes of calls to other VMs so far, by method.
func (m *Metrics) PeerBytesByCall() map[string]int64 {
	out := map[string]int64{}
	m.calls.Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			out[kv.Key] = v.Value()
		}
	})
	return out
}

// quantilesOfLatency are published, in percent.
var quantilesOfLatency = []float64{50, 90, 99, 99.9}

func (m *Metrics) quantiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]float64{}
	for _, q := range quantilesOfLatency {
		out["P"+strconv.FormatFloat(q, 'f', -1, 64)] = float64(m.latencies.ValueAtQuantile(q)) / 1000
	}
	return out
}

// TrackInFlight counts the requests that a handler has in flight.
func (m *Metrics) TrackInFlight(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.inFlight.Add(1)
		defer m.inFlight.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// InFlight returns the number of callers' requests in flight.
func (m *Metrics) InFlight() int64 { return m.inFlight.Load() }

// String returns all metrics as a JSON object.
func (m *Metrics) String() string { return m.root.String() }
