package http1

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Stream is the client's side of an HTTP/1.1 connection. Its Read returns io.EOF only if the server has ended the stream.
//
// The kernel reports that a connection was reset or timed out to one call only.
// If that is a write, the next read returns io.EOF as if the server had closed
// the connection, and a response without a length would look complete.
type Stream struct {
	net.Conn

	// writing is held during a write; it guards writeErr, the error of the first write that failed.
	writing  sync.Mutex
	writeErr error
}

// NewStream returns the stream of a new connection. Nothing else may read from the connection or write to it.
func NewStream(c net.Conn) *Stream { return &Stream{Conn: c} }

// Write writes to the connection.
func (s *Stream) Write(p []byte) (n int, err error) {
	s.writing.Lock()
	defer s.writing.Unlock()
	n, err = s.Conn.Write(p)
	if err != nil && s.writeErr == nil {
		s.writeErr = err
	}
	return n, err
}

// Read reads from the connection. After io.EOF nothing can be written any more.
func (s *Stream) Read(p []byte) (n int, err error) {
	n, err = s.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if abortErr := s.abortError(); abortErr != nil {
		return n, errors.Wrap(abortErr, "the connection broke off")
	}
	return n, err
}

// abortError returns the error with which a write has learned that the connection was aborted, or nil if none has. It also returns why that can't be
// told.
//
// A write in progress is interrupted, since it may be about to return that error. The rest of the request has no use: the server answers nothing
// any more.
func (s *Stream) abortError() error {
	if err := s.SetWriteDeadline(time.Unix(1, 0)); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	s.writing.Lock()
	defer s.writing.Unlock()
	var errno syscall.Errno
	// EPIPE means that the server had ended the stream before it reset the connection.
	if errors.As(s.writeErr, &errno) && errno != syscall.EPIPE {
		return s.writeErr
	}
	return nil
}
