//go:build review

package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// slots is the number of requests that a backend server runs at once, and maxWaiting that of those that wait for it.
	slots      = 4
	maxWaiting = 16
	// longBytes is the length of a long body; the configuration allows 67108864 bytes.
	longBytes = 6 << 20
	// slowRate is the rate at which a slow reader reads, in bytes a second.
	slowRate = 3 << 19
	// windowBytes is the receive buffer of all connections, since those of the platform have small windows.
	windowBytes = 64 << 10

	longWork  = 50 * time.Millisecond
	shortWork = 400 * time.Millisecond
)

// backend is a backend server.
type backend struct {
	id      string
	journal *journal
	work    time.Duration
	// readsSlowly says that it reads bodies slowly.
	readsSlowly bool
	running     chan struct{}
	waiting     atomic.Int64
}

// ServeHTTP answers a request or a health check.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get("Attempt-Id")
	w.Header().Set("Instance-Id", b.id)
	w.Header().Set("Attempt-Id", request)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != b.id {
		reject(w, http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	b.journal.begin(request)
	size, err := read(r.Body, b.readsSlowly)
	if err != nil {
		b.journal.add("%s: %s broke off after %d bytes: %v", b.id, request, size, err)
		return
	}
	if b.waiting.Add(1) > maxWaiting {
		b.waiting.Add(-1)
		reject(w, http.StatusServiceUnavailable)
		return
	}
	b.running <- struct{}{}
	b.waiting.Add(-1)
	time.Sleep(b.work)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", len(b.running), b.waiting.Load(), slots))
	<-b.running
	b.journal.add("%s: ran %s with %d bytes", b.id, request, size)
	w.Header().Set("Response-Signature", "signed."+request)
	_, _ = io.WriteString(w, "done "+request)
}

// reject answers a request that wasn't run.
func reject(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

// read reads a body to its end, and slowly if it is told to. It never stops for longer than 50 ms.
func read(body io.Reader, slowly bool) (size int, err error) {
	part := make([]byte, windowBytes)
	for begin := time.Now(); ; {
		n, err := body.Read(part)
		size += n
		if errors.Is(err, io.EOF) {
			return size, nil
		}
		if err != nil {
			return size, err
		}
		if slowly {
			time.Sleep(time.Until(begin.Add(time.Duration(size) * time.Second / slowRate)))
		}
	}
}

// smallWindows is a listener whose connections have small receive buffers.
type smallWindows struct{ net.Listener }

// Accept waits for the next connection.
func (l smallWindows) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetReadBuffer(windowBytes)
}
