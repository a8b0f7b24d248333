package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/standin/faultproxy"
	"github.com/hickorylug/hickorylug/standin/kv"
)

// lostChanges is the number of changes that a restoration takes back, more than are made after it.
const lostChanges = 200

// loseChanges makes changes that a copy made before doesn't have.
func (s *site) loseChanges() {
	for n := range lostChanges {
		s.store.Put("other/key", []byte(fmt.Sprint(n)))
	}
}

// restore brings the store back from a copy after an outage.
func (s *site) restore(c kv.Copy, outage time.Duration) {
	s.store.SetFault(kv.Fault{Down: true})
	time.Sleep(outage)
	s.store.Restore(c)
	s.store.SetFault(kv.Fault{})
}

// awaitAll waits until all running VMs serve a path.
func (s *site) awaitAll(path string) {
	s.t.Helper()
	// Changes must be in force within 2 s; the rest is a margin for slow machines.
	const maxWait = 20 * time.Second
	start := time.Now()
	for vm := range s.callerAddresses {
		for n := 0; s.cancels[vm] != nil; n++ {
			status, _ := s.sendRequest(vm, http.MethodGet, path, fmt.Sprint("await", vm, path, n), map[string]string{"Shard-Key": fmt.Sprint(n * 9973 % 65536)}, "")
			if status == http.StatusOK {
				break
			}
			if time.Since(start) > maxWait {
				s.t.Fatalf("VM %d answers %s with status %d", vm, path, status)
			}
			time.Sleep(pollPeriod)
		}
	}
}

// Changes of a store that came back from an older copy must be followed, although their revisions are lower than those known before.
func TestRestoredStoreIsFollowed(t *testing.T) {
	tests := map[string]func(s *site, c kv.Copy){
		"after a short outage": func(s *site, c kv.Copy) { s.restore(c, 100*time.Millisecond) },
		"after a long outage":  func(s *site, c kv.Copy) { s.restore(c, 2*time.Second) },
		"twice": func(s *site, c kv.Copy) {
			s.restore(c, 100*time.Millisecond)
			s.loseChanges()
			time.Sleep(200 * time.Millisecond)
			s.restore(c, 100*time.Millisecond)
		},
		"while the leader stops": func(s *site, c kv.Copy) {
			leader := s.leader()
			s.cancels[leader]()
			s.restore(c, 100*time.Millisecond)
			s.stopVM(leader)
		},
		"while a VM can't reach it": func(s *site, c kv.Copy) {
			follower := (s.leader() + 1) % len(s.links)
			s.links[follower].SetMode(faultproxy.Stall)
			s.restore(c, 100*time.Millisecond)
			time.Sleep(time.Second)
			s.links[follower].SetMode(faultproxy.Pass)
		},
		"while the leader can't reach it": func(s *site, c kv.Copy) {
			leader := s.leader()
			s.links[leader].SetMode(faultproxy.Stall)
			s.restore(c, 100*time.Millisecond)
			time.Sleep(2 * time.Second)
			s.links[leader].SetMode(faultproxy.Pass)
		},
		"with a copy from before the first table": func(s *site, _ kv.Copy) { s.restore(s.initial, 100*time.Millisecond) },
	}
	for name, restore := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 3)
			s.awaitAll("/view/x")
			c := s.store.Copy()
			s.loseChanges()
			s.configure("/view/", "/before/")
			s.awaitAll("/before/x")
			restore(s, c)
			s.configure("/view/", "/before/", "/after/")
			s.awaitAll("/after/x")
			is.Equal(s.journal.Violations(), nil)
		})
	}
}
