package exchange

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/hickorylug/hickorylug/protocol/outcome"
)

// MaxReplayBytes is the length of a body that is kept to be sent again, in bytes.
const MaxReplayBytes = 64 << 10

// Payload is a request's body, kept as far as it is needed to send it again.
type Payload struct {
	mu     sync.Mutex
	body   io.ReadCloser
	prefix bytes.Buffer
	// whole says that prefix is the whole body.
	whole bool
	// used says that a body that isn't whole has been given to a sending.
	used       bool
	idempotent bool
}

// NewPayload reads a body of known, small length; a longer one is passed on as it comes.
func NewPayload(r *Request) (p *Payload, err error) {
	p = &Payload{body: r.Body, idempotent: r.Idempotent}
	if r.Body == nil || r.Length == 0 {
		p.whole = true
		return p, nil
	}
	if r.Length < 0 || r.Length > MaxReplayBytes {
		return p, nil
	}
	n, err := io.Copy(&p.prefix, io.LimitReader(r.Body, r.Length))
	if err != nil || n < r.Length {
		return nil, outcome.NotRun(outcome.CallerDisconnected, "the caller's body ended after %d of %d bytes", n, r.Length)
	}
	p.whole = true
	return p, nil
}

// IsComplete reports whether the whole body is kept.
func (p *Payload) IsComplete() bool { return p.whole }

// IsReplayable reports whether the body can be sent (again).
func (p *Payload) IsReplayable() bool { return p.whole || !p.used }

// Reader returns the body for one sending.
//
// It hides from net/http that the body could be replayed, since that library
// sends a request with an Idempotency-Key again by itself.
func (p *Payload) Reader() io.ReadCloser {
	if p.whole && p.prefix.Len() == 0 && p.idempotent {
		return http.NoBody
	}
	if p.whole {
		return io.NopCloser(struct{ io.Reader }{bytes.NewReader(p.prefix.Bytes())})
	}
	p.used = true
	return io.NopCloser(&recorder{payload: p})
}

// Prefix returns the beginning of the body as far as it has been read.
func (p *Payload) Prefix() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return bytes.Clone(p.prefix.Bytes())
}

// recorder passes a body on and keeps its beginning.
type recorder struct{ payload *Payload }

// Read reads from the caller.
func (r *recorder) Read(b []byte) (n int, err error) {
	p := r.payload
	n, err = p.body.Read(b)
	p.mu.Lock()
	defer p.mu.Unlock()
	if room := MaxReplayBytes - p.prefix.Len(); room > 0 {
		p.prefix.Write(b[:min(n, room)])
	}
	return n, err
}

// OnClose returns a body that calls notify once, when it has been read to its end or is closed.
func OnClose(body io.ReadCloser, notify func()) io.ReadCloser {
	return &closeNotifier{ReadCloser: body, notify: notify}
}

type closeNotifier struct {
	io.ReadCloser
	once   sync.Once
	notify func()
}

// Read reads the body.
func (c *closeNotifier) Read(b []byte) (n int, err error) {
	n, err = c.ReadCloser.Read(b)
	if err != nil {
		c.once.Do(c.notify)
	}
	return n, err
}

// Close closes the body.
func (c *closeNotifier) Close() error {
	defer c.once.Do(c.notify)
	return c.ReadCloser.Close()
}
