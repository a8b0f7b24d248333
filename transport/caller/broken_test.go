package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/standin/broken"
	"github.com/hickorylug/hickorylug/standin/client"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/transport/backend"
)

// serveFrom starts a VM whose backend server has the given address and returns its URL.
func serveFrom(t *testing.T, address string) (url string) {
	t.Helper()
	transport := backend.NewTransport()
	s := httptest.NewServer(newHandler(t, func(ctx context.Context, r *exchange.Request) (*exchange.Response, error) {
		req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Target, r.Body)
		if err != nil {
			return nil, err
		}
		req.ContentLength = r.Length
		resp, err := transport.Send(ctx, config.Server{Address: address}, 1, req)
		if err != nil {
			return nil, outcome.Unknown(outcome.ServerFailed, "%v", err)
		}
		return &exchange.Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Length: resp.ContentLength}, nil
	}))
	t.Cleanup(s.Close)
	t.Cleanup(transport.Close)
	return s.URL
}

// send sends a request to a VM. The status is 0 if the response isn't complete.
func send(t *testing.T, method, url, upload string) (status int, body string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(upload))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Who", "7")
	return client.Exchange(r)
}

// A backend server answered a long upload at once without a length and reset the connection while the upload was being written. The caller got
// the part that had come as a complete response.
func TestResponsesResetDuringUploads(t *testing.T) {
	// tries is how often an upload is tried: which call learns of a reset depends on the moment at which it comes.
	const tries = 10
	for name, pause := range map[string]time.Duration{"at once": 0, "later": 5 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := broken.Listen("HTTP/1.1 200 OK\r\n\r\npart of it", broken.Reset, broken.WithPause(pause))
			is.NoErr(err)
			defer s.Close()
			url, upload := serveFrom(t, s.Address()), strings.Repeat("u", 8<<20)
			for range tries {
				status, body := send(t, http.MethodPut, url+"/uploads", upload)
				is.True(status < 200 || status >= 300)
				is.True(status == 0 || body != "part of it")
			}
			is.Equal(s.Requests(), int64(tries))
		})
	}
}

// A backend server in trouble sent heads that are none. A caller must not get them, what follows them, or parts of them.
func TestMalformedHeadsReachNoCaller(t *testing.T) {
	for name, text := range broken.Heads("", "body") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := broken.Listen(text, broken.EndAndRead)
			is.NoErr(err)
			defer s.Close()
			status, body := send(t, http.MethodPut, serveFrom(t, s.Address())+"/uploads", "")
			is.Equal(status, http.StatusBadGateway) // It may have run.
			is.True(!strings.Contains(body, "body"))
			is.Equal(s.Requests(), int64(1))
		})
	}
}
