package entry

import (
	"net/http"
	"sync"
	"time"
)

// bodyReads tracks the connections on which a body is being read. It is safe for concurrent use.
type bodyReads struct {
	mu      sync.Mutex
	stopped bool
	reading map[*http.ResponseController]struct{}
}

// begin sets the deadline for a body that is about to be read, which has passed if reading has been stopped.
func (b *bodyReads) begin(c *http.ResponseController, deadline time.Time) (err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return c.SetReadDeadline(time.Unix(1, 0))
	}
	if b.reading == nil {
		b.reading = map[*http.ResponseController]struct{}{}
	}
	b.reading[c] = struct{}{}
	return c.SetReadDeadline(deadline)
}

// end records that a body is no longer read, and reports whether reading has been stopped.
func (b *bodyReads) end(c *http.ResponseController) (stopped bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reading, c)
	return b.stopped
}

// stop ends the reading of all bodies, now and later.
func (b *bodyReads) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	for c := range b.reading {
		// A connection that fails is closed, so that its body isn't read on either.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}
