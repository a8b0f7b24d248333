package relay_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/transport/http1"
	"github.com/hickorylug/hickorylug/transport/relay"
)

// declined errors say that the attempt was certainly not made, so each other end of an attempt must not look like one.
func TestOutcomesOfRelayedAttempts(t *testing.T) {
	quota := http1.NewQuota(1 << 20)
	answer := relay.Result{Status: http.StatusTeapot, Header: http.Header{"A": {"b"}}, Body: []byte("body")}
	// Field values and targets may hold any bytes, not only UTF-8.
	latin := relay.Result{Status: http.StatusOK, Header: http.Header{"A": {"caf\xe9"}}, Body: []byte("body")}
	withStatus := func(status int) relay.Result { return relay.Result{Status: status, Body: answer.Body} }
	unsent := relay.Result{Failure: &relay.Failure{Refused: true, Cause: "refused"}}
	send := func(r relay.Result, ok bool) http.Handler {
		return relay.NewHandler(quota, func(context.Context, relay.Attempt) (relay.Result, bool) { return r, ok })
	}
	draining := relay.NewHandler(quota, func(context.Context, relay.Attempt) (relay.Result, bool) { return answer, true })
	draining.Drain()
	tests := map[string]struct {
		handler  http.Handler
		attempt  relay.Attempt
		want     relay.Result
		declined bool
		failed   bool
	}{
		"answered":                 {handler: send(answer, true), want: answer},
		"not sent":                 {handler: send(unsent, true), want: unsent},
		"answered in Latin-1":      {handler: send(latin, true), want: latin},
		"asked in Latin-1":         {handler: send(answer, true), attempt: relay.Attempt{Server: "s", Method: http.MethodGet, Timeout: time.Second, Header: latin.Header}, want: answer},
		"declined":                 {handler: send(answer, false), declined: true},
		"a VM that stops":          {handler: draining, declined: true},
		"a VM that knows no relay": {handler: http.NotFoundHandler(), declined: true},
		"an attempt for no server": {handler: send(answer, true), attempt: relay.Attempt{Timeout: time.Second, Method: http.MethodGet}, declined: true},
		"an attempt without time":  {handler: send(answer, true), attempt: relay.Attempt{Server: "s", Method: http.MethodGet}, declined: true},
		"the connection breaks":    {handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), failed: true},
		"a panic":                  {handler: relay.NewHandler(quota, func(context.Context, relay.Attempt) (relay.Result, bool) { panic(http.ErrAbortHandler) }), failed: true},
		"no status":                {handler: send(withStatus(0), true), failed: true},
		"status 099":               {handler: send(withStatus(99), true), failed: true},
		"informational status":     {handler: send(withStatus(103), true), failed: true},
		"blank in a field's name":  {handler: send(relay.Result{Status: http.StatusOK, Header: http.Header{"Content-Length ": {"4"}}}, true), failed: true},
		"bytes that are no result": {handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("\xff")) }), failed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(test.handler)
			defer server.Close()
			a := test.attempt
			if a.Method == "" {
				a = relay.Attempt{Server: "s", Method: http.MethodGet, Timeout: time.Second}
			}
			got, err := relay.NewClient(quota).Do(t.Context(), "vm2", strings.TrimPrefix(server.URL, "http://"), a)
			is.Equal(err != nil, test.declined || test.failed)
			is.Equal(errors.Is(err, relay.ErrDeclined), test.declined)
			if err == nil {
				is.Equal(got, test.want)
			}
		})
	}
}

// An attempt that isn't idempotent goes on when the VM that asked for it disconnects, and any other one ends.
func TestDetachedAttempts(t *testing.T) {
	for name, detached := range map[string]bool{"detached": true, "attached": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			began, left, ended := make(chan struct{}), make(chan struct{}), make(chan error, 1)
			const longest = 30 * time.Second
			h := relay.NewHandler(nil, func(ctx context.Context, _ relay.Attempt) (relay.Result, bool) {
				close(began)
				if detached {
					<-left
					ended <- ctx.Err()
					return relay.Result{}, true
				}
				<-ctx.Done()
				ended <- context.Cause(ctx)
				return relay.Result{}, true
			})
			server := httptest.NewServer(h)
			defer server.Close()
			ctx, cancel := context.WithCancel(t.Context())
			go func() { <-began; cancel() }()
			_, err := relay.NewClient(nil).Do(ctx, "vm2", strings.TrimPrefix(server.URL, "http://"), relay.Attempt{Server: "s", Method: http.MethodGet, Timeout: longest, Detached: detached})
			close(left)
			got := <-ended
			if detached {
				is.NoErr(got)
				return
			}
			is.True(errors.Is(got, context.Canceled)) // not the deadline
			is.True(err != nil && !errors.Is(err, relay.ErrDeclined))
		})
	}
}

// What only the VM that asks knows must not be sent, so that the results of other builds stay the same.
func TestRelayedIsNotSent(t *testing.T) {
	is := is.New(t)
	r := relay.Result{Status: http.StatusServiceUnavailable, Header: http.Header{"Server-Leaving": {"1"}, "Retry-After": {"2"}}}
	// The order of a map's entries is random otherwise.
	sorted, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	is.NoErr(err)
	before, err := sorted.Marshal(r)
	is.NoErr(err)
	r.Relayed = true
	after, err := sorted.Marshal(r)
	is.NoErr(err)
	is.Equal(after, before)
}

