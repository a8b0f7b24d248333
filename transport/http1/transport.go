package http1

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/cockroachdb/errors"
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

// RoundTrip sends a request and returns its response, whose body is still to be read. A response with a malformed head is an error; its connection
// is closed, since the bytes after the head may be anything.
func (t *Transport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return checkNames(h) },
	}
	resp, err = t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp.StatusCode, resp.Header); err != nil {
		err = errors.CombineErrors(err, resp.Body.Close())
		// net/http keeps the connection of a response without a body.
		return nil, errors.CombineErrors(err, conn.Close())
	}
	return resp, nil
}
