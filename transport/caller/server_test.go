package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/standin/slowread"
	"github.com/hickorylug/hickorylug/transport/caller"
)

// A request that was read from a kept connection just before a stop must be answered.
func TestRequestReadBeforeAStopIsAnswered(t *testing.T) {
	tests := map[string]struct {
		stop func(s *caller.Server, cancel func())
		// first says that it is the first request of its connection.
		first bool
	}{
		"connections are no longer kept": {stop: func(s *caller.Server, _ func()) { s.DisableKeepAlives() }},
		"the server stops":               {stop: func(_ *caller.Server, cancel func()) { cancel() }},
		"unused connections are closed":  {stop: func(s *caller.Server, _ func()) { s.CloseUnused() }, first: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			l := slowread.NewListener(inner)
			server := caller.NewServer(newHandler(t, respondWith(strings.NewReader(""), 0)))
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- server.Serve(ctx, l) }()
			c, err := net.Dial("tcp", inner.Addr().String())
			is.NoErr(err)
			defer c.Close()
			reader := bufio.NewReader(c)
			request := func() {
				_, err := fmt.Fprint(c, "GET /plans HTTP/1.1\r\nHost: a\r\nWho: 7\r\n\r\n")
				is.NoErr(err)
			}
			if !test.first {
				l.Release <- struct{}{}
				request()
				first, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				is.NoErr(first.Body.Close())
				<-l.Taken
				<-l.Waiting
				<-l.Waiting
			}
			request()
			<-l.Taken
			before := l.Ended()
			test.stop(server, cancel)
			for l.Ended() == before {
				time.Sleep(time.Millisecond)
			}
			l.Release <- struct{}{}
			resp, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, http.StatusOK)
			is.True(resp.Close)
			cancel()
			is.NoErr(<-done)
		})
	}
}

// stalledListener accepts connections whose writes wait for a value from release.
type stalledListener struct {
	net.Listener
	writing, release chan struct{}
}

func (l *stalledListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stalledConnection{c, l}, nil
}

type stalledConnection struct {
	net.Conn
	listener *stalledListener
}

func (c *stalledConnection) Write(p []byte) (n int, err error) {
	c.listener.writing <- struct{}{}
	<-c.listener.release
	return c.Conn.Write(p)
}

// The end of a response is written only after its handling, and must not be cut off by a stop that waits for the handling alone.
func TestConnectionsAreOpenUntilTheirLastResponseIsWritten(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &stalledListener{Listener: inner, writing: make(chan struct{}, 16), release: make(chan struct{}, 16)}
	server := caller.NewServer(newHandler(t, respondWith(strings.NewReader(""), 0)))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, l) }()
	c, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = fmt.Fprint(c, "GET /plans HTTP/1.1\r\nHost: a\r\nWho: 7\r\n\r\n")
	is.NoErr(err)
	<-l.writing
	cancel()
	ended, end := context.WithCancel(t.Context())
	end()
	is.True(errors.Is(server.AwaitClosed(ended), context.Canceled))
	l.release <- struct{}{}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.NoErr(server.AwaitClosed(t.Context()))
	is.NoErr(<-done)
}
