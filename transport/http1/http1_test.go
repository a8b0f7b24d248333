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

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/transport/http1"
)

// peer is a backend server whose bytes a test decides.
type peer struct {
	listener net.Listener
	// requests receives what was read before each answer.
	requests chan *http.Request
	// ended receives the error with which each connection ended.
	ended chan error
}

// serve answers each request of a connection with the next text; after the last one it reads on.
func serve(t *testing.T, answers ...string) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{listener: l, requests: make(chan *http.Request, 16), ended: make(chan error, 16)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.converse(c, answers)
		}
	}()
	return p
}

func (p *peer) converse(c net.Conn, answers []string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for _, answer := range answers {
		request, err := http.ReadRequest(r)
		if err != nil {
			p.ended <- err
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		p.requests <- request
		if answer == closeHere {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			p.ended <- err
			return
		}
		if strings.HasSuffix(answer, endsHere) {
			return
		}
	}
	_, err := http.ReadRequest(r)
	p.ended <- err
}

const (
	// closeHere ends the connection without an answer.
	closeHere = ""
	// endsHere is the end of a body that is delimited by the end of its connection.
	endsHere = "the end"
)

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0' + n)) }

func request(p *peer, id string) http1.Request {
	return http1.Request{
		Address: p.listener.Addr().String(), Method: http.MethodGet, Target: "/a", Host: "h", Header: http.Header{"X-Id": {id}},
		Matches: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
}

func read(t *testing.T, a *http1.Response, err error) (body string, failed error) {
	t.Helper()
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	data, err := io.ReadAll(a.Body)
	return string(data), err
}

func TestAnswers(t *testing.T) {
	tests := map[string]struct {
		answers []string
		want    []string
		opened  int64
	}{
		"a connection is used again":                  {answers: []string{answer("1", "one"), answer("2", "two")}, want: []string{"one", "two"}, opened: 1},
		"an answer of another request is skipped":     {answers: []string{answer("0", "none") + answer("1", "one")}, want: []string{"one"}, opened: 1},
		"bytes after an answer end the connection":    {answers: []string{answer("1", "one") + "junk\r\n\r\n"}, want: []string{"one", "none"}, opened: 2},
		"a body may end with its connection":          {answers: []string{"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n" + endsHere}, want: []string{endsHere}, opened: 1},
		"informational answers are passed over":       {answers: []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + answer("1", "one")}, want: []string{"one"}, opened: 1},
		"a server that closes is not used again":      {answers: []string{"HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\nContent-Length: 3\r\n\r\none"}, want: []string{"one"}, opened: 1},
		"a server without idle time isn't used again": {answers: []string{"HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=1\r\nContent-Length: 3\r\n\r\none"}, want: []string{"one"}, opened: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := serve(t, test.answers...)
			c := http1.NewClient()
			for i, want := range test.want {
				if want == "none" {
					// The first connection was given up, so this one begins with the first answer, which isn't for this request.
					_, err := c.Do(context.Background(), request(p, "2"))
					is.True(err != nil)
					continue
				}
				a, err := c.Do(context.Background(), request(p, itoa(i+1)))
				body, err := read(t, a, err)
				is.NoErr(err)
				is.Equal(body, want)
			}
			is.Equal(c.OpenedConnections(), test.opened)
		})
	}
}

func TestFailures(t *testing.T) {
	tests := map[string]struct {
		answers []string
		sent    bool
	}{
		"no answer":        {answers: []string{closeHere}, sent: true},
		"bytes of no HTTP": {answers: []string{"hello\r\n\r\n"}, sent: true},
		"a body cut short": {answers: []string{"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 30\r\n\r\n" + endsHere}, sent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := serve(t, test.answers...)
			a, err := http1.NewClient().Do(context.Background(), request(p, "1"))
			sent := http1.WasSent(err)
			if err == nil {
				_, err = read(t, a, err)
				sent = true
			}
			is.True(err != nil)
			is.Equal(sent, test.sent)
			is.Equal(len(p.requests), 1) // The request is never repeated by the client itself.
		})
	}
}

func TestRefusedConnectionWasNotSent(t *testing.T) {
	is := is.New(t)
	p := serve(t)
	p.listener.Close()
	_, err := http1.NewClient().Do(context.Background(), request(p, "1"))
	is.True(errors.Is(err, http1.ErrRefused))
	is.True(!http1.WasSent(err))
}

func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	p := serve(t, answer("1", "one"))
	c := http1.NewClient()
	r := request(p, "1")
	r.MaxConnections = 1
	a, err := c.Do(context.Background(), r)
	is.NoErr(err)
	_, err = c.Do(context.Background(), r)
	is.True(errors.Is(err, http1.ErrNoConnection))
	_, err = read(t, a, nil)
	is.NoErr(err)
}

// A request that is given up must not arrive later, so its connection is reset rather than closed.
func TestGivenUpRequestResetsItsConnection(t *testing.T) {
	is := is.New(t)
	p := serve(t, answer("0", "no"))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := http1.NewClient().Do(ctx, request(p, "1"))
		done <- err
	}()
	<-p.requests
	cancel()
	is.True(http1.WasSent(<-done))
	is.True(errors.Is(<-p.ended, syscall.ECONNRESET))
}
