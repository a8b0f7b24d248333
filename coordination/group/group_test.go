package group_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/group"
	"github.com/hickorylug/hickorylug/protocol/backend"
	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

func TestDuplicatesShareTheAnswerToTheOriginal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		h := newHarness(t, config.Service{Servers: servers(2)})
		defer h.run(t)()
		results := make(chan string, 5)
		for range cap(results) {
			go func() {
				body, err := h.do(t, once("/renew", "key-1"))
				if err != nil {
					body = err.Error()
				}
				results <- body
			}()
		}
		for range cap(results) {
			i.Equal(<-results, "answer")
		}
		i.Equal(h.fleet.servers[address(0)].count()+h.fleet.servers[address(1)].count(), 1)
	})
}

func TestDuplicateIsNotRunAfterAnUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		h := newHarness(t, config.Service{Servers: servers(2)})
		defer h.run(t)()
		for _, s := range h.fleet.servers {
			s.crashOn = "/renew"
		}
		_, err := h.do(t, once("/renew", "key-1"))
		i.Equal(outcome.FromError(err).Outcome, outcome.KindUnknown)
		for _, s := range h.fleet.servers {
			s.mu.Lock()
			s.crashOn, s.down = "", false
			s.mu.Unlock()
		}
		time.Sleep(2 * time.Second)
		_, err = h.do(t, once("/renew", "key-1"))
		i.Equal(outcome.FromError(err).Outcome, outcome.KindUnknown)
		i.Equal(outcome.FromError(err).Reason, outcome.DuplicateRejected)
		i.Equal(h.fleet.servers[address(0)].count()+h.fleet.servers[address(1)].count(), 1)
	})
}

func TestAtMostOnceAfterDeduplicationStateIsLost(t *testing.T) {
	tests := map[string]struct {
		identity func(before, after time.Time) string
		runs     int
	}{
		"UUIDv7 created before the lease": {func(before, _ time.Time) string { return v7(before) }, 0},
		"UUIDv7 created after the lease":  {func(_, after time.Time) string { return v7(after) }, 1},
		"identity without a time":         {func(_, _ time.Time) string { return "key" }, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				before := time.Now()
				time.Sleep(time.Minute)
				h := newHarness(t, config.Service{Servers: servers(1)}, group.WithDeduplication(time.Now()))
				defer h.run(t)()
				time.Sleep(time.Minute)
				_, err := h.do(t, once("/renew", test.identity(before, time.Now())))
				if test.runs == 0 {
					i.Equal(outcome.FromError(err).Outcome, outcome.KindUnknown)
				} else {
					i.NoErr(err)
				}
				i.Equal(h.fleet.servers[address(0)].count(), test.runs)
			})
		})
	}
}

// v7 returns a UUIDv7 created at the given time.
func v7(at time.Time) string {
	u := uuid.Must(uuid.NewRandom())
	ms := at.UnixMilli()
	for n := range 6 {
		u[n] = byte(ms >> (40 - 8*n))
	}
	u[6] = u[6]&0x0f | 0x70
	return u.String()
}

func TestRefusalsSayWhetherTheRequestWasRun(t *testing.T) {
	tests := map[string]struct {
		arrange func(h *harness, s *fakeServer)
		outcome outcome.Kind
		reason  outcome.Reason
		runs    int
	}{
		"connection refused": {
			arrange: func(_ *harness, s *fakeServer) { s.down = true },
			outcome: outcome.KindNotRun, reason: outcome.NoServer,
		},
		"connection broken": {
			arrange: func(_ *harness, s *fakeServer) { s.crashOn = "/" },
			outcome: outcome.KindUnknown, reason: outcome.ServerFailed, runs: 1,
		},
		"shed by the server": {
			arrange: func(_ *harness, s *fakeServer) { s.cause = backend.RefusedOverload },
			outcome: outcome.KindNotRun, reason: outcome.Overloaded,
		},
		"draining server": {
			arrange: func(_ *harness, s *fakeServer) { s.cause = backend.RefusedDraining },
			outcome: outcome.KindNotRun, reason: outcome.NoServer,
		},
		"lease lapsed": {
			arrange: func(h *harness, _ *fakeServer) { h.invalid.Store(true) },
			outcome: outcome.KindNotRun, reason: outcome.Moved,
		},
		"no answer in time": {
			arrange: func(_ *harness, s *fakeServer) { s.serviceTime = time.Minute },
			outcome: outcome.KindUnknown, reason: outcome.DeadlineExceeded, runs: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				h := newHarness(t, config.Service{Servers: servers(1)})
				defer h.run(t)()
				test.arrange(h, h.fleet.servers[address(0)])
				_, err := h.do(t, once("/renew", ""))
				i.Equal(outcome.FromError(err).Outcome, test.outcome)
				i.Equal(outcome.FromError(err).Reason, test.reason)
				i.Equal(h.fleet.servers[address(0)].count(), test.runs)
			})
		})
	}
}

