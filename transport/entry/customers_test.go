package entry_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/entry"
)

// Keys of the customers of a gate. The customer "acme" has an allotment and a priority, "basic" has neither.
const (
	acmeKey  = "acme-secret-1"
	basicKey = "basic-secret-2"
)

// gate is a handler with customers whose requests are recorded instead of being forwarded.
type gate struct {
	handler      *entry.Handler
	configured   *fleet.Configuration
	stale        bool
	strict       bool
	stopping     bool
	forwarded    []*forward.Request
	events       []entry.Event
	admitted     []id.Customer
	admitError   error
	forwardError error
	released     int
	charged      int
}

// ticket is a charge that a gate counts.
type ticket struct{ g *gate }

func (t ticket) ChargeAttempt() bool {
	t.g.charged++
	return true
}

func (t ticket) Release() { t.g.released++ }

func newGate() *gate {
	target := []fleet.Target{{Service: "s", Weight: 1}}
	g := &gate{configured: fleet.NewConfiguration(7, []fleet.Route{
		{Name: "private", Host: "a.example", Prefix: "/private/", Priority: 3, Timeout: time.Second, Targets: target},
		{Name: "public", Host: "a.example", Prefix: "/public/", Priority: 3, Timeout: time.Second, Public: true, Targets: target},
	}, map[id.Service]fleet.Service{"s": {Name: "s"}}, fleet.Limits{MaxBody: 100})}
	g.configured.Customers = fleet.NewCustomers(2)
	g.configured.Customers.Add(fleet.Customer{Name: "acme", Priority: 1, HasPriority: true, Allotment: fleet.Allotment{Rate: 20, Burst: 5}}, fleet.DigestKey(acmeKey))
	g.configured.Customers.Add(fleet.Customer{Name: "basic"}, fleet.DigestKey(basicKey))
	g.handler = entry.NewHandler(entry.Dependencies{
		Clock:              clock.System{},
		Headers:            entry.HeaderNames{RequestID: "X-Id", Deadline: "X-Deadline", Key: "X-Key", APIKey: "Key", Customer: "Tenant"},
		View:               func() (*fleet.Snapshot, bool) { return &fleet.Snapshot{Configuration: g.configured}, !g.stale },
		MayHoldRevokedKeys: func() bool { return g.strict },
		PickService:        func(r *fleet.Route) id.Service { return r.Targets[0].Service },
		Accepts:            func(*forward.Request) bool { return !g.stopping },
		Admit: func(_ context.Context, c *fleet.Customer, _ clock.Instant) (entry.Ticket, error) {
			g.admitted = append(g.admitted, c.Name)
			return ticket{g}, g.admitError
		},
		Forward: func(_ context.Context, r *forward.Request) (*forward.Answer, error) {
			g.forwarded = append(g.forwarded, r)
			return &forward.Answer{Status: http.StatusOK, Header: http.Header{}}, g.forwardError
		},
		Observe: func(e entry.Event) { g.events = append(g.events, e) },
	})
	return g
}

// unreadBody is a body that counts how often it is read.
type unreadBody struct{ reads int }

// Read returns the end of the body.
func (b *unreadBody) Read([]byte) (n int, err error) {
	b.reads++
	return 0, io.EOF
}

// send sends a request with header fields and returns the response and how often the body was read.
func (g *gate) send(path string, header http.Header) (response *httptest.ResponseRecorder, reads int) {
	body := &unreadBody{}
	r := httptest.NewRequest(http.MethodPost, "http://a.example"+path, body)
	r.Header = header.Clone()
	response = httptest.NewRecorder()
	g.handler.ServeHTTP(response, r)
	return response, body.reads
}

