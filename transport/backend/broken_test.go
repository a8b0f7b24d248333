package backend_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/group"
	protocol "github.com/hickorylug/hickorylug/protocol/backend"
	"github.com/hickorylug/hickorylug/standin/broken"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/transport/backend"
)

// sendUpload sends a long upload to a backend server and reads the whole response.
func sendUpload(t *testing.T, g *group.Transport, address string) (status int, body string, err error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", strings.NewReader(strings.Repeat("u", 8<<20)))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := g.Send(t.Context(), config.Server{Address: address}, 1, r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// A backend server answered a long upload at once without a length and reset the connection while the upload was being written. The part that
// had come was taken for the whole response.
func TestResponsesResetDuringUploads(t *testing.T) {
	// tries is how often an upload is tried: which call learns of a reset depends on the moment at which it comes.
	const tries = 20
	tests := map[string]struct {
		end   broken.End
		pause time.Duration
		whole bool
	}{
		"reset at once":             {end: broken.Reset},
		"reset later":               {end: broken.Reset, pause: 5 * time.Millisecond},
		"ended, the upload is read": {end: broken.EndAndRead, whole: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := broken.Listen("HTTP/1.1 200 OK\r\n\r\npart of it", test.end, broken.WithPause(test.pause))
			is.NoErr(err)
			defer s.Close()
			transport := backend.NewTransport()
			defer transport.Close()
			for range tries {
				_, _, err := sendUpload(t, transport, s.Address())
				is.Equal(err == nil, test.whole)
				is.True(!errors.Is(err, group.ErrNotSent))
			}
			is.Equal(s.Requests(), int64(tries))
		})
	}
}

// A backend server in trouble sent heads that are none. What they say, or what follows them, must not be taken for a response.
func TestMalformedHeads(t *testing.T) {
	tests := broken.Heads("", "body")
	tests["switching protocols"] = "HTTP/1.1 101 Switching Protocols\r\n\r\n"
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := broken.Listen(text, broken.EndAndRead)
			is.NoErr(err)
			defer s.Close()
			transport := backend.NewTransport()
			defer transport.Close()
			_, _, err = sendUpload(t, transport, s.Address())
			is.True(err != nil)
			is.True(!errors.Is(err, group.ErrNotSent))
			_, err = transport.Probe(t.Context(), config.Server{Address: s.Address()}, "/health")
			is.True(err != nil)
			_, err = transport.Grant(t.Context(), config.Server{Address: s.Address()}, protocol.Grant{})
			is.True(err != nil)
			is.Equal(s.Requests(), int64(3))
		})
	}
}
