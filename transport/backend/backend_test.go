package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/group"
	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/transport/backend"
)

// A refusal that a backend server writes once more on a kept connection must not be taken for the response to the next request.
func TestRefusalWrittenAgain(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, refusal := bufio.NewReader(c), ""
		for n := range 2 {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			attempt := "\r\nHickorylug-Attempt: " + req.Header.Get("Hickorylug-Attempt") + "\r\nContent-Length: 0\r\n\r\n"
			if n == 0 {
				refusal = "HTTP/1.1 503 Busy\r\nHickorylug-Not-Run: overload" + attempt
				_, _ = io.WriteString(c, refusal)
			} else {
				_, _ = io.WriteString(c, refusal+"HTTP/1.1 200 OK"+attempt)
			}
		}
		_, _ = io.Copy(io.Discard, r)
	}()
	transport := backend.NewTransport()
	send := func() (*http.Response, error) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String(), nil)
		is.NoErr(err)
		return transport.Send(t.Context(), config.Server{Address: l.Addr().String()}, 1, r)
	}
	resp, err := send()
	is.NoErr(err)
	is.Equal(resp.Header.Get("Hickorylug-Not-Run"), "overload")
	is.NoErr(resp.Body.Close())
	resp, err = send()
	if err == nil {
		resp.Body.Close()
		is.Equal(resp.Header.Get("Hickorylug-Not-Run"), "")
	}
	is.True(!errors.Is(err, group.ErrNotSent))
}

// flakyServer answers the first request of each connection and closes the connection after reading the second one.
type flakyServer struct {
	listener net.Listener
	requests atomic.Int32
}

func newFlakyServer(t *testing.T) *flakyServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &flakyServer{listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c)
		}
	}()
	return f
}

func (f *flakyServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		f.requests.Add(1)
		if n == 1 {
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

func newPost(t *testing.T, address, body string) *http.Request {
	t.Helper()
	r := &exchange.Request{Body: io.NopCloser(strings.NewReader(body)), Length: int64(len(body))}
	p, err := exchange.NewPayload(r)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/", p.Reader())
	if err != nil {
		t.Fatal(err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Idempotency-Key", "key-1")
	return req
}

// TestHTTPTransportDoesNotRetry guards against a request that runs twice: net/http retries a request with an
// Idempotency-Key on a new connection after a used one broke, but retries are up to the router.
func TestHTTPTransportDoesNotRetry(t *testing.T) {
	for name, body := range map[string]string{"with a body": "data", "without a body": ""} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := newFlakyServer(t)
			address := f.listener.Addr().String()
			server := config.Server{Address: address}
			transport := backend.NewTransport()
			resp, err := transport.Send(t.Context(), server, 4, newPost(t, address, body))
			i.NoErr(err)
			_, err = io.Copy(io.Discard, resp.Body)
			i.NoErr(err)
			resp.Body.Close()
			// The reused connection breaks under the second request; net/http by default retries it, since it has an Idempotency-Key.
			resp, err = transport.Send(t.Context(), server, 4, newPost(t, address, body))
			if err == nil {
				resp.Body.Close()
			}
			i.True(err != nil)
			i.True(!errors.Is(err, group.ErrNotSent))
			i.Equal(f.requests.Load(), int32(2))
		})
	}
}

// TestBrokenConnectionIsNotReportedAsNotSent guards against a request that counts as not sent although a backend server
// received it: its connection breaks, and net/http's retry on a new connection fails with a dial error.
func TestBrokenConnectionIsNotReportedAsNotSent(t *testing.T) {
	i := is.New(t)
	f := newFlakyServer(t)
	address := f.listener.Addr().String()
	server := config.Server{Address: address}
	transport := backend.NewTransport()
	get := func() *http.Request {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", http.NoBody)
		i.NoErr(err)
		return req
	}
	resp, err := transport.Send(t.Context(), server, 4, get())
	i.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	i.NoErr(err)
	resp.Body.Close()
	f.listener.Close() // the server crashes during the second request, and net/http's retry can't connect
	resp, err = transport.Send(t.Context(), server, 4, get())
	if err == nil {
		resp.Body.Close()
	}
	i.True(err != nil)
	i.True(!errors.Is(err, group.ErrNotSent))
}

func TestRefusedConnectionIsReportedAsNotSent(t *testing.T) {
	i := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	address := l.Addr().String()
	l.Close()
	resp, err := backend.NewTransport().Send(t.Context(), config.Server{Address: address}, 4, newPost(t, address, "x"))
	if err == nil {
		resp.Body.Close()
	}
	i.True(errors.Is(err, group.ErrNotSent))
}
