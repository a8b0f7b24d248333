package edge

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/http1"
	"github.com/hickorylug/hickorylug/transport/relay"
)

// afterLeaving is the time after which a request whose caller has left must not reach a backend server any more.
const afterLeaving = 500 * time.Millisecond

// leavingSite is a VM with callers on loopback, one backend server, and another VM that may make its attempts.
type leavingSite struct {
	t       *testing.T
	vm      *leavingVM
	callers *httptest.Server
	// noticed is closed when the VM learns that the caller has left.
	noticed chan struct{}
	once    sync.Once
	ended   chan string
	log     *logLines
	// backend handles the requests at the backend server, and runs counts them.
	backend http.HandlerFunc
	runs    atomic.Int64
}

// logLines is a log that may be read while it is written.
type logLines struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write appends to the log.
func (l *logLines) Write(p []byte) (n int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data.Write(p)
}

// newLeavingSite starts the site. dial opens the connections of the VM that makes the attempts: the VM itself or, if relayed is set, the other one.
func newLeavingSite(t *testing.T, relayed bool, backend http.HandlerFunc, dial func(s *leavingSite, ctx context.Context, address string) (net.Conn, error)) *leavingSite {
	t.Helper()
	s := &leavingSite{t: t, vm: newLeavingVM(t), noticed: make(chan struct{}), ended: make(chan string, 8), log: &logLines{}, backend: backend}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.runs.Add(1)
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		w.Header().Set("Response-Signature", "s")
		s.backend(w, r)
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	dialing := http1.WithDial(func(ctx context.Context, address string) (net.Conn, error) { return dial(s, ctx, address) })
	s.configure(s.vm, address)
	sender := s.vm
	if relayed {
		sender = newLeavingVM(t)
		s.configure(sender, address)
		mux := http.NewServeMux()
		mux.Handle(relay.Path, sender.relayHandler)
		relays := httptest.NewServer(mux)
		t.Cleanup(relays.Close)
		s.vm.put("hickorylug/vm/b", fmt.Sprintf(`{"VM":"b","Domain":"east","Address":%q,"Incarnation":"i"}`, strings.TrimPrefix(relays.URL, "http://")))
		if !s.vm.reach.RecordProbes(0, 4) {
			t.Fatal("the VM isn't cut off")
		}
	}
	sender.backends = http1.NewClient(dialing, http1.WithDialTimeout(time.Minute), http1.WithQuota(sender.bodies))
	s.callers = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stop := context.AfterFunc(r.Context(), func() { s.once.Do(func() { close(s.noticed) }) })
		defer stop()
		s.vm.handler.ServeHTTP(w, r)
		s.ended <- r.Header.Get(platform.HeaderRequestID)
	}))
	t.Cleanup(s.callers.Close)
	return s
}

// configure gives a VM the routes /once/ and /again/ to the backend server at an address.
func (s *leavingSite) configure(v *leavingVM, address string) {
	v.Edge.log = slog.New(slog.NewTextHandler(s.log, nil))
	rule := func(name, kind string) string {
		return fmt.Sprintf(`{"Name":%q,"RouteType":%q,"TargetLatencyS":4,"Match":{"PathPrefix":"/%s/"},"Action":{"Service":"plans","TimeoutS":10,"MaxAttempts":2}}`, name, kind, name)
	}
	v.put("op/config", fmt.Sprintf(`{"Version":"00000002","Listeners":[{"Host":"a.example","Rules":[%s,%s]}],"Clusters":[{"Name":"plans","MaxConnections":100}]}`,
		rule("once", "non_idempotent"), rule("again", "idempotent")))
	v.register("s1", address, 1)
	v.register("s2", address, 1)
}

