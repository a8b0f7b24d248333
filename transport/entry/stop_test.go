package entry_test

import (
	"context"
	"errors"
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

// endCallback calls a function when the end of a body has been read.
type endCallback struct {
	io.ReadCloser
	atEnd func()
}

func (b endCallback) Read(p []byte) (n int, err error) {
	if n, err = b.ReadCloser.Read(p); errors.Is(err, io.EOF) {
		b.atEnd()
	}
	return n, err
}

// A request whose body is complete when the reading of bodies is stopped must not be sent: its context has ended or is about to end.
func TestStopReadingAtTheEndOfABody(t *testing.T) {
	tests := map[string]struct {
		stops  bool
		status int
		// sent is the number of requests that are forwarded, and reason why one is refused.
		sent   int
		reason outcome.Reason
	}{
		"reads on": {status: http.StatusOK, sent: 1},
		"stops":    {stops: true, status: http.StatusServiceUnavailable, reason: outcome.Stopping},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			snapshot := &fleet.Snapshot{Configuration: fleet.NewConfiguration(1, []fleet.Route{{
				Name: "r", Host: "a.example", Prefix: "/", Timeout: 5 * time.Second, Idempotent: true, Targets: []fleet.Target{{Service: "s", Weight: 1}},
			}}, map[id.Service]fleet.Service{"s": {Name: "s"}}, fleet.Limits{})}
			sent, observed := 0, make(chan entry.Event, 1)
			h := entry.NewHandler(entry.Dependencies{
				Clock: clock.System{}, Headers: entry.HeaderNames{RequestID: "X-Id"}, View: func() (*fleet.Snapshot, bool) { return snapshot, true },
				PickService: func(r *fleet.Route) id.Service { return r.Targets[0].Service },
				Forward: func(context.Context, *forward.Request) (*forward.Answer, error) {
					sent++
					return &forward.Answer{Status: http.StatusOK, Header: http.Header{}}, nil
				},
				Observe: func(e entry.Event) { observed <- e },
			})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				r.Body = endCallback{r.Body, func() {
					if test.stops {
						h.StopReading()
						// net/http reads on for the end of the connection, and its read fails.
						<-r.Context().Done()
					}
				}}
				h.ServeHTTP(w, r)
			}))
			defer server.Close()
			r, err := http.NewRequest(http.MethodPost, server.URL+"/a", strings.NewReader("body"))
			is.NoErr(err)
			r.Host = "a.example"
			resp, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, test.status)
			is.Equal(sent, test.sent)
			if e := <-observed; test.reason != "" {
				is.Equal(e.Refusal.Reason, test.reason)
			}
		})
	}
}
