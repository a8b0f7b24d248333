package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/hickorylug/hickorylug/transport/http1"
)

// fakeServer is a backend server that sends bytes given by the test.
type fakeServer struct {
	listener net.Listener
	// requests receives each request that was read.
	requests chan *http.Request
	// connectionErrors receives the error that ended each connection.
	connectionErrors chan error
}

// serve starts a server that answers the requests of each connection with the given responses, in order. After the last
// response it reads until an error.
func serve(t *testing.T, responses ...string) *fakeServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeServer{listener: l, requests: make(chan *http.Request, 16), connectionErrors: make(chan error, 16)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveConnection(c, responses)
		}
	}()
	return s
}

func (s *fakeServer) serveConnection(c net.Conn, responses []string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for _, text := range responses {
		request, err := http.ReadRequest(r)
		if err != nil {
			s.connectionErrors <- err
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.requests <- request
		if text == closeWithoutResponse {
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			s.connectionErrors <- err
			return
		}
		if strings.HasSuffix(text, bodyBeforeClose) {
			return
		}
	}
	_, err := http.ReadRequest(r)
	s.connectionErrors <- err
}

const (
	// closeWithoutResponse makes the server close the connection without a response.
	closeWithoutResponse = ""
	// bodyBeforeClose ends a response after which the server closes the connection.
	bodyBeforeClose = "the end"
)

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0' + n)) }

func request(s *fakeServer, id string) http1.Request {
	return http1.Request{
		Address: s.listener.Addr().String(), Method: http.MethodGet, Target: "/a", Host: "h", Header: http.Header{"X-Id": {id}},
		Match: match(id),
	}
}

// match returns the function that recognizes the responses to the request with the given id.
func match(id string) func(int, http.Header) http1.Match {
	return func(_ int, h http.Header) http1.Match {
		switch h.Get("X-Id") {
		case id:
			return http1.Own
		case "":
			return http1.Unidentified
		default:
			return http1.Foreign
		}
	}
}

func read(t *testing.T, resp *http1.Response, err error) (body string, readErr error) {
	t.Helper()
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

func TestResponses(t *testing.T) {
	tests := map[string]struct {
		responses []string
		want      []string
		opened    int64
	}{
		"connection is reused":                                       {responses: []string{response("1", "one"), response("2", "two")}, want: []string{"one", "two"}, opened: 1},
		"response to another request is skipped":                     {responses: []string{response("0", "none") + response("1", "one")}, want: []string{"one"}, opened: 1},
		"surplus bytes after a response end the connection":          {responses: []string{response("1", "one") + "junk\r\n\r\n"}, want: []string{"one", "none"}, opened: 2},
		"body delimited by the end of the connection":                {responses: []string{"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n" + bodyBeforeClose}, want: []string{bodyBeforeClose}, opened: 1},
		"informational response is skipped":                          {responses: []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + response("1", "one")}, want: []string{"one"}, opened: 1},
		"connection is not reused after Connection: close":           {responses: []string{"HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\nContent-Length: 3\r\n\r\none"}, want: []string{"one"}, opened: 1},
		"connection is not reused after a Keep-Alive timeout of 1 s": {responses: []string{"HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=1\r\nContent-Length: 3\r\n\r\none"}, want: []string{"one"}, opened: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, test.responses...)
			c := http1.NewClient()
			for i, want := range test.want {
				if want == "none" {
					// The first connection was closed, so this one starts over with the first response, which is for another request.
					_, err := c.Do(context.Background(), request(s, "2"))
					is.True(err != nil)
					continue
				}
				resp, err := c.Do(context.Background(), request(s, itoa(i+1)))
				body, err := read(t, resp, err)
				is.NoErr(err)
				is.Equal(body, want)
			}
			is.Equal(c.OpenedConnections(), test.opened)
		})
	}
}

