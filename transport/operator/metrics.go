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

// Range and precision of the latency histogram.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 2
)

// Metrics are the metrics of one VM, published as an expvar map.
type Metrics struct {
	root      *expvar.Map
	answers   *expvar.Map
	refusals  *expvar.Map
	routes    *expvar.Map
	peerBytes *expvar.Map
	inFlight  atomic.Int64

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
}

// NewMetrics returns metrics whose counters are 0.
func NewMetrics() *Metrics {
	m := &Metrics{
		root:      new(expvar.Map).Init(),
		answers:   new(expvar.Map).Init(),
		refusals:  new(expvar.Map).Init(),
		routes:    new(expvar.Map).Init(),
		peerBytes: new(expvar.Map).Init(),
		latencies: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
	}
	m.root.Set("AnswersByStatus", m.answers)
	m.root.Set("RefusalsByReason", m.refusals)
	m.root.Set("RequestsByRoute", m.routes)
	m.root.Set("PeerBytesByCall", m.peerBytes)
	m.Set("InFlight", func() any { return m.inFlight.Load() })
	m.Set("LatencyMilliseconds", m.percentiles)
	return m
}

// Set publishes a metric; value is called each time the metrics are read.
func (m *Metrics) Set(name string, value func() any) {
	m.root.Set(name, expvar.Func(value))
}

// Observe counts a request and records its latency; e is nil where a backend server's response was returned.
func (m *Metrics) Observe(r id.Route, status int, e *outcome.Error, latency time.Duration) {
	m.routes.Add(string(r), 1)
	if e == nil {
		m.answers.Add(strconv.Itoa(status), 1)
	} else {
		m.refusals.Add(string(e.Outcome)+": "+string(e.Reason), 1)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// A latency outside the range counts as the nearest value in it, so this never fails.
	_ = m.latencies.RecordValue(min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// ObservePeerCall adds the bytes of a call to another VM to its method's counter.
func (m *Metrics) ObservePeerCall(method string, bytes int) { m.peerBytes.Add(method, int64(bytes)) }

// PeerBytesByCall returns the total bytes of calls to other VMs, by method.
func (m *Metrics) PeerBytesByCall() map[string]int64 {
	out := map[string]int64{}
	m.peerBytes.Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			out[kv.Key] = v.Value()
		}
	})
	return out
}

// latencyPercentiles are the percentiles of the latency that are published.
var latencyPercentiles = []float64{50, 90, 99, 99.9}

// percentiles returns the latency percentiles in milliseconds.
func (m *Metrics) percentiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]float64{}
	for _, p := range latencyPercentiles {
		out["P"+strconv.FormatFloat(p, 'f', -1, 64)] = float64(m.latencies.ValueAtQuantile(p)) / 1000
	}
	return out
}

// TrackInFlight wraps a handler to count its requests in flight.
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
