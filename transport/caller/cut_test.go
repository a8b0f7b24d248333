package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
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
			url := serveFrom(t, l.Addr().String())
			request := func() (status int, body string) { return send(t, http.MethodGet, url+"/plans", "") }
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
