package http1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	readBufferBytes = 4 << 10
	// inlineWriteBytes is the request size up to which a write doesn't block, since the request fits into the socket's
	// send buffer.
	inlineWriteBytes = 4 << 10
	// maxMismatches limits the responses to other requests that are skipped while waiting for a response.
	maxMismatches = 3
	// maxSkippedBytes limits the body of such a response.
	maxSkippedBytes = 1 << 20
	// maxInformational limits the informational responses (1xx) before a response.
	maxInformational = 16
	// idleMargin is subtracted from the idle timeout that a server announces, so that a connection isn't reused while the
	// server closes it.
	idleMargin = time.Second
)

// errNoResponse marks errors on a connection that ended before a valid response head was received.
var errNoResponse = errors.New("the connection ended without a response")

// connection is one connection to a backend server.
type connection struct {
	client *Client
	key    poolKey
	socket *Stream
	source *source
	reader *bufio.Reader
	// reserved is what the response's head has taken from the quota.
	reserved int
	// userTimeout is the socket's TCP_USER_TIMEOUT.
	userTimeout time.Duration
	// used says that the connection has carried a request, and carried holds the ids of the latest ones.
	used     bool
	carried  []string
	openedAt time.Time
	// usableUntil is the time from which the server may close the idle connection.
	usableUntil time.Time
}

func (c *Client) dial(ctx context.Context, key poolKey) (conn *connection, err error) {
	dialCtx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	dialed, err := c.options.Dial(dialCtx, key.address)
	if !errors.Is(ctx.Err(), context.Canceled) {
		c.options.OnDial(key.server, err)
	}
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			err = errors.Mark(err, ErrRefused)
		}
		return nil, err
	}
	socket := NewStream(dialed)
	from := &source{socket: socket}
	return &connection{
		client: c, key: key, socket: socket, source: from, reader: bufio.NewReaderSize(from, readBufferBytes),
		openedAt: time.Now(), usableUntil: time.Now().Add(c.options.IdleTimeout), userTimeout: c.options.UserTimeout,
	}, nil
}

// tcp returns the connection's socket for its options.
func (c *connection) tcp() *net.TCPConn { return c.socket.Conn.(*net.TCPConn) }

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func (o Options) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return setUserTimeout(raw, o.UserTimeout)
}

func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.CombineErrors(err, optionErr)
}

// setUserTimeout sets TCP_USER_TIMEOUT unless it is d already.
func (c *connection) setUserTimeout(d time.Duration) (err error) {
	defer func() { err = errors.Wrap(err, "set TCP_USER_TIMEOUT") }()
	if d == c.userTimeout {
		return nil
	}
	raw, err := c.tcp().SyscallConn()
	if err != nil {
		return err
	}
	c.userTimeout = d
	return setUserTimeout(raw, d)
}

// maxCarriedIDs limits the ids that a connection remembers: a late copy of a response comes soon after it.
const maxCarriedIDs = 32

// mayCarry reports whether a request may be sent on the connection: none with its id was.
func (c *connection) mayCarry(r Request) bool {
	return (!r.UnusedConnection || !c.used) && (r.ID == "" || !slices.Contains(c.carried, r.ID))
}