func TestLeaseIsCheckedAgainBeforeAQueuedRequestIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		h := newHarness(t, config.Service{Servers: servers(1)})
		defer h.run(t)()
		h.fleet.servers[address(0)].serviceTime = 300 * time.Millisecond
		go h.do(t, request("/first")) //nolint:errcheck // only the result of the second request is checked
		time.Sleep(time.Millisecond)
		failed := make(chan error, 1)
		go func() {
			_, err := h.do(t, once("/second", ""))
			failed <- err
		}()
		time.Sleep(time.Millisecond)
		h.invalid.Store(true) // as after a pause of the holder's process: the lease has expired while the request was queued
		i.Equal(outcome.FromError(<-failed).Outcome, outcome.KindNotRun)
		i.Equal(h.fleet.servers[address(0)].count(), 1)
	})
}

func TestColdServerGetsRequestsUpToItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		h := newHarness(t, config.Service{Servers: servers(1), QueuePerServer: 64})
		defer h.run(t)()
		s := h.fleet.servers[address(0)]
		done := make(chan error, 8)
		for range cap(done) {
			go func() { _, err := h.do(t, request("/x")); done <- err }()
		}
		for range cap(done) {
			i.NoErr(<-done)
		}
		i.Equal(s.peak, 1)
		h.warm(t)
		for range cap(done) {
			go func() { _, err := h.do(t, request("/x")); done <- err }()
		}
		for range cap(done) {
			i.NoErr(<-done)
		}
		i.Equal(s.peak, config.DefaultSlots)
		s.mu.Lock()
		s.boot, s.peak = "2", 0 // restarted between two probes
		s.mu.Unlock()
		_, err := h.do(t, request("/x"))
		i.NoErr(err)
		for range cap(done) {
			go func() { _, err := h.do(t, request("/x")); done <- err }()
		}
		for range cap(done) {
			i.NoErr(<-done)
		}
		i.Equal(s.peak, 1)
	})
}

func TestPoisonRequestIsRefusedAfterTwoCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		h := newHarness(t, config.Service{Servers: servers(4)})
		defer h.run(t)()
		for _, s := range h.fleet.servers {
			s.crashOn = "poison"
		}
		_, err := h.do(t, request("/a?poison"))
		i.Equal(outcome.FromError(err).Outcome, outcome.KindUnknown) // two attempts were run before the refusal
		_, err = h.do(t, request("/a?poison"))
		i.Equal(outcome.FromError(err).Reason, outcome.PoisonRequest)
		i.Equal(outcome.FromError(err).Outcome, outcome.KindNotRun)
		crashes := 0
		for _, s := range h.fleet.servers {
			if s.down {
				crashes++
			}
		}
		i.Equal(crashes, 2)
		_, err = h.do(t, request("/a?harmless")) // the same path
		i.NoErr(err)
		before := h.total()
		time.Sleep(11 * time.Minute) // a fingerprint is blocked for a limited time
		_, err = h.do(t, request("/a?poison"))
		i.Equal(outcome.FromError(err).Outcome, outcome.KindUnknown)
		i.Equal(h.total()-before, 2)
	})
}

// keyed returns a request with the given key hash.
func keyed(target string, key table.Hash) *exchange.Request {
	r := request(target)
	r.Keyed, r.Key = true, key
	return r
}

func TestReleaseWaitsForRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		h := newHarness(t, config.Service{Servers: servers(1), Keyed: true, Fenced: true, Slices: 8})
		defer h.run(t)()
		s := h.fleet.servers[address(0)]
		s.serviceTime = 300 * time.Millisecond
		r := keyed("/k", 3)
		done := make(chan error, 1)
		go func() { _, err := h.do(t, r); done <- err }()
		time.Sleep(10 * time.Millisecond)
		next := h.table.Clone()
		next.Slices[3].Next = next.EnsureOwner("elsewhere")
		next.Version++
		h.directory.SetTable(2, next)
		released := make(chan bool, 1)
		startedAt := time.Now()
		go func() { released <- h.group.Release(t.Context(), next.Version) }()
		_, err := h.do(t, keyed("/late", 3))
		i.Equal(outcome.FromError(err).Outcome, outcome.KindNotRun) // no server serves a slice that is being moved
		i.NoErr(<-done)
		i.True(<-released)
		i.True(time.Since(startedAt) >= 280*time.Millisecond)
		i.Equal(s.fence, id.Fence{Term: 1, Version: 2}) // the server has accepted the smaller grant
		i.Equal(s.count(), 1)
	})
}

