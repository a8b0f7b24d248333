// Package backend stands in for a backend server in tests and demonstrations.
//
// It runs a few requests at once, starts cold, sheds what is too much, checks
// fences where it is told to, and writes a journal of what it ran.
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

// Server is a stand-in of one backend server.
type Server struct {
	options Options
	name    id.Server
	journal *Journal
	clock   clock.Clock

	mu       sync.Mutex
	http     *http.Server
	address  string
	boot     id.Incarnation
	running  int
	waiting  int
	done     int
	draining bool
	dead     bool
	slow     float64
	frozen   chan struct{}
	granted  granted
	slots    chan struct{}
}

// granted is the newest grant that the server has accepted.
type granted struct {
	fence  id.Fence
	count  int
	slices map[id.Slice]bool
	keys   map[table.Hash]bool
	except map[table.Hash]bool
	expiry clock.Instant
}

// NewServer returns a server that has not been started.
func NewServer(name id.Server, j *Journal, opts ...Option) *Server {
	return &Server{options: newOptions(opts), name: name, journal: j, clock: clock.System{}, slow: 1}
}

// Name returns the server's name.
func (s *Server) Name() id.Server { return s.name }

// Start begins to serve as a new, cold process and returns the address.
func (s *Server) Start(address string) (actual string, err error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boot = id.Incarnation(uuid.NewString())
	s.address, s.dead = l.Addr().String(), false
	s.running, s.waiting, s.done, s.draining, s.granted = 0, 0, 0, false, granted{}
	s.slots = make(chan struct{}, s.options.Slots)
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Second}
	server := s.http
	go func() {
		// The end is a kill by the test itself.
		_ = server.Serve(newLimited(l, s.options.Connections))
	}()
	return s.address, nil
}

// Address returns where the server was started.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Kill ends the process at once, with all connections.
func (s *Server) Kill() {
	s.mu.Lock()
	server := s.http
	s.dead = true
	s.mu.Unlock()
	if server != nil {
		server.Close()
	}
}

// IsKilled reports whether the process has been killed and not been started anew.
func (s *Server) IsKilled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead
}

// Drain makes the server refuse new work.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.journal.AddEvent(Event{Server: s.name, Kind: EventDraining, At: time.Now()})
}

// SetServiceTimeFactor multiplies the time that each request takes.
func (s *Server) SetServiceTimeFactor(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// Pause stops everything, and returns a function that lets it go on as if nothing had happened.
func (s *Server) Pause() (thaw func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	frozen := make(chan struct{})
	s.frozen = frozen
	return sync.OnceFunc(func() {
		s.mu.Lock()
		s.frozen = nil
		s.mu.Unlock()
		close(frozen)
	})
}

// pauseIfFrozen waits while the server is frozen.
func (s *Server) pauseIfFrozen() {
	s.mu.Lock()
	frozen := s.frozen
	s.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.pauseIfFrozen()
	s.mu.Lock()
	w.Header().Set(backend.HeaderBoot, string(s.boot))
	w.Header().Set(backend.HeaderLoad, strconv.Itoa(s.running))
	draining := s.draining
	s.mu.Unlock()
	switch {
	case r.URL.Path == backend.PathGrant:
		s.grant(w, r)
	case draining:
		refuse(w, backend.RefusedDraining)
	case r.URL.Path == backend.PathHealth:
		time.Sleep(s.options.ProbeTime)
		w.WriteHeader(http.StatusOK)
	default:
		s.work(w, r)
	}
}

func refuse(w http.ResponseWriter, cause string) {
	w.Header().Set(backend.HeaderNotRun, cause)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// grant takes or renews a grant; one with an older fence is refused.
func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var g backend.Grant
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	fence := id.Fence{Term: g.Term, Version: g.Version}
	reading := backend.GrantResponse{Boot: s.boot, Clock: s.clock.Boot(), Newest: s.granted.fence}
	late := g.Expiry != 0 && g.Expiry <= reading.Clock
	if !fence.Less(s.granted.fence) && !late && g.Expiry != 0 {
		reading.Accepted = s.take(g, fence)
	}
	s.mu.Unlock()
	// The library sets a length for a body that is written whole.
	_ = json.NewEncoder(w).Encode(reading)
}

func (s *Server) take(g backend.Grant, fence id.Fence) bool {
	if g.Renew {
		if fence != s.granted.fence {
			return false
		}
		s.granted.expiry = max(s.granted.expiry, g.Expiry)
		return true
	}
	next := granted{
		fence: fence, count: g.SliceCount, expiry: g.Expiry,
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
	s.granted = next
	return true
}

// check returns the cause for which a request is refused, or an empty text.
func (s *Server) check(r *http.Request) (cause string, fence id.Fence, key table.Hash) {
	text := r.Header.Get(backend.HeaderFence)
	if text == "" {
		return "", fence, 0
	}
	fence, err := backend.ParseFence(text)
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
	case fence != s.granted.fence:
		return backend.RefusedFence, fence, key
	case !s.owns(key):
		return backend.RefusedSlice, fence, key
	}
	s.granted.expiry = max(s.granted.expiry, expiry)
	return "", fence, key
}

func (s *Server) owns(key table.Hash) bool {
	if s.granted.keys[key] {
		return true
	}
	slice := id.Slice(uint64(key) % uint64(max(s.granted.count, 1)))
	return s.granted.slices[slice] && !s.granted.except[key]
}

// inForce reports whether the grant still covers a key that is being worked on.
func (s *Server) inForce(key table.Hash) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Boot() < s.granted.expiry && s.owns(key)
}

