package hickorylug_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
)

// echo is a backend server that answers at once.
func echo(b *testing.B) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Hickorylug-Boot", "1")
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// benchSite starts two entry VMs before one backend server, and returns the holder and the other VM.
func benchSite(b *testing.B) (address string, holder, other *process) {
	b.Helper()
	address = echo(b)
	w := newWorld(b)
	w.accept(func(c *config.Site) {
		plans := c.Services["plans"]
		plans.Fenced, plans.Slots, plans.ColdSlots, plans.Connections, plans.QueuePerServer = false, benchSlots, benchSlots, benchSlots, 1024
		plans.Servers = map[id.Server]config.Server{"plans-1": {Address: address, FailureDomain: "east"}}
		c.Services = map[id.Service]config.Service{"plans": plans}
		for name, r := range c.Routes {
			if r.Service != "plans" {
				delete(c.Routes, name)
			}
		}
	})
	first, second := w.start(w.settings(0)), w.start(w.settings(2))
	w.await("the only group has a holder", func() bool { return w.holder("plans.east") != nil })
	holder, other = w.holder("plans.east"), first
	if holder == first {
		other = second
	}
	w.await("keys are served", func() bool {
		body, _, err := w.call(other, http.MethodGet, "/plans/k1", "r")
		return err == nil && body == "ok"
	})
	return address, holder, other
}

// benchSlots is more than the requests that a benchmark has in flight.
const benchSlots = 128

// BenchmarkRelay compares a direct call with one through the holder and one through another VM.
func BenchmarkRelay(b *testing.B) {
	address, holder, other := benchSite(b)
	paths := []struct{ name, address string }{
		{"direct", address},
		{"holder", holder.settings.CallerAddress},
		{"relay", other.settings.CallerAddress},
	}
	medians := map[string]time.Duration{}
	for _, p := range paths {
		b.Run("path="+p.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
			for range 200 {
				fetch(b, client, p.address, 0)
			}
			latencies := make([]time.Duration, 0, b.N)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				startedAt := time.Now()
				fetch(b, client, p.address, n)
				latencies = append(latencies, time.Since(startedAt))
			}
			slices.Sort(latencies)
			medians[p.name] = latencies[len(latencies)/2]
			b.ReportMetric(float64(medians[p.name].Microseconds()), "p50-µs")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-µs")
			if medians["direct"] > 0 {
				b.ReportMetric(float64((medians[p.name] - medians["direct"]).Microseconds()), "added-µs")
			}
		})
	}
}

// BenchmarkThroughput sends as many requests at once as the backend server has slots.
func BenchmarkThroughput(b *testing.B) {
	address, holder, other := benchSite(b)
	for _, p := range []struct{ name, address string }{{"direct", address}, {"holder", holder.settings.CallerAddress}, {"relay", other.settings.CallerAddress}} {
		b.Run("path="+p.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
			for range 500 {
				fetch(b, client, p.address, 0)
			}
			b.SetParallelism(8)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for n := 0; pb.Next(); n++ {
					fetch(b, client, p.address, n)
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
		})
	}
}

func fetch(b *testing.B, client *http.Client, address string, n int) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, fmt.Sprintf("http://%s/plans/k%d", address, n%100), nil)
	if err != nil {
		b.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || string(body) != "ok" {
		b.Fatalf("%s: %q %v", address, body, err)
	}
}
