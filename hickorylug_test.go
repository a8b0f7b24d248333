package hickorylug_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug"
	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/protocol/problem"
	"github.com/hickorylug/hickorylug/protocol/store"
	"github.com/hickorylug/hickorylug/standin/backend"
	"github.com/hickorylug/hickorylug/standin/loopback"
	"github.com/hickorylug/hickorylug/standin/platform"
	"github.com/hickorylug/hickorylug/standin/site"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/settings"
	"github.com/hickorylug/hickorylug/state/unit"
	client "github.com/hickorylug/hickorylug/transport/platform"
)

// waitLimit is how long a test waits for a condition that must become true. It is generous, since no test checks how fast it does.
const waitLimit = 60 * time.Second

var sitePlan = site.Plan{
	Site: "test", Domains: []id.Domain{"east", "west"}, VMs: 4, Connections: 55,
	Services: []site.Service{
		{Name: "plans", Servers: 2, Keyed: true, Fenced: true, Routes: site.Noor().Services[0].Routes},
		{Name: "renewals", Servers: 2, Routes: site.Noor().Services[1].Routes},
	},
}

// testSite is a small site of entry VMs and backend servers with real sockets.
type testSite struct {
	t        testing.TB
	platform *platform.Platform
	url      string
	journal  *backend.Journal
	servers  map[id.Server]*backend.Server
	vms      []*process
	// lastResult is the result of the last call of isServed, for failure messages.
	lastResult string
}

type process struct {
	settings settings.Settings
	vm       *hickorylug.VM
	stop     context.CancelFunc
	done     chan error
}

func newTestSite(t testing.TB) *testSite {
	t.Helper()
	ts := &testSite{t: t, platform: platform.NewPlatform(platform.WithListLag(0)), journal: backend.NewJournal(nil), servers: map[id.Server]*backend.Server{}}
	web := httptest.NewServer(ts.platform)
	t.Cleanup(web.Close)
	ts.url = web.URL
	for _, s := range sitePlan.Services {
		for n := range s.Servers {
			name := site.ServerName(s.Name, n)
			server := backend.NewServer(name, ts.journal, backend.WithService(s.Name, sitePlan.DomainOf(n)), backend.WithFenced(s.Fenced), backend.WithServiceTime(time.Millisecond))
			if _, err := server.Start("127.0.0.1:0"); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Kill)
			ts.servers[name] = server
		}
	}
	return ts
}

// applyConfiguration writes the site's configuration to the store, with an optional change.
func (ts *testSite) applyConfiguration(change func(*config.Site)) {
	ts.t.Helper()
	c := sitePlan.Config(func(n id.Server) string { return ts.servers[n].Address() })
	if change != nil {
		change(&c)
	}
	value, err := site.EncodeAccepted(c, uuid.NewString(), time.Now())
	if err != nil {
		ts.t.Fatal(err)
	}
	item := ts.platform.Item(directory.KeyConfiguration)
	if _, err := client.NewClient(ts.url).Swap(ts.t.Context(), directory.KeyConfiguration, item.Revision, value); err != nil {
		ts.t.Fatal(err)
	}
}

func freeAddress(t testing.TB) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func (ts *testSite) settings(n int) settings.Settings {
	s := settings.Defaults()
	s.VM, s.Site, s.FailureDomain = id.VM(fmt.Sprintf("vm%d", n)), sitePlan.Site, sitePlan.DomainOf(n)
	s.CallerAddress, s.PeerAddress, s.OperatorAddress = freeAddress(ts.t), freeAddress(ts.t), freeAddress(ts.t)
	s.Store, s.VMList, s.DrainDelay = ts.url, ts.url, unit.Duration(10*time.Millisecond)
	return s
}

