// Package backend implements a stand-in backend server for tests and demonstrations.
//
// It runs a limited number of requests concurrently, starts cold, sheds excess
// load, optionally checks fences, and records what it ran in a journal.
//
// # Usage
//
//	s := backend.NewServer("plans-1", journal, backend.WithFenced(true))
//	address, err := s.Start("127.0.0.1:0")
//	defer s.Kill()
package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/hickorylug/hickorylug/protocol/backend"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// Server is a stand-in for one backend server.
type Server struct {
	options Options
	name    id.Server
	journal *Journal
	clock   clock.Clock

	mu                sync.Mutex
	http              *http.Server
	address           string
	incarnation       id.Incarnation
	running           int
	waiting           int
	completed         int
	draining          bool
	killed            bool
	serviceTimeFactor float64
	paused            chan struct{}
	current           grant
	slots             chan struct{}
}

// grant is the newest grant that the server has accepted.
type grant struct {
	fence      id.Fence
	sliceCount int
	slices     map[id.Slice]bool
	keys       map[table.Hash]bool
	except     map[table.Hash]bool
	expiry     clock.Instant
}

// NewServer returns a server that has not been started yet.
func NewServer(name id.Server, j *Journal, opts ...Option) *Server {
	return &Server{options: newOptions(opts), name: name, journal: j, clock: clock.System{}, serviceTimeFactor: 1}
}

// Name returns the server's name.
func (s *Server) Name() id.Server { return s.name }

// Start starts a new, cold incarnation that listens on address, and returns the address it listens on.
func (s *Server) Start(address string) (actual string, err error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation = id.Incarnation(uuid.NewString())
	s.address, s.killed = l.Addr().String(), false
	s.running, s.waiting, s.completed, s.draining, s.current = 0, 0, 0, false, grant{}
	s.slots = make(chan struct{}, s.options.Slots)
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Second}
	server := s.http
	go func() {
		// The error is ignored, because Serve returns only after Kill has closed the server.
		_ = server.Serve(newLimitListener(l, s.options.Connections))
	}()
	return s.address, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Kill simulates a crash of the process: it closes the listener and all connections immediately.
func (s *Server) Kill() {
	s.mu.Lock()
	server := s.http
	s.killed = true
	s.mu.Unlock()
	if server != nil {
		server.Close()
	}
}

// IsKilled reports whether the process has been killed and not restarted since.
func (s *Server) IsKilled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killed
}

// Drain makes the server refuse new requests and health probes.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.journal.AddEvent(Event{Server: s.name, Kind: EventDraining, At: time.Now()})
}

// SetServiceTimeFactor multiplies the service time of each request by factor.
func (s *Server) SetServiceTimeFactor(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceTimeFactor = factor
}

// Pause suspends request processing, like a stopped process, until resume is called.
func (s *Server) Pause() (resume func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	paused := make(chan struct{})
	s.paused = paused
	return sync.OnceFunc(func() {
		s.mu.Lock()
		s.paused = nil
		s.mu.Unlock()
		close(paused)
	})
}

// waitWhilePaused blocks while the server is paused.
func (s *Server) waitWhilePaused() {
	s.mu.Lock()
	paused := s.paused
	s.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.waitWhilePaused()
	s.mu.Lock()
	w.Header().Set(backend.HeaderBoot, string(s.incarnation))
	w.Header().Set(backend.HeaderAttempt, r.Header.Get(backend.HeaderAttempt))
	w.Header().Set(backend.HeaderLoad, strconv.Itoa(s.running))
	draining := s.draining
	s.mu.Unlock()
	switch {
	case r.URL.Path == backend.PathGrant:
		s.handleGrant(w, r)
	case draining:
		refuse(w, backend.RefusedDraining)
	case r.URL.Path == backend.PathHealth:
		time.Sleep(s.options.ProbeTime)
		w.WriteHeader(http.StatusOK)
	default:
		s.handleRequest(w, r)
	}
}

func refuse(w http.ResponseWriter, cause string) {
	w.Header().Set(backend.HeaderNotRun, cause)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// handleGrant accepts or renews a grant; it refuses a grant that has expired or has no expiry, and one with a fence
// older than that of the newest accepted grant.
func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var g backend.Grant
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	fence := id.Fence{Term: g.Term, Version: g.Version}
	response := backend.GrantResponse{Boot: s.incarnation, Clock: s.clock.Boot(), Newest: s.current.fence}
	expired := g.Expiry != 0 && g.Expiry <= response.Clock
	if !fence.Less(s.current.fence) && !expired && g.Expiry != 0 {
		response.Accepted = s.applyGrant(g, fence)
	}
	s.mu.Unlock()
	// net/http sets the Content-Length of a response that is written in one call.
	_ = json.NewEncoder(w).Encode(response)
}

// applyGrant installs a new grant or renews the current one; it reports false for a renewal with another fence.
func (s *Server) applyGrant(g backend.Grant, fence id.Fence) bool {
	if g.Renew {
		if fence != s.current.fence {
			return false
		}
		s.current.expiry = max(s.current.expiry, g.Expiry)
		return true
	}
	next := grant{
		fence: fence, sliceCount: g.SliceCount, expiry: g.Expiry,
		slices: map[id.Slice]bool{}, keys: map[table.Hash]bool{}, except: map[table.Hash]bool{},
	}
	for _, v := range g.Slices {
		next.slices[v] = true
	}
	for _, v := range g.Keys {
		next.keys[v] = true
	}
	for _, v := range g.Except {
		next.except[v] = true
	}
	s.current = next
	return true
}

