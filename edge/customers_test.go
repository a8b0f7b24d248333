package edge

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/settings"
	"github.com/hickorylug/hickorylug/state/unit"
	"github.com/hickorylug/hickorylug/transport/entry"
)

// linesOf decodes JSON log lines.
func linesOf(t *testing.T, data []byte) (lines []map[string]any) {
	t.Helper()
	for line := range bytes.Lines(data) {
		var fields map[string]any
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatal(err)
		}
		lines = append(lines, fields)
	}
	return lines
}

// A flood of one customer's refusals must neither fill the log nor hide the lines about another customer, and the log must account for
// every line that is missing.
func TestLineLimiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		l := newLineLimiter(clock.Runtime{Origin: time.Now().Add(-time.Hour)}, slog.New(slog.NewJSONHandler(&log, nil)))
		written := 0
		for range 1000 {
			if l.allow(outcome.AllotmentExhausted, "flood") {
				written++
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.True(written >= 10 && written <= 16)
		is.True(l.allow(outcome.AllotmentExhausted, "other"))
		is.True(l.allow(outcome.Unauthenticated, ""))
		time.Sleep(time.Minute)
		synctest.Wait()
		reported := 0.0
		for _, line := range linesOf(t, log.Bytes()) {
			is.Equal(line["customer"], "flood")
			is.Equal(line["reason"], string(outcome.AllotmentExhausted))
			reported += line["count"].(float64)
		}
		is.Equal(int(reported), 1000-written)
		is.Equal(l.suppressed.Load(), uint64(1000-written))
	})
}

// The number of limits must not grow with the number of customers.
func TestLineLimiterIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLineLimiter(clock.Runtime{Origin: time.Now().Add(-time.Hour)}, slog.New(slog.DiscardHandler))
		for i := range 10_000 {
			for range lineBurst + 1 {
				l.allow(outcome.AllotmentExhausted, id.Customer(fmt.Sprint("customer", i)))
			}
			l.allow(outcome.Unauthenticated, "")
		}
		is.True(len(l.limits) <= maxLineLimits+2)
		time.Sleep(time.Minute)
		is.True(l.allow(outcome.AllotmentExhausted, "new"))
		synctest.Wait()
		is.True(len(l.limits) <= 2)
	})
}

// Metrics of requests without a known customer must stay one number, whatever the callers send.
func TestCustomerCounters(t *testing.T) {
	is := is.New(t)
	c := newCustomerCounters()
	limited, unauthenticated := outcome.NotRun(outcome.AllotmentExhausted, ""), outcome.NotRun(outcome.Unauthenticated, "")
	for i := range 1000 {
		c.observe(&entry.Event{ID: fmt.Sprint(i), Refusal: unauthenticated})
		c.observe(&entry.Event{ID: fmt.Sprint(i), Refusal: outcome.NotRun(outcome.NoRoute, "")})
		c.observe(&entry.Event{Customer: "heavy"})
		c.observe(&entry.Event{Customer: "heavy", Refusal: limited})
		c.observe(&entry.Event{Customer: id.Customer(fmt.Sprint("light", i))})
	}
	m := c.values()
	is.Equal(m.Unauthenticated, uint64(1000))
	is.Equal(len(m.Rows), customerRows)
	is.Equal(m.Rows[0].Customer, id.Customer("heavy"))
	is.Equal(m.Rows[0].Limited, uint64(1000))
	is.Equal(m.Rows[0].Served, uint64(1000))
	total := m.Rest.Requests
	for _, r := range m.Rows {
		total += r.Requests
	}
	is.Equal(total, uint64(3000))
}

// A backend server that answers with statuses of its own choice must not add a metric for each.
func TestStatusLabel(t *testing.T) {
	is := is.New(t)
	labels := map[string]bool{}
	for status := 100; status <= 999; status++ {
		labels[statusLabel(status)] = true
	}
	is.True(len(labels) < 80)
	is.Equal(statusLabel(429), "429")
	is.Equal(statusLabel(299), "2xx")
}

// Each mistake in a new version must be logged once, also where the version comes with many backend servers, and without any key.
func TestLogFindings(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	e := &Edge{log: slog.New(slog.NewJSONHandler(&log, nil)), settings: settings.Edge{AllotmentWindow: unit.Duration(5 * time.Second)}}
	c := fleet.NewConfiguration(7, nil, nil, fleet.Limits{})
	c.Customers = fleet.NewCustomers(0)
	for i := range maxLoggedFindings + 5 {
		c.Customers.Add(fleet.Customer{Name: id.Customer(fmt.Sprint("c", i)), Allotment: fleet.Allotment{Burst: 1}}, fleet.DigestKey("secret"+fmt.Sprint(i)))
	}
	e.logFindings(nil, c)
	e.logFindings(c, c)
	lines := linesOf(t, log.Bytes())
	is.Equal(len(lines), maxLoggedFindings+1)
	is.Equal(lines[0]["place"], `Tenants[0]("c0").Burst`)
	is.Equal(lines[0]["version"], 7.0)
	is.Equal(lines[maxLoggedFindings]["count"], 5.0)
	is.True(!bytes.Contains(log.Bytes(), []byte("secret")))
}

// A flood of unknown keys must cost no more than one of unknown routes, whose lines aren't limited by reason.
func BenchmarkObserveRefusal(b *testing.B) {
	for name, reason := range map[string]outcome.Reason{"unknown route": outcome.NoRoute, "unknown key": outcome.Unauthenticated} {
		b.Run(name, func(b *testing.B) {
			e := &Edge{clock: clock.System{}, log: slog.New(slog.NewJSONHandler(io.Discard, nil))}
			e.metrics = newMetrics(e)
			event := entry.Event{ID: "request", Status: 401, Refusal: outcome.NotRun(reason, "detail")}
			b.ReportAllocs()
			for b.Loop() {
				e.observeRequest(event)
			}
		})
	}
}