func TestFailures(t *testing.T) {
	tests := map[string]struct {
		responses []string
		sent      bool
	}{
		"no response":    {responses: []string{closeWithoutResponse}, sent: true},
		"invalid HTTP":   {responses: []string{"hello\r\n\r\n"}, sent: true},
		"no id":          {responses: []string{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"}, sent: true},
		"truncated body": {responses: []string{"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 30\r\n\r\n" + bodyBeforeClose}, sent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, test.responses...)
			resp, err := http1.NewClient().Do(context.Background(), request(s, "1"))
			sent := http1.WasSent(err)
			if err == nil {
				_, err = read(t, resp, err)
				sent = true
			}
			is.True(err != nil)
			is.Equal(sent, test.sent)
			is.Equal(len(s.requests), 1) // The client must not retry the request.
		})
	}
}

func TestRefusedConnectionWasNotSent(t *testing.T) {
	is := is.New(t)
	s := serve(t)
	s.listener.Close()
	_, err := http1.NewClient().Do(context.Background(), request(s, "1"))
	is.True(errors.Is(err, http1.ErrRefused))
	is.True(!http1.WasSent(err))
}

func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	s := serve(t, response("1", "one"))
	c := http1.NewClient()
	r := request(s, "1")
	r.MaxConnections = 1
	resp, err := c.Do(context.Background(), r)
	is.NoErr(err)
	_, err = c.Do(context.Background(), r)
	is.True(errors.Is(err, http1.ErrNoConnection))
	_, err = read(t, resp, nil)
	is.NoErr(err)
}

// refusal is a response that says that the backend server has not run the request with an id.
func refusal(id string) string {
	return "HTTP/1.1 503 Busy\r\nX-Id: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

// A refusal that is written once more on a kept connection must not be taken for the response to a later attempt.
func TestRefusalsWrittenAgain(t *testing.T) {
	const unidentified = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	tests := map[string]struct {
		// responses are those of each connection, and ids those of the requests, which are sent one after the other.
		responses []string
		ids       []string
		// want holds the statuses, 0 for a request that may have run.
		want   []int
		opened int64
	}{
		"before another request's response": {responses: []string{refusal("1"), refusal("1") + response("2", "two")}, ids: []string{"1", "2"}, want: []int{503, 200}, opened: 1},
		"before the response to the same request": {
			responses: []string{refusal("1"), refusal("1") + response("1", "one")}, ids: []string{"1", "1"}, want: []int{503, 503}, opened: 2,
		},
		"the same request after another one": {
			responses: []string{refusal("1"), response("2", "two"), refusal("1") + response("1", "one")}, ids: []string{"1", "2", "1"}, want: []int{503, 200, 503}, opened: 2,
		},
		"without an id": {responses: []string{refusal("1"), unidentified + response("2", "two")}, ids: []string{"1", "2"}, want: []int{503, 0}, opened: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, test.responses...)
			c := http1.NewClient()
			for i, id := range test.ids {
				r := request(s, id)
				r.ID = id
				resp, err := c.Do(context.Background(), r)
				if test.want[i] == 0 {
					is.True(http1.WasSent(err))
					continue
				}
				is.Equal(resp.Status, test.want[i])
				_, err = read(t, resp, err)
				is.NoErr(err)
			}
			is.Equal(c.OpenedConnections(), test.opened)
		})
	}
}

// Idle connections that a request can't use must make room for a new one, also if callers use the same id for all requests.
func TestIdleConnectionsMakeRoomAtTheLimit(t *testing.T) {
	tests := map[string]func(r *http1.Request){
		"the same id":      func(r *http1.Request) { r.ID = "1" },
		"a new connection": func(r *http1.Request) { r.NewConnection = true },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, response("1", "one"))
			c := http1.NewClient()
			r := request(s, "1")
			r.MaxConnections = 2
			change(&r)
			for range 6 {
				resp, err := c.Do(context.Background(), r)
				body, err := read(t, resp, err)
				is.NoErr(err)
				is.Equal(body, "one")
			}
			is.Equal(c.OpenedConnections(), int64(6))
		})
	}
}

// A canceled request must not reach the backend server later: after a plain close the kernel would retransmit its bytes.
// So the connection must be reset.
func TestGivenUpRequestResetsItsConnection(t *testing.T) {
	is := is.New(t)
	s := serve(t, response("0", "no"))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := http1.NewClient().Do(ctx, request(s, "1"))
		done <- err
	}()
	<-s.requests
	cancel()
	is.True(http1.WasSent(<-done))
	is.True(errors.Is(<-s.connectionErrors, syscall.ECONNRESET))
}

