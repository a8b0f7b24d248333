package edge_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/standin/worker"
)

// restartableServer is a backend server whose process can be replaced by another one with the same id and address.
type restartableServer struct {
	site    *site
	name    string
	address string
	born    int
	process atomic.Pointer[worker.Worker]
	// grants counts the grants that the present process got.
	grants atomic.Int64
}

func (s *site) addRestartableServer(name string) *restartableServer {
	r := &restartableServer{site: s, name: name}
	r.restart()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { r.process.Load().ServeHTTP(w, request) }))
	s.t.Cleanup(server.Close)
	r.address = strings.TrimPrefix(server.URL, "http://")
	r.register(0)
	return r
}

// restart replaces the process, without an entry in the store.
func (r *restartableServer) restart() {
	if former := r.process.Load(); former != nil {
		former.Stop()
	}
	r.born++
	r.grants.Store(0)
	count := func(request *http.Request) {
		if request.URL.Path == "/hickorylug/grant" {
			r.grants.Add(1)
		}
	}
	r.process.Store(worker.New(r.name, "plans", r.site.journal, worker.WithKeys(), worker.WithServiceTime(time.Millisecond), worker.WithOnRequest(count)))
}

// register writes the entry of the present process, which stays cold for some time.
func (r *restartableServer) register(coldSeconds int) {
	r.site.store.Put("servers/"+r.name, fmt.Appendf(nil,
		`{"Service":"plans","Address":%q,"Zone":"east","Version":"v1","Slots":4,"State":"ready","WarmupLeftS":%d,"Sequence":1,"born":%d}`,
		r.address, coldSeconds, r.born))
}

// awaitGrants waits until the present process has got some grants.
func (r *restartableServer) awaitGrants(n int64) {
	for r.grants.Load() < n {
		time.Sleep(pollPeriod)
	}
}

// The new process takes grants that are meant for the former one until its entry shows that it has started.
func TestRestartUnderSameIDHasNoSecondHolder(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	s.awaitStatus(0, "/view/x", http.StatusOK)
	server := s.addRestartableServer("k-9")
	s.store.Remove("servers/k-0")
	server.awaitGrants(1)

	server.restart()
	server.awaitGrants(2)
	server.register(60)
	const sampled = 200
	for n := range sampled {
		header := map[string]string{"Shard-Key": fmt.Sprint(n * 65535 / sampled)}
		for try := 0; ; try++ {
			if status, _ := s.sendRequest(0, http.MethodGet, "/view/y", fmt.Sprint("restarted", n, "-", try), header, ""); status == http.StatusOK {
				break
			}
			time.Sleep(pollPeriod)
		}
	}
	is.Equal(s.journal.Violations(), nil)
}
