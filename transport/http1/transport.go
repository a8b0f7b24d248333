package http1

import (
	"context"
	"net"
	"net/http"
)

// Transport is a transport of net/http that returns no broken response as a complete one. Its connections are Streams.
type Transport struct {
	*http.Transport
}

// NewTransport returns a transport with the settings of t, which must not be used by itself afterwards. Its DialContext may be nil.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewStream(c), nil
	}
	return &Transport{Transport: t}
}