// The header of a late response to another request says as much of the backend server as any other one, so that it must be reported as well.
func TestHeadsOfAllResponses(t *testing.T) {
	tests := map[string]struct {
		response string
		want     []int
		failed   bool
	}{
		"its own response":           {response: response("1", "one"), want: []int{200}},
		"after a late response":      {response: late + response("1", "one"), want: []int{503, 200}},
		"only a late response":       {response: late + bodyBeforeClose, want: []int{503}, failed: true},
		"a response without an id":   {response: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", want: []int{503}, failed: true},
		"an informational response":  {response: "HTTP/1.1 103 Early Hints\r\n\r\n" + response("1", "one"), want: []int{200}},
		"its own response truncated": {response: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 30\r\n\r\n" + bodyBeforeClose, want: []int{200}, failed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := request(serve(t, test.response), "1")
			var got []int
			r.OnHead = func(status int, _ http.Header) { got = append(got, status) }
			resp, err := http1.NewClient().Do(context.Background(), r)
			if err == nil {
				_, err = read(t, resp, err)
			}
			is.Equal(err != nil, test.failed)
			is.Equal(got, test.want)
		})
	}
}

// late is a response to an earlier request.
const late = "HTTP/1.1 503 Busy\r\nX-Id: 0\r\nContent-Length: 0\r\n\r\n"

// A panic while a response is read must not keep its connection: at the limit of connections no further request could be sent.
func TestPanicsReleaseConnections(t *testing.T) {
	is := is.New(t)
	s := serve(t, response("1", "one"))
	c := http1.NewClient()
	r := request(s, "1")
	r.MaxConnections = 1
	faulty := r
	faulty.OnHead = func(int, http.Header) { panic("a fault") }
	func() {
		defer func() { is.True(recover() != nil) }()
		_, _ = c.Do(context.Background(), faulty)
	}()
	resp, err := c.Do(context.Background(), r)
	body, err := read(t, resp, err)
	is.NoErr(err)
	is.Equal(body, "one")
}

// A request that is held back right before it is written must never be sent, and its connection must serve the next one.
func TestRequestsHeldBackBeforeTheWrite(t *testing.T) {
	errHeld := errors.New("held back")
	tests := map[string]struct {
		// before is the number of requests that the connection has carried.
		before int
	}{
		"on a new connection":  {},
		"on a kept connection": {before: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, response("1", "one"), response("2", "two"))
			c := http1.NewClient()
			send := func(id string) {
				resp, err := c.Do(context.Background(), request(s, id))
				_, err = read(t, resp, err)
				is.NoErr(err)
			}
			for n := range test.before {
				send(itoa(n + 1))
			}
			held := request(s, "9")
			held.MaxConnections = 1
			held.BeforeWrite = func(*http1.Request, time.Duration) error { return errHeld }
			_, err := c.Do(context.Background(), held)
			is.True(errors.Is(err, errHeld))
			is.True(!http1.WasSent(err))
			send(itoa(test.before + 1))
			is.Equal(c.OpenedConnections(), int64(1))
			is.Equal(len(s.requests), test.before+1)
		})
	}
}

