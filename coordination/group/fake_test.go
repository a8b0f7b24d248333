package group_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/coordination/group"
	"github.com/hickorylug/hickorylug/protocol/backend"
	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// fakeServer is an in-memory backend server, called through the function fields of a Transport.
type fakeServer struct {
	mu   sync.Mutex
	boot string
	down bool
	// frozen makes every call wait until its context ends.
	frozen      atomic.Bool
	serviceTime time.Duration
	// cause is the refusal that every request gets, or empty.
	cause string
	// crashOn is the part of a URL at which the server crashes.
	crashOn string
	running int
	peak    int
	runs    []string
	fence   id.Fence
	grants  int
}

// fleet is a set of fake servers by address.
type fleet struct {
	clock   clock.Clock
	servers map[string]*fakeServer
}

func newFleet(names ...string) *fleet {
	f := &fleet{clock: clock.Runtime{Origin: time.Now().Add(-time.Hour)}, servers: map[string]*fakeServer{}}
	for _, n := range names {
		f.servers[n] = &fakeServer{boot: "1", serviceTime: 5 * time.Millisecond}
	}
	return f
}

func (f *fleet) transport() *group.Transport {
	return &group.Transport{Send: f.send, Probe: f.probe, Grant: f.grant}
}

var errRefused = errors.New("connection refused")

func (f *fleet) send(ctx context.Context, s config.Server, _ int, r *http.Request) (*http.Response, error) {
	server := f.servers[s.Address]
	server.mu.Lock()
	if server.down {
		server.mu.Unlock()
		return nil, errors.Mark(errRefused, group.ErrNotSent)
	}
	header := http.Header{backend.HeaderBoot: {server.boot}}
	if server.cause != "" {
		header.Set(backend.HeaderNotRun, server.cause)
		server.mu.Unlock()
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: header, Body: http.NoBody}, nil
	}
	server.running++
	server.peak = max(server.peak, server.running)
	server.runs = append(server.runs, r.Method+" "+r.URL.RequestURI())
	crashes := server.crashOn != "" && strings.Contains(r.URL.RequestURI(), server.crashOn)
	if crashes {
		server.down = true
	}
	frozen, serviceTime := server.frozen.Load(), server.serviceTime
	server.mu.Unlock()
	defer func() {
		server.mu.Lock()
		server.running--
		server.mu.Unlock()
	}()
	if crashes {
		return nil, errors.New("connection reset")
	}
	if frozen {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-time.After(serviceTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return &http.Response{StatusCode: http.StatusOK, Header: header, Body: io.NopCloser(strings.NewReader("answer")), ContentLength: 6}, nil
}

func (f *fleet) probe(ctx context.Context, s config.Server, _ string) (id.Incarnation, error) {
	server := f.servers[s.Address]
	if server.frozen.Load() {
		<-ctx.Done()
		return "", ctx.Err()
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.down {
		return "", errRefused
	}
	return id.Incarnation(server.boot), nil
}

func (f *fleet) grant(ctx context.Context, s config.Server, g backend.Grant) (backend.GrantResponse, error) {
	server := f.servers[s.Address]
	if server.frozen.Load() {
		<-ctx.Done()
		return backend.GrantResponse{}, ctx.Err()
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.down {
		return backend.GrantResponse{}, errRefused
	}
	reading := backend.GrantResponse{Boot: id.Incarnation(server.boot), Clock: f.clock.Boot()}
	fence := id.Fence{Term: g.Term, Version: g.Version}
	if !fence.Less(server.fence) && g.Expiry != 0 {
		server.fence, reading.Accepted = fence, true
		server.grants++
	}
	return reading, nil
}

func (s *fakeServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// harness is a group with fake backend servers and a fake lease.
type harness struct {
	fleet     *fleet
	directory *directory.Directory
	group     *group.Group
	invalid   atomic.Bool
	table     *table.Table
}

func newHarness(t *testing.T, service config.Service, opts ...group.Option) *harness {
	t.Helper()
	var names []string
	for name, s := range service.Servers {
		names = append(names, s.Address)
		_ = name
	}
	h := &harness{fleet: newFleet(names...), directory: directory.New("test")}
	h.configure(t, service)
	h.table = table.New("s", 8)
	owners := []id.Owner{}
	for name := range service.Servers {
		owners = append(owners, id.Owner(name))
	}
	if !service.Keyed {
		owners = []id.Owner{"s.east"}
	}
	for i := range h.table.Slices {
		h.table.Slices[i].Owner = h.table.EnsureOwner(owners[i%len(owners)])
	}
	h.table.Version = 1
	h.directory.SetTable(1, h.table)
	base := []group.Option{
		group.WithClock(h.fleet.clock),
		group.WithLease(group.Lease{
			Term:   func() id.Term { return 1 },
			Valid:  func() bool { return !h.invalid.Load() },
			Expiry: func() clock.Instant { return h.fleet.clock.Boot().Add(500 * time.Millisecond) },
		}),
	}
	h.group = group.NewGroup("s.east", "s", h.directory, h.fleet.transport(), append(base, opts...)...)
	return h
}

func (h *harness) configure(t *testing.T, service config.Service) {
	t.Helper()
	i := is.New(t)
	site := config.Site{
		FailureDomains: map[id.Domain]config.FailureDomain{"east": {}},
		Services:       map[id.Service]config.Service{"s": service},
		Routes:         map[id.Route]config.Route{},
	}
	base, err := json.Marshal(site)
	i.NoErr(err)
	document, err := json.Marshal(config.Document{Base: base})
	i.NoErr(err)
	accepted, err := json.Marshal(config.Accepted{Document: document})
	i.NoErr(err)
	_, err = h.directory.SetConfiguration(h.directory.View().Revision+1, accepted)
	i.NoErr(err)
}

// run runs the group until stop is called.
func (h *harness) run(t *testing.T) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- h.group.Run(ctx) }()
	time.Sleep(200 * time.Millisecond)
	return func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// servers returns the configuration of n servers, s0 at address(0) and so on.
func servers(n int) map[id.Server]config.Server {
	out := map[id.Server]config.Server{}
	for k := range n {
		out[id.Server(fmt.Sprintf("s%d", k))] = config.Server{Address: fmt.Sprintf("10.0.0.%d:80", k+1), FailureDomain: "east"}
	}
	return out
}

func address(n int) string { return fmt.Sprintf("10.0.0.%d:80", n+1) }

// warm sends requests until every server has reached its full concurrency limit.
func (h *harness) warm(t *testing.T) {
	t.Helper()
	for range 150 * len(h.fleet.servers) {
		if _, err := h.do(t, request("/warm")); err != nil {
			t.Fatal(err)
		}
	}
}

// request returns an idempotent request without a key.
func request(target string) *exchange.Request {
	return &exchange.Request{
		Method: http.MethodGet, Target: target, Header: http.Header{}, Service: "s", Route: "r",
		Idempotent: true, Retries: 2, Wait: time.Second, Deadline: time.Now().Add(5 * time.Second),
	}
}

// once returns a request that must run at most once.
func once(target, identity string) *exchange.Request {
	r := request(target)
	r.Method, r.Idempotent, r.Retries, r.IdempotencyKey = http.MethodPost, false, 0, identity
	return r
}

// do sends a request and reads its answer.
func (h *harness) do(t *testing.T, r *exchange.Request) (body string, err error) {
	t.Helper()
	answer, err := h.group.Serve(t.Context(), r)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return string(data), err
}
