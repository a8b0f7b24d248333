package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/transport/http1"
	"github.com/hickorylug/hickorylug/transport/relay"
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
		"a grant at the last time": {pause: ownership.WriteTimeout, sent: 1},
		"a grant after a pause":    {pause: 3 * time.Second},
		"a release after a pause":  {release: true, pause: 3 * time.Second, sent: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newLeavingVM(t)
			v.lead(7, "a")
			address, commands := serveCommands(t)
			v.register("s1", address, 1)
			v.backends = http1.NewClient(http1.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
				v.clock.now = v.clock.now.Add(test.pause)
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			}))
			c := &call{term: 7, Command: ownership.Command{
				Service: "plans", Incarnation: fleet.Incarnation{Server: "s1", Born: 1}, To: 1, Fence: 1, Release: test.release, IssuedAt: v.clock.now,
			}}
			v.keys.execute(t.Context(), c)
			is.Equal(len(commands), test.sent)
		})
	}
}

// Another VM that stood still before it read the attempt, or before it wrote the grant, must not send an old grant.
func TestGrantsThroughAVMThatStoodStill(t *testing.T) {
	const pause = 3 * time.Second
	tests := map[string]struct {
		release                bool
		beforeRead, beforeDial time.Duration
		// isOlder says that the other VM is of a build without tokens.
		isOlder bool
		sent    int
	}{
		"a grant without a pause":              {sent: 1},
		"a grant that is read after a pause":   {beforeRead: pause},
		"a grant with a pause before its dial": {beforeDial: pause},
		"a release that is read after a pause": {release: true, beforeRead: pause, sent: 1},
		"a grant through a VM without tokens":  {isOlder: true},
		"a release through such a VM":          {release: true, isOlder: true, sent: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v, other := newLeavingVM(t), newLeavingVM(t)
			address, commands := serveCommands(t)
			other.backends = http1.NewClient(http1.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
				other.clock.now = other.clock.now.Add(test.beforeDial)
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			}))
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.Method == http.MethodPost:
					other.clock.now = other.clock.now.Add(test.beforeRead)
				case test.isOlder:
					w.WriteHeader(http.StatusBadRequest)
					return
				}
				other.relayHandler.ServeHTTP(w, r)
			}))
			t.Cleanup(server.Close)
			v.put("hickorylug/vm/b", fmt.Sprintf(`{"VM":"b","Domain":"east","Address":%q,"Incarnation":"i"}`, strings.TrimPrefix(server.URL, "http://")))
			a := relay.Attempt{
				Server: "s1", Born: 1, Address: address, Method: http.MethodPost, Target: "/", Host: address, Header: http.Header{}, Timeout: time.Second, Command: true,
			}
			if !test.release {
				a.NotAfter = v.clock.now.Add(ownership.WriteTimeout)
			}
			r, _ := v.attemptThroughOthers(t.Context(), a)
			is.Equal(len(commands), test.sent)
			is.Equal(r.Failure != nil && !r.Failure.Sent, test.sent == 0)
		})
	}
}

// The kernel must not send the bytes of a grant again for long: it does so also after the process was killed, once a cut has healed.
func TestGrantsAreNotSentAgainForLong(t *testing.T) {
	tests := map[string]struct {
		release bool
		want    time.Duration
	}{
		"a grant":   {want: 200 * time.Millisecond},
		"a release": {release: true, want: 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newLeavingVM(t)
			v.lead(7, "a")
			sockets, got := make(chan *net.TCPConn, 1), make(chan int, 1)
			v.backends = http1.NewClient(http1.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
				d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
					return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 2000) })
				}}
				c, err := d.DialContext(ctx, "tcp", address)
				if err == nil {
					sockets <- c.(*net.TCPConn)
				}
				return c, err
			}))
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				raw, err := (<-sockets).SyscallConn()
				is.NoErr(err)
				is.NoErr(raw.Control(func(fd uintptr) {
					ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
					is.NoErr(err)
					got <- ms
				}))
			}))
			t.Cleanup(server.Close)
			v.register("s1", strings.TrimPrefix(server.URL, "http://"), 1)
			v.keys.execute(t.Context(), &call{term: 7, Command: ownership.Command{
				Service: "plans", Incarnation: fleet.Incarnation{Server: "s1", Born: 1}, To: 1, Fence: 1, Release: test.release, IssuedAt: v.clock.now,
			}})
			is.Equal(time.Duration(<-got)*time.Millisecond, test.want)
		})
	}
}

// A late copy of the answer to a renewal on its connection must not count as the answer to the command that follows.
func TestCommandsThatEndAHoldHaveTheirOwnConnection(t *testing.T) {
	tests := map[string]struct {
		command ownership.Command
		want    int
	}{
		"a renewal":       {want: 1},
		"a fencing grant": {command: ownership.Command{Fencing: true}, want: 2},
		"a release":       {command: ownership.Command{Release: true}, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newLeavingVM(t)
			v.lead(7, "a")
			address, commands := serveCommands(t)
			v.register("s1", address, 1)
			opened := 0
			v.backends = http1.NewClient(http1.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
				opened++
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			}))
			for _, command := range []ownership.Command{{}, test.command} {
				command.Service, command.Incarnation, command.To, command.Fence, command.IssuedAt = "plans", fleet.Incarnation{Server: "s1", Born: 1}, 1, 1, v.clock.now
				v.keys.execute(t.Context(), &call{term: 7, Command: command})
			}
			is.Equal(len(commands), 2)
			is.Equal(opened, test.want)
		})
	}
}