// recordUse remembers that a request is sent, and its id.
func (c *connection) recordUse(id string) {
	c.used = true
	if id == "" {
		return
	}
	if len(c.carried) >= maxCarriedIDs {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
	c.carried = append(c.carried, id)
}

// isIdle reports whether a connection is still open and has no unread bytes.
func (c *connection) isIdle() bool {
	raw, err := c.tcp().SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}

// reset closes the connection with a TCP reset, so that bytes that are still in transit are never delivered.
//
// After a plain close the kernel would retransmit them for seconds, and a
// request or a grant could arrive after it was abandoned.
func (c *connection) reset() {
	// Errors are ignored, since they mean that the connection is already closed.
	_ = c.tcp().SetLinger(0)
	_ = c.socket.Close()
	c.giveBack()
	c.client.release(c.key)
}

// keep keeps the connection for later requests, without the settings of this one.
func (c *connection) keep() {
	c.giveBack()
	if c.setUserTimeout(c.client.options.UserTimeout) != nil {
		c.reset()
		return
	}
	c.client.putIdle(c)
}

// roundTrip sends an encoded request and reads the head of its response.
func (c *connection) roundTrip(ctx context.Context, r Request, data []byte) (response *Response, err error) {
	end := func() { _ = c.socket.SetDeadline(time.Unix(1, 0)) }
	stop := context.AfterFunc(ctx, end)
	if r.Wanted != nil && r.IfUnwanted == EndUnwanted {
		stop = both(stop, context.AfterFunc(r.Wanted, end))
	}
	defer func() {
		if err != nil {
			stop()
		}
	}()
	c.recordUse(r.ID)
	written, err := c.write(data)
	if r.AfterWrite != nil && len(data) <= inlineWriteBytes {
		r.AfterWrite()
	}
	if err != nil {
		return nil, err
	}
	if r.Wanted != nil && r.IfUnwanted == TellUnwanted {
		stop = both(stop, c.tellUnwanted(r.Wanted, written))
	}
	got, err := c.readHead(r) //nolint:bodyclose // The returned body closes it or resets the connection.
	if err != nil {
		if ctx.Err() != nil {
			err = errors.CombineErrors(ctx.Err(), err)
		}
		return nil, err
	}
	b := &body{connection: c, response: got, stop: stop, written: written}
	return &Response{Status: got.StatusCode, Header: got.Header, Body: b, Length: got.ContentLength}, nil
}

// both returns a function that calls two stop functions and reports whether both have stopped what they are for.
func both(a, b func() bool) (stop func() bool) {
	return func() bool {
		first, second := a(), b()
		return first && second
	}
}

// tellUnwanted closes the writing side once wanted has ended and the request is written, unless stop is called before. stop reports false if it was
// or may be closed.
func (c *connection) tellUnwanted(wanted context.Context, written <-chan struct{}) (stop func() bool) {
	finished := make(chan struct{})
	stopWaiting := context.AfterFunc(wanted, func() {
		select {
		case <-written:
			// An error means that the connection is closed.
			_ = c.tcp().CloseWrite()
		case <-finished:
		}
	})
	return func() bool {
		close(finished)
		return stopWaiting()
	}
}

// encode returns the bytes of the request.
func (r *Request) encode() (data []byte, err error) {
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
	return b.Bytes(), nil
}

// write sends an encoded request. written is closed once all of it has been written.
//
// A backend server may answer before it has read a long body, so a long request
// is written concurrently with reading the response. The socket keeps the error of that write.
func (c *connection) write(data []byte) (written <-chan struct{}, err error) {
	done := make(chan struct{})
	if len(data) <= inlineWriteBytes {
		_, err := c.socket.Write(data)
		close(done)
		return done, err
	}
	go func() {
		if _, err := c.socket.Write(data); err == nil {
			close(done)
		}
	}()
	return done, nil
}

// readHead reads response heads until one matches the request.
//
// The response's body is closed by the body that roundTrip returns.
func (c *connection) readHead(r Request) (got *http.Response, err error) {
	for mismatches, informational := 0, 0; ; {
		got, err := c.parseHead(r.Method)
		if err != nil {
			return nil, errors.Mark(err, errNoResponse)
		}
		if got.StatusCode < http.StatusOK {
			if informational++; informational > maxInformational {
				return nil, errors.Newf("more than %d informational responses", maxInformational)
			}
			continue
		}
		if r.OnHead != nil {
			r.OnHead(got.StatusCode, got.Header)
		}
		match := Own
		if r.Match != nil {
			match = r.Match(got.StatusCode, got.Header)
		}
		switch match {
		case Own:
			return got, nil
		case Unidentified:
			return nil, errors.Newf("a response with status %d doesn't say to which request it belongs", got.StatusCode)
		case Foreign:
		}
		if mismatches++; mismatches > maxMismatches || got.ContentLength < 0 && !isChunked(got) {
			return nil, errors.New("the response belongs to another request")
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(got.Body, maxSkippedBytes))
		if err != nil {
			return nil, err
		}
		if skipped == maxSkippedBytes {
			return nil, errors.New("the response belongs to another request and is too long to be skipped")
		}
	}
}

func isChunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

// body is a response body that returns its connection to the client if it was read to its end.
type body struct {
	connection *connection
	response   *http.Response
	stop       func() bool
	written    <-chan struct{}
	atEOF      bool
	closed     bool
}

// Read reads the response body.
func (b *body) Read(p []byte) (n int, err error) {
	n, err = b.response.Body.Read(p)
	b.atEOF = errors.Is(err, io.EOF)
	return n, err
}

// Close keeps the connection for reuse if the whole response was read, and resets it otherwise.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	stopped := b.stop()
	if stopped && b.isReusable() {
		b.connection.usableUntil = time.Now().Add(b.idleTimeout())
		b.connection.keep()
		return nil
	}
	b.connection.reset()
	return nil
}

// isReusable reports whether the request was written and the response read completely, and the server keeps the
// connection open.
func (b *body) isReusable() bool {
	select {
	case <-b.written:
	default:
		return false
	}
	complete := b.atEOF || b.response.ContentLength == 0
	return complete && !b.response.Close && b.connection.reader.Buffered() == 0 && len(b.connection.source.ahead) == 0
}

// idleTimeout returns how long the connection may stay idle, taking the server's Keep-Alive field into account.
func (b *body) idleTimeout() time.Duration {
	idle := b.connection.client.options.IdleTimeout
	for part := range strings.SplitSeq(b.response.Header.Get("Keep-Alive"), ",") {
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
