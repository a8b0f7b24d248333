package edge_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/standin/kv"
	"github.com/hickorylug/hickorylug/standin/worker"
)

// coolingServer is a backend server that can turn cold and says so in its health responses only.
type coolingServer struct {
	worker *worker.Worker

	mu sync.Mutex
	// coldUntil is when it is warm again.
	coldUntil time.Time
	// requests are the times at which requests arrived.
	requests []time.Time
}

// ServeHTTP answers a health check, or records a request and passes it on.
func (c *coolingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	if r.URL.Path != "/health" {
		c.requests = append(c.requests, time.Now())
		c.mu.Unlock()
		c.worker.ServeHTTP(w, r)
		return
	}
	defer c.mu.Unlock()
	w.Header().Set("Instance-Id", c.worker.ID)
	if left := time.Until(c.coldUntil); left > 0 {
		w.Header().Set("Warmup-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
}

// coolDown makes the backend server cold for some time.
func (c *coolingServer) coolDown(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldUntil = time.Now().Add(d)
}

// mostPerSecond returns the greatest number of requests that arrived within one second, after a time.
func (c *coolingServer) mostPerSecond(after time.Time) (most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, first := range c.requests {
		n := 0
		for _, at := range c.requests[i:] {
			if first.After(after) && at.Sub(first) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// configureArchive writes a configuration whose only service has a warm-up rate of 5 requests per second.
func (s *site) configureArchive() {
	s.version++
	data, err := json.Marshal(map[string]any{
		"Version": fmt.Sprintf("%08x", s.version), "Limits": map[string]any{"MaxHeaderBytes": 4096, "MaxBodyBytes": 1000},
		"Listeners": []any{map[string]any{"Host": "a.example", "Rules": []any{map[string]any{
			"Name": "archive", "RouteType": "idempotent", "TargetLatencyS": 1, "Match": map[string]any{"PathPrefix": "/archive/"},
			"Action": map[string]any{"Service": "archive", "TimeoutS": 5, "MaxAttempts": 1},
		}}}},
		"Clusters": []any{map[string]any{"Name": "archive", "HealthPath": "/health", "MaxConnections": 50, "WarmupS": 5, "WarmupPerS": 5}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Put("op/config", data)
}

// awaitPeers waits until each VM knows of all others.
func (s *site) awaitPeers() {
	s.t.Helper()
	for vm := range s.metricsAddresses {
		for known := 0; known < len(s.metricsAddresses); time.Sleep(pollPeriod) {
			var got struct{ Peers int }
			if err := json.Unmarshal([]byte(s.metricsOf(vm)), &got); err != nil {
				s.t.Fatal(err)
			}
			known = got.Peers
		}
	}
}

// coolingSite is a site with a backend server that can turn cold, under a steady load.
type coolingSite struct {
	*site
	server   *coolingServer
	requests sync.WaitGroup
	sent     int
}

func newCoolingSite(t *testing.T) *coolingSite {
	t.Helper()
	s := &coolingSite{site: newSite(t, 3)}
	s.server = &coolingServer{worker: worker.New("x-1", "archive", s.journal, worker.WithServiceTime(time.Millisecond))}
	server := httptest.NewServer(s.server)
	t.Cleanup(server.Close)
	s.store.Put("servers/x-1", []byte(fmt.Sprintf(
		`{"Service":"archive","Address":%q,"Zone":"east","Version":"v1","Slots":4,"State":"ready","WarmupLeftS":0,"Sequence":1,"born":1}`,
		strings.TrimPrefix(server.URL, "http://"))))
	s.configureArchive()
	s.awaitAll("/archive/")
	s.awaitPeers()
	return s
}

// sendFor sends 100 requests a second to the VMs in turn.
func (s *coolingSite) sendFor(d time.Duration, vms ...int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		s.sent++
		n := s.sent
		s.requests.Go(func() {
			s.sendRequest(vms[n%len(vms)], http.MethodGet, "/archive/x", fmt.Sprint("archive", n), map[string]string{"Deadline-Ms": "300"}, "")
		})
	}
}

// mostAllowed is the number of requests that a cold backend server may get within a second: 5 x 1.5 + 5.
const mostAllowed = 12

func TestServerTurnsColdDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	s := newCoolingSite(t)
	s.store.SetFault(kv.Fault{Down: true})
	defer s.store.SetFault(kv.Fault{})
	s.sendFor(2*time.Second, 0, 1, 2)
	warm := s.server.mostPerSecond(time.Time{})
	s.server.coolDown(10 * time.Second)
	coldAt := time.Now()
	s.sendFor(4*time.Second, 0, 1, 2)
	s.requests.Wait()
	cold := s.server.mostPerSecond(coldAt.Add(time.Second))
	t.Logf("at most %d requests arrived within a second while it was warm, %d while it was cold", warm, cold)
	is.True(warm > 30)
	is.True(cold > 0)
	is.True(cold <= mostAllowed)
}

func TestServerIsColdAtTheEndOfAnEvacuation(t *testing.T) {
	is := is.New(t)
	s := newCoolingSite(t)
	s.store.Put("op/evacuate/east", []byte("{}"))
	s.sendFor(2*time.Second, 0, 1, 2)
	s.server.coolDown(10 * time.Second)
	s.store.Remove("op/evacuate/east")
	returnedAt := time.Now()
	s.sendFor(4*time.Second, 0, 1, 2)
	s.requests.Wait()
	cold := s.server.mostPerSecond(returnedAt.Add(time.Second))
	t.Logf("at most %d requests arrived within a second", cold)
	is.True(cold > 0)
	is.True(cold <= mostAllowed)
}
