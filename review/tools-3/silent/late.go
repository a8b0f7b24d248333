//go:build review

package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

const (
	// lateShare is the share of the writes that are late, and lateTime for how long.
	lateShare = 0.35
	lateTime  = 4500 * time.Millisecond
	// minLateness and maxLateness limit how late a write is carried out.
	minLateness = time.Second
	maxLateness = 6 * time.Second
)

// lateWrites passes calls on to the store. While writes are late, it carries a share of them out later and never answers them. Renewals of leases
// count as reads.
type lateWrites struct {
	d *deployment

	mu     sync.Mutex
	random *rand.Rand
}

// ServeHTTP handles one call.
func (l *lateWrites) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := strings.TrimPrefix(r.URL.Path, "/hickorylug/")
	isWrite := strings.HasPrefix(call, "kv-txn") || strings.HasPrefix(call, "kv-lease")
	if !isWrite || !l.d.writesAreLate() || l.draw() >= lateShare {
		l.d.store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	late := r.Clone(r.Context())
	late.Body = io.NopCloser(bytes.NewReader(body))
	l.d.record.line("the store carries out %s late and leaves it unanswered", call)
	time.AfterFunc(l.lateness(), func() { l.d.store.ServeHTTP(httptest.NewRecorder(), late) })
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// draw returns a random number from 0 to 1.
func (l *lateWrites) draw() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64()
}

// lateness returns how late a write is carried out.
func (l *lateWrites) lateness() time.Duration {
	return minLateness + time.Duration(l.draw()*float64(maxLateness-minLateness))
}

// writesAreLate reports whether the store carries writes out late now.
func (d *deployment) writesAreLate() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.lateUntil)
}
