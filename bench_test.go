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

// startEchoServer starts a backend server that answers immediately, and returns its address.
func startEchoServer(b *testing.B) string {
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

// startBenchSite starts two entry VMs and one backend server, and returns the server's address, the lease holder and the other VM.
func startBenchSite(b *testing.B) (address string, holder, other *process) {
	b.Helper()
	address = startEchoServer(b)
	ts := newTestSite(b)
	ts.applyConfiguration(func(c *config.Site) {
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
	first, second := ts.start(ts.settings(0)), ts.start(ts.settings(2))
	ts.await("the only group has a lease holder", func() bool { return ts.leaseHolder("plans.east") != nil })
	holder, other = ts.leaseHolder("plans.east"), first
	if holder == first {
		other = second
	}
	ts.await("keys are served", func() bool {
		body, _, err := ts.call(other, http.MethodGet, "/plans/k1", "r")
		return err == nil && body == "ok"
	})
	return address, holder, other
}

// benchSlots exceeds the number of requests that a benchmark has in flight.
const benchSlots = 128

// BenchmarkRelay compares the latency of a direct call with calls through the lease holder and through another VM.
func BenchmarkRelay(b *testing.B) {
	address, holder, other := startBenchSite(b)
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

// BenchmarkThroughput measures requests per second with 8 concurrent requests per CPU on each path.
func BenchmarkThroughput(b *testing.B) {
	address, holder, other := startBenchSite(b)
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
