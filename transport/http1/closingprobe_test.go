package http1_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/transport/http1"
)

// A probe of a removed server counted as its use, so that the connection of a request under way was kept for ever.
func TestProbesDontKeepConnectionsOfRemovedServers(t *testing.T) {
	is := is.New(t)
	s := serve(t, response("1", "one"), response("1", "one"))
	c := http1.NewClient()
	address := s.listener.Addr().String()
	r := request(s, "1")
	r.BeforeWrite = func(*http1.Request, time.Duration) error {
		c.CloseIdle(address, "")
		return c.Probe(context.Background(), address, "")
	}
	resp, err := c.Do(context.Background(), r)
	_, err = read(t, resp, err)
	is.NoErr(err)
	before := c.OpenedConnections()
	resp, err = c.Do(context.Background(), request(s, "1"))
	_, err = read(t, resp, err)
	is.NoErr(err)
	is.Equal(c.OpenedConnections(), before+1)
}