func TestReleaseOfAFrozenServerWaitsForItsGrantToExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		h := newHarness(t, config.Service{Servers: servers(1), Keyed: true, Fenced: true, Slices: 8})
		defer h.run(t)()
		s := h.fleet.servers[address(0)]
		s.frozen.Store(true)
		sentAt := time.Now()
		r := keyed("/k", 3)
		r.Retries = 0
		done := make(chan error, 1)
		go func() { _, err := h.do(t, r); done <- err }()
		time.Sleep(time.Millisecond)
		next := h.table.Clone()
		for n := range next.Slices {
			next.Slices[n].Next = next.EnsureOwner("elsewhere")
		}
		next.Version++
		h.directory.SetTable(2, next)
		i.True(h.group.Release(t.Context(), next.Version))
		waited := time.Since(sentAt)
		i.True(waited >= 400*time.Millisecond) // the duration of the grant that the request carried
		i.True(waited < time.Second)           // the key is served again within a second of the failure
		i.Equal(outcome.FromError(<-done).Outcome, outcome.KindUnknown)
	})
}

func TestHotKeyDoesNotStarveOtherKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		h := newHarness(t, config.Service{Servers: servers(1), Keyed: true, Slices: 8, QueuePerServer: 8})
		defer h.run(t)()
		h.fleet.servers[address(0)].serviceTime = 20 * time.Millisecond
		for range 40 {
			go h.do(t, keyed("/hot", 1)) //nolint:errcheck // most of the hot key's requests are refused
		}
		time.Sleep(time.Millisecond)
		startedAt := time.Now()
		_, err := h.do(t, keyed("/other", 2))
		i.NoErr(err)
		i.True(time.Since(startedAt) < 100*time.Millisecond) // it is served after the request in flight and one more
		time.Sleep(5 * time.Second)
	})
}

func TestHedgingHidesASlowServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		h := newHarness(t, config.Service{Servers: servers(4)})
		defer h.run(t)()
		h.warm(t)
		h.fleet.servers[address(2)].serviceTime = 80 * time.Millisecond
		worst := time.Duration(0)
		before := h.total()
		const n = 400
		for range n {
			r := request("/x")
			r.Hedge = true
			startedAt := time.Now()
			_, err := h.do(t, r)
			i.NoErr(err)
			worst = max(worst, time.Since(startedAt))
		}
		i.True(worst < 80*time.Millisecond)
		i.True(h.total()-before <= n+n/20+5) // at most 5 % more requests, plus the burst of 5
	})
}

func (h *harness) total() (n int) {
	for _, s := range h.fleet.servers {
		n += s.count()
	}
	return n
}

func TestStopRefusesQueuedRequestsAndDrainsThoseInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		h := newHarness(t, config.Service{Servers: servers(1)})
		defer h.run(t)()
		h.fleet.servers[address(0)].serviceTime = 100 * time.Millisecond
		first, second := make(chan error, 1), make(chan error, 1)
		go func() { _, err := h.do(t, request("/a")); first <- err }()
		time.Sleep(time.Millisecond)
		go func() { _, err := h.do(t, request("/b")); second <- err }()
		time.Sleep(time.Millisecond)
		idle := h.group.Stop()
		i.Equal(outcome.FromError(<-second).Reason, outcome.Moved)
		i.NoErr(<-first)
		<-idle
	})
}

func TestDetachedHolderServesOnlyIdempotentRequestsWithoutKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		h := newHarness(t, config.Service{Servers: servers(1)}, group.WithDetached(func() bool { return true }))
		defer h.run(t)()
		h.invalid.Store(true)
		_, err := h.do(t, request("/read"))
		i.NoErr(err)
		_, err = h.do(t, once("/renew", "key"))
		i.Equal(outcome.FromError(err).Outcome, outcome.KindNotRun)
		r := keyed("/read", 3)
		_, err = h.do(t, r)
		i.Equal(outcome.FromError(err).Outcome, outcome.KindNotRun)
		i.Equal(h.fleet.servers[address(0)].count(), 1)
	})
}

func TestAnswerIsStreamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		h := newHarness(t, config.Service{Servers: servers(1)})
		defer h.run(t)()
		answer, err := h.group.Serve(context.Background(), request("/x"))
		i.NoErr(err)
		i.Equal(h.group.Load().Running, 1) // the slot is taken until the body has been read
		data, err := io.ReadAll(answer.Body)
		i.NoErr(err)
		i.Equal(string(data), "answer")
		i.Equal(h.group.Load().Running, 0)
		i.True(strings.HasPrefix(string(answer.Server), "s"))
	})
}
