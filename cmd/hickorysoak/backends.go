package main

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/standin/faultproxy"
)

const (
	// maxRestartTime is the longest time in which a backend server starts again at its address.
	maxRestartTime = 400 * time.Millisecond
	// maxEntryDelay is the longest time after which the store has the entry of such a process.
	maxEntryDelay = 2 * time.Second
	// minBackends is the number of backend servers that are left alone.
	minBackends = 3
	drainTime   = 2 * time.Second
)

// takeBackend removes a random backend server from the list, so that only the caller acts on it; nil if few are left.
func (e *environment) takeBackend(random *rand.Rand) (b *backend) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.backends) <= minBackends {
		return nil
	}
	n := random.IntN(len(e.backends))
	b = e.backends[n]
	e.backends = slices.Delete(e.backends, n, n+1)
	return b
}

// maxSilence is the longest time for which backend servers are silent.
const maxSilence = 2500 * time.Millisecond

// silenceBackends makes half or more of the backend servers of each service silent, as if failure domains had lost power, and resets their
// connections when they return.
func (e *environment) silenceBackends(random *rand.Rand, d time.Duration) {
	byService := map[string][]*backend{}
	e.mu.Lock()
	for _, b := range e.backends {
		byService[b.service] = append(byService[b.service], b)
	}
	e.mu.Unlock()
	var silent []*backend
	for _, service := range []string{keyedService, unkeyedService} {
		all := byService[service]
		for _, i := range random.Perm(len(all))[:max(0, len(all)-1-random.IntN(2))] {
			silent = append(silent, all[i])
		}
	}
	d = min(d, maxSilence)
	for _, b := range silent {
		e.notes.add("%s is silent for %s", b.id, d)
	}
	begin := time.Now()
	setModes(silent, faultproxy.Silent)
	time.Sleep(d)
	setModes(silent, faultproxy.Pass)
	e.departures.addSilences(silent, begin)
}

// setModes changes the modes of several backend servers' proxies at the same time.
func setModes(backends []*backend, mode faultproxy.Mode) {
	var wg sync.WaitGroup
	for _, b := range backends {
		wg.Go(func() { b.proxy.SetMode(mode) })
	}
	wg.Wait()
}

// replaceBackend replaces a random backend server by a new incarnation with the same ID at another address.
func (e *environment) replaceBackend(random *rand.Rand, d time.Duration, graceful bool) {
	b := e.takeBackend(random)
	if b == nil {
		return
	}
	if graceful {
		e.registerBackend(b, "draining")
		time.Sleep(drainTime)
	}
	e.notes.add("%s ends, and starts elsewhere", b.id)
	b.kill()
	time.Sleep(d / 4)
	e.mu.Lock()
	defer e.mu.Unlock()
	next, err := e.startBackend(b.id, b.service, "")
	if err != nil {
		panic(err)
	}
	e.registerBackend(next, "ready")
}

// startBackendAgain replaces a random backend server by a new incarnation with the same ID and address, whose entry is written later.
func (e *environment) startBackendAgain(random *rand.Rand) {
	b := e.takeBackend(random)
	if b == nil {
		return
	}
	e.notes.add("%s ends, and starts again at its address", b.id)
	b.kill()
	time.Sleep(time.Duration(random.Int64N(int64(maxRestartTime))))
	e.mu.Lock()
	next, err := e.startBackend(b.id, b.service, b.address)
	e.mu.Unlock()
	if err != nil {
		panic(err)
	}
	e.notes.add("%s has started at its address, born %d", b.id, next.startTime)
	time.Sleep(time.Duration(random.Int64N(int64(maxEntryDelay))))
	e.mu.Lock()
	defer e.mu.Unlock()
	// A later incarnation may have started in the meantime.
	if slices.Contains(e.backends, next) {
		e.registerBackend(next, "ready")
		e.notes.add("the entry of %s is written", b.id)
	}
}