// Requests must reach a backend server only with a valid key, under the name of the customer that holds it, and without the key. A request
// that is rejected must cost no reading of its body.
func TestIdentification(t *testing.T) {
	tests := map[string]struct {
		path   string
		header http.Header
		stale  bool
		strict bool
		// keyless removes the customers from the configuration.
		keyless bool
		status  int
		reason  outcome.Reason
		// want are the fields Key and Tenant of the forwarded request.
		wantKey, wantCustomer []string
	}{
		"a known key":                      {header: http.Header{"Key": {acmeKey}}, status: 200, wantCustomer: []string{"acme"}},
		"a known key and another customer": {header: http.Header{"Key": {acmeKey}, "Tenant": {"basic"}}, status: 200, wantCustomer: []string{"acme"}},
		"fields named as of one hop":       {header: http.Header{"Key": {acmeKey}, "Connection": {"Tenant, Key"}}, status: 200, wantCustomer: []string{"acme"}},
		"no key":                           {status: 401, reason: outcome.Unauthenticated},
		"no key, but a customer":           {header: http.Header{"Tenant": {"acme"}}, status: 401, reason: outcome.Unauthenticated},
		"an empty key":                     {header: http.Header{"Key": {""}}, status: 401, reason: outcome.Unauthenticated},
		"a key twice":                      {header: http.Header{"Key": {acmeKey, acmeKey}}, status: 401, reason: outcome.Unauthenticated},
		"a malformed key":                  {header: http.Header{"Key": {"Bearer " + acmeKey}}, status: 401, reason: outcome.Unauthenticated},
		"a key that is too long":           {header: http.Header{"Key": {strings.Repeat("k", 2000)}}, status: 401, reason: outcome.Unauthenticated},
		"an unknown key":                   {header: http.Header{"Key": {"other-secret"}}, status: 401, reason: outcome.Unauthenticated},
		"an unknown key, stale":            {header: http.Header{"Key": {"other-secret"}}, stale: true, status: 503, reason: outcome.Stopping},
		"a known key, stale":               {header: http.Header{"Key": {acmeKey}}, stale: true, status: 200, wantCustomer: []string{"acme"}},
		"a known key, perhaps revoked":     {header: http.Header{"Key": {acmeKey}}, stale: true, strict: true, status: 503, reason: outcome.Stopping},
		"a public route":                   {path: "/public/x", header: http.Header{"Key": {acmeKey}, "Tenant": {"acme"}}, status: 200},
		"a public route, perhaps revoked":  {path: "/public/x", stale: true, strict: true, status: 200},
		"an encoded slash names no route":  {path: "/public%2Fx", header: http.Header{"Key": {acmeKey}}, status: 404, reason: outcome.NoRoute},
		"no route":                         {path: "/none", header: http.Header{"Key": {acmeKey}}, status: 404, reason: outcome.NoRoute},
		"no customers": {
			header: http.Header{"Key": {"a", "b"}, "Tenant": {"c"}}, stale: true, strict: true, keyless: true, status: 200,
			wantKey: []string{"a", "b"}, wantCustomer: []string{"c"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGate()
			g.stale, g.strict = test.stale, test.strict
			if test.keyless {
				g.configured.Customers = nil
			}
			if test.path == "" {
				test.path = "/private/x"
			}
			response, reads := g.send(test.path, test.header)
			is.Equal(response.Code, test.status)
			is.Equal(reads > 0, test.status == http.StatusOK)
			is.Equal(len(g.forwarded) > 0, test.status == http.StatusOK)
			if len(g.forwarded) > 0 {
				is.Equal(g.forwarded[0].Header["Key"], test.wantKey)
				is.Equal(g.forwarded[0].Header["Tenant"], test.wantCustomer)
				return
			}
			is.Equal(g.events[0].Refusal.Reason, test.reason)
			is.Equal(g.events[0].Refusal.Outcome, outcome.KindNotRun)
			is.True(!strings.Contains(response.Body.String(), "secret"))
			is.True(!strings.Contains(g.events[0].Refusal.Detail, "secret"))
		})
	}
}

// A VM without a configuration doesn't know any key, so it must not call one unknown.
func TestNoConfiguration(t *testing.T) {
	is := is.New(t)
	g := newGate()
	g.configured = nil
	response, _ := g.send("/private/x", http.Header{"Key": {acmeKey}})
	is.Equal(response.Code, http.StatusServiceUnavailable)
}

