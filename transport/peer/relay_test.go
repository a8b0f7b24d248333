package peer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/peer"
)

// relayed asks a VM whose backend server has sent a response for it, and reads its body.
func relayed(t *testing.T, response *exchange.Response) (body string, err error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(peer.Handlers{Relay: func(context.Context, *exchange.Request) (*exchange.Response, error) { return response, nil }})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, l) }()
	client := peer.NewClient(func(id.VM) (string, bool) { return l.Addr().String(), true })
	defer func() {
		client.Close()
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	resp, err := client.Relay(t.Context(), "vm2", &exchange.Request{Method: http.MethodGet, Target: "/", Deadline: time.Now().Add(time.Minute)})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// A response that a VM between passes on although it isn't sound must not become one. A VM of an older build does so.
func TestRelayedResponses(t *testing.T) {
	tests := map[string]struct {
		status  int
		header  http.Header
		body    io.Reader
		length  int64
		sound   bool
		outcome outcome.Kind
	}{
		"sound":                   {status: http.StatusOK, body: strings.NewReader("body"), length: 4, sound: true},
		"sound, without a length": {status: http.StatusOK, body: strings.NewReader("body"), length: -1, sound: true},
		"broken off":              {status: http.StatusOK, body: io.MultiReader(strings.NewReader("body"), iotest.ErrReader(errors.New("reset"))), length: -1},
		"no status":               {body: strings.NewReader("body"), length: 4, outcome: outcome.KindUnknown},
		"status 099":              {status: 99, body: strings.NewReader("body"), length: 4, outcome: outcome.KindUnknown},
		"blank in a field's name": {status: http.StatusOK, header: http.Header{"X Name": {"a"}}, body: strings.NewReader("body"), length: 4, outcome: outcome.KindUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body, err := relayed(t, &exchange.Response{Status: test.status, Header: test.header, Body: io.NopCloser(test.body), Length: test.length})
			is.Equal(err == nil, test.sound)
			if test.sound {
				is.Equal(body, "body")
			}
			if test.outcome != "" {
				is.Equal(outcome.FromError(err).Outcome, test.outcome) // The backend server may have run the request.
			}
		})
	}
}
