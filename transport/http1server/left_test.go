package http1server_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/transport/http1server"
)

// A request was handled as if its caller waited, since the goroutine that reads the connection had not run yet.
func TestCallersThatHaveLeftAreNoticedAtOnce(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nhi"
	tests := map[string]struct {
		leave func(c *net.TCPConn) error
		want  bool
	}{
		"the caller waits":                       {leave: func(*net.TCPConn) error { return nil }},
		"it closes its connection":               {leave: (*net.TCPConn).Close, want: true},
		"it closes its sending side only":        {leave: (*net.TCPConn).CloseWrite, want: true},
		"it resets its connection":               {leave: func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() }, want: true},
		"it has sent a part of the next request": {leave: func(c *net.TCPConn) error { _, err := io.WriteString(c, "POST"); return err }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			handling, left, got := make(chan struct{}), make(chan struct{}), make(chan bool, 1)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			s := http1server.New(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				close(handling)
				<-left
				// Loopback delivers a FIN or reset before the call that sends it returns.
				got <- http1server.HasLeft(r.Context())
			}))
			ended := make(chan error, 1)
			go func() { ended <- s.Serve(l) }()
			defer func() { is.NoErr(s.Close()); is.True(errors.Is(<-ended, http.ErrServerClosed)) }()
			c, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer c.Close()
			_, err = io.WriteString(c, request)
			is.NoErr(err)
			<-handling
			is.NoErr(test.leave(c.(*net.TCPConn)))
			close(left)
			is.Equal(<-got, test.want)
		})
	}
}

// A caller that closes only its sending side still reads, so it must get its answer.
func TestHalfClosedConnectionsGetTheirResponse(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := http1server.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		fmt.Fprint(w, "an answer")
	}))
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	defer func() { is.NoErr(s.Close()); is.True(errors.Is(<-ended, http.ErrServerClosed)) }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(time.Minute)))
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
	is.NoErr(err)
	is.NoErr(c.(*net.TCPConn).CloseWrite())
	data, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(data), "HTTP/1.1 200 "))
	is.True(strings.HasSuffix(string(data), "an answer"))
}
