package edge

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/departure"
	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/reach"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/transport/http1"
	"github.com/hickorylug/hickorylug/transport/relay"
)

// settableClock is a clock that stands still until it is set.
type settableClock struct {
	clock.System
	boot atomic.Int64
}

func (c *settableClock) Boot() clock.Instant { return clock.Instant(c.boot.Load()) }

// A response of which a part has come must not be given up for the silence before it.
func TestResponseBeingReadIsNotAbandoned(t *testing.T) {
	is := is.New(t)
	body, release := strings.Repeat("x", 40<<10), make(chan struct{})
	var now settableClock
	now.boot.Store(int64(time.Hour))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/other" {
			return
		}
		now.boot.Add(int64(time.Second))
		_, _ = io.WriteString(w, body)
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	defer server.Close()
	e := &Edge{
		clock: clock.System{}, backends: http1.NewClient(), reach: reach.NewDetector(reach.WithClock(&now)), departures: departure.NewRecords(time.Second),
		dispatcher: dispatch.NewDispatcher("a", "east"), bodies: http1.NewQuota(1 << 20),
	}
	done := make(chan relay.Result, 1)
	go func() {
		done <- e.attemptDirectly(t.Context(), relay.Attempt{
			Server: "s", Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{}, Timeout: time.Minute, Command: true,
		})
	}()
	for e.bodies.Used() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(e.reach.RecordProbes(0, reach.ProbeCount))
	// An attempt that is given up ends before another request is answered.
	other, err := http.Get(server.URL + "/other")
	is.NoErr(err)
	other.Body.Close()
	close(release)
	r := <-done
	is.Equal(r.Failure, nil)
	is.Equal(string(r.Body), body)
}

// A caller's request without an id must not be sent like a command, without a deadline and to whatever process has the address.
func TestAttemptsNameTheirBackendServer(t *testing.T) {
	tests := map[string]struct {
		attempt          relay.Attempt
		expect, deadline string
	}{
		"a request":            {attempt: relay.Attempt{RequestID: "r1"}, expect: "s", deadline: "2000"},
		"a request without id": {attempt: relay.Attempt{}, expect: "s", deadline: "2000"},
		"a command":            {attempt: relay.Attempt{Command: true, Header: http.Header{platform.HeaderExpect: {"other"}}}, expect: "other"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got http.Header
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				got = r.Header
				w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
			}))
			defer server.Close()
			// The deadline is computed when the attempt is written.
			var now settableClock
			e := &Edge{
				clock: &now, backends: http1.NewClient(), reach: reach.NewDetector(), departures: departure.NewRecords(time.Second),
				dispatcher: dispatch.NewDispatcher("a", "east"),
			}
			a := test.attempt
			a.Server, a.Address, a.Method, a.Target, a.Host, a.Timeout = "s", strings.TrimPrefix(server.URL, "http://"), http.MethodGet, "/", "a.example", 2*time.Second
			if a.Header == nil {
				a.Header = http.Header{}
			}
			r := e.attemptDirectly(t.Context(), a)
			is.Equal(r.Failure, nil)
			is.Equal(got.Get(platform.HeaderExpect), test.expect)
			is.Equal(got.Get(platform.HeaderDeadline), test.deadline)
		})
	}
}

// A panic in a probe must not end the process, and the backend server counts as out of reach.
func TestPanicsInProbesAreSurvived(t *testing.T) {
	is := is.New(t)
	e := &Edge{clock: clock.System{}, log: slog.New(slog.DiscardHandler), reach: reach.NewDetector()}
	e.metrics = newMetrics(e)
	e.backends = http1.NewClient(http1.WithDial(func(context.Context, string) (net.Conn, error) { panic("a fault") }))
	is.Equal(e.countReachable(t.Context(), []fleet.Server{{Address: "10.0.0.1:1"}, {Address: "10.0.0.2:1"}}), 0)
	is.Equal(e.metrics.panics.Load(), int64(2))
}
