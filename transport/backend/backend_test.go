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

// flaky answers the first request of each connection and hangs up after reading the second one.
type flaky struct {
	listener net.Listener
	requests atomic.Int32
}

func newFlaky(t *testing.T) *flaky {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &flaky{listener: l}
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

func (f *flaky) serve(c net.Conn) {
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

func post(t *testing.T, address, body string) *http.Request {
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

func TestLibraryNeverRepeatsByItself(t *testing.T) {
	for name, body := range map[string]string{"with a body": "data", "without a body": ""} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := newFlaky(t)
			address := f.listener.Addr().String()
			server := config.Server{Address: address}
			link := backend.NewTransport()
			resp, err := link.Send(t.Context(), server, 4, post(t, address, body))
			i.NoErr(err)
			_, err = io.Copy(io.Discard, resp.Body)
			i.NoErr(err)
			resp.Body.Close()
			// The second request breaks on a used connection; the library would send it again, since it has an Idempotency-Key.
			resp, err = link.Send(t.Context(), server, 4, post(t, address, body))
			if err == nil {
				resp.Body.Close()
			}
			i.True(err != nil)
			i.True(!errors.Is(err, group.ErrNotSent))
			i.Equal(f.requests.Load(), int32(2))
		})
	}
}

func TestBrokenConnectionIsNotTakenForNotSent(t *testing.T) {
	i := is.New(t)
	f := newFlaky(t)
	address := f.listener.Addr().String()
	server := config.Server{Address: address}
	link := backend.NewTransport()
	get := func() *http.Request {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", http.NoBody)
		i.NoErr(err)
		return req
	}
	resp, err := link.Send(t.Context(), server, 4, get())
	i.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	i.NoErr(err)
	resp.Body.Close()
	f.listener.Close() // the server dies while it has the second request; the library's second try can't connect
	resp, err = link.Send(t.Context(), server, 4, get())
	if err == nil {
		resp.Body.Close()
	}
	i.True(err != nil)
	i.True(!errors.Is(err, group.ErrNotSent))
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	i := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	address := l.Addr().String()
	l.Close()
	resp, err := backend.NewTransport().Send(t.Context(), config.Server{Address: address}, 4, post(t, address, "x"))
	if err == nil {
		resp.Body.Close()
	}
	i.True(errors.Is(err, group.ErrNotSent))
}
