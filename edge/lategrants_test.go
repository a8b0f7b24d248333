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

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/transport/http1"
)

// serveCommands starts a backend server that carries out all commands, and returns its address and the paths of the commands.
func serveCommands(t *testing.T) (address string, commands <-chan string) {
	t.Helper()
	paths := make(chan string, 16)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { paths <- r.URL.Path }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), paths
}

// A VM that stood still while it opened the connection must not send an old grant: its keys may have been granted elsewhere since.
func TestGrantsAreNotSentAfterAPause(t *testing.T) {
	tests := map[string]struct {
		release bool
		pause   time.Duration
		sent    int
	}{
		"a grant without a pause":  {sent: 1},
		"a grant at the last time": {pause: ownership.GrantTimeout, sent: 1},
		"a grant after a pause":    {pause: 3 * time.Second},
		"a release after a pause":  {release: true, pause: 3 * time.Second, sent: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newLeavingVM(t)
			address, commands := serveCommands(t)
			v.register("s1", address, 1)
			v.backends = http1.NewClient(http1.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
				v.clock.now = v.clock.now.Add(test.pause)
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			}))
			c := &call{Command: ownership.Command{
				Service: "plans", Incarnation: fleet.Incarnation{Server: "s1", Born: 1}, To: 1, Fence: 1, Release: test.release, IssuedAt: v.clock.now,
			}}
			v.keys.execute(t.Context(), c)
			is.Equal(len(commands), test.sent)
		})
	}
}
