package http1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	readBuffer = 4 << 10
	// inlineWrite is the request size up to which the socket's buffer takes it whole, in bytes.
	inlineWrite = 4 << 10
	// maxStrays bounds the answers of other requests that are skipped on one connection.
	maxStrays = 3
	// idleMargin is kept between the idle timeout that a server names and the last use of a connection.
	idleMargin = time.Second
)

// errNoAnswer means that the connection ended before an answer began.
var errNoAnswer = errors.New("the connection ended without an answer")

// connection is one connection to a backend server.
type connection struct {
	client *Client
	key    poolKey
	net    net.Conn
	reader *bufio.Reader
	// usableUntil is when the server may close the idle connection.
	usableUntil time.Time
}

func (c *Client) dial(ctx context.Context, key poolKey) (conn *connection, err error) {
	dialer := net.Dialer{Timeout: c.options.DialTimeout, KeepAlive: -1, Control: c.boundSilence}
	socket, err := dialer.DialContext(ctx, "tcp", key.address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			err = errors.Mark(err, ErrRefused)
		}
		return nil, err
	}
	return &connection{client: c, key: key, net: socket, reader: bufio.NewReaderSize(socket, readBuffer)}, nil
}

func (c *Client) boundSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.options.UserTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// quiet reports whether an idle connection is open and nothing has arrived on it.
func (c *connection) quiet() bool {
	raw, err := c.net.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// abort resets the connection, so that bytes that are still held up on the way are never delivered.
//
// A plain close would leave them to the kernel, which sends them again for
// seconds: a request or a grant would arrive after it was given up.
func (c *connection) abort() {
	// An error means that the connection is gone, which is what is wanted.
	_ = c.net.(*net.TCPConn).SetLinger(0)
	_ = c.net.Close()
	c.client.forget(c.key)
}

// exchange sends a request and reads the head of its answer.
func (c *connection) exchange(ctx context.Context, r Request) (answer *Response, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if err != nil {
			stop()
		}
	}()
	written, err := c.write(r)
	if err != nil {
		return nil, err
	}
	got, err := c.readHead(r) //nolint:bodyclose // The returned body closes it or resets the connection.
	if err != nil {
		if ctx.Err() != nil {
			err = errors.CombineErrors(ctx.Err(), err)
		}
		return nil, err
	}
	b := &body{connection: c, answer: got, stop: stop, written: written}
	return &Response{Status: got.StatusCode, Header: got.Header, Body: b, Length: got.ContentLength}, nil
}

// write sends the request; written is closed when all of it was written.
//
// A backend server may answer before it has read a long body, so such a body
// is written beside the reading.
func (c *connection) write(r Request) (written <-chan struct{}, err error) {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return nil, err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	done := make(chan struct{})
	if b.Len() <= inlineWrite {
		_, err := c.net.Write(b.Bytes())
		close(done)
		return done, err
	}
	go func() {
		if _, err := c.net.Write(b.Bytes()); err == nil {
			close(done)
		}
	}()
	return done, nil
}

// readHead reads heads until one belongs to the request.
//
// Its body is closed by the body that exchange returns.
func (c *connection) readHead(r Request) (got *http.Response, err error) {
	for strays := 0; ; {
		got, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, errors.Mark(err, errNoAnswer)
		}
		if got.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(got.Header) {
			return got, nil
		}
		if strays++; strays > maxStrays || got.ContentLength < 0 && !chunked(got) {
			return nil, errors.New("the answer belongs to another request")
		}
		if _, err := io.Copy(io.Discard, got.Body); err != nil {
			return nil, err
		}
	}
}

func chunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

// body returns its connection to the client once it has been read to its end.
type body struct {
	connection *connection
	answer     *http.Response
	stop       func() bool
	written    <-chan struct{}
	ended      bool
	closed     bool
}

// Read reads the answer's body.
func (b *body) Read(p []byte) (n int, err error) {
	n, err = b.answer.Body.Read(p)
	b.ended = errors.Is(err, io.EOF)
	return n, err
}

// Close keeps the connection where the whole answer was read, or closes it.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	inTime := b.stop()
	if inTime && b.reusable() {
		b.connection.usableUntil = time.Now().Add(b.idleFor())
		b.connection.client.give(b.connection)
		return nil
	}
	b.connection.abort()
	return nil
}

func (b *body) reusable() bool {
	select {
	case <-b.written:
	default:
		return false
	}
	ended := b.ended || b.answer.ContentLength == 0
	return ended && !b.answer.Close && b.connection.reader.Buffered() == 0
}

// idleFor returns how long the connection may be idle by what the server says.
func (b *body) idleFor() time.Duration {
	idle := b.connection.client.options.IdleTimeout
	for part := range strings.SplitSeq(b.answer.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			idle = min(idle, max(time.Duration(seconds)*time.Second-idleMargin, 0))
		}
	}
	return idle
}
