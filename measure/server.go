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

// Behaviour of the fake servers.
const (
	workTime   = 5 * time.Millisecond
	slowness   = 10
	warmAfter  = 20
	coldFactor = 3
	serverRoom = 8
	reportLag  = 200 * time.Millisecond
)

// server is a fake backend server with slots, a queue and a cold start, in virtual time.
type server struct {
	name   id.Server
	domain id.Domain
	slots  chan struct{}
	mu     sync.Mutex
	rng    *rand.Rand
	boot   string
	down   bool
	slow   float64
	// running counts what runs or waits at the server.
	running int
	done    int
	runs    int
	// reported is the load that the server tells, which lags.
	reported   string
	reportedAt time.Time
	// overloads counts requests beyond what the cold server bears.
	overloads int
	lastRun   time.Time
}

func newServer(name id.Server, d id.Domain, slots int, seed uint64) *server {
	return &server{
		name: name, domain: d, slots: make(chan struct{}, slots), boot: "1", slow: 1, reported: "0",
		rng: rand.New(rand.NewPCG(seed, uint64(len(name)))),
	}
}

func (s *server) bears() int {
	if s.done >= warmAfter {
		return 1 << 30
	}
	return 1 + (cap(s.slots)-1)*s.done/warmAfter
}

// enter takes a request in, or returns the cause of its refusal.
func (s *server) enter() (cause string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return "", errors.Mark(errors.New("connection refused"), group.ErrNotSent)
	}
	if s.running >= cap(s.slots)+serverRoom {
		return backend.RefusedOverload, nil
	}
	s.running++
	if s.running > s.bears() {
		s.overloads++
	}
	return "", nil
}

func (s *server) leave(counted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if counted {
		s.done++
	}
}

// duration returns the time of a request, and the process that begins it.
func (s *server) duration() (d time.Duration, boot string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	s.lastRun = time.Now()
	d = time.Duration(float64(workTime) * s.slow * (0.5 + s.rng.Float64()))
	if s.done < warmAfter {
		d *= coldFactor
	}
	return d, s.boot
}

func (s *server) header() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.reportedAt) > reportLag {
		s.reported, s.reportedAt = itoa(s.running), now
	}
	return http.Header{backend.HeaderBoot: {s.boot}, backend.HeaderLoad: {s.reported}}
}

// serve runs one request.
func (s *server) serve(ctx context.Context, r *http.Request) (*http.Response, error) {
	cause, err := s.enter()
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
		s.leave(false)
		return nil, ctx.Err()
	}
	defer func() { <-s.slots }()
	d, boot := s.duration()
	if r.Header.Get(headerPoison) != "" {
		s.set(func() { s.down = true })
		s.leave(false)
		return nil, errors.New("connection reset")
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		s.leave(false)
		return nil, ctx.Err()
	}
	s.leave(true)
	s.mu.Lock()
	died := s.down || s.boot != boot
	s.mu.Unlock()
	if died {
		return nil, errors.New("connection reset")
	}
	return &http.Response{StatusCode: http.StatusOK, Header: s.header(), Body: io.NopCloser(strings.NewReader("ok")), ContentLength: 2}, nil
}

// headerPoison marks a request that crashes the server which runs it.
const headerPoison = "X-Poison"

func (s *server) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// restart replaces the process by a cold one.
func (s *server) restart() {
	s.set(func() { s.down, s.done, s.boot = false, 0, s.boot+"+" })
}

// link reaches the fake servers by their address, which is their name.
func (w *world) link() *group.Transport {
	return &group.Transport{
		Send: func(ctx context.Context, c config.Server, _ int, r *http.Request) (*http.Response, error) {
			return w.servers[c.Address].serve(ctx, r)
		},
		Probe: func(_ context.Context, c config.Server, _ string) (id.Incarnation, error) {
			s := w.servers[c.Address]
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.down {
				return "", errors.New("connection refused")
			}
			return id.Incarnation(s.boot), nil
		},
		Grant: func(_ context.Context, c config.Server, g backend.Grant) (backend.GrantResponse, error) {
			s := w.servers[c.Address]
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.down {
				return backend.GrantResponse{}, errors.New("connection refused")
			}
			return backend.GrantResponse{Boot: id.Incarnation(s.boot), Clock: clock.Instant(time.Now().UnixNano()), Accepted: g.Expiry != 0}, nil
		},
	}
}
