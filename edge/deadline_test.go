package edge

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/departure"
	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/reach"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/transport/http1"
	"github.com/hickorylug/hickorylug/transport/relay"
)

// A backend server was told the time that was left before the connection to it was opened, and worked beyond the caller's deadline.
func TestDeadlineDoesNotCountTheTimeOfDials(t *testing.T) {
	const timeout, dialTime = 2 * time.Second, 300 * time.Millisecond
	tests := map[string]struct {
		// toVM and toServer are the times to connect to the other VM and to the backend server.
		toVM, toServer time.Duration
		relayed        bool
		want           string
		unsent         bool
	}{
		"directly, at once":                  {want: "2000"},
		"directly":                           {toServer: dialTime, want: "1700"},
		"directly, past the deadline":        {toServer: timeout, unsent: true},
		"through another VM":                 {relayed: true, toVM: dialTime, toServer: dialTime, want: "1400"},
		"through another VM, slow to it":     {relayed: true, toVM: dialTime, want: "1700"},
		"through another VM, past the limit": {relayed: true, toVM: dialTime, toServer: timeout, unsent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var now settableClock
			got := "none"
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				got = r.Header.Get(platform.HeaderDeadline)
				w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
			}))
			defer server.Close()
			slow := func(d time.Duration) func(context.Context, string) (net.Conn, error) {
				return func(ctx context.Context, address string) (net.Conn, error) {
					now.boot.Add(int64(d))
					return (&net.Dialer{}).DialContext(ctx, "tcp", address)
				}
			}
			e := &Edge{
				clock: &now, backends: http1.NewClient(http1.WithDial(slow(test.toServer))), reach: reach.NewDetector(reach.WithClock(&now)), departures: departure.NewRecords(time.Second),
				dispatcher: dispatch.NewDispatcher("a", "east", dispatch.WithClock(&now)), bodies: http1.NewQuota(1 << 20),
			}
			a := relay.Attempt{
				Server: "s", RequestID: "r", Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{}, Timeout: timeout,
			}
			var r relay.Result
			if test.relayed {
				other := httptest.NewServer(relay.NewHandler(nil, func(ctx context.Context, a relay.Attempt) (relay.Result, bool) {
					return e.attemptDirectly(ctx, a), true
				}, relay.WithClock(&now)))
				defer other.Close()
				var err error
				r, err = relay.NewClient(nil, relay.WithClock(&now), relay.WithDial(slow(test.toVM))).Do(t.Context(), "b", strings.TrimPrefix(other.URL, "http://"), a)
				is.NoErr(err)
			} else {
				r = e.attemptDirectly(t.Context(), a)
			}
			is.Equal(r.Failure != nil, test.unsent)
			if test.unsent {
				is.True(!r.Failure.Sent)
				is.Equal(got, "none")
				return
			}
			is.Equal(got, test.want)
		})
	}
}
