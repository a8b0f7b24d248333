package edge

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/standin/broken"
)

// A backend server answered a long upload at once without a length and reset the connection while the upload was being written. The caller got
// the part that had come as a complete response.
func TestResponsesResetDuringUploads(t *testing.T) {
	const (
		head = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Signature: s\r\n\r\n"
		// tries is how often an upload is tried: which call learns of a reset depends on the moment at which it comes.
		tries  = 10
		upload = 8 << 20
	)
	tests := map[string]struct {
		end   broken.End
		pause time.Duration
		whole bool
	}{
		"reset at once":             {end: broken.Reset},
		"reset later":               {end: broken.Reset, pause: 5 * time.Millisecond},
		"ended, the upload is read": {end: broken.EndAndRead, whole: true},
		"ended, then reset":         {end: broken.EndAndReset, whole: true},
	}
	for name, test := range tests {
		for way, send := range cutWays(t) {
			t.Run(way+": "+name, func(t *testing.T) {
				is := is.New(t)
				s, err := broken.Listen(head+"part of it", test.end, broken.WithPause(test.pause))
				is.NoErr(err)
				defer s.Close()
				caller := newCutCaller(t, s.Address(), send)
				for range tries {
					status, body := caller.send(http.MethodPost, "/x/", strings.Repeat("u", upload))
					if test.whole {
						is.Equal(status, http.StatusOK)
						is.Equal(body, "part of it")
						continue
					}
					is.Equal(status, http.StatusBadGateway) // It may have run.
				}
				is.Equal(s.Requests(), int64(tries))
			})
		}
	}
}

// A backend server in trouble sent heads that are none. A caller must not get them, what follows them, or parts of them.
func TestMalformedHeadsReachNoCaller(t *testing.T) {
	for name, text := range broken.Heads("Attempt-Id: a\r\nResponse-Signature: s\r\n", "body") {
		for way, send := range cutWays(t) {
			t.Run(way+": "+name, func(t *testing.T) {
				is := is.New(t)
				s, err := broken.Listen(text, broken.EndAndRead)
				is.NoErr(err)
				defer s.Close()
				status, body := newCutCaller(t, s.Address(), send).send(http.MethodPost, "/x/", "")
				is.Equal(status, http.StatusBadGateway) // It may have run.
				is.True(!strings.Contains(body, "body"))
				is.Equal(s.Requests(), int64(1))
			})
		}
	}
}
