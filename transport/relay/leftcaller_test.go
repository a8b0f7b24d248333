package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/transport/relay"
)

// leavingCaller is a context that ends once something waits for its end after the last check before a write.
type leavingCaller struct {
	context.Context
	checked, ended atomic.Bool
}

// Done returns a channel that isn't closed, since AfterFunc calls those that wait.
func (c *leavingCaller) Done() <-chan struct{} { return make(chan struct{}) }

// Err returns context.Canceled after the end.
func (c *leavingCaller) Err() error {
	if c.ended.Load() {
		return context.Canceled
	}
	return nil
}

// AfterFunc calls f at once if the last check before the write has begun, else never.
func (c *leavingCaller) AfterFunc(f func()) (stop func() bool) {
	if !c.checked.Load() {
		return func() bool { return true }
	}
	c.ended.Store(true)
	go f()
	return func() bool { return false }
}

// The sending side was closed before the attempt was written, and the attempt counted as one that a backend server may have run and not answered.
func TestAttemptsWhoseCallersLeaveAtTheWriteAreMadeOrDeclined(t *testing.T) {
	const attempts = 1000
	for name, size := range map[string]int{"short": 0, "long": 100_000} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			made := atomic.Int64{}
			server := httptest.NewServer(relay.NewHandler(nil, func(context.Context, relay.Attempt) (relay.Result, bool) {
				made.Add(1)
				return relay.Result{Status: http.StatusOK}, true
			}))
			c, declined := relay.NewClient(nil), 0
			for range attempts {
				caller := &leavingCaller{Context: t.Context()}
				_, err := c.Do(t.Context(), "b", strings.TrimPrefix(server.URL, "http://"), relay.Attempt{
					Server: "s", Method: http.MethodPost, Body: make([]byte, size), Timeout: time.Minute, Detached: true, Wanted: caller,
					Clear: func() error { caller.checked.Store(true); return nil },
				})
				if errors.Is(err, relay.ErrDeclined) {
					declined++
				}
			}
			server.Close()
			t.Logf("%d made, %d declined", made.Load(), declined)
			is.Equal(made.Load(), int64(attempts-declined))
		})
	}
}
