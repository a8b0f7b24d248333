package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/transport/http1"
)

// A request that is no longer wanted must not be written, also if its connection was opened for it.
func TestUnwantedRequestsAreNotWritten(t *testing.T) {
	for name, kept := range map[string]bool{"kept connection": true, "dial": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, response("1", "one"), response("2", "two"))
			wanted, leave := context.WithCancel(context.Background())
			defer leave()
			dials := 0
			c := http1.NewClient(http1.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
				if dials++; !kept {
					leave()
				}
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			}))
			if kept {
				resp, err := c.Do(context.Background(), request(s, "1"))
				_, err = read(t, resp, err)
				is.NoErr(err)
				<-s.requests
				leave()
			}
			r := request(s, "2")
			r.Wanted = wanted
			_, err := c.Do(context.Background(), r)
			is.True(errors.Is(err, http1.ErrUnwanted))
			is.True(!http1.WasSent(err))
			is.Equal(len(s.requests), 0)
			if !kept {
				// The connection answers its first request with the id 1.
				r = request(s, "1")
			}
			r.Wanted = nil
			resp, err := c.Do(context.Background(), r)
			_, err = read(t, resp, err)
			is.NoErr(err)
			is.Equal(dials, 1) // The connection was kept.
		})
	}
}

// Dials that ended with their callers said nothing of a silent server, so that nothing noticed its silence.
func TestDialsOutliveTheirCallers(t *testing.T) {
	is := is.New(t)
	wanted, leave := context.WithCancel(context.Background())
	defer leave()
	observed := 0
	c := http1.NewClient(http1.WithDialTimeout(20*time.Millisecond), http1.WithDial(func(ctx context.Context, _ string) (net.Conn, error) {
		leave()
		<-ctx.Done()
		return nil, ctx.Err()
	}), http1.WithOnDial(func(string, error) { observed++ }))
	_, err := c.Do(context.Background(), http1.Request{Address: "127.0.0.1:1", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Wanted: wanted})
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.True(!http1.WasSent(err))
	is.Equal(observed, 1)
}

// A request that may be repeated must end with its caller once it was written.
func TestUnwantedRequestsEndIfTheyMayBeRepeated(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	wanted, leave := context.WithCancel(context.Background())
	defer leave()
	ended := make(chan error, 1)
	go func() {
		socket, err := l.Accept()
		if err != nil {
			return
		}
		defer socket.Close()
		in := bufio.NewReader(socket)
		_, _ = http.ReadRequest(in)
		leave()
		_, err = in.ReadByte()
		ended <- err
	}()
	_, err = http1.NewClient().Do(context.Background(), http1.Request{
		Address: l.Addr().String(), Method: http.MethodGet, Target: "/a", Host: "h", Header: http.Header{}, Wanted: wanted, IfUnwanted: http1.EndUnwanted,
	})
	is.True(http1.WasSent(err))
	is.True(<-ended != nil)
}

// A connection was opened for a request that nobody wanted any more.
func TestUnwantedRequestsOpenNoConnections(t *testing.T) {
	is := is.New(t)
	wanted, leave := context.WithCancel(context.Background())
	leave()
	c := http1.NewClient()
	_, err := c.Do(context.Background(), http1.Request{Address: "127.0.0.1:1", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Wanted: wanted})
	is.True(errors.Is(err, http1.ErrUnwanted))
	is.Equal(c.OpenedConnections(), int64(0))
}

// A request that was sent must not be cut off when it is no longer wanted: the other side learns of it and still answers.
func TestOtherSideLearnsThatARequestIsUnwanted(t *testing.T) {
	for name, tells := range map[string]bool{"it is told": true, "it isn't": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			wanted, leave := context.WithCancel(context.Background())
			defer leave()
			told := make(chan bool, 1)
			handle := func(socket net.Conn) {
				defer socket.Close()
				for in := bufio.NewReader(socket); ; {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					if wanted.Err() == nil {
						leave()
						if tells {
							_, err := in.ReadByte()
							told <- errors.Is(err, io.EOF)
						}
					}
					_, _ = io.WriteString(socket, response("1", "one"))
				}
			}
			go func() {
				for {
					socket, err := l.Accept()
					if err != nil {
						return
					}
					go handle(socket)
				}
			}()
			c := http1.NewClient()
			r := http1.Request{Address: l.Addr().String(), Method: http.MethodGet, Target: "/a", Host: "h", Header: http.Header{}, Wanted: wanted, IfUnwanted: map[bool]http1.Unwanted{true: http1.TellUnwanted}[tells]}
			resp, err := c.Do(context.Background(), r)
			text, err := read(t, resp, err)
			is.NoErr(err)
			is.Equal(text, "one")
			if tells {
				is.True(<-told)
			}
			r.Wanted = nil
			resp, err = c.Do(context.Background(), r)
			_, err = read(t, resp, err)
			is.NoErr(err)
			is.Equal(c.OpenedConnections(), map[bool]int64{true: 2, false: 1}[tells]) // A connection whose writing side is closed isn't used again.
		})
	}
}
