package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/transport/http1"
	"github.com/hickorylug/hickorylug/transport/relay"
)

// An attempt for another VM reached a backend server that this VM had come to know as out of use while it opened the connection.
func TestAttemptsForOthersDontReachServersThatWentOutOfUse(t *testing.T) {
	const entry = `{"Service":"plans","Address":%q,"Zone":"east","Version":"v1","Slots":4,"State":%q,"WarmupLeftS":0,"Sequence":2,"born":%d}`
	tests := map[string]struct {
		state   string
		born    int
		address string
		want    int64
	}{
		"nothing has changed":   {state: "ready", born: 1, want: 1},
		"it drains":             {state: "draining", born: 1},
		"it has been replaced":  {state: "ready", born: 2},
		"it has a new address":  {state: "ready", born: 1, address: "127.0.0.1:9"},
		"its state is not read": {state: "odd", born: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var arrived atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				arrived.Add(1)
				w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
			}))
			defer server.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			v := newLeavingVM(t)
			v.register("s1", address, 1)
			v.backends = http1.NewClient(http1.WithDial(func(ctx context.Context, to string) (net.Conn, error) {
				next := test.address
				if next == "" {
					next = address
				}
				v.put("servers/s1", fmt.Sprintf(entry, next, test.state, test.born))
				return (&net.Dialer{}).DialContext(ctx, "tcp", to)
			}))
			r, made := v.attemptForOther(t.Context(), relay.Attempt{
				Server: "s1", Born: 1, RequestID: "r1", Method: http.MethodPost, Target: "/", Host: "a.example", Header: http.Header{}, Timeout: time.Second, Detached: true,
			})
			is.True(made)
			is.Equal(arrived.Load(), test.want)
			is.Equal(r.Failure == nil, test.want == 1)
			if r.Failure != nil {
				is.True(r.Failure.Withheld)
				is.True(!r.Failure.Sent)
			}
		})
	}
}
