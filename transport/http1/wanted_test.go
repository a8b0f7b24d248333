package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/transport/http1"
)

// A request that is no longer wanted must not wait for its connection, nor be written on one that is there.
func TestUnwantedRequestsAreNotWritten(t *testing.T) {
	for name, kept := range map[string]bool{"kept connection": true, "dial": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, response("1", "one"), response("2", "two"), response("3", "three"))
			wanted, leave := context.WithCancel(context.Background())
			defer leave()
			dials, observed := 0, 0
			c := http1.NewClient(http1.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
				if dials++; !kept {
					leave()
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			}), http1.WithOnDial(func(string, error) { observed++ }))
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
			is.True(err != nil)
			is.True(!http1.WasSent(err))
			is.Equal(errors.Is(err, http1.ErrUnwanted), kept)
			is.Equal(len(s.requests), 0)
			is.Equal(observed, map[bool]int{true: 1}[kept]) // A dial that was given up says nothing of the server.
			if kept {
				resp, err := c.Do(context.Background(), request(s, "2"))
				_, err = read(t, resp, err)
				is.NoErr(err)
				is.Equal(dials, 1) // The connection was kept.
			}
		})
	}
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
			r := http1.Request{Address: l.Addr().String(), Method: http.MethodGet, Target: "/a", Host: "h", Header: http.Header{}, Wanted: wanted, TellsUnwanted: tells}
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