// Grants must get the connections that may be old enough for them, also while customers' requests take others.
func TestIdleConnectionsByRequest(t *testing.T) {
	tests := map[string]struct {
		change func(r *http1.Request)
		// want is the connection that is used, by the order in which they were opened. The last one is unused.
		want int
	}{
		"the most recently used one": {change: func(*http1.Request) {}, want: 1},
		"the oldest one":             {change: func(r *http1.Request) { r.OldestConnection = true }, want: 0},
		"an unused one":              {change: func(r *http1.Request) { r.UnusedConnection, r.OldestConnection = true, true }, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, response("1", "one"))
			var dialedAt []time.Time
			c := http1.NewClient(http1.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
				dialedAt = append(dialedAt, time.Now())
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			}))
			var responses []*http1.Response
			for range 2 {
				resp, err := c.Do(context.Background(), request(s, "1"))
				is.NoErr(err)
				responses = append(responses, resp)
			}
			for _, resp := range responses {
				_, err := read(t, resp, nil)
				is.NoErr(err)
			}
			errHeld := errors.New("held back")
			var openedAt time.Time
			held := request(s, "2")
			held.BeforeWrite = func(_ *http1.Request, age time.Duration) error { openedAt = time.Now().Add(-age); return errHeld }
			unused := held
			unused.NewConnection = true
			_, err := c.Do(context.Background(), unused)
			is.True(errors.Is(err, errHeld))
			test.change(&held)
			_, err = c.Do(context.Background(), held)
			is.True(errors.Is(err, errHeld))
			is.Equal(len(dialedAt), 3)
			got := -1
			for _, at := range dialedAt {
				if !at.After(openedAt) {
					got++
				}
			}
			is.Equal(got, test.want)
		})
	}
}

// The time at which a write has returned must be known before the response is read.
func TestAfterWriteIsCalledBetweenWriteAndResponse(t *testing.T) {
	is := is.New(t)
	s := serve(t, response("1", "one"))
	c := http1.NewClient()
	var calls []string
	attempt := request(s, "1")
	attempt.BeforeWrite = func(_ *http1.Request, age time.Duration) error {
		is.True(age > 0)
		calls = append(calls, "before")
		return nil
	}
	attempt.AfterWrite = func() { calls = append(calls, "after") }
	attempt.OnHead = func(int, http.Header) { calls = append(calls, "head") }
	resp, err := c.Do(context.Background(), attempt)
	_, err = read(t, resp, err)
	is.NoErr(err)
	is.Equal(calls, []string{"before", "after", "head"})
}

// getUserTimeout returns the TCP_USER_TIMEOUT of a connection.
func getUserTimeout(t *testing.T, c net.Conn) (d time.Duration) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	ms := 0
	controlErr := raw.Control(func(fd uintptr) { ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) })
	if err = errors.CombineErrors(controlErr, err); err != nil {
		t.Fatal(err)
	}
	return time.Duration(ms) * time.Millisecond
}

// The kernel must not send the bytes of a request again for longer than it asks for, and a later request on the connection must not end early.
func TestUserTimeoutOfOneRequest(t *testing.T) {
	const standard, short = 2 * time.Second, 200 * time.Millisecond
	tests := map[string]struct {
		timeout time.Duration
		held    bool
		// during is the setting right before the request is written, and until its response has come.
		during time.Duration
	}{
		"none":                       {during: standard},
		"its own":                    {timeout: short, during: short},
		"its own, but not sent":      {timeout: short, held: true, during: short},
		"none, but it isn't sent":    {held: true, during: standard},
		"the same as that of others": {timeout: standard, during: standard},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, response("1", "one"), response("1", "one"), response("1", "one"))
			var socket net.Conn
			c := http1.NewClient(http1.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
				d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
					return raw.Control(func(fd uintptr) {
						_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(standard.Milliseconds()))
					})
				}}
				var err error
				socket, err = d.DialContext(ctx, "tcp", address)
				return socket, err
			}))
			for _, r := range []struct {
				timeout, during time.Duration
				held            bool
			}{{0, standard, false}, {test.timeout, test.during, test.held}, {0, standard, false}} {
				var got []time.Duration
				attempt := request(s, "1")
				attempt.UserTimeout = r.timeout
				attempt.BeforeWrite = func(*http1.Request, time.Duration) error {
					got = append(got, getUserTimeout(t, socket))
					if r.held {
						return errors.New("held back")
					}
					return nil
				}
				attempt.OnHead = func(int, http.Header) { got = append(got, getUserTimeout(t, socket)) }
				resp, err := c.Do(context.Background(), attempt)
				_, err = read(t, resp, err)
				is.Equal(err != nil, r.held)
				for _, d := range got {
					is.Equal(d, r.during)
				}
				is.Equal(len(got) == 1, r.held)
				is.Equal(getUserTimeout(t, socket), standard)
			}
			is.Equal(c.OpenedConnections(), int64(1))
		})
	}
}
