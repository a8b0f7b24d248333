package http1_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/transport/http1"
)

// endedConn is a connection at whose end a read arrives, while a write returns writeErr.
type endedConn struct {
	net.Conn
	writeErr, deadlineErr error
	// interrupted is closed when a deadline ends the writes. A write waits for it unless it is nil.
	interrupted chan struct{}
}

func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write([]byte) (int, error) {
	if c.interrupted != nil {
		<-c.interrupted
	}
	return 0, c.writeErr
}

func (c *endedConn) SetWriteDeadline(time.Time) error {
	if c.interrupted != nil {
		close(c.interrupted)
	}
	return c.deadlineErr
}

// A reset that a write has taken from the kernel must not look like the server's end of the stream to the next read.
func TestStreamsEndWithTheServersEnd(t *testing.T) {
	tests := map[string]struct {
		writeErr, deadlineErr error
		// inProgress says that the write returns only once it is interrupted.
		inProgress bool
		broken     bool
	}{
		"written":                                {},
		"reset":                                  {writeErr: syscall.ECONNRESET, broken: true},
		"unacknowledged for too long":            {writeErr: syscall.ETIMEDOUT, broken: true},
		"ended, then reset":                      {writeErr: syscall.EPIPE},
		"closed here":                            {writeErr: net.ErrClosed, deadlineErr: net.ErrClosed},
		"reset, then closed here":                {writeErr: syscall.ECONNRESET, deadlineErr: net.ErrClosed, broken: true},
		"without deadlines":                      {deadlineErr: os.ErrNoDeadline, broken: true},
		"in progress":                            {writeErr: os.ErrDeadlineExceeded, inProgress: true},
		"in progress, the reset is not seen yet": {writeErr: syscall.ECONNRESET, inProgress: true, broken: true},
		"in progress, ended and reset":           {writeErr: syscall.EPIPE, inProgress: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := &endedConn{writeErr: test.writeErr, deadlineErr: test.deadlineErr}
				if errno := syscall.Errno(0); errors.As(test.writeErr, &errno) {
					c.writeErr = &net.OpError{Op: "write", Err: os.NewSyscallError("write", errno)}
				}
				if test.inProgress {
					c.interrupted = make(chan struct{})
				}
				s := http1.NewStream(c)
				go func() { _, _ = s.Write([]byte("upload")) }()
				synctest.Wait()
				_, err := s.Read(make([]byte, 1))
				is.True(err != nil)
				is.Equal(errors.Is(err, io.EOF), !test.broken)
			})
		})
	}
}
