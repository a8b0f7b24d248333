package edge_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/standin/worker"
)

// leavingServer is a backend server that can begin to leave without a change of its registration.
type leavingServer struct {
	worker *worker.Worker

	mu        sync.Mutex
	isLeaving bool
	// toldAt is when it first announced that it leaves, in a response to a request or to a command.
	toldAt time.Time
	// requests are the times at which requests arrived.
	requests []time.Time
}

// ServeHTTP records a request and passes it on.
func (l *leavingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	if !strings.HasPrefix(r.URL.Path, "/hickorylug/") {
		l.requests = append(l.requests, time.Now())
	}
	if l.isLeaving {
		w.Header().Set("Server-Leaving", "1")
		if l.toldAt.IsZero() {
			l.toldAt = time.Now()
		}
	}
	l.mu.Unlock()
	l.worker.ServeHTTP(w, r)
}

// requestsSince returns how many requests arrived after a time, and the longest time after it.
func (l *leavingServer) requestsSince(at time.Time) (n int, last time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, arrived := range l.requests {
		if arrived.After(at) {
			n++
			last = max(last, arrived.Sub(at))
		}
	}
	return n, last
}

// leave makes the backend server announce in its responses that it leaves.
func (l *leavingServer) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isLeaving = true
}

func (l *leavingServer) announcedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.toldAt
}

// A backend server that leaves must get no requests after the drain time, and its keys must be served by others before.
func TestServerLeaves(t *testing.T) {
	for name, keyed := range map[string]bool{"with keys": true, "without keys": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 3)
			service, path := "billing", "/renew/"
			var options []worker.Option
			if keyed {
				service, path, options = "plans", "/view/", []worker.Option{worker.WithKeys()}
			}
			l := &leavingServer{worker: worker.New("x-1", service, s.journal, append(options, worker.WithServiceTime(time.Millisecond))...)}
			server := httptest.NewServer(l)
			t.Cleanup(server.Close)
			s.store.Put("servers/x-1", []byte(fmt.Sprintf(
				`{"Service":%q,"Address":%q,"Zone":"east","Version":"v1","Slots":4,"State":"ready","WarmupLeftS":0,"Sequence":1,"born":1}`,
				service, strings.TrimPrefix(server.URL, "http://"))))
			s.awaitAll(path)
			requests, failed := 0, 0
			send := func() {
				requests++
				status, _ := s.sendRequest(requests%3, http.MethodGet, path, fmt.Sprint(name, requests), map[string]string{"Shard-Key": fmt.Sprint(requests * 9973 % 65536)}, "")
				if status != http.StatusOK {
					failed++
				}
				time.Sleep(5 * time.Millisecond)
			}
			// The leader begins to move keys to a new backend server some seconds after it was elected.
			for end := time.Now().Add(20 * time.Second); time.Now().Before(end); send() {
				if n, _ := l.requestsSince(time.Time{}); n > 20 {
					break
				}
			}
			before := failed
			l.leave()
			for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
				send()
			}
			is.True(!l.announcedAt().IsZero())
			n, last := l.requestsSince(l.announcedAt())
			t.Logf("%d requests arrived within %s after the announcement; %d of %d requests failed after it", n, last, failed-before, requests)
			is.True(last < 2*time.Second) // The drain time of these VMs.
			is.True(keyed || n < 15)      // Each VM stops at once, without waiting for the registration.
			is.Equal(failed-before, 0)
			is.Equal(len(s.journal.Violations()), 0)
		})
	}
}
