package http1_test

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/standin/broken"
	"github.com/hickorylug/hickorylug/transport/http1"
)

// resetTries is how often an upload is tried: which call learns of a reset depends on the moment at which it comes.
const resetTries = 10

// A server answered a long upload at once without a length and reset the connection while the upload was being written. The part that had come
// was taken for the whole response.
func TestResponsesResetDuringUploads(t *testing.T) {
	const (
		head      = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
		client    = "client"
		transport = "transport of net/http"
	)
	tests := map[string]struct {
		text string
		end  broken.End
		// whole names the ways in which the whole response must arrive.
		whole []string
	}{
		"reset":                     {text: head + "\r\npart of it", end: broken.Reset},
		"reset before the body":     {text: head + "\r\n", end: broken.Reset},
		"reset with a length":       {text: head + "Content-Length: 30\r\n\r\npart of it", end: broken.Reset},
		"reset in chunks":           {text: head + "Transfer-Encoding: chunked\r\n\r\na\r\npart of it\r\n", end: broken.Reset},
		"ended, the upload is read": {text: head + "\r\nall of it", end: broken.EndAndRead, whole: []string{client, transport}},
		// net/http closes the connection when it can't write the rest of the upload.
		"ended, then reset": {text: head + "\r\nall of it", end: broken.EndAndReset, whole: []string{client}},
	}
	// The pause between the response and the end of the connection, and the one between the head and the reading of the body.
	pauses := map[string]struct{ end, read time.Duration }{
		"at once":               {},
		"later":                 {end: 5 * time.Millisecond},
		"read later":            {read: 10 * time.Millisecond},
		"later, and read later": {end: 5 * time.Millisecond, read: 10 * time.Millisecond},
	}
	posts := map[string]func(t *testing.T, address, upload string, pause time.Duration) (body string, err error){
		client: postByClient, transport: postByTransport,
	}
	for name, test := range tests {
		for by, post := range posts {
			for when, pause := range pauses {
				for _, size := range []int{16 << 10, 1 << 20, 8 << 20, 32 << 20} {
					t.Run(strings.Join([]string{name, when, by, strconv.Itoa(size)}, ", "), func(t *testing.T) {
						is := is.New(t)
						s, err := broken.Listen(test.text, test.end, broken.WithPause(pause.end))
						is.NoErr(err)
						defer s.Close()
						upload := strings.Repeat("u", size)
						for range resetTries {
							body, err := post(t, s.Address(), upload, pause.read)
							if slices.Contains(test.whole, by) {
								is.NoErr(err)
							}
							if err == nil {
								is.Equal(body, "all of it")
							}
						}
						is.Equal(s.Requests(), int64(resetTries)) // No request is sent again.
					})
				}
			}
		}
	}
}

func postByClient(t *testing.T, address, upload string, pause time.Duration) (body string, err error) {
	t.Helper()
	c := http1.NewClient()
	resp, err := c.Do(t.Context(), http1.Request{
		Address: address, Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{}, Body: []byte(upload), Match: match("1"),
	})
	time.Sleep(pause)
	return read(t, resp, err)
}

func postByTransport(t *testing.T, address, upload string, pause time.Duration) (body string, err error) {
	t.Helper()
	transport := http1.NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/a", strings.NewReader(upload))
	if err != nil {
		return "", err
	}
	return roundTrip(transport, r, pause)
}

// roundTrip sends a request by a transport of net/http and reads its response, whose body it begins to read after a pause.
func roundTrip(transport http.RoundTripper, r *http.Request, pause time.Duration) (body string, err error) {
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	time.Sleep(pause)
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}
