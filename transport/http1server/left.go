package http1server

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// HasLeft reports whether the caller of the request with the given context has closed its connection, or its sending side of it.
//
// The request's context ends then as well, but only once the goroutine that
// reads the connection has run. HasLeft asks the socket itself, so that it also
// knows of callers that left before their request was read. Bytes of a further
// request hide that the caller has left. It is false for contexts that aren't a
// request's.
func HasLeft(ctx context.Context) bool {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	// Control doesn't wait for the goroutine that reads.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
	})
	return left || err != nil
}
