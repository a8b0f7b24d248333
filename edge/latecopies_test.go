package edge

import (
	"bufio"
	"context"
	"io"
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
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/transport/http1"
	"github.com/hickorylug/hickorylug/transport/relay"
)

// serveScript starts a backend server that answers the n-th request of its first connection with the n-th text of the first script, and
// those of all further ones with the second script.
func serveScript(t *testing.T, first, further []string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for texts := first; ; texts = further {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for _, text := range texts {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					if _, err := io.WriteString(c, text); err != nil {
						return
					}
				}
				_, _ = io.Copy(io.Discard, r)
			}()
		}
	}()
	return l.Addr().String()
}

// newBareVM returns a VM that only makes attempts.
func newBareVM() *Edge {
	return &Edge{
		clock: clock.System{}, backends: http1.NewClient(), reach: reach.NewDetector(), departures: departure.NewRecords(time.Second),
		dispatcher: dispatch.NewDispatcher("a", "east"), bodies: http1.NewQuota(1 << 20),
	}
}

// A response that a backend server writes once more on a kept connection must not decide about a later request or command.
func TestLateCopiesOfResponses(t *testing.T) {
	const (
		refusalOfA = "HTTP/1.1 503 Busy\r\nAttempt-Id: a\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		refusal    = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		badRequest = "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		answerToA  = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 0\r\n\r\n"
		answerToB  = "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: 0\r\n\r\n"
		granted    = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		conflict   = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
	)
	request := func(id string) relay.Attempt {
		return relay.Attempt{RequestID: id, Method: http.MethodPost, Target: "/"}
	}
	command := relay.Attempt{Command: true, Method: http.MethodPost, Target: platform.GrantCall(0, 1, 1, 1, "").Path}
	release := command
	release.Target, release.NewConnection = platform.ReleaseCall(0, 1, 1).Path, true
	tests := map[string]struct {
		// texts are the responses of the first connection, and further those of the others; the attempts follow each other.
		texts, further []string
		attempts       []relay.Attempt
		// want is the status of the last attempt, or 0 if it may have run.
		want int
	}{
		"a refusal of another request":                   {texts: []string{refusalOfA, refusalOfA + answerToB}, attempts: []relay.Attempt{request("a"), request("b")}, want: 200},
		"a refusal of the same request":                  {texts: []string{refusalOfA, refusalOfA + answerToA}, further: []string{answerToA}, attempts: []relay.Attempt{request("a"), request("a")}, want: 200},
		"a refusal without an id":                        {texts: []string{refusalOfA, refusal + answerToB}, attempts: []relay.Attempt{request("a"), request("b")}},
		"a refusal of a request without an id":           {texts: []string{badRequest, badRequest + answerToB}, attempts: []relay.Attempt{request(""), request("b")}},
		"a request without an id":                        {texts: []string{badRequest}, attempts: []relay.Attempt{request("")}, want: 400},
		"an answer before that to a command":             {texts: []string{answerToA, answerToA + conflict}, attempts: []relay.Attempt{request("a"), command}, want: 409},
		"a refusal before the answer to a command":       {texts: []string{refusalOfA, refusalOfA + granted}, attempts: []relay.Attempt{request("a"), command}, want: 200},
		"the answer to a grant before that to a release": {texts: []string{granted, granted + conflict}, further: []string{conflict}, attempts: []relay.Attempt{command, release}, want: 409},
	}
	ways := map[string]func(t *testing.T) func(a relay.Attempt) relay.Result{
		"directly": func(t *testing.T) func(a relay.Attempt) relay.Result {
			e := newBareVM()
			return func(a relay.Attempt) relay.Result { return e.attemptDirectly(t.Context(), a) }
		},
		"through another VM": func(t *testing.T) func(a relay.Attempt) relay.Result {
			other := newBareVM()
			h := relay.NewHandler(other.bodies, func(ctx context.Context, a relay.Attempt) (relay.Result, bool) {
				return other.attemptDirectly(ctx, a), true
			})
			s := httptest.NewServer(h)
			t.Cleanup(s.Close)
			c := relay.NewClient(other.bodies)
			return func(a relay.Attempt) relay.Result {
				r, err := c.Do(t.Context(), "b", strings.TrimPrefix(s.URL, "http://"), a)
				if err != nil {
					t.Fatal(err)
				}
				return r
			}
		},
	}
	for way, newSender := range ways {
		for name, test := range tests {
			t.Run(way+": "+name, func(t *testing.T) {
				is := is.New(t)
				send, address := newSender(t), serveScript(t, test.texts, test.further)
				var last relay.Result
				for _, a := range test.attempts {
					a.Server, a.Address, a.Host, a.Timeout, a.Header = "s", address, "a.example", 2*time.Second, http.Header{}
					last = send(a)
				}
				if test.want == 0 {
					is.True(last.Failure != nil && last.Failure.Sent)
					return
				}
				is.Equal(last.Failure, nil)
				is.Equal(last.Status, test.want)
			})
		}
	}
}
