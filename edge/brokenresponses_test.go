package edge

import (
	"net/http"
	"strings"
	"testing"

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
		whole bool
	}{
		"reset":                     {end: broken.Reset},
		"ended, the upload is read": {end: broken.EndAndRead, whole: true},
		"ended, then reset":         {end: broken.EndAndReset, whole: true},
	}
	for name, test := range tests {
		for way, send := range cutWays(t) {
			t.Run(way+": "+name, func(t *testing.T) {
				is := is.New(t)
				s, err := broken.Listen(head+"part of it", test.end)
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
	const (
		own   = "Attempt-Id: a\r\nResponse-Signature: s\r\n"
		sound = "HTTP/1.1 200 OK\r\n" + own + "Content-Length: 4\r\n\r\nbody"
	)
	tests := map[string]string{
		"status 000":                         "HTTP/1.1 000 Trouble\r\n" + own + "Content-Length: 4\r\n\r\nbody",
		"status 000 without a body":          "HTTP/1.1 000 Trouble\r\n" + own + "\r\n",
		"status 000, then a sound response":  "HTTP/1.1 000 Trouble\r\n" + own + "\r\n" + sound,
		"status 099":                         "HTTP/1.1 099 Trouble\r\n" + own + "Content-Length: 4\r\n\r\nbody",
		"status 099, then a sound response":  "HTTP/1.1 099 Trouble\r\n" + own + "\r\n" + sound,
		"blank in a name":                    "HTTP/1.1 200 OK\r\nX Name: a\r\n" + own + "Content-Length: 4\r\n\r\nbody",
		"blank in the name of the length":    "HTTP/1.1 200 OK\r\n" + own + "Content-Length : 4\r\n\r\nbody and more",
		"blank in the name of the encoding":  "HTTP/1.1 200 OK\r\n" + own + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"control byte in a name":             "HTTP/1.1 200 OK\r\nX-\x01: a\r\n" + own + "Content-Length: 4\r\n\r\nbody",
		"tab in a name":                      "HTTP/1.1 200 OK\r\nX\tName: a\r\n" + own + "Content-Length: 4\r\n\r\nbody",
		"control byte in a value":            "HTTP/1.1 200 OK\r\nX-Name: \x01\r\n" + own + "Content-Length: 4\r\n\r\nbody",
		"no body in 000, a sound one behind": "HTTP/1.1 000 Trouble\r\n" + own + "Content-Length: 0\r\n\r\n" + sound,
	}
	for name, text := range tests {
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
