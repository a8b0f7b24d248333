package exchange

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/hickorylug/hickorylug/protocol/outcome"
)

// MaxReplayBytes is the maximum length in bytes of a body that is buffered for retries.
const MaxReplayBytes = 64 << 10

// Payload is a request's body, buffered up to MaxReplayBytes so that it can be sent again.
type Payload struct {
	mu     sync.Mutex
	body   io.ReadCloser
	prefix bytes.Buffer
	// complete says that prefix holds the whole body.
	complete bool
	// consumed says that an incomplete body was given to an attempt.
	consumed   bool
	idempotent bool
}

// NewPayload reads the request's body into memory if its length is known and at most MaxReplayBytes.
//
// Any other body is streamed, so it can be sent only once. The error is an
// outcome.Error with reason CallerDisconnected.
func NewPayload(r *Request) (p *Payload, err error) {
	p = &Payload{body: r.Body, idempotent: r.Idempotent}
	if r.Body == nil || r.Length == 0 {
		p.complete = true
		return p, nil
	}
	if r.Length < 0 || r.Length > MaxReplayBytes {
		return p, nil
	}
	n, err := io.Copy(&p.prefix, io.LimitReader(r.Body, r.Length))
	if err != nil || n < r.Length {
		return nil, outcome.NotRun(outcome.CallerDisconnected, "the caller's body ended after %d of %d bytes", n, r.Length)
	}
	p.complete = true
	return p, nil
}

// IsComplete reports whether the whole body is in memory.
func (p *Payload) IsComplete() bool { return p.complete }

// IsReplayable reports whether the body can be given to another attempt.
func (p *Payload) IsReplayable() bool { return p.complete || !p.consumed }

// Reader returns the body for one attempt.
//
// It hides from net/http that the body can be replayed, since that package
// retries a request with an Idempotency-Key header field on its own.
func (p *Payload) Reader() io.ReadCloser {
	if p.complete && p.prefix.Len() == 0 && p.idempotent {
		return http.NoBody
	}
	if p.complete {
		return io.NopCloser(struct{ io.Reader }{bytes.NewReader(p.prefix.Bytes())})
	}
	p.consumed = true
	return io.NopCloser(&prefixRecorder{payload: p})
}

// Prefix returns a copy of the bytes that were read from the body, up to MaxReplayBytes.
func (p *Payload) Prefix() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return bytes.Clone(p.prefix.Bytes())
}

// prefixRecorder reads a body and copies up to MaxReplayBytes of it into the payload's prefix.
type prefixRecorder struct{ payload *Payload }

// Read reads from the caller's body.
func (r *prefixRecorder) Read(b []byte) (n int, err error) {
	p := r.payload
	n, err = p.body.Read(b)
	p.mu.Lock()
	defer p.mu.Unlock()
	if remaining := MaxReplayBytes - p.prefix.Len(); remaining > 0 {
		p.prefix.Write(b[:min(n, remaining)])
	}
	return n, err
}

// OnClose returns a body that calls notify once, when reading ends with io.EOF or an error, or when it is closed.
func OnClose(body io.ReadCloser, notify func()) io.ReadCloser {
	return &closeNotifier{ReadCloser: body, notify: notify}
}

type closeNotifier struct {
	io.ReadCloser
	once   sync.Once
	notify func()
}

// Read reads the body and calls notify on io.EOF or an error.
func (c *closeNotifier) Read(b []byte) (n int, err error) {
	n, err = c.ReadCloser.Read(b)
	if err != nil {
		c.once.Do(c.notify)
	}
	return n, err
}

// Close closes the body and calls notify.
func (c *closeNotifier) Close() error {
	defer c.once.Do(c.notify)
	return c.ReadCloser.Close()
}