// checkFence returns why a request must be refused, or an empty cause, with the request's fence and key hash.
func (s *Server) checkFence(r *http.Request) (cause string, fence id.Fence, key table.Hash) {
	value := r.Header.Get(backend.HeaderFence)
	if value == "" {
		return "", fence, 0
	}
	fence, err := backend.ParseFence(value)
	if err != nil {
		return backend.RefusedFence, fence, 0
	}
	key, err = backend.ParseKey(r.Header.Get(backend.HeaderKey))
	if err != nil || !s.options.Fenced {
		return "", fence, key
	}
	expiry, err := backend.ParseClock(r.Header.Get(backend.HeaderExpiry))
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil || expiry <= s.clock.Boot():
		return backend.RefusedExpired, fence, key
	case fence != s.current.fence:
		return backend.RefusedFence, fence, key
	case !s.ownsKey(key):
		return backend.RefusedSlice, fence, key
	}
	s.current.expiry = max(s.current.expiry, expiry)
	return "", fence, key
}

func (s *Server) ownsKey(key table.Hash) bool {
	if s.current.keys[key] {
		return true
	}
	slice := id.Slice(uint64(key) % uint64(max(s.current.sliceCount, 1)))
	return s.current.slices[slice] && !s.current.except[key]
}

// isGranted reports whether the current grant has not expired and covers key.
func (s *Server) isGranted(key table.Hash) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Boot() < s.current.expiry && s.ownsKey(key)
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	cause, fence, key := s.checkFence(r)
	if cause == "" && s.isFull() {
		cause = backend.RefusedOverload
	}
	if cause != "" {
		refuse(w, cause)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	incarnation, ok := s.acquireSlot(r.Context())
	if !ok {
		return
	}
	defer s.releaseSlot(incarnation)
	if r.Header.Get(HeaderKill) != "" {
		s.Kill()
		return
	}
	index := s.journal.Begin(Run{
		Server: s.name, Domain: s.options.Domain, Service: s.options.Service, Boot: incarnation,
		Key: r.Header.Get(backend.HeaderKey), Fence: fence,
		Request: r.Header.Get(HeaderRequest), Attempt: r.Header.Get(HeaderAttempt),
		Once: r.Header.Get(HeaderOnce) != "", Start: time.Now(),
	})
	done := s.process(r.Context(), fence, key)
	s.journal.Finish(index, time.Now(), done)
	if !done {
		// Closes the connection without a response, as a process does that aborts a request whose key it no longer owns.
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, r, body, s.name)
}

// writeResponse echoes the request's ID, method, path and body length, so that the caller can detect a response to another request.
func writeResponse(w http.ResponseWriter, r *http.Request, body []byte, server id.Server) {
	w.Header().Set("X-Server", string(server))
	fmt.Fprintf(w, "%s %s %s %d", r.Header.Get(HeaderRequest), r.Method, r.URL.Path, len(body))
}

// isFull reports whether all slots are in use and the queue is full, so that one more request must be refused.
func (s *Server) isFull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running+s.waiting >= s.options.Slots+s.options.QueueSize
}

// acquireSlot waits for a free slot; it reports false if ctx ends first or the process is restarted meanwhile.
// Load above the concurrency limit of a cold server is recorded as an event.
func (s *Server) acquireSlot(ctx context.Context) (incarnation id.Incarnation, ok bool) {
	s.mu.Lock()
	slots, incarnation := s.slots, s.incarnation
	s.waiting++
	if s.running+s.waiting > s.concurrencyLimit() {
		s.journal.AddEvent(Event{Server: s.name, Kind: EventColdOverload, At: time.Now()})
	}
	s.mu.Unlock()
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		s.mu.Lock()
		s.dequeue(incarnation, 0)
		s.mu.Unlock()
		return incarnation, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dequeue(incarnation, 1)
	return incarnation, s.incarnation == incarnation
}

// dequeue removes a request from the queue and adds running to the running requests, unless the process was restarted.
func (s *Server) dequeue(incarnation id.Incarnation, running int) {
	if s.incarnation == incarnation {
		s.waiting--
		s.running += running
	}
}

// concurrencyLimit returns the number of requests, queued ones included, that the server can handle concurrently now.
// It grows during warm-up; a warm server has no limit here, because it queues the excess.
func (s *Server) concurrencyLimit() int {
	if s.completed >= s.options.WarmupRequests {
		return 1 << 30
	}
	return 1 + (s.options.Slots-1)*s.completed/max(s.options.WarmupRequests, 1)
}

// releaseSlot frees the slot of a request, unless the process has been restarted since.
func (s *Server) releaseSlot(incarnation id.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation != incarnation {
		return
	}
	s.running--
	s.completed++
	<-s.slots
}

// process waits for the service time of a request and reports whether the request took effect.
func (s *Server) process(ctx context.Context, fence id.Fence, key table.Hash) bool {
	s.mu.Lock()
	d := time.Duration(float64(s.options.ServiceTime) * s.serviceTimeFactor * (0.5 + rand.Float64()))
	if s.completed < s.options.WarmupRequests {
		d = time.Duration(float64(d) * s.options.ColdFactor)
	}
	s.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	s.waitWhilePaused()
	if s.options.Fenced && fence.Term != 0 && !s.isGranted(key) {
		return false
	}
	return true
}

// ResetWarmup makes the server cold again without a restart, as after the loss of a cache.
func (s *Server) ResetWarmup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completed = 0
}
