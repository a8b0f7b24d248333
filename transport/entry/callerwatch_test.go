package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/transport/entry"
)

// A request whose caller left must say so at its end, as must each of its attempts, or a log can't tell a late request from a slow one.
func TestLeavingOfCallersIsRecorded(t *testing.T) {
	const left, took = 70 * time.Millisecond, 300 * time.Millisecond
	for name, leaves := range map[string]bool{"leaves": true, "waits": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var during, after clock.Instant
			var event entry.Event
			serveWith(t, func(d *entry.Dependencies) {
				d.Forward = func(_ context.Context, r *forward.Request) (*forward.Answer, error) {
					during = r.CallerLeft()
					time.Sleep(took)
					if after = r.CallerLeft(); after > 0 {
						after -= r.Arrived
					}
					return &forward.Answer{Status: http.StatusOK, Header: http.Header{}}, nil
				}
				d.Observe = func(e entry.Event) { event = e }
			}, func(l *pipeListener) {
				c := l.dial()
				_, err := fmt.Fprint(c, "POST /a HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody")
				is.NoErr(err)
				time.Sleep(left)
				if leaves {
					is.NoErr(c.Close())
				} else {
					_, err = io.ReadAtLeast(c, make([]byte, 4096), 1)
					is.NoErr(err)
				}
				time.Sleep(time.Second)
			})
			is.Equal(during, clock.Instant(0))
			want := time.Duration(0)
			if leaves {
				want = left
			}
			is.Equal(after, clock.Instant(want))
			is.Equal(event.CallerLeftAfter, want)
		})
	}
}