// Requests must be queued with the priority and weight of their customer, and only those of customers with an allotment are charged.
func TestRequestOfCustomer(t *testing.T) {
	tests := map[string]struct {
		path     string
		key      string
		customer id.Customer
		priority int
		weight   float64
		admitted []id.Customer
	}{
		"with an allotment and a priority": {path: "/private/x", key: acmeKey, customer: "acme", priority: 1, weight: 20, admitted: []id.Customer{"acme"}},
		"with neither":                     {path: "/private/x", key: basicKey, customer: "basic", priority: 3},
		"on a public route":                {path: "/public/x", key: acmeKey, priority: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGate()
			response, _ := g.send(test.path, http.Header{"Key": {test.key}})
			is.Equal(response.Code, http.StatusOK)
			r := g.forwarded[0]
			is.Equal(r.Customer, test.customer)
			is.Equal(r.Priority, test.priority)
			is.Equal(r.Weight, test.weight)
			is.Equal(g.events[0].Customer, test.customer)
			is.Equal(g.admitted, test.admitted)
			is.Equal(r.ChargeAttempt != nil, test.admitted != nil)
			is.Equal(g.released, 0)
			if r.ChargeAttempt != nil {
				is.True(r.ChargeAttempt())
				is.Equal(g.charged, 1)
			}
		})
	}
}

// A charge must be returned if and only if the request was not run: otherwise customers lose part of their allotment, or exceed it.
func TestReleaseOfCharge(t *testing.T) {
	tests := map[string]struct {
		admitError, forwardError error
		status                   int
		retryAfter               string
		forwarded, released      int
	}{
		"answered":         {status: 200, forwarded: 1},
		"not run":          {forwardError: outcome.NotRun(outcome.Overloaded, "full").WithRetryAfter(time.Second), status: 503, retryAfter: "1.000", forwarded: 1, released: 1},
		"perhaps run":      {forwardError: outcome.Unknown(outcome.ServerFailed, "broken"), status: 502, forwarded: 1},
		"context deadline": {forwardError: context.DeadlineExceeded, status: 504, forwarded: 1},
		"allotment exhausted": {
			admitError: outcome.NotRun(outcome.AllotmentExhausted, "no token").WithRetryAfter(250 * time.Millisecond), status: 429, retryAfter: "0.250",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGate()
			g.admitError, g.forwardError = test.admitError, test.forwardError
			response, _ := g.send("/private/x", http.Header{"Key": {acmeKey}})
			is.Equal(response.Code, test.status)
			is.Equal(response.Header().Get("Retry-After"), test.retryAfter)
			is.Equal(len(g.forwarded), test.forwarded)
			is.Equal(g.released, test.released)
			is.Equal(g.events[0].Customer, id.Customer("acme"))
		})
	}
}

// A flood of unknown keys must cost about as much as one of unknown routes.
func BenchmarkRefusal(b *testing.B) {
	for name, test := range map[string]struct{ path, key string }{
		"unknown key":   {path: "/private/x", key: "some-unknown-key-of-usual-length"},
		"unknown route": {path: "/none/x", key: "some-unknown-key-of-usual-length"},
	} {
		b.Run(name, func(b *testing.B) {
			g := newGate()
			r := httptest.NewRequest(http.MethodPost, "http://a.example"+test.path, nil)
			r.Header.Set("Key", test.key)
			b.ReportAllocs()
			for b.Loop() {
				g.events = g.events[:0]
				g.handler.ServeHTTP(httptest.NewRecorder(), r)
			}
		})
	}
}

// A request that a VM which stops will not send must not wait for its allotment: the VM could end meanwhile.
func TestStoppingVMChargesNoRequests(t *testing.T) {
	for name, stopping := range map[string]bool{"stopping": true, "running": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGate()
			g.stopping = stopping
			response, _ := g.send("/private/a", http.Header{"Key": {acmeKey}})
			if !stopping {
				is.Equal(response.Code, http.StatusOK)
				is.Equal(len(g.admitted), 1)
				return
			}
			is.Equal(response.Code, http.StatusServiceUnavailable)
			is.Equal(len(g.admitted), 0)
			is.Equal(len(g.forwarded), 0)
		})
	}
}
