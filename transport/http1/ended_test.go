package http1_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/transport/http1"
)

// A request whose context ends before the write must not be written, and its backend server may not have received it.
func TestEndedRequestsAreNotWritten(t *testing.T) {
	tests := map[string]struct {
		// kept says that the connection has carried a request before.
		kept bool
		// beforeWrite says that the context ends when the connection is there.
		beforeWrite bool
	}{
		"kept connection":                         {kept: true},
		"kept connection, right before the write": {kept: true, beforeWrite: true},
		"new connection":                          {},
		"new connection, right before the write":  {beforeWrite: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, response("1", "one"), response("2", "two"))
			c := http1.NewClient()
			before := 0
			if test.kept {
				resp, err := c.Do(context.Background(), request(s, "1"))
				_, err = read(t, resp, err)
				is.NoErr(err)
				before++
			}
			ctx, end := context.WithCancel(context.Background())
			defer end()
			ended := request(s, "2")
			if test.beforeWrite {
				ended.BeforeWrite = func(*http1.Request, time.Duration) error { end(); return nil }
			} else {
				end()
			}
			_, err := c.Do(ctx, ended)
			is.True(err != nil)
			is.True(!http1.WasSent(err))
			is.Equal(len(s.requests), before)
		})
	}
}
