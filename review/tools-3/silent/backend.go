//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxQueued is the number of requests that wait at a backend server before it rejects further ones.
const maxQueued = 16

// arrival is a request that has reached a backend server.
type arrival struct {
	at      time.Time
	id      string
	path    string
	backend string
	// ran says that the backend server began to work on it, and answered that it wrote the whole answer.
	ran, answered bool
	// wasCold says that the backend server was cold.
	wasCold bool
}

// backend is one process of a backend server.
type backend struct {
	d       *deployment
	service service
	id      string
	zone    string
	address string
	born    int64
	speed   float64

	server *http.Server
	slots  chan struct{}
	ended  chan struct{}
	ending sync.Once

	mu       sync.Mutex
	sequence int
	waiting  int
	arrivals []*arrival
	// coldUntil is when the process is warm again.
	coldUntil time.Time
}

// startBackend starts a process of a backend server at a free address. It isn't registered yet.
func (d *deployment) startBackend(s service, zone string, speed float64) (b *backend, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isClosed {
		_ = listener.Close()
		return nil, context.Canceled
	}
	d.lastBorn = max(d.lastBorn+1, time.Now().UnixMilli())
	d.lastID++
	b = &backend{
		d: d, service: s, id: fmt.Sprintf("i-%06d", d.lastID), zone: zone, address: listener.Addr().String(), born: d.lastBorn, speed: speed,
		slots: make(chan struct{}, s.slots), ended: make(chan struct{}),
	}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(listener) }()
	d.backends = append(d.backends, b)
	return b, nil
}

// register writes the entry of a backend server to the store.
func (d *deployment) register(b *backend, warmupLeft time.Duration) {
	b.mu.Lock()
	b.sequence++
	entry, err := json.Marshal(map[string]any{
		"Service": b.service.name, "Address": b.address, "Zone": b.zone, "Version": "v1", "Slots": b.service.slots, "State": "ready",
		"WarmupLeftS": warmupLeft.Seconds(), "Sequence": b.sequence, "born": b.born,
	})
	b.mu.Unlock()
	if err != nil {
		panic(err)
	}
	d.store.Put("servers/"+b.id, entry)
	d.record.line("backend %s of %s is registered, cold for %s", b.id, b.service.name, warmupLeft)
}

// end ends the process: its port is closed and its connections break.
func (b *backend) end() {
	b.ending.Do(func() {
		close(b.ended)
		_ = b.server.Close()
	})
}

// coldLeft returns how much longer the process stays cold.
func (b *backend) coldLeft(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, b.coldUntil.Sub(now))
}

// all returns the arrivals so far.
func (b *backend) all() (out []arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.arrivals {
		out = append(out, *a)
	}
	return out
}

// allBackends returns all processes that were started.
func (d *deployment) allBackends() []*backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*backend(nil), d.backends...)
}

// ServeHTTP handles a health check or a request.
func (b *backend) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	now := time.Now()
	out.Header().Set("Instance-Id", b.id)
	out.Header().Set("Keep-Alive", "timeout=10")
	if id := r.Header.Get("Attempt-Id"); id != "" {
		out.Header().Set("Attempt-Id", id)
	}
	if r.URL.Path == "/health" {
		b.setLoad(out)
		if left := b.coldLeft(now); left > 0 {
			out.Header().Set("Warmup-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		}
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != b.id {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.handle(out, r, now)
}

func (b *backend) setLoad(out http.ResponseWriter) {
	b.mu.Lock()
	waiting := b.waiting
	b.mu.Unlock()
	out.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", len(b.slots), waiting, b.service.slots))
}

// handle queues and runs a request.
func (b *backend) handle(out http.ResponseWriter, r *http.Request, now time.Time) {
	id := r.Header.Get("Attempt-Id")
	a := &arrival{at: now, id: id, path: r.URL.Path, backend: b.id}
	b.mu.Lock()
	a.wasCold = now.Before(b.coldUntil)
	b.arrivals = append(b.arrivals, a)
	isFull := b.waiting >= maxQueued
	if !isFull {
		b.waiting++
	}
	b.mu.Unlock()
	b.d.record.line("request %s reaches %s %s", id, b.id, r.URL.Path)
	if isFull {
		b.reject(out)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		b.leaveQueue()
		return
	}
	ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		ms = 10_000
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	select {
	case b.slots <- struct{}{}:
		b.leaveQueue()
	case <-ctx.Done():
		b.leaveQueue()
		b.reject(out)
		return
	case <-b.ended:
		b.leaveQueue()
		panic(http.ErrAbortHandler)
	}
	defer func() { <-b.slots }()
	b.run(ctx, out, r, a)
}

func (b *backend) leaveQueue() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
}

// reject answers a request that was not run.
func (b *backend) reject(out http.ResponseWriter) {
	b.setLoad(out)
	out.Header().Set("Not-Executed", "1")
	out.WriteHeader(http.StatusServiceUnavailable)
}

// run works on a request that has a slot.
func (b *backend) run(ctx context.Context, out http.ResponseWriter, r *http.Request, a *arrival) {
	b.mu.Lock()
	a.ran = true
	b.mu.Unlock()
	select {
	case <-time.After(b.workOf(r.URL.Path)):
	case <-ctx.Done():
		b.setLoad(out)
		out.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-b.ended:
		b.d.record.line("request %s is lost as %s ends", a.id, b.id)
		panic(http.ErrAbortHandler)
	}
	b.setLoad(out)
	out.Header().Set("Response-Signature", "signed."+a.id)
	_, _ = io.WriteString(out, "answer to "+a.id)
	b.mu.Lock()
	a.answered = true
	b.mu.Unlock()
}

// coldFactor is how much longer a cold backend server works on a request (ardlarach-rodcheck, cold_x).
const coldFactor = 2

// workOf returns the time for which a request runs that begins now.
func (b *backend) workOf(path string) time.Duration {
	for _, c := range b.d.layout.classes {
		switch {
		case !strings.HasPrefix(path, c.prefix):
		case b.coldLeft(time.Now()) > 0:
			return time.Duration(coldFactor * float64(c.work) / b.speed)
		default:
			return time.Duration(float64(c.work) / b.speed)
		}
	}
	return 0
}
