package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/transport/http1"
)

// What follows a malformed head on a connection must not become the response to the next request.
func TestMalformedHeadsEndConnections(t *testing.T) {
	const second = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"
	tests := map[string]string{
		"status 000":                "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n",
		"status 000 without length": "HTTP/1.1 000 Trouble\r\n\r\n",
		"status 099 with a body":    "HTTP/1.1 099 Trouble\r\nContent-Length: 4\r\n\r\nbody",
		"blank in a name":           "HTTP/1.1 200 OK\r\nX Name: a\r\nContent-Length: 0\r\n\r\n",
		"informational head":        "HTTP/1.1 103 Early Hints\r\nX Name: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	}
	for name, head := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go func() {
				for text := head + second; ; text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfresh" {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						reader := bufio.NewReader(c)
						if _, err := http.ReadRequest(reader); err == nil {
							_, _ = io.WriteString(c, text)
							_, _ = io.Copy(io.Discard, reader)
						}
					}()
				}
			}()
			transport := http1.NewTransport(&http.Transport{})
			defer transport.CloseIdleConnections()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			get := func() (body string, err error) {
				r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Addr().String(), nil)
				is.NoErr(err)
				return roundTrip(transport, r, 0)
			}
			_, err = get()
			is.True(err != nil)
			is.NoErr(ctx.Err())
			body, err := get()
			is.NoErr(err)
			is.Equal(body, "fresh")
		})
	}
}
