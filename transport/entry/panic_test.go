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
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/entry"
)

// A panic while a request is handled must not end its connection without an answer, or with a part of one.
func TestPanicsAreAnswered(t *testing.T) {
	body := strings.Repeat("x", 100)
	tests := map[string]struct {
		// at is the part of the handling that panics.
		at     string
		status int
	}{
		"none":                   {status: http.StatusOK},
		"before it is forwarded": {at: "pick", status: http.StatusServiceUnavailable},
		"while it is forwarded":  {at: "forward", status: http.StatusBadGateway},
		"after its answer":       {at: "observe", status: http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			snapshot := &fleet.Snapshot{Configuration: fleet.NewConfiguration(1, []fleet.Route{{
				Name: "r", Host: "a.example", Prefix: "/", Timeout: 5 * time.Second, Targets: []fleet.Target{{Service: "s", Weight: 1}},
			}}, map[id.Service]fleet.Service{"s": {Name: "s"}}, fleet.Limits{})}
			reach := func(at string) {
				if test.at == at {
					panic("a fault")
				}
			}
			var reported []string
			h := entry.NewHandler(entry.Dependencies{
				Clock: clock.System{}, Headers: entry.HeaderNames{RequestID: "X-Id"}, View: func() (*fleet.Snapshot, bool) { return snapshot, true },
				PickService: func(r *fleet.Route) id.Service { reach("pick"); return r.Targets[0].Service },
				Forward: func(context.Context, *forward.Request) (*forward.Answer, error) {
					reach("forward")
					return &forward.Answer{Status: http.StatusOK, Header: http.Header{}, Body: []byte(body)}, nil
				},
				Observe: func(entry.Event) { reach("observe") },
				OnPanic: func(request string, value any, stack []byte) {
					is.True(strings.Contains(string(stack), "panic_test.go"))
					reported = append(reported, request+": "+value.(string))
				},
			})
			server := httptest.NewServer(h)
			defer server.Close()
			r, err := http.NewRequest(http.MethodGet, server.URL+"/a", nil)
			is.NoErr(err)
			r.Host = "a.example"
			r.Header.Set("X-Id", "r1")
			resp, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			defer resp.Body.Close()
			got, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, test.status)
			if test.status == http.StatusOK {
				is.Equal(string(got), body)
			}
			server.Close()
			if test.at == "" {
				is.Equal(len(reported), 0)
				return
			}
			is.Equal(reported, []string{"r1: a fault"})
			is.Equal(h.InFlight(), int64(0))
		})
	}
}