// send sends a request as a new caller, and returns its connection.
func (s *leavingSite) send(path, body string) *net.TCPConn {
	s.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(s.callers.URL, "http://"))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	if _, err := fmt.Fprintf(c, "POST /%s/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: r1\r\nDeadline-Ms: 10000\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body); err != nil {
		s.t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

// dialAfterLeaving opens a connection once the caller has left and its request may no longer reach a backend server.
func dialAfterLeaving(ctx context.Context, s *leavingSite, address string, dialing chan<- struct{}) (net.Conn, error) {
	select {
	case dialing <- struct{}{}:
	default:
	}
	select {
	case <-s.noticed:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case <-time.After(afterLeaving):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// leaveDuringDial plays a request whose caller leaves while a connection to a backend server is opened, and returns how often it was run.
func leaveDuringDial(t *testing.T, path string, relayed bool) (runs int64) {
	t.Helper()
	dialing := make(chan struct{}, 1)
	s := newLeavingSite(t, relayed, func(http.ResponseWriter, *http.Request) {}, func(s *leavingSite, ctx context.Context, address string) (net.Conn, error) {
		return dialAfterLeaving(ctx, s, address, dialing)
	})
	c := s.send(path, "body")
	<-dialing
	_ = c.Close()
	<-s.ended
	return s.runs.Load()
}

// relayedWays are the ways in which an attempt is made.
var relayedWays = map[string]bool{"directly": false, "through another VM": true}

// A request that may run at most once was written on a connection that was opened long after its caller had left.
func TestRequestsOfCallersThatLeftAreNotWritten(t *testing.T) {
	for name, relayed := range relayedWays {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(leaveDuringDial(t, "once", relayed), int64(0))
		})
	}
}

// A request that may be repeated must not be written after its caller has left.
func TestIdempotentRequestsOfCallersThatLeftAreNotWritten(t *testing.T) {
	for name, relayed := range relayedWays {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(leaveDuringDial(t, "again", relayed), int64(0))
		})
	}
}

// A backend server must not work on a request that may be repeated after its caller has left.
func TestIdempotentRequestsOfCallersThatLeftEndAtBackendServers(t *testing.T) {
	for name, relayed := range relayedWays {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reached := make(chan struct{})
			s := newLeavingSite(t, relayed, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				close(reached)
				<-r.Context().Done()
			}, func(_ *leavingSite, ctx context.Context, address string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			})
			c := s.send("again", "body")
			<-reached
			is.NoErr(c.Close())
			<-s.ended
			is.Equal(s.runs.Load(), int64(1))
		})
	}
}

// A request was passed to a further VM after its caller had left, when the first one declined it.
func TestRequestsOfCallersThatLeftAreNotPassedToFurtherVMs(t *testing.T) {
	is := is.New(t)
	v := newLeavingVM(t)
	noticed, asked, ended := make(chan struct{}), make(chan struct{}, 8), make(chan struct{})
	made := atomic.Int64{}
	for _, name := range []id.VM{"b", "c"} {
		mux, first := http.NewServeMux(), &asked
		mux.Handle(relay.Path, relay.NewHandler(v.bodies, func(ctx context.Context, _ relay.Attempt) (relay.Result, bool) {
			if made.Add(1) > 1 {
				return relay.Result{Status: http.StatusOK, Header: http.Header{}}, true
			}
			*first <- struct{}{}
			select {
			case <-noticed:
			case <-ctx.Done():
			}
			return relay.Result{}, false
		}))
		relays := httptest.NewServer(mux)
		t.Cleanup(relays.Close)
		v.put("hickorylug/vm/"+string(name), fmt.Sprintf(`{"VM":%q,"Domain":"east","Address":%q,"Incarnation":"i"}`, name, strings.TrimPrefix(relays.URL, "http://")))
	}
	s := &leavingSite{t: t, vm: v, log: &logLines{}}
	s.configure(v, "127.0.0.1:9")
	is.True(v.reach.RecordProbes(0, 4))
	s.callers = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		defer context.AfterFunc(r.Context(), func() { close(noticed) })()
		v.handler.ServeHTTP(w, r)
	}))
	t.Cleanup(s.callers.Close)
	c := s.send("once", "body")
	<-asked
	is.NoErr(c.Close())
	<-ended
	is.Equal(made.Load(), int64(1))
}

