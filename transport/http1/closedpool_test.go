package http1_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/transport/http1"
)

// The connection of a request that was under way when its server was removed was kept for ever, as nothing used the pool again.
func TestConnectionsOfRemovedServersAreNotKept(t *testing.T) {
	errHeld := errors.New("held back")
	tests := map[string]struct {
		held bool
		// again says that the server is used again before the request ends.
		again bool
		kept  bool
	}{
		"a request that was withheld":            {held: true},
		"a request that was answered":            {},
		"a server that is back, withheld":        {held: true, again: true, kept: true},
		"a server that is back, answered before": {again: true, kept: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, response("1", "one"), response("1", "one"))
			c := http1.NewClient()
			address := s.listener.Addr().String()
			r := request(s, "1")
			r.BeforeWrite = func(*http1.Request, time.Duration) error {
				c.CloseIdle(address, "")
				if test.again {
					other, err := c.Do(context.Background(), request(s, "1"))
					_, err = read(t, other, err)
					is.NoErr(err)
				}
				if test.held {
					return errHeld
				}
				return nil
			}
			resp, err := c.Do(context.Background(), r)
			if test.held {
				is.True(errors.Is(err, errHeld))
			} else {
				_, err = read(t, resp, err)
				is.NoErr(err)
			}
			before := c.OpenedConnections()
			resp, err = c.Do(context.Background(), request(s, "1"))
			_, err = read(t, resp, err)
			is.NoErr(err)
			is.Equal(c.OpenedConnections() == before, test.kept)
		})
	}
}