func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	cause, fence, key := s.check(r)
	if cause == "" && s.full() {
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
	boot, ok := s.enter(r.Context())
	if !ok {
		return
	}
	defer s.exit(boot)
	if r.Header.Get(HeaderKill) != "" {
		s.Kill()
		return
	}
	place := s.journal.Begin(Run{
		Server: s.name, Domain: s.options.Domain, Service: s.options.Service, Boot: boot,
		Key: r.Header.Get(backend.HeaderKey), Fence: fence,
		Request: r.Header.Get(HeaderRequest), Attempt: r.Header.Get(HeaderAttempt),
		Once: r.Header.Get(HeaderOnce) != "", Start: time.Now(),
	})
	done := s.toil(r.Context(), fence, key)
	s.journal.Finish(place, time.Now(), done)
	if !done {
		// The connection is cut, as by a process that gives up a request it no longer owns.
		panic(http.ErrAbortHandler)
	}
	answer(w, r, body, s.name)
}

// answer echoes enough for the caller to tell its own answer from another's.
func answer(w http.ResponseWriter, r *http.Request, body []byte, server id.Server) {
	w.Header().Set("X-Server", string(server))
	fmt.Fprintf(w, "%s %s %s %d", r.Header.Get(HeaderRequest), r.Method, r.URL.Path, len(body))
}

// full reports whether a request more is beyond what the server queues.
func (s *Server) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running+s.waiting >= s.options.Slots+s.options.QueueSize
}

// enter takes a slot; more than a cold server bears is noted.
func (s *Server) enter(ctx context.Context) (boot id.Incarnation, ok bool) {
	s.mu.Lock()
	slots, boot := s.slots, s.boot
	s.waiting++
	if s.running+s.waiting > s.bears() {
		s.journal.AddEvent(Event{Server: s.name, Kind: EventColdOverload, At: time.Now()})
	}
	s.mu.Unlock()
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		s.mu.Lock()
		s.leaveQueue(boot, 0)
		s.mu.Unlock()
		return boot, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveQueue(boot, 1)
	return boot, s.boot == boot
}

// leaveQueue ends the wait of a request of the same process.
func (s *Server) leaveQueue(boot id.Incarnation, running int) {
	if s.boot == boot {
		s.waiting--
		s.running += running
	}
}

// bears returns the number of requests at once that the server bears now; a warm one queues what is too much.
func (s *Server) bears() int {
	if s.done >= s.options.WarmupRequests {
		return 1 << 30
	}
	return 1 + (s.options.Slots-1)*s.done/max(s.options.WarmupRequests, 1)
}

// exit gives the slot back, unless its process has been replaced meanwhile.
func (s *Server) exit(boot id.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.boot != boot {
		return
	}
	s.running--
	s.done++
	<-s.slots
}

// toil takes the time of a request and reports whether it had its effect.
func (s *Server) toil(ctx context.Context, fence id.Fence, key table.Hash) bool {
	s.mu.Lock()
	d := time.Duration(float64(s.options.ServiceTime) * s.slow * (0.5 + rand.Float64()))
	if s.done < s.options.WarmupRequests {
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
	s.pauseIfFrozen()
	if s.options.Fenced && fence.Term != 0 && !s.inForce(key) {
		return false
	}
	return true
}

// ResetWarmup takes the warmth away without a restart, as when a cache is lost.
func (s *Server) ResetWarmup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = 0
}
