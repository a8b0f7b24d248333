package edge_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/standin/worker"
)

// lateCaller has a connection to a VM on which it sends a request late.
type lateCaller struct {
	connection net.Conn
	reader     *bufio.Reader
}

func dialCaller(t *testing.T, address string) *lateCaller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &lateCaller{connection: c, reader: bufio.NewReader(c)}
}

// send sends a request and returns the status of its response, or 0 if the connection ends without one.
func (c *lateCaller) send(method, path, id string) (status int) {
	_, err := fmt.Fprintf(c.connection, "%s %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 5000\r\nShard-Key: 7\r\nContent-Length: 0\r\n\r\n", method, path, id)
	if err != nil {
		return 0
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// A request that comes late in the grace time of a planned stop must not be passed on and then cut off without an answer.
func TestRequestsLateInAPlannedStopAreNotCutOff(t *testing.T) {
	// Of the grace time, 0.4 s are a reserve. New connections are accepted for half of the rest, 1.8 s.
	const grace = 4 * time.Second
	tests := map[string]struct {
		method, path string
		// kept says that the connection has carried a request before the stop; others are opened before it and carry none.
		kept bool
		// at is the time of the request since the beginning of the stop.
		at     time.Duration
		status int
		runs   int
	}{
		"kept connection, not idempotent":                {method: http.MethodPost, path: "/renew/x", kept: true, at: 300 * time.Millisecond, status: 503},
		"connection without a request, not idempotent":   {method: http.MethodPost, path: "/renew/x", at: 2600 * time.Millisecond, status: 503},
		"kept connection, idempotent":                    {method: http.MethodGet, path: "/view/x", kept: true, at: 300 * time.Millisecond, status: 200, runs: 1},
		"connection without a request, idempotent, late": {method: http.MethodGet, path: "/view/x", at: 2600 * time.Millisecond, status: 503},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 2, withGraceTime(grace), func(s *site) { s.billing = []worker.Option{worker.WithServiceTime(grace)} })
			s.awaitAll("/view/")
			c := dialCaller(t, s.callerAddresses[0])
			if test.kept {
				is.Equal(c.send(http.MethodGet, "/view/x", "before"), http.StatusOK)
			}
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				s.stopVM(0)
			}()
			time.Sleep(test.at)
			status := c.send(test.method, test.path, "late")
			<-stopped
			is.Equal(status, test.status)
			is.Equal(s.journal.Runs("late"), test.runs)
		})
	}
}

// A request that no backend server has at the end of the grace time of a planned stop must get an answer.
func TestWaitingRequestsAreAnsweredInAPlannedStop(t *testing.T) {
	// Of the grace time, 0.4 s are a reserve. The work and the waits are longer.
	const grace, work = time.Second, 3 * time.Second
	tests := map[string]struct {
		// requests is the number of requests, which the backend servers have no room for, and body the part of each body that is sent.
		requests int
		body     string
		length   int
	}{
		"queued":                 {requests: 3*worker.Slots + 8},
		"their bodies come late": {requests: 2, body: "half", length: 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var reached sync.Map
			s := newSite(t, 1, withGraceTime(grace), func(s *site) {
				s.billing = []worker.Option{worker.WithServiceTime(work), worker.WithOnRequest(func(r *http.Request) { reached.Store(r.Header.Get("Attempt-Id"), true) })}
			})
			s.awaitAll("/view/")
			statuses := make([]int, test.requests)
			var answered atomic.Int64
			var requests sync.WaitGroup
			for i := range test.requests {
				c := dialCaller(t, s.callerAddresses[0])
				requests.Go(func() {
					statuses[i] = c.sendPart("/renew/x", fmt.Sprint("r", i), test.body, test.length)
					answered.Add(1)
				})
			}
			for s.inFlight(0)+answered.Load() < int64(test.requests) {
				time.Sleep(pollPeriod)
			}
			s.stopVM(0)
			requests.Wait()
			waited := 0
			for i, status := range statuses {
				if _, ok := reached.Load(fmt.Sprint("r", i)); !ok {
					is.Equal(status, http.StatusServiceUnavailable)
					waited++
				}
			}
			is.True(waited > 0)
		})
	}
}

// A request that waits at a backend server at the end of the grace time of a planned stop must get an answer before its connection is closed.
func TestRequestsAtBackendServersAreAnsweredAtTheEndOfAPlannedStop(t *testing.T) {
	const grace, work = time.Second, 5 * time.Second
	tests := map[string]struct{ method, path string }{
		"idempotent":     {method: http.MethodGet, path: "/view/x"},
		"not idempotent": {method: http.MethodPost, path: "/renew/x"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reached := make(chan struct{}, 8)
			slow := []worker.Option{worker.WithOnRequest(func(r *http.Request) {
				if r.Header.Get("Attempt-Id") == "waits" {
					reached <- struct{}{}
					select {
					case <-r.Context().Done():
					case <-time.After(work):
					}
				}
			})}
			s := newSite(t, 1, withGraceTime(grace), func(s *site) { s.billing, s.plans = slow, slow })
			s.awaitAll("/view/")
			c := dialCaller(t, s.callerAddresses[0])
			status := make(chan int, 1)
			go func() { status <- c.send(test.method, test.path, "waits") }()
			<-reached
			s.stopVM(0)
			is.Equal(<-status, http.StatusBadGateway)
		})
	}
}

// sendPart sends a request with a part of its body, and returns the status of its response, or 0 if the connection ends without one.
func (c *lateCaller) sendPart(path, id, part string, length int) (status int) {
	_, err := fmt.Fprintf(c.connection, "POST %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s", path, id, length, part)
	if err != nil {
		return 0
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// inFlight returns the number of requests in flight at a VM, from its metrics.
func (s *site) inFlight(vm int) int64 {
	s.t.Helper()
	var values struct{ InFlight int64 }
	if err := json.Unmarshal([]byte(s.metricsOf(vm)), &values); err != nil {
		s.t.Fatal(err)
	}
	return values.InFlight
}
