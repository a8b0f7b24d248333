package edge_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/edge"
	"github.com/hickorylug/hickorylug/standin/client"
	"github.com/hickorylug/hickorylug/standin/faultproxy"
	"github.com/hickorylug/hickorylug/standin/kv"
	"github.com/hickorylug/hickorylug/standin/loopback"
	"github.com/hickorylug/hickorylug/standin/worker"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/settings"
	"github.com/hickorylug/hickorylug/state/unit"
)

const pollPeriod = 20 * time.Millisecond

// site is a small deployment in one process.
type site struct {
	t                *testing.T
	store            *kv.Store
	storeAddress     string
	journal          *worker.Journal
	callerAddresses  []string
	readyAddresses   []string
	metricsAddresses []string
	peerAddresses    []string
	cancels          []context.CancelFunc
	ended            []chan error
	version          int
	grace            time.Duration
	log              slog.Handler
	// billing and plans are options of the backend servers of these services.
	billing, plans []worker.Option
	// strictRevocation makes the VMs refuse keys that may have been revoked, after two seconds without news.
	strictRevocation bool
	// processor is the part of a core that further VMs have; 0 means a whole one.
	processor float64
	// initial is a copy of the store from before the first VM started.
	initial kv.Copy
	// links holds the fault proxy between each VM and the store, by the index of the VM.
	links []*faultproxy.Proxy
	// serverLinks holds the links between each VM and all backend servers, by the index of the VM.
	serverLinks []*serverLink
}

// withGraceTime sets the grace time of the VMs.
func withGraceTime(d time.Duration) func(*site) { return func(s *site) { s.grace = d } }

func newSite(t *testing.T, vms int, opts ...func(*site)) *site {
	t.Helper()
	s := &site{t: t, grace: 2 * time.Second, log: slog.DiscardHandler, store: kv.NewStore(func() float64 { return 0.5 }), journal: worker.NewJournal()}
	for _, opt := range opts {
		opt(s)
	}
	stop := make(chan struct{})
	done := s.store.Run(stop)
	server := httptest.NewServer(s.store)
	s.storeAddress = strings.TrimPrefix(server.URL, "http://")
	s.configure("/view/")
	for i := range 3 {
		s.addServer(fmt.Sprintf("k-%d", i), "plans", append([]worker.Option{worker.WithKeys()}, s.plans...)...)
		s.addServer(fmt.Sprintf("p-%d", i), "billing", s.billing...)
	}
	s.initial = s.store.Copy()
	for i := range vms {
		s.startVM(i)
	}
	t.Cleanup(func() {
		for i := range s.cancels {
			s.stopVM(i)
		}
		server.CloseClientConnections()
		server.Close()
		close(stop)
		<-done
	})
	return s
}