// A request that a backend server may have got must not be cut when its caller leaves: its effect could be half done.
func TestRequestsThatMayHaveRunAreNotCut(t *testing.T) {
	const long, answer = 3 << 20, "1234567890"
	tests := map[string]struct {
		body string
		// half says that the caller leaves when half of the answer is written.
		half bool
	}{
		"before the answer":                 {body: "body"},
		"in the answer":                     {body: "body", half: true},
		"in a long body, before the answer": {body: strings.Repeat("x", long)},
	}
	for name, test := range tests {
		for way, relayed := range relayedWays {
			t.Run(way+": "+name, func(t *testing.T) {
				is := is.New(t)
				reached, cut, read := make(chan struct{}), make(chan bool, 1), make(chan int, 1)
				var left <-chan struct{}
				s := newLeavingSite(t, relayed, func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("Content-Length", "10")
					first, data := 0, []byte(nil)
					var err error
					if test.half {
						first = 5
						data, err = io.ReadAll(r.Body)
						_, _ = io.WriteString(w, answer[:first])
						_ = http.NewResponseController(w).Flush()
					}
					close(reached)
					<-left
					// A cut comes soon after the caller has left, if it comes.
					time.Sleep(afterLeaving / 2)
					if !test.half {
						data, err = io.ReadAll(r.Body)
					}
					read <- len(data)
					cut <- err != nil || r.Context().Err() != nil
					_, _ = io.WriteString(w, answer[first:])
				}, func(_ *leavingSite, ctx context.Context, address string) (net.Conn, error) {
					return (&net.Dialer{}).DialContext(ctx, "tcp", address)
				})
				left = s.noticed
				c := s.send("once", test.body)
				<-reached
				is.NoErr(c.Close())
				<-s.ended
				is.Equal(<-read, len(test.body))
				is.True(!<-cut)
				is.Equal(fmt.Sprint(s.vm.metrics.requests.Get("plans.200")), "1")
				is.Equal(s.runs.Load(), int64(1))
			})
		}
	}
}

// A caller that closes only its own direction still reads, and must get a true answer.
func TestHalfClosedCallersGetTrueAnswers(t *testing.T) {
	tests := map[string]struct {
		path string
		// sent says that the backend server has the request by then. Otherwise its connection is being opened.
		sent bool
		want []int
	}{
		"not idempotent, sent":     {path: "once", sent: true, want: []int{http.StatusOK}},
		"not idempotent, not sent": {path: "once", want: []int{http.StatusOK, http.StatusServiceUnavailable}},
		"idempotent, sent":         {path: "again", sent: true, want: []int{http.StatusOK, http.StatusBadGateway}},
		"idempotent, not sent":     {path: "again", want: []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusBadGateway}},
	}
	for name, test := range tests {
		for way, relayed := range relayedWays {
			t.Run(way+": "+name, func(t *testing.T) {
				is := is.New(t)
				reached, dialing := make(chan struct{}, 1), make(chan struct{}, 1)
				s := newLeavingSite(t, relayed, nil, func(s *leavingSite, ctx context.Context, address string) (net.Conn, error) {
					if test.sent {
						return (&net.Dialer{}).DialContext(ctx, "tcp", address)
					}
					return dialAfterLeaving(ctx, s, address, dialing)
				})
				s.backend = func(http.ResponseWriter, *http.Request) {
					if test.sent {
						reached <- struct{}{}
						<-s.noticed
					}
				}
				c := s.send(test.path, "body")
				if test.sent {
					<-reached
				} else {
					<-dialing
				}
				is.NoErr(c.CloseWrite())
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				is.NoErr(err)
				defer resp.Body.Close()
				_, err = io.ReadAll(resp.Body)
				is.NoErr(err)
				<-s.ended
				is.True(slices.Contains(test.want, resp.StatusCode))
				switch resp.StatusCode {
				case http.StatusOK:
					is.Equal(s.runs.Load(), int64(1))
				case http.StatusServiceUnavailable:
					is.Equal(s.runs.Load(), int64(0)) // 503 says that it hasn't run.
				}
			})
		}
	}
}
