package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/protocol/problem"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/transport/caller"
)

const baseConfig = `{
  "FailureDomains": {"east": {}},
  "Services": {"plans": {"Keyed": true, "Servers": {"p": {"Address": "10.0.0.1:80", "FailureDomain": "east"}}}},
  "Routes": {"view": {"Service": "plans", "Methods": ["GET", "PUT"], "Path": "/plans", "Key": {"Header": "Who"}, "MaxBody": "10B", "Idempotent": true},
    "upload": {"Service": "plans", "Methods": ["PUT"], "Path": "/uploads", "Key": {"Header": "Who"}, "MaxBody": "8MiB"}}
}`

func newHandler(t *testing.T, serve exchange.Handler) *caller.Handler {
	t.Helper()
	d := directory.New("test")
	document, err := json.Marshal(config.Document{Base: json.RawMessage(baseConfig)})
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := json.Marshal(config.Accepted{Document: document})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := d.SetConfiguration(1, accepted); err != nil {
		t.Fatal(err)
	}
	return caller.NewHandler(d, serve)
}

// respondWith returns a router handler that responds with a body, a field to keep and fields that must be removed.
func respondWith(body io.Reader, length int64) exchange.Handler {
	return func(context.Context, *exchange.Request) (*exchange.Response, error) {
		return &exchange.Response{
			Status: http.StatusOK, Body: io.NopCloser(body), Length: length,
			Header: http.Header{"X-Kept": {"1"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Hickorylug-Boot": {"b"}},
		}, nil
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	tests := map[string]struct {
		method, target, body string
		header               http.Header
		status               int
		reason               outcome.Reason
	}{
		"unknown route":  {method: "GET", target: "/nothing", status: 404, reason: outcome.NoRoute},
		"wrong method":   {method: "POST", target: "/plans", status: 405, reason: outcome.WrongMethod},
		"no key":         {method: "GET", target: "/plans", status: 400, reason: outcome.NoKey},
		"body too large": {method: "PUT", target: "/plans", body: strings.Repeat("x", 11), header: http.Header{"Who": {"7"}}, status: 413, reason: outcome.BodyTooLarge},
		"bad deadline":   {method: "GET", target: "/plans", header: http.Header{"Who": {"7"}, "Hickorylug-Deadline": {"soon"}}, status: 400, reason: outcome.BadRequest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			h := newHandler(t, func(context.Context, *exchange.Request) (*exchange.Response, error) {
				return nil, errors.New("an invalid request was passed to the router")
			})
			r := httptest.NewRequest(test.method, test.target, strings.NewReader(test.body))
			for k, v := range test.header {
				r.Header[k] = v
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			var details problem.Details
			i.NoErr(json.Unmarshal(w.Body.Bytes(), &details))
			i.Equal(w.Code, test.status)
			i.Equal(details.Reason, test.reason)
			i.Equal(details.Outcome, outcome.KindNotRun)
			i.Equal(w.Header().Get("Content-Type"), problem.ContentType)
			if test.status == http.StatusMethodNotAllowed {
				i.Equal(w.Header().Get("Allow"), "GET, PUT")
			}
		})
	}
}

func TestHopByHopAndReservedFieldsAreRemoved(t *testing.T) {
	i := is.New(t)
	var forwarded *exchange.Request
	h := newHandler(t, func(ctx context.Context, r *exchange.Request) (*exchange.Response, error) {
		forwarded = r
		return respondWith(strings.NewReader("ok"), 2)(ctx, r)
	})
	r := httptest.NewRequest(http.MethodGet, "/plans?x=1", nil)
	r.Header = http.Header{"Who": {"7"}, "Connection": {"X-Mine"}, "X-Mine": {"1"}, "Te": {"trailers"}, "Hickorylug-Fence": {"9.9"}, "X-Other": {"1"}}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	i.Equal(w.Body.String(), "ok")
	for _, name := range []string{"Connection", "X-Mine", "Te", "Hickorylug-Fence"} {
		i.Equal(forwarded.Header.Get(name), "")
	}
	i.Equal(forwarded.Header.Get("X-Other"), "1")
	i.Equal(forwarded.Target, "/plans?x=1")
	i.True(forwarded.Keyed)
	i.Equal(w.Header().Get("X-Kept"), "1")
	i.Equal(w.Header().Get("X-Hop"), "")
	i.Equal(w.Header().Get("Hickorylug-Boot"), "")
}

// truncatedReader reports io.ErrUnexpectedEOF at the end of its data.
type truncatedReader struct{ data io.Reader }

func (r *truncatedReader) Read(p []byte) (int, error) {
	n, err := r.data.Read(p)
	if errors.Is(err, io.EOF) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// TestTruncatedResponseIsNotComplete guards against a caller that takes a truncated response for a complete one after the
// backend server failed in the middle of the body.
func TestTruncatedResponseIsNotComplete(t *testing.T) {
	for name, length := range map[string]int64{"known length": 10, "unknown length": -1} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			h := newHandler(t, respondWith(&truncatedReader{data: strings.NewReader("half")}, length))
			server := httptest.NewServer(h)
			defer server.Close()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/plans", nil)
			i.NoErr(err)
			req.Header.Set("Who", "7")
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				resp.Body.Close()
			}
			i.True(err != nil)
		})
	}
}

func TestMalformedHTTPIsRejected(t *testing.T) {
	tests := map[string]struct{ request, wanted string }{
		"not HTTP":            {"hello\r\n\r\n", "400 Bad Request"},
		"invalid escape":      {"GET /plans%zz HTTP/1.1\r\nHost: a\r\n\r\n", "400 Bad Request"},
		"no Host field":       {"GET /plans HTTP/1.1\r\n\r\n", "400 Bad Request"},
		"header too large":    {"GET /plans HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", "431 Request Header Fields Too Large"},
		"two content lengths": {"PUT /plans HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx", "400 Bad Request"},
		"body too large":      {"PUT /plans HTTP/1.1\r\nHost: a\r\nWho: 7\r\nContent-Length: 11\r\n\r\n01234567890", "413 Request Entity Too Large"},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := caller.NewServer(newHandler(t, respondWith(strings.NewReader(""), 0)), caller.WithMaxHeaderBytes(4<<10))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, l) }()
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			c, err := net.Dial("tcp", l.Addr().String())
			i.NoErr(err)
			defer c.Close()
			_, err = io.WriteString(c, test.request)
			i.NoErr(err)
			line, err := bufio.NewReader(c).ReadString('\n')
			i.NoErr(err)
			i.True(strings.Contains(line, test.wanted))
		})
	}
	cancel()
	is.New(t).NoErr(<-done)
}