// configure writes a configuration with routes to the keyed service plans and a non-idempotent route to billing.
func (s *site) configure(prefixes ...string) {
	s.version++
	rules := []any{map[string]any{
		"Name": "renew", "RouteType": "non_idempotent", "TargetLatencyS": 1, "Match": map[string]any{"PathPrefix": "/renew/"},
		"Action": map[string]any{"Service": "billing", "TimeoutS": 5, "MaxAttempts": 2},
	}}
	for _, p := range prefixes {
		rules = append(rules, map[string]any{
			"Name": "r" + p, "RouteType": "idempotent", "TargetLatencyS": 1, "Match": map[string]any{"PathPrefix": p},
			"Action": map[string]any{"Service": "plans", "TimeoutS": 5, "MaxAttempts": 2},
		})
	}
	data, err := json.Marshal(map[string]any{
		"Version": fmt.Sprintf("%08x", s.version), "Limits": map[string]any{"MaxHeaderBytes": 4096, "MaxBodyBytes": 1000},
		"Listeners": []any{map[string]any{"Host": "a.example", "Rules": rules}},
		"Clusters":  []any{map[string]any{"Name": "plans", "Sharded": true, "MaxConnections": 50}, map[string]any{"Name": "billing", "MaxConnections": 50}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Put("op/config", data)
}

func (s *site) addServer(name, service string, opts ...worker.Option) {
	server := httptest.NewServer(worker.New(name, service, s.journal, append([]worker.Option{worker.WithServiceTime(time.Millisecond)}, opts...)...))
	s.t.Cleanup(server.Close)
	s.store.Put("servers/"+name, []byte(fmt.Sprintf(
		`{"Service":%q,"Address":%q,"Zone":"east","Version":"v1","Slots":4,"State":"ready","WarmupLeftS":0,"Sequence":1,"born":1}`,
		service, strings.TrimPrefix(server.URL, "http://"))))
}

func (s *site) freeAddress() string {
	s.t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		s.t.Fatal(err)
	}
	return address
}

func (s *site) startVM(i int) {
	storeLink, err := faultproxy.Listen(s.storeAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(storeLink.Close)
	s.links = append(s.links, storeLink)
	cfg := settings.Edge{
		VM: id.VM(fmt.Sprint("vm", i)), FailureDomain: "east", CallerAddress: s.freeAddress(), ReadyAddress: s.freeAddress(), PeerAddress: s.freeAddress(),
		MetricsAddress: s.freeAddress(), Store: storeLink.Address(), LogLevel: "info", GraceTime: unit.Duration(s.grace), ServerHeartbeat: unit.Duration(time.Second),
		RetryShare: 0.2, RetrySlack: 60, RetryWindow: unit.Duration(10 * time.Second), WarmOverage: 1.5, WarmSlack: 5,
		MaxHold: unit.Duration(10 * time.Second), Processor: cmp.Or(s.processor, 1), Link: 1000, Memory: 1 << 28,
		StrictRevocation: s.strictRevocation, RevocationTime: unit.Duration(2 * time.Second),
	}
	serverLink := newServerLink(s.t)
	s.serverLinks = append(s.serverLinks, serverLink)
	e, err := edge.New(cfg, edge.WithLog(slog.New(s.log)), edge.WithDial(serverLink.dial))
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	s.callerAddresses, s.readyAddresses, s.metricsAddresses = append(s.callerAddresses, cfg.CallerAddress), append(s.readyAddresses, cfg.ReadyAddress), append(s.metricsAddresses, cfg.MetricsAddress)
	s.peerAddresses = append(s.peerAddresses, cfg.PeerAddress)
	s.cancels, s.ended = append(s.cancels, cancel), append(s.ended, ended)
}

// stopVM stops a VM gracefully; stopping it again has no effect.
func (s *site) stopVM(i int) {
	if s.cancels[i] == nil {
		return
	}
	s.cancels[i]()
	s.cancels[i] = nil
	if err := <-s.ended[i]; err != nil {
		s.t.Error(err)
	}
}

// sendRequest sends a request and returns the status and body; the status is 0 where no response was received.
func (s *site) sendRequest(vm int, method, path, request string, header map[string]string, body string) (status int, text string) {
	r, err := http.NewRequest(method, "http://"+s.callerAddresses[vm]+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("Attempt-Id", request)
	r.Header.Set("Deadline-Ms", "5000")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	return client.Exchange(r)
}

// awaitStatus repeats a GET request until it returns the given status.
func (s *site) awaitStatus(vm int, path string, want int) {
	for n := 0; ; n++ {
		if status, _ := s.sendRequest(vm, http.MethodGet, path, fmt.Sprint("await", vm, path, n), map[string]string{"Shard-Key": fmt.Sprint(n * 9973 % 65536)}, ""); status == want {
			return
		}
		time.Sleep(pollPeriod)
	}
}

func TestEdge(t *testing.T) {
	s := newSite(t, 3)
	for vm := range s.callerAddresses {
		s.awaitStatus(vm, "/view/x", http.StatusOK)
	}
	t.Run("every VM returns the response that belongs to the request", func(t *testing.T) {
		is := is.New(t)
		for n := range 60 {
			name := fmt.Sprint("view", n)
			status, text := s.sendRequest(n%3, http.MethodGet, "/view/y", name, map[string]string{"Shard-Key": fmt.Sprint(n * 1092)}, "")
			is.Equal(status, http.StatusOK)
			is.Equal(text, worker.ResponseBody(name, "/view/y", nil))
			name = fmt.Sprint("renew", n)
			status, text = s.sendRequest(n%3, http.MethodPost, "/renew/y", name, nil, "a body")
			is.Equal(status, http.StatusOK)
			is.Equal(text, worker.ResponseBody(name, "/renew/y", []byte("a body")))
			is.Equal(s.journal.Runs(name), 1)
		}
	})
	refusals := map[string]struct {
		method, path string
		header       map[string]string
		body         string
		status       int
	}{
		"no route":         {method: http.MethodGet, path: "/nothing/", status: http.StatusNotFound},
		"no key":           {method: http.MethodGet, path: "/view/x", status: http.StatusBadRequest},
		"key out of range": {method: http.MethodGet, path: "/view/x", header: map[string]string{"Shard-Key": "70000"}, status: http.StatusBadRequest},
		"body too long":    {method: http.MethodPost, path: "/renew/x", body: strings.Repeat("x", 1001), status: http.StatusRequestEntityTooLarge},
		"header too long": {
			method: http.MethodPost, path: "/renew/x", header: map[string]string{"X-Long": strings.Repeat("x", 5000)}, status: http.StatusRequestHeaderFieldsTooLarge,
		},
	}
	for name, test := range refusals {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status, _ := s.sendRequest(0, test.method, test.path, "refused "+name, test.header, test.body)
			is.Equal(status, test.status)
			is.Equal(s.journal.Runs("refused "+name), 0)
		})
	}
	t.Run("a configuration change takes effect at every VM", func(*testing.T) {
		s.configure("/view/", "/more/")
		for vm := range s.callerAddresses {
			s.awaitStatus(vm, "/more/x", http.StatusOK)
		}
	})
	t.Run("requests are served during a store outage after the loss of a VM", func(t *testing.T) {
		is := is.New(t)
		s.store.SetFault(kv.Fault{Down: true})
		s.stopVM(0)
		_, err := net.Dial("tcp", s.callerAddresses[0])
		is.True(err != nil)
		for n := range 20 {
			status, _ := s.sendRequest(1+n%2, http.MethodPost, "/renew/z", fmt.Sprint("alone", n), nil, "")
			is.Equal(status, http.StatusOK)
		}
		s.store.SetFault(kv.Fault{})
		s.awaitStatus(1, "/view/x", http.StatusOK)
	})
	if problems := s.journal.Violations(); len(problems) > 0 {
		t.Errorf("guarantees were violated: %v", problems)
	}
}

// leader waits until a VM leads and returns its index.
func (s *site) leader() int {
	for {
		for vm, address := range s.metricsAddresses {
			var got struct{ Leading bool }
			if r, err := http.Get("http://" + address + "/debug/vars"); err == nil {
				err = json.NewDecoder(r.Body).Decode(&got)
				_ = r.Body.Close()
				if err == nil && got.Leading {
					return vm
				}
			}
		}
		time.Sleep(pollPeriod)
	}
}

// Grants last 2.5 s, so keys would expire if the leader stopped renewing them when its shutdown begins.
func TestStoppedLeaderKeepsKeysDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2, withGraceTime(4*time.Second))
	for vm := range s.callerAddresses {
		s.awaitStatus(vm, "/view/x", http.StatusOK)
	}
	stopped := s.leader()
	s.store.SetFault(kv.Fault{Down: true})
	defer s.store.SetFault(kv.Fault{})
	s.cancels[stopped]()
	const longerThanGrants = 5 * time.Second
	for n, start := 0, time.Now(); time.Since(start) < longerThanGrants; n++ {
		status, _ := s.sendRequest(1-stopped, http.MethodGet, "/view/y", fmt.Sprint("held", n), map[string]string{"Shard-Key": fmt.Sprint(n * 9973 % 65536)}, "")
		is.Equal(status, http.StatusOK)
		time.Sleep(pollPeriod)
	}
}

// A leader without the store can't send store updates to the others, so a VM that reaches the store must replace it.
func TestLeaderPartitionedFromStoreIsReplaced(t *testing.T) {
	s := newSite(t, 3)
	for vm := range s.callerAddresses {
		s.awaitStatus(vm, "/view/x", http.StatusOK)
	}
	partitioned := s.leader()
	s.links[partitioned].SetMode(faultproxy.Stall)
	defer s.links[partitioned].SetMode(faultproxy.Pass)
	// The lease ends after 1.2 s and missing heartbeats are detected after 0.6 s; the rest is a margin for slow machines.
	const maxWait = 20 * time.Second
	for start := time.Now(); s.leader() == partitioned; time.Sleep(pollPeriod) {
		if time.Since(start) > maxWait {
			t.Fatal("the leader that can't reach the store was not replaced")
		}
	}
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	is := is.New(t)
	_, err := edge.New(settings.Edge{VM: "vm1"})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "CallerAddress"))
}