func (ts *testSite) start(s settings.Settings) *process {
	ts.t.Helper()
	vm, err := hickorylug.NewVM(hickorylug.WithSettings(s), hickorylug.WithLog(slog.New(slog.DiscardHandler)))
	if err != nil {
		ts.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{settings: s, vm: vm, stop: cancel, done: make(chan error, 1)}
	go func() { p.done <- vm.Run(ctx) }()
	ts.t.Cleanup(cancel)
	ts.platform.AddVM(store.VM{Name: s.VM, FailureDomain: s.FailureDomain, PeerAddress: s.PeerAddress, State: store.VMLive})
	ts.vms = append(ts.vms, p)
	return p
}

func (ts *testSite) startAll() {
	ts.t.Helper()
	for n := range sitePlan.VMs {
		ts.start(ts.settings(n))
	}
	ts.await("every slice has an owner", func() bool {
		s := ts.vms[0].vm.Status()
		for _, table := range s.Tables {
			if table.Vacant+table.Moving > 0 {
				return false
			}
		}
		return len(s.Tables) == len(sitePlan.Services)
	})
}

func (ts *testSite) await(what string, done func() bool) {
	ts.t.Helper()
	for end := time.Now().Add(waitLimit); !done(); {
		if time.Now().After(end) {
			panic("timed out waiting for: " + what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// call sends a request to a VM and returns the response body or the problem details.
func (ts *testSite) call(p *process, method, path, identity string) (body string, details problem.Details, err error) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+p.settings.CallerAddress+path, strings.NewReader(""))
	if err != nil {
		return "", details, err
	}
	req.Header.Set(backend.HeaderRequest, identity)
	req.Header.Set("Idempotency-Key", identity)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", details, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if resp.Header.Get("Content-Type") == problem.ContentType {
		return "", details, json.Unmarshal(data, &details)
	}
	return string(data), details, err
}

// isServed reports whether a GET request for a key gets the expected response from a backend server.
func (ts *testSite) isServed(p *process, key string) bool {
	body, details, err := ts.call(p, http.MethodGet, "/plans/"+key, "r")
	ts.lastResult = fmt.Sprintf("%q %s %v", body, details.Detail, err)
	return err == nil && body == "r GET /plans/"+key+" 0"
}

func TestSite(t *testing.T) {
	if testing.Short() {
		t.Skip("real sockets and real time")
	}
	i := is.New(t)
	ts := newTestSite(t)
	ts.applyConfiguration(nil)
	ts.startAll()
	for n := range 40 {
		key := fmt.Sprintf("k%d", n)
		ts.await("key "+key+" is served", func() bool { return ts.isServed(ts.vms[n%len(ts.vms)], key) })
	}
	// A duplicate sent to another VM receives the answer of the original, which runs once.
	identity := uuid.Must(uuid.NewV7()).String()
	for _, p := range ts.vms {
		body, details, err := ts.call(p, http.MethodPost, "/renewals", identity)
		i.NoErr(err)
		i.Equal(details.Detail, "")
		i.Equal(body, identity+" POST /renewals 0")
	}
	runs := 0
	for _, r := range ts.journal.Runs() {
		if r.Request == identity {
			runs++
		}
	}
	i.Equal(runs, 1)

	t.Run("another VM takes the lease of a crashed holder", func(t *testing.T) {
		crashed := ts.leaseHolder("plans.east")
		crashed.vm.Kill()
		is.New(t).NoErr(<-crashed.done)
		ts.vms = removeProcess(ts.vms, crashed)
		ts.await("another VM holds the lease", func() bool { return ts.leaseHolder("plans.east") != nil })
		for n := range 20 {
			key := fmt.Sprintf("k%d", n)
			ts.await("key "+key+" is served again", func() bool { return ts.isServed(ts.vms[0], key) })
		}
	})
	t.Run("a graceful shutdown fails no request", func(t *testing.T) {
		stopped := ts.leaseHolder("plans.west")
		ts.vms = removeProcess(ts.vms, stopped)
		failures := make(chan string, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			failure := ""
			for n := 0; ctx.Err() == nil; n++ {
				if !ts.isServed(ts.vms[0], fmt.Sprintf("k%d", n%40)) {
					failure = fmt.Sprintf("k%d: %s", n%40, ts.lastResult)
				}
			}
			failures <- failure
		}()
		stopped.stop()
		is.New(t).NoErr(<-stopped.done)
		cancel()
		is.New(t).Equal(<-failures, "")
	})
	t.Run("a failure domain is taken out", func(t *testing.T) {
		ts.applyConfiguration(func(c *config.Site) { c.FailureDomains["east"] = config.FailureDomain{Out: true} })
		ts.await("the keys have moved to the other failure domain", func() bool {
			for _, table := range ts.vms[0].vm.Status().Tables {
				if table.Service == "plans" && table.Owned["plans-2"] == table.Slices {
					return true
				}
			}
			return false
		})
		before := len(ts.journal.Runs())
		for n := range 20 {
			ts.await("a key is served by the other failure domain", func() bool { return ts.isServed(ts.vms[0], fmt.Sprintf("k%d", n)) })
		}
		for _, r := range ts.journal.Runs()[before:] {
			if r.Domain == "east" {
				t.Fatalf("%s ran a request although its failure domain is taken out", r.Server)
			}
		}
	})
}

func removeProcess(list []*process, p *process) (out []*process) {
	for _, q := range list {
		if q != p {
			out = append(out, q)
		}
	}
	return out
}

func (ts *testSite) leaseHolder(g id.Group) *process {
	for _, p := range ts.vms {
		for _, held := range p.vm.Status().Holds {
			if held == g {
				return p
			}
		}
	}
	return nil
}

func TestStartWhileStoreUnreachable(t *testing.T) {
	if testing.Short() {
		t.Skip("real sockets and real time")
	}
	i := is.New(t)
	ts := newTestSite(t)
	ts.applyConfiguration(nil)
	first := ts.start(ts.settings(0))
	ts.await("the first VM is ready", func() bool { return first.vm.Ready() == nil })
	ts.platform.SetOutage(true)
	s := ts.settings(1)
	s.Peers = []string{first.settings.PeerAddress}
	second := ts.start(s)
	ts.await("the second VM has the configuration from the first one", func() bool { return second.vm.Ready() == nil })
	i.Equal(second.vm.Status().Revision, first.vm.Status().Revision)
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	i := is.New(t)
	ts := newTestSite(t)
	d := directory.New("test")
	value, err := site.EncodeAccepted(sitePlan.Config(func(n id.Server) string { return ts.servers[n].Address() }), "c", time.Now())
	i.NoErr(err)
	applied, err := d.SetConfiguration(7, value)
	i.NoErr(err)
	i.True(applied)
	applied, err = d.SetConfiguration(6, value)
	i.NoErr(err)
	i.True(!applied)
	i.Equal(int(d.View().Revision), 7)
}

func TestStartErrors(t *testing.T) {
	used, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer used.Close()
	tests := map[string]struct {
		change func(*settings.Settings)
		want   string
	}{
		"no name":         {func(s *settings.Settings) { s.VM = "" }, "VM: the name is empty"},
		"no IP address":   {func(s *settings.Settings) { s.PeerAddress = "localhost:1" }, "PeerAddress: "},
		"no store":        {func(s *settings.Settings) { s.Store = "" }, "Store: "},
		"share over one":  {func(s *settings.Settings) { s.TraceShare = 2 }, "TraceShare: 2 is not between 0 and 1"},
		"address in use":  {func(s *settings.Settings) { s.CallerAddress = used.Addr().String() }, "CallerAddress: listen tcp"},
		"unknown level":   {func(s *settings.Settings) { s.LogLevel = "loud" }, "LogLevel: "},
		"negative budget": {func(s *settings.Settings) { s.StoreReads = -1 }, "StoreReads: "},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ts := &testSite{t: t, url: "http://127.0.0.1:1"}
			s := ts.settings(0)
			test.change(&s)
			vm, err := hickorylug.NewVM(hickorylug.WithSettings(s))
			if err == nil {
				err = vm.Run(t.Context())
			}
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Fatalf("want an error with %q, got %v", test.want, err)
			}
		})
	}
}

func TestSettingsWithATypo(t *testing.T) {
	i := is.New(t)
	_, problems := settings.Decode([]byte(`{"VM": "a", "DrainDelya": "1s", "IdleTimeout": "soon"}`))
	i.True(strings.Contains(problems.String(), "DrainDelya: unknown field"))
	i.True(strings.Contains(problems.String(), `IdleTimeout: "soon" is not a duration`))
}