// countingConnection records how many attempts are in flight at each write of a response.
type countingConnection struct {
	net.Conn
	handler *relay.Handler
	counts  chan int64
}

func (c *countingConnection) Write(p []byte) (n int, err error) {
	c.counts <- c.handler.InFlight()
	return c.Conn.Write(p)
}

type countingListener struct {
	net.Listener
	handler *relay.Handler
	counts  chan int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConnection{c, l.handler, l.counts}, err
}

// A VM that stops waits for the attempts in flight only, so a result that isn't written yet would be lost.
func TestResultsAreWrittenBeforeAttemptsEnd(t *testing.T) {
	tests := map[string]struct {
		body     int
		declined bool
	}{
		"short result": {body: 10},
		"long result":  {body: 1 << 16},
		"declined":     {declined: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			want := relay.Result{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, test.body)}
			h := relay.NewHandler(nil, func(context.Context, relay.Attempt) (relay.Result, bool) { return want, !test.declined })
			counts := make(chan int64, 100)
			server := httptest.NewUnstartedServer(h)
			server.Listener = &countingListener{server.Listener, h, counts}
			server.Start()
			defer server.Close()
			got, err := relay.NewClient(nil).Do(t.Context(), "vm2", strings.TrimPrefix(server.URL, "http://"), relay.Attempt{Server: "s", Method: http.MethodGet, Timeout: time.Second})
			is.Equal(errors.Is(err, relay.ErrDeclined), test.declined)
			if !test.declined {
				is.NoErr(err)
				is.Equal(got, want)
			}
			server.Close()
			close(counts)
			for n := range counts {
				is.Equal(n, int64(1))
			}
		})
	}
}

// steppingClock is a clock that goes on by a step after each reading.
type steppingClock struct {
	clock.System
	now  atomic.Int64
	step time.Duration
}

func newSteppingClock(step time.Duration) *steppingClock {
	c := &steppingClock{step: step}
	c.now.Store(int64(time.Hour))
	return c
}

func (c *steppingClock) Boot() clock.Instant {
	return clock.Instant(c.now.Add(int64(c.step))).Add(-c.step)
}

// An attempt must be made by its latest time, by the clock of the VM that makes it, also if that VM stands still before it reads the attempt.
func TestAttemptsAreNotMadeAfterTheirLatestTime(t *testing.T) {
	const left = 250 * time.Millisecond
	tests := map[string]struct {
		// other is how long the other VM stands still after each reading of its clock.
		other time.Duration
		// restarted says that the other VM restarts after it gave out the token.
		restarted bool
		limited   bool
		made      bool
	}{
		"no pause":                            {limited: true, made: true},
		"a pause of the other VM":             {other: time.Second, limited: true},
		"short pauses of the other VM":        {other: left / 4, limited: true, made: true},
		"a restart of the other VM":           {restarted: true, limited: true},
		"no limit, a pause of the other VM":   {other: time.Second, made: true},
		"no limit, a restart of the other VM": {restarted: true, made: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			asking, other := newSteppingClock(0), newSteppingClock(test.other)
			var got []relay.Attempt
			var answeredWithin time.Duration
			newHandler := func() *relay.Handler {
				return relay.NewHandler(nil, func(ctx context.Context, a relay.Attempt) (relay.Result, bool) {
					got = append(got, a)
					deadline, _ := ctx.Deadline()
					answeredWithin = time.Until(deadline)
					return relay.Result{Status: http.StatusOK}, true
				}, relay.WithClock(other))
			}
			first, next := newHandler(), newHandler()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if test.restarted && r.Method == http.MethodPost {
					next.ServeHTTP(w, r)
					return
				}
				first.ServeHTTP(w, r)
			}))
			defer server.Close()
			a := relay.Attempt{Server: "s", Method: http.MethodPost, Timeout: time.Hour}
			if test.limited {
				a.NotAfter = asking.Boot().Add(left)
			}
			_, err := relay.NewClient(nil, relay.WithClock(asking)).Do(t.Context(), "vm2", strings.TrimPrefix(server.URL, "http://"), a)
			is.Equal(err == nil, test.made)
			is.Equal(errors.Is(err, relay.ErrDeclined), !test.made)
			server.Close()
			is.Equal(len(got) == 1, test.made)
			if test.made {
				want := clock.Instant(0)
				if test.limited {
					want = clock.Instant(time.Hour).Add(left)
				}
				is.Equal(got[0].NotAfter, want)
				is.True(answeredWithin > left) // the latest time is that of the write, not of the answer
			}
		})
	}
}

// The time left is what remains after the token has come: it is counted from the token.
func TestAttemptsWithoutTimeAfterTheTokenAreDeclined(t *testing.T) {
	is := is.New(t)
	asking := newSteppingClock(0)
	posted := make(chan struct{}, 1)
	h := relay.NewHandler(nil, func(context.Context, relay.Attempt) (relay.Result, bool) {
		posted <- struct{}{}
		return relay.Result{Status: http.StatusOK}, true
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asking.now.Add(int64(time.Second))
		h.ServeHTTP(w, r)
	}))
	defer server.Close()
	a := relay.Attempt{Server: "s", Method: http.MethodPost, Timeout: time.Minute, NotAfter: asking.Boot().Add(250 * time.Millisecond)}
	_, err := relay.NewClient(nil, relay.WithClock(asking)).Do(t.Context(), "vm2", strings.TrimPrefix(server.URL, "http://"), a)
	is.True(errors.Is(err, relay.ErrDeclined))
	is.Equal(len(posted), 0)
}
