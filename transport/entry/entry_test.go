package entry_test

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/entry"
	"github.com/hickorylug/hickorylug/transport/http1"
)

// pipeListener accepts in-memory connections, whose deadlines follow the virtual time of a synctest bubble.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the caller's side of a new connection.
func (l *pipeListener) dial() net.Conn {
	caller, server := net.Pipe()
	l.connections <- server
	return caller
}

// serve runs f with a server in virtual time that answers each forwarded request with its body. It returns the bodies of
// the forwarded requests.
func serve(t *testing.T, f func(l *pipeListener)) (forwarded []string) {
	t.Helper()
	serveWith(t, func(d *entry.Dependencies) {
		d.Forward = func(_ context.Context, r *forward.Request) (*forward.Answer, error) {
			forwarded = append(forwarded, string(r.Body))
			return &forward.Answer{Status: http.StatusOK, Header: http.Header{}, Body: r.Body}, nil
		}
	}, f)
	return forwarded
}

// serveWith runs f with a server in virtual time whose handler has the dependencies that change sets.
func serveWith(t *testing.T, change func(d *entry.Dependencies), f func(l *pipeListener)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		snapshot := &fleet.Snapshot{Configuration: fleet.NewConfiguration(1, []fleet.Route{{
			Name: "r", Host: "a.example", Prefix: "/", Timeout: 5 * time.Second, Objective: time.Second, Targets: []fleet.Target{{Service: "s", Weight: 1}},
		}}, map[id.Service]fleet.Service{"s": {Name: "s"}}, fleet.Limits{MaxBody: 4 << 10})}
		d := entry.Dependencies{
			Clock:   clock.Runtime{Origin: time.Now().Add(-time.Hour)},
			Headers: entry.HeaderNames{RequestID: "X-Id", Deadline: "X-Deadline", Key: "X-Key"},
			Bodies:  http1.NewQuota(1 << 20), View: func() (*fleet.Snapshot, bool) { return snapshot, true },
			PickService: func(r *fleet.Route) id.Service { return r.Targets[0].Service },
			Observe:     func(entry.Event) {},
		}
		change(&d)
		h := entry.NewHandler(d)
		l := newPipeListener()
		server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
		done := make(chan error, 1)
		go func() { done <- server.Serve(l) }()
		f(l)
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
		// The server closes its connections some time after their last response.
		time.Sleep(time.Minute)
	})
}

// A caller that sends its body too slowly, or more than the limit, must get a refusal that is true: the request isn't
// forwarded. It must not hold the request beyond its deadline.
func TestUnendingBodies(t *testing.T) {
	const deadline = time.Second
	tests := map[string]struct {
		framing string
		// block is sent once in each period.
		block  string
		period time.Duration
		status int
	}{
		"one byte each 100 ms":  {framing: "Content-Length: 4000", block: "x", period: 100 * time.Millisecond, status: http.StatusRequestTimeout},
		"small chunks":          {framing: "Transfer-Encoding: chunked", block: "1\r\nx\r\n", period: 100 * time.Millisecond, status: http.StatusRequestTimeout},
		"chunks without an end": {framing: "Transfer-Encoding: chunked", block: "100\r\n" + strings.Repeat("x", 256) + "\r\n", period: 0, status: http.StatusRequestEntityTooLarge},
		"length above the limit": {
			framing: "Content-Length: 5000", block: strings.Repeat("x", 100), period: time.Millisecond, status: http.StatusRequestEntityTooLarge,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status, took := 0, time.Duration(0)
			forwarded := serve(t, func(l *pipeListener) {
				c := l.dial()
				began := time.Now()
				sent := make(chan struct{})
				go func() {
					defer close(sent)
					_, err := fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\nX-Deadline: %d\r\n%s\r\n\r\n", deadline.Milliseconds(), test.framing)
					for err == nil && time.Since(began) < 3*deadline {
						_, err = io.WriteString(c, test.block)
						time.Sleep(test.period)
					}
				}()
				head := make([]byte, len("HTTP/1.1 200"))
				_, err := io.ReadFull(c, head)
				is.NoErr(err)
				took = time.Since(began)
				_, err = fmt.Sscanf(string(head), "HTTP/1.1 %d", &status)
				is.NoErr(err)
				is.NoErr(c.Close())
				<-sent
			})
			is.Equal(status, test.status)
			is.Equal(len(forwarded), 0)
			is.True(took <= deadline)
		})
	}
}

// The deadline for one request's body must not apply to the next request on the connection.
func TestBodiesOnOneConnection(t *testing.T) {
	is := is.New(t)
	forwarded := serve(t, func(l *pipeListener) {
		c := l.dial()
		defer c.Close()
		for range 2 {
			_, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\nX-Deadline: 1000\r\nContent-Length: 3\r\n\r\n")
			is.NoErr(err)
			time.Sleep(600 * time.Millisecond)
			_, err = io.WriteString(c, "one")
			is.NoErr(err)
			_, err = io.ReadAtLeast(c, make([]byte, 4096), 1)
			is.NoErr(err)
			time.Sleep(2 * time.Second)
		}
	})
	is.Equal(forwarded, []string{"one", "one"})
}
