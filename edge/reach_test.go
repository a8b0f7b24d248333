package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/standin/faultproxy"
	"github.com/hickorylug/hickorylug/standin/worker"
)

// cut is how the links of a VM to all backend servers fail.
type cut int

const (
	// intact links carry everything.
	intact cut = iota
	// silent links carry nothing: connections hang, open ones and new ones.
	silent
	// resetting links break open connections off and reset new ones.
	resetting
	// refusing links carry open connections and refuse new ones.
	refusing
)

// serverLink is the links of one VM to all backend servers.
type serverLink struct {
	t       *testing.T
	mu      sync.Mutex
	cut     cut
	proxies map[string]*faultproxy.Proxy
}

func newServerLink(t *testing.T) *serverLink {
	l := &serverLink{t: t, proxies: map[string]*faultproxy.Proxy{}}
	t.Cleanup(func() {
		for _, p := range l.proxies {
			p.Close()
		}
	})
	return l
}

// set cuts the links, or mends them.
func (l *serverLink) set(c cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = c
	mode := map[cut]faultproxy.Mode{silent: faultproxy.Stall, resetting: faultproxy.Reset}[c]
	for _, p := range l.proxies {
		p.SetMode(mode)
	}
}

// dial opens a connection to a backend server.
func (l *serverLink) dial(ctx context.Context, address string) (net.Conn, error) {
	l.mu.Lock()
	c, proxy := l.cut, l.proxies[address]
	if proxy == nil {
		var err error
		if proxy, err = faultproxy.Listen(address); err != nil {
			l.mu.Unlock()
			return nil, err
		}
		l.proxies[address] = proxy
	}
	l.mu.Unlock()
	switch c {
	case silent:
		<-ctx.Done()
		return nil, ctx.Err()
	case resetting:
		return nil, syscall.ECONNRESET
	case refusing:
		return nil, syscall.ECONNREFUSED
	default:
		return (&net.Dialer{}).DialContext(ctx, "tcp", proxy.Address())
	}
}

// isCutOff reports whether a VM says that it reaches no backend server.
func (s *site) isCutOff(vm int) bool {
	s.t.Helper()
	r, err := http.Get("http://" + s.metricsAddresses[vm] + "/debug/vars")
	if err != nil {
		s.t.Fatal(err)
	}
	defer r.Body.Close()
	var got struct{ CutOff bool }
	if err := json.NewDecoder(r.Body).Decode(&got); err != nil {
		s.t.Fatal(err)
	}
	return got.CutOff
}

// awaitCutOff sends requests to a VM until it says that it reaches no backend server; a VM without requests doesn't notice.
func (s *site) awaitCutOff(vm int) {
	s.t.Helper()
	for n := 0; !s.isCutOff(vm); n++ {
		s.sendBoth(vm, fmt.Sprint("next ", vm, n), n*9973)
		time.Sleep(pollPeriod)
	}
}

// sendBoth sends a request for a key and one that must not run twice, and returns their statuses.
func (s *site) sendBoth(vm int, name string, key int) (view, renew int) {
	header := map[string]string{"Shard-Key": fmt.Sprint(key % 65536), "Deadline-Ms": "1000"}
	view, _ = s.sendRequest(vm, http.MethodGet, "/view/y", "view "+name, header, "")
	renew, _ = s.sendRequest(vm, http.MethodPost, "/renew/y", "renew "+name, header, "a body")
	return view, renew
}

// TestCallersOfVMsWithoutBackendServersAreServed guards against callers who are refused because their VM reaches no backend server.
func TestCallersOfVMsWithoutBackendServersAreServed(t *testing.T) {
	const attempts, requests = 15, 20
	tests := map[string]struct {
		cut    cut
		leader bool
		// others is the number of other VMs that are cut off, too.
		others int
	}{
		"open connections hang":           {cut: silent},
		"open connections are reset":      {cut: resetting},
		"open connections live on":        {cut: refusing},
		"the leader, connections hang":    {cut: silent, leader: true},
		"the leader, connections live on": {cut: refusing, leader: true},
		"most VMs, connections hang":      {cut: silent, others: 1},
		"most VMs, the leader, reset":     {cut: resetting, leader: true, others: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 3)
			for vm := range s.callerAddresses {
				s.awaitStatus(vm, "/view/x", http.StatusOK)
			}
			vm := s.leader()
			if !test.leader {
				vm = (vm + 1) % len(s.callerAddresses)
			}
			s.serverLinks[vm].set(test.cut)
			other := (vm + 1) % len(s.callerAddresses)
			if test.others > 0 {
				s.serverLinks[other].set(test.cut)
			}
			cutOff := []int{vm, other}[:1+test.others]
			served := map[int]bool{}
			for n := 0; n < attempts && len(served) < len(cutOff); n++ {
				for _, vm := range cutOff {
					if view, renew := s.sendBoth(vm, fmt.Sprint("first ", vm, n), n*9973); view == http.StatusOK && renew == http.StatusOK {
						served[vm] = true
					}
				}
			}
			is.Equal(len(served), len(cutOff)) // a VM without backend servers serves its callers through another one
			for _, vm := range cutOff {
				s.awaitCutOff(vm)
			}
			for n := range requests {
				name := fmt.Sprint("cut ", n)
				view, renew := s.sendBoth(vm, name, n*9973)
				is.Equal(view, http.StatusOK)
				is.Equal(renew, http.StatusOK)
				is.Equal(s.journal.Runs("renew "+name), 1)
			}
			s.serverLinks[vm].set(intact)
			s.serverLinks[other].set(intact)
			for s.isCutOff(vm) {
				time.Sleep(pollPeriod)
			}
			for n := range requests {
				status, text := s.sendRequest(vm, http.MethodPost, "/renew/y", fmt.Sprint("healed ", n), nil, "")
				is.Equal(status, http.StatusOK)
				is.Equal(text, worker.ResponseBody(fmt.Sprint("healed ", n), "/renew/y", nil))
			}
			if problems := s.journal.Violations(); len(problems) > 0 {
				t.Errorf("guarantees were violated: %v", problems)
			}
		})
	}
}

// TestStoppedVMEndsAttemptsForOthers guards against requests that are cut off by the planned stop of the VM that sends them for another one.
func TestStoppedVMEndsAttemptsForOthers(t *testing.T) {
	is := is.New(t)
	const requests = 6
	// The work is longer than the part of the grace time that a stopping VM waits for the balancer, and shorter than all of it.
	s := newSite(t, 2, withGraceTime(6*time.Second), func(s *site) { s.billing = []worker.Option{worker.WithServiceTime(3200 * time.Millisecond)} })
	for vm := range s.callerAddresses {
		s.awaitStatus(vm, "/view/x", http.StatusOK)
	}
	vm := 1 - s.leader()
	s.serverLinks[vm].set(refusing)
	s.awaitCutOff(vm)
	statuses := make(chan int, requests)
	name := func(n int) string { return fmt.Sprint("under way ", n) }
	for n := range requests {
		go func() {
			status, _ := s.sendRequest(vm, http.MethodPost, "/renew/y", name(n), nil, "a body")
			statuses <- status
		}()
	}
	for n := range requests {
		for s.journal.Runs(name(n)) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	s.stopVM(1 - vm)
	for range requests {
		is.Equal(<-statuses, http.StatusOK)
	}
	is.Equal(len(s.journal.Violations()), 0)
}
