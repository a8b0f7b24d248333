package measure

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/group"
	"github.com/hickorylug/hickorylug/protocol/backend"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
)

// Behaviour of the fake backend servers.
const (
	serviceTime       = 5 * time.Millisecond
	slowServerFactor  = 10
	warmupRequests    = 20
	coldLatencyFactor = 3
	maxServerQueue    = 8
	loadReportPeriod  = 200 * time.Millisecond
)

// server is a fake backend server with slots, a queue and a cold start; its service times pass in virtual time.
type server struct {
	name        id.Server
	domain      id.Domain
	slots       chan struct{}
	mu          sync.Mutex
	rng         *rand.Rand
	incarnation string
	isDown      bool
	slowdown    float64
	// inFlight counts the requests that run or wait at the server.
	inFlight  int
	completed int
	started   int
	// reportedLoad is the load in the response header; it is updated only once in loadReportPeriod, so it may be stale.
	reportedLoad string
	reportedAt   time.Time
	// overloads counts the requests beyond the cold server's concurrency limit.
	overloads int
	lastRun   time.Time
}

func newServer(name id.Server, d id.Domain, slots int, seed uint64) *server {
	return &server{
		name: name, domain: d, slots: make(chan struct{}, slots), incarnation: "1", slowdown: 1, reportedLoad: "0",
		rng: rand.New(rand.NewPCG(seed, uint64(len(name)))),
	}
}

// concurrencyLimit returns the number of requests that the server can run at once without an overload. It grows with the
// requests completed, and a warm server has no limit.
func (s *server) concurrencyLimit() int {
	if s.completed >= warmupRequests {
		return 1 << 30
	}
	return 1 + (cap(s.slots)-1)*s.completed/warmupRequests
}

// admit admits a request or returns the cause of its refusal.
func (s *server) admit() (cause string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return "", errors.Mark(errors.New("connection refused"), group.ErrNotSent)
	}
	if s.inFlight >= cap(s.slots)+maxServerQueue {
		return backend.RefusedOverload, nil
	}
	s.inFlight++
	if s.inFlight > s.concurrencyLimit() {
		s.overloads++
	}
	return "", nil
}

// finish ends a request; only a completed one warms the server up.
func (s *server) finish(completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if completed {
		s.completed++
	}
}

// startRun starts a run and returns its service time and the server's incarnation.
func (s *server) startRun() (d time.Duration, incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	s.lastRun = time.Now()
	d = time.Duration(float64(serviceTime) * s.slowdown * (0.5 + s.rng.Float64()))
	if s.completed < warmupRequests {
		d *= coldLatencyFactor
	}
	return d, s.incarnation
}

func (s *server) header() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.reportedAt) > loadReportPeriod {
		s.reportedLoad, s.reportedAt = itoa(s.inFlight), now
	}
	return http.Header{backend.HeaderBoot: {s.incarnation}, backend.HeaderLoad: {s.reportedLoad}}
}

// serve queues and runs one request.
func (s *server) serve(ctx context.Context, r *http.Request) (*http.Response, error) {
	cause, err := s.admit()
	if err != nil {
		return nil, err
	}
	if cause != "" {
		h := s.header()
		h.Set(backend.HeaderNotRun, cause)
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: h, Body: http.NoBody}, nil
	}
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		s.finish(false)
		return nil, ctx.Err()
	}
	defer func() { <-s.slots }()
	d, incarnation := s.startRun()
	if r.Header.Get(headerPoison) != "" {
		s.update(func() { s.isDown = true })
		s.finish(false)
		return nil, errors.New("connection reset")
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		s.finish(false)
		return nil, ctx.Err()
	}
	s.finish(true)
	s.mu.Lock()
	crashed := s.isDown || s.incarnation != incarnation
	s.mu.Unlock()
	if crashed {
		return nil, errors.New("connection reset")
	}
	return &http.Response{StatusCode: http.StatusOK, Header: s.header(), Body: io.NopCloser(strings.NewReader("ok")), ContentLength: 2}, nil
}

// headerPoison marks a poison request, which crashes the server that runs it.
const headerPoison = "X-Poison"

// update changes the server's state under its lock.
func (s *server) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// restart replaces the server's process by a new incarnation, which is cold.
func (s *server) restart() {
	s.update(func() { s.isDown, s.completed, s.incarnation = false, 0, s.incarnation+"+" })
}

// transport returns a transport to the fake servers, which it finds by their address.
func (sim *simulation) transport() *group.Transport {
	return &group.Transport{
		Send: func(ctx context.Context, c config.Server, _ int, r *http.Request) (*http.Response, error) {
			return sim.servers[c.Address].serve(ctx, r)
		},
		Probe: func(_ context.Context, c config.Server, _ string) (id.Incarnation, error) {
			s := sim.servers[c.Address]
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.isDown {
				return "", errors.New("connection refused")
			}
			return id.Incarnation(s.incarnation), nil
		},
		Grant: func(_ context.Context, c config.Server, g backend.Grant) (backend.GrantResponse, error) {
			s := sim.servers[c.Address]
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.isDown {
				return backend.GrantResponse{}, errors.New("connection refused")
			}
			return backend.GrantResponse{Boot: id.Incarnation(s.incarnation), Clock: clock.Instant(time.Now().UnixNano()), Accepted: g.Expiry != 0}, nil
		},
	}
}
