package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/standin/kv"
	"github.com/hickorylug/hickorylug/standin/worker"
	"github.com/hickorylug/hickorylug/transport/gossip"
)

// configureCustomers writes a configuration with customers, by key, and the routes /private/ and /public/ to the service billing. It
// returns the document.
func (s *site) configureCustomers(customers map[string]string) (document []byte) {
	s.t.Helper()
	s.version++
	rule := func(name string, public bool) any {
		return map[string]any{
			"Name": name, "RouteType": "idempotent", "TargetLatencyS": 1, "Match": map[string]any{"PathPrefix": "/" + name + "/"}, "Public": public,
			"Action": map[string]any{"Service": "billing", "TimeoutS": 5, "MaxAttempts": 2},
		}
	}
	tenants := []any{}
	for key, name := range customers {
		tenants = append(tenants, map[string]any{"Name": name, "ApiKeys": []string{key}})
	}
	document, err := json.Marshal(map[string]any{
		"Version": fmt.Sprintf("%08x", s.version), "Tenants": tenants,
		"Listeners": []any{map[string]any{"Host": "a.example", "Rules": []any{rule("private", false), rule("public", true)}}},
		"Clusters":  []any{map[string]any{"Name": "billing", "MaxConnections": 50}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Put("op/config", document)
	return document
}

// awaitKey repeats a request with a key until the VM returns the given status.
func (s *site) awaitKey(vm int, key string, want int) {
	s.t.Helper()
	// Changes must be in force within 2.5 s; the rest is a margin for slow machines.
	const maxWait = 20 * time.Second
	for start := time.Now(); ; time.Sleep(pollPeriod) {
		status := s.statusOf(vm, key)
		if status == want {
			return
		}
		if time.Since(start) > maxWait {
			s.t.Fatalf("VM %d answers key %s with status %d", vm, key, status)
		}
	}
}

// statusOf returns the status of a request with a key.
func (s *site) statusOf(vm int, key string) int {
	status, _ := s.sendRequest(vm, http.MethodGet, "/private/x", "of key", map[string]string{"Key": key}, "")
	return status
}

// recorder collects the requests that backend servers get; it is safe for concurrent use.
type recorder struct {
	mu   sync.Mutex
	text strings.Builder
	// customers holds the field Tenant of each request by its id.
	customers map[string][]string
}

func (r *recorder) record(request *http.Request) {
	dump, err := httputil.DumpRequest(request, true)
	if err != nil {
		panic(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text.Write(dump)
	r.customers[request.Header.Get("Attempt-Id")] = request.Header["Tenant"]
}

func (r *recorder) customerOf(request string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.customers[request]
}

func (r *recorder) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

// fetchAll returns all that a VM gives other VMs on request.
func (s *site) fetchAll(vm int) string {
	s.t.Helper()
	socket, err := gossip.Listen("127.0.0.1:0", nil)
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	done := socket.Serve(ctx, func(gossip.Message) {})
	u, err := socket.Fetch(ctx, s.peerAddresses[vm], 0)
	cancel()
	if serveErr := <-done; err != nil || serveErr != nil {
		s.t.Fatal(err, serveErr)
	}
	data, err := cbor.Marshal(u)
	if err != nil {
		s.t.Fatal(err)
	}
	return string(data)
}

// metricsOf returns the metrics of a VM.
func (s *site) metricsOf(vm int) string {
	s.t.Helper()
	r, err := http.Get("http://" + s.metricsAddresses[vm] + "/debug/vars")
	if err != nil {
		s.t.Fatal(err)
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return string(data)
}

// A VM must serve only requests with a valid key, name the customer, and pass the key on to nobody: not to backend servers, also through
// another VM, nor to other VMs, logs and metrics.
func TestCustomers(t *testing.T) {
	const key, unknown = "the-secret-of-acme", "a-secret-of-nobody"
	log, servers := &logBuffer{}, &recorder{customers: map[string][]string{}}
	s := newSite(t, 2, func(s *site) {
		s.log = slog.NewJSONHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug})
		s.billing = []worker.Option{worker.WithOnRequest(servers.record)}
	})
	s.configureCustomers(map[string]string{key: "acme"})
	for vm := range s.callerAddresses {
		s.awaitKey(vm, key, http.StatusOK)
	}
	tests := map[string]struct {
		path   string
		header map[string]string
		status int
		want   []string
	}{
		"a known key":                {path: "/private/x", header: map[string]string{"Key": key, "Tenant": "other"}, status: http.StatusOK, want: []string{"acme"}},
		"an unknown key":             {path: "/private/x", header: map[string]string{"Key": unknown}, status: http.StatusUnauthorized},
		"no key":                     {path: "/private/x", header: map[string]string{"Tenant": "acme"}, status: http.StatusUnauthorized},
		"an empty key":               {path: "/private/x", header: map[string]string{"Key": ""}, status: http.StatusUnauthorized},
		"a malformed key":            {path: "/private/x", header: map[string]string{"Key": "Bearer " + key}, status: http.StatusUnauthorized},
		"a public route with a key":  {path: "/public/x", header: map[string]string{"Key": key, "Tenant": "acme"}, status: http.StatusOK},
		"a public route without one": {path: "/public/x", status: http.StatusOK},
		"no route":                   {path: "/none", header: map[string]string{"Key": key}, status: http.StatusNotFound},
	}
	checkAll := func(t *testing.T, vm int, suffix string) {
		for name, test := range tests {
			t.Run(name+suffix, func(t *testing.T) {
				is := is.New(t)
				status, text := s.sendRequest(vm, http.MethodGet, test.path, name+suffix, test.header, "")
				is.Equal(status, test.status)
				is.Equal(servers.customerOf(name+suffix), test.want)
				is.True(!strings.Contains(text, "secret"))
			})
		}
	}
	checkAll(t, 0, ", directly")
	checkAll(t, 1, ", at the other VM")
	s.serverLinks[0].set(resetting)
	for !s.isCutOff(0) {
		s.statusOf(0, key)
		time.Sleep(pollPeriod)
	}
	checkAll(t, 0, ", through the other VM")
	s.serverLinks[0].set(intact)
	outputs := map[string]string{"requests at backend servers": servers.String()}
	for vm := range s.callerAddresses {
		outputs[fmt.Sprint("metrics of VM ", vm)], outputs[fmt.Sprint("items of VM ", vm)] = s.metricsOf(vm), s.fetchAll(vm)
	}
	log.mu.Lock()
	outputs["log"] = log.data.String()
	log.mu.Unlock()
	for name, text := range outputs {
		if text == "" || strings.Contains(text, "secret") {
			t.Errorf("%s: empty, or with an API key", name)
		}
	}
	for name, part := range map[string]string{"items of VM 0": "ApiKeyDigests", "metrics of VM 0": "relayed", "metrics of VM 1": "unauthenticated", "log": "unauthenticated"} {
		if !strings.Contains(outputs[name], part) {
			t.Errorf("%s: %s is missing, so that nothing was tested", name, part)
		}
	}
}

// A key that a configuration has withdrawn must stay withdrawn while the store is restored from an older copy, and at VMs that start later.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2)
	older := s.configureCustomers(map[string]string{"old-key": "acme", "kept-key": "acme2"})
	for vm := range s.callerAddresses {
		s.awaitKey(vm, "old-key", http.StatusOK)
	}
	c := s.store.Copy()
	s.loseChanges()
	newer := s.configureCustomers(map[string]string{"new-key": "acme", "kept-key": "acme2"})
	for vm := range s.callerAddresses {
		s.awaitKey(vm, "old-key", http.StatusUnauthorized)
		is.Equal(s.statusOf(vm, "new-key"), http.StatusOK)
	}
	s.restore(c, 100*time.Millisecond)
	// The operator writes the present document again only after a while.
	s.store.Put("op/config", older)
	for start := time.Now(); time.Since(start) < 2*time.Second; time.Sleep(pollPeriod) {
		for vm := range s.callerAddresses {
			is.True(s.statusOf(vm, "old-key") != http.StatusOK)
			is.Equal(s.statusOf(vm, "new-key"), http.StatusOK)
			is.Equal(s.statusOf(vm, "kept-key"), http.StatusOK)
		}
	}
	s.stopVM(0)
	s.startVM(2)
	for start := time.Now(); time.Since(start) < 800*time.Millisecond; time.Sleep(pollPeriod) {
		is.True(s.statusOf(2, "old-key") != http.StatusOK)
	}
	s.store.Put("op/config", newer)
	s.awaitKey(2, "new-key", http.StatusOK)
	for _, vm := range []int{1, 2} {
		is.Equal(s.statusOf(vm, "old-key"), http.StatusUnauthorized)
	}
}

// A VM that can't reach the store must not call a new key unknown, and one that must be strict must not rely on any key for long.
func TestKeysDuringOutage(t *testing.T) {
	tests := map[string]struct {
		strict bool
		// want are the statuses of requests with a known key, an unknown one and none, at last.
		want map[string]int
	}{
		"lenient": {want: map[string]int{"old-key": http.StatusOK, "new-key": http.StatusServiceUnavailable, "": http.StatusUnauthorized}},
		"strict": {strict: true, want: map[string]int{
			"old-key": http.StatusServiceUnavailable, "new-key": http.StatusServiceUnavailable, "": http.StatusUnauthorized,
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 1, func(s *site) { s.strictRevocation = test.strict })
			s.configureCustomers(map[string]string{"old-key": "acme"})
			s.awaitKey(0, "old-key", http.StatusOK)
			is.Equal(s.statusOf(0, "new-key"), http.StatusUnauthorized)
			s.store.SetFault(kv.Fault{Down: true})
			for key, status := range test.want {
				s.awaitKey(0, key, status)
			}
			is.Equal(s.statusOf(0, "old-key"), test.want["old-key"])
			s.store.SetFault(kv.Fault{})
			s.awaitKey(0, "old-key", http.StatusOK)
			s.awaitKey(0, "new-key", http.StatusUnauthorized)
		})
	}
}
