package caller_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/transport/backend"
)

// A response that ends early, also within its head, must not reach the caller as a complete one, although its head is passed on before.
func TestResponsesCutAtAnyByte(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		text string
		// complete is the number of bytes from which the response is complete; 0 means all of them.
		complete int
	}{
		"with a length":           {text: head + "Content-Length: 11\r\n\r\nhello world"},
		"in chunks":               {text: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"},
		"ended by the connection": {text: head + "X-A: 1\r\n\r\nhello world", complete: len(head) + 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var cut atomic.Int64
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.WriteString(c, test.text[:cut.Load()])
					}
					_ = c.Close()
				}
			}()
			transport := backend.NewTransport()
			handler := newHandler(t, func(ctx context.Context, r *exchange.Request) (*exchange.Response, error) {
				req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+l.Addr().String()+r.Target, nil)
				if err != nil {
					return nil, err
				}
				resp, err := transport.Send(ctx, config.Server{Address: l.Addr().String()}, 1, req)
				if err != nil {
					return nil, outcome.Unknown(outcome.ServerFailed, "%v", err)
				}
				return &exchange.Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Length: resp.ContentLength}, nil
			})
			s := httptest.NewServer(handler)
			defer s.Close()
			request := func() (status int, body string) {
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL+"/plans", nil)
				is.NoErr(err)
				r.Header.Set("Who", "7")
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					return 0, ""
				}
				defer resp.Body.Close()
				data, err := io.ReadAll(resp.Body)
				if err != nil {
					return 0, ""
				}
				return resp.StatusCode, string(data)
			}
			complete := test.complete
			if complete == 0 {
				complete = len(test.text)
			}
			for n := range complete {
				cut.Store(int64(n))
				if status, body := request(); status >= 200 && status < 300 {
					t.Errorf("cut after %d of %d bytes, %q: status %d, body %q", n, len(test.text), test.text[max(0, n-8):n], status, body)
				}
			}
			cut.Store(int64(len(test.text)))
			status, body := request()
			is.Equal(status, http.StatusOK)
			is.Equal(body, "hello world")
		})
	}
}
