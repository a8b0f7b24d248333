package edge

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/transport/http1"
	"github.com/hickorylug/hickorylug/transport/http1server"
	"github.com/hickorylug/hickorylug/transport/relay"
)

// heldListener accepts connections only once it is released.
type heldListener struct {
	net.Listener
	released chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	<-l.released
	return l.Listener.Accept()
}

// A VM that was short of processor read an attempt after the VM that asked for it had ended it, and wrote it.
func TestAttemptsReadAfterTheirCallersLeftAreNotWritten(t *testing.T) {
	reset := func(c *net.TCPConn) error { return errors.CombineErrors(c.SetLinger(0), c.Close()) }
	tests := map[string]struct {
		detached bool
		leave    func(c *net.TCPConn) error
	}{
		"at most once, closed sending side": {detached: true, leave: (*net.TCPConn).CloseWrite},
		"at most once, reset":               {detached: true, leave: reset},
		"idempotent, reset":                 {leave: reset},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(runsOfEndedAttempts(t, test.detached, test.leave), int64(0))
		})
	}
}

// runsOfEndedAttempts returns how many of 50 attempts a backend server runs that another VM has asked for and ended before they were read.
func runsOfEndedAttempts(t *testing.T, detached bool, leave func(c *net.TCPConn) error) int64 {
	t.Helper()
	const attempts = 50
	is := is.New(t)
	// The goroutine that reads a connection runs only once the handler waits.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var runs atomic.Int64
	var kept sync.WaitGroup
	kept.Add(attempts)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) <= attempts {
			kept.Done()
			kept.Wait()
		}
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	}))
	defer backend.Close()
	address := strings.TrimPrefix(backend.URL, "http://")
	v := newLeavingVM(t)
	v.register("s1", address, 1)
	v.backends = http1.NewClient(http1.WithQuota(v.bodies))
	var first sync.WaitGroup
	for range attempts {
		first.Go(func() { v.attemptDirectly(t.Context(), attemptAt(address)) })
	}
	first.Wait()
	handled := make(chan struct{}, attempts)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	held := &heldListener{l, make(chan struct{})}
	server := http1server.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v.relayHandler.ServeHTTP(w, r)
		handled <- struct{}{}
	}))
	done := make(chan error, 1)
	go func() { done <- server.Serve(held) }()
	for n := range attempts {
		a := attemptAt(address)
		a.RequestID, a.Detached = fmt.Sprint(n), detached
		data, err := cbor.Marshal(a)
		is.NoErr(err)
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer c.Close()
		_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n%s", relay.Path, len(data), data)
		is.NoErr(err)
		is.NoErr(leave(c.(*net.TCPConn)))
	}
	close(held.released)
	for range attempts {
		<-handled
	}
	is.NoErr(server.Close())
	is.True(errors.Is(<-done, http.ErrServerClosed))
	return runs.Load() - attempts
}
