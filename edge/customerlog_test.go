package edge_test

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/protocol/customers"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/id"
)

// configureAllotments writes a configuration with one route to billing and the given entries of customers.
func (s *site) configureAllotments(tenants ...any) {
	s.version++
	data, err := json.Marshal(map[string]any{
		"Version": fmt.Sprintf("%08x", s.version), "Limits": map[string]any{"MaxHeaderBytes": 4096, "MaxBodyBytes": 1000},
		"Listeners": []any{map[string]any{"Host": "a.example", "Rules": []any{map[string]any{
			"Name": "renew", "RouteType": "non_idempotent", "TargetLatencyS": 1, "Match": map[string]any{"PathPrefix": "/renew/"},
			"Action": map[string]any{"Service": "billing", "TimeoutS": 5, "MaxAttempts": 2},
		}}}},
		"Clusters": []any{map[string]any{"Name": "billing", "MaxConnections": 50}},
		"Tenants":  tenants,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Put("op/config", data)
}

// sendFlood sends a number of requests with a key and returns how many got each status.
func (s *site) sendFlood(name, key string, count int) map[int]int {
	statuses := map[int]int{}
	for n := range count {
		status, _ := s.sendRequest(0, http.MethodPost, "/renew/x", fmt.Sprint(name, n), map[string]string{"Key": key}, "")
		statuses[status]++
	}
	return statuses
}

// From "we get 401" or "we get 429" an engineer must come to the cause by log and metrics alone, also in a flood of them, which must not
// fill the log. No key may be in either.
func TestCustomersInLogAndMetrics(t *testing.T) {
	is := is.New(t)
	const secret = "s3cr3t"
	log := &logBuffer{}
	s := newSite(t, 1, func(s *site) { s.log = slog.NewJSONHandler(log, nil) })
	s.awaitStatus(0, "/view/x", http.StatusOK)
	s.configureAllotments(
		map[string]any{"Name": "shop", "ApiKeys": []string{"shop-" + secret}, "RatePerS": 0.2, "Burst": 2},
		map[string]any{"Name": "bank", "ApiKeys": []string{"bank-" + secret, "shop-" + secret}},
	)
	s.awaitStatus(0, "/view/x", http.StatusNotFound)

	limited := s.sendFlood("limited", "shop-"+secret, 60)
	unauthenticated := s.sendFlood("unknown", "unknown-"+secret, 60)
	served := s.sendFlood("served", "bank-"+secret, 3)
	is.Equal(unauthenticated, map[int]int{http.StatusUnauthorized: 60})
	is.Equal(served, map[int]int{http.StatusOK: 3})
	is.True(limited[http.StatusTooManyRequests] > 40)
	is.Equal(limited[http.StatusTooManyRequests]+limited[http.StatusOK], 60)

	line := log.awaitEnd(t, "unknown0")["request ended"]
	is.Equal(line["reason"], string(outcome.Unauthenticated))
	is.Equal(line["customer"], nil)
	is.True(line["detail"] != "")
	is.True(line["newsAgeMs"] != nil)

	text := s.metricsOf(0)
	var metrics struct {
		Customers customers.Metrics
		Requests  map[string]int
	}
	is.NoErr(json.Unmarshal([]byte(text), &metrics))
	is.Equal(metrics.Customers.Unauthenticated, uint64(60))
	is.Equal(metrics.Requests["refused."+string(outcome.Unauthenticated)], 60)
	is.Equal(len(metrics.Customers.Rows), 2)
	shop, bank := metrics.Customers.Rows[0], metrics.Customers.Rows[1]
	is.Equal(shop.Customer, id.Customer("shop"))
	is.Equal(int(shop.Limited), limited[http.StatusTooManyRequests])
	is.Equal(int(shop.Admitted), limited[http.StatusOK])
	is.Equal(shop.RatePerS, 0.2)
	is.Equal(int(bank.Served), 3)
	is.True(metrics.Customers.SuppressedLines > 80)

	lines := log.text()
	is.True(!strings.Contains(lines, secret))
	is.True(!strings.Contains(text, secret))
	is.True(strings.Count(lines, `"msg":"request ended"`) < 40)
	is.Equal(strings.Count(lines, `"msg":"the configuration has a mistake"`), 1)
	for _, want := range []string{`"customer":"shop"`, `"reason":"allotment exhausted"`, `"place":"Tenants[1](\"bank\").ApiKeys"`} {
		is.True(strings.Contains(lines, want))
	}
}

// text returns all log lines.
func (l *logBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data.String()
}
