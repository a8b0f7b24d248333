package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/standin/client"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/entry"
	"github.com/hickorylug/hickorylug/transport/http1"
	"github.com/hickorylug/hickorylug/transport/relay"
)

// serveCut starts a backend server that answers each request with the text up to the byte that its target names, and then closes or resets
// the connection.
func serveCut(t *testing.T, text string, reset bool) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				n := 0
				_, _ = fmt.Sscanf(r.URL.Path, "/x/%d", &n)
				_, _ = io.WriteString(c, text[:n])
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// A response that ends early, also within its head, must not reach the caller as a complete one.
func TestResponsesCutAtAnyByte(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Signature: s\r\n"
	tests := map[string]struct {
		text  string
		reset bool
		// complete is the number of bytes from which the response is complete; 0 means all of them.
		complete int
	}{
		"with a length":                    {text: head + "Content-Length: 11\r\n\r\nhello world"},
		"in chunks":                        {text: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"},
		"in chunks with a trailer":         {text: head + "Transfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\nX-Sum: 1\r\n\r\n"},
		"ended by the connection":          {text: head + "\r\nhello world", complete: len(head) + 2},
		"ended by a reset":                 {text: head + "\r\nhello world", reset: true, complete: len(head) + 2 + 11 + 1},
		"with a length, reset":             {text: head + "Content-Length: 11\r\n\r\nhello world", reset: true},
		"lines end without carriage feeds": {text: strings.ReplaceAll(head+"\r\n", "\r", "") + "hello world", complete: len(head) - 3 + 1},
	}
	for name, test := range tests {
		for way, send := range cutWays(t) {
			t.Run(way+": "+name, func(t *testing.T) {
				is := is.New(t)
				address := serveCut(t, test.text, test.reset)
				caller := newCutCaller(t, address, send)
				complete := test.complete
				if complete == 0 {
					complete = len(test.text)
				}
				for n := range min(complete, len(test.text)+1) {
					status, body := caller.request(n)
					if status >= 200 && status < 300 {
						t.Errorf("cut after %d of %d bytes, %q: status %d, body %q", n, len(test.text), test.text[max(0, n-8):n], status, body)
					}
				}
				if complete <= len(test.text) {
					status, body := caller.request(len(test.text))
					is.Equal(status, http.StatusOK)
					is.Equal(body, "hello world")
				}
			})
		}
	}
}

// cutWays returns the ways in which an attempt is made.
func cutWays(t *testing.T) map[string]func(ctx context.Context, a relay.Attempt) relay.Result {
	t.Helper()
	e, other := newBareVM(), newBareVM()
	e.bodies, other.bodies = http1.NewQuota(64<<20), http1.NewQuota(64<<20)
	s := httptest.NewServer(relay.NewHandler(other.bodies, func(ctx context.Context, a relay.Attempt) (relay.Result, bool) {
		return other.attemptDirectly(ctx, a), true
	}))
	t.Cleanup(s.Close)
	c := relay.NewClient(other.bodies)
	return map[string]func(ctx context.Context, a relay.Attempt) relay.Result{
		"directly": e.attemptDirectly,
		"through another VM": func(ctx context.Context, a relay.Attempt) relay.Result {
			r, err := c.Do(ctx, "b", strings.TrimPrefix(s.URL, "http://"), a)
			if err != nil {
				return relay.Result{Failure: &relay.Failure{Sent: true, Cause: err.Error()}}
			}
			return r
		},
	}
}

// cutCaller sends requests to a backend server as a caller of an entry VM.
type cutCaller struct {
	t       *testing.T
	address string
}

func newCutCaller(t *testing.T, server string, send func(context.Context, relay.Attempt) relay.Result) *cutCaller {
	t.Helper()
	snapshot := &fleet.Snapshot{Configuration: fleet.NewConfiguration(1, []fleet.Route{{Name: "r", Host: "a.example", Prefix: "/x/", Targets: []fleet.Target{{Service: "s", Weight: 1}}}},
		map[id.Service]fleet.Service{"s": {Name: "s"}}, fleet.Limits{})}
	h := entry.NewHandler(entry.Dependencies{
		Clock: clock.System{}, Headers: entry.HeaderNames{RequestID: platform.HeaderRequestID, Deadline: platform.HeaderDeadline},
		View:        func() (*fleet.Snapshot, bool) { return snapshot, true },
		PickService: func(r *fleet.Route) id.Service { return r.Targets[0].Service },
		Forward: func(ctx context.Context, r *forward.Request) (*forward.Answer, error) {
			result := send(ctx, relay.Attempt{
				Server: "s", Address: server, Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Body: r.Body, RequestID: r.ID, Timeout: time.Minute,
			})
			switch failure := result.Failure; {
			case failure != nil && failure.Sent:
				return nil, outcome.Unknown(outcome.ServerFailed, "%s", failure.Cause)
			case failure != nil:
				return nil, outcome.NotRun(outcome.NoServer, "%s", failure.Cause)
			}
			return &forward.Answer{Status: result.Status, Header: result.Header, Body: result.Body}, nil
		},
		Observe: func(entry.Event) {},
	})
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return &cutCaller{t: t, address: s.URL}
}

// request sends a request that the backend server answers with n bytes. The status is 0 if the response isn't complete.
func (c *cutCaller) request(n int) (status int, body string) {
	c.t.Helper()
	return c.send(http.MethodGet, fmt.Sprintf("/x/%d", n), "")
}

// send sends a request with a body. The status is 0 if the response isn't complete.
func (c *cutCaller) send(method, path, upload string) (status int, body string) {
	c.t.Helper()
	r, err := http.NewRequestWithContext(c.t.Context(), method, c.address+path, strings.NewReader(upload))
	if err != nil {
		c.t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set(platform.HeaderRequestID, "a")
	return client.Exchange(r)
}
