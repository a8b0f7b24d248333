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
	"github.com/hickorylug/hickorylug/standin/platform"
	"github.com/hickorylug/hickorylug/standin/site"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/settings"
	"github.com/hickorylug/hickorylug/state/unit"
	client "github.com/hickorylug/hickorylug/transport/platform"
)

// patience is how long a test waits for something that must come; no test judges how fast it comes.
const patience = 60 * time.Second

var plan = site.Plan{
	Site: "test", Domains: []id.Domain{"east", "west"}, VMs: 4, Connections: 55,
	Services: []site.Service{
		{Name: "plans", Servers: 2, Keyed: true, Fenced: true, Routes: site.Noor().Services[0].Routes},
		{Name: "renewals", Servers: 2, Routes: site.Noor().Services[1].Routes},
	},
}

// world is a small site with real sockets.
type world struct {
	t        testing.TB
	platform *platform.Platform
	url      string
	journal  *backend.Journal
	servers  map[id.Server]*backend.Server
	vms      []*process
	// last is what the last call of get was told.
	last string
}

type process struct {
	settings settings.Settings
	vm       *hickorylug.VM
	stop     context.CancelFunc
	done     chan error
}

func newWorld(t testing.TB) *world {
	t.Helper()
	w := &world{t: t, platform: platform.NewPlatform(platform.WithListLag(0)), journal: backend.NewJournal(nil), servers: map[id.Server]*backend.Server{}}
	web := httptest.NewServer(w.platform)
	t.Cleanup(web.Close)
	w.url = web.URL
	for _, s := range plan.Services {
		for n := range s.Servers {
			name := site.ServerName(s.Name, n)
			server := backend.NewServer(name, w.journal, backend.WithService(s.Name, plan.DomainOf(n)), backend.WithFenced(s.Fenced), backend.WithServiceTime(time.Millisecond))
			if _, err := server.Start("127.0.0.1:0"); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Kill)
			w.servers[name] = server
		}
	}
	return w
}

func (w *world) accept(change func(*config.Site)) {
	w.t.Helper()
	c := plan.Config(func(n id.Server) string { return w.servers[n].Address() })
	if change != nil {
		change(&c)
	}
	value, err := site.EncodeAccepted(c, uuid.NewString(), time.Now())
	if err != nil {
		w.t.Fatal(err)
	}
	item := w.platform.Item(directory.KeyConfiguration)
	if _, err := client.NewClient(w.url).Swap(w.t.Context(), directory.KeyConfiguration, item.Revision, value); err != nil {
		w.t.Fatal(err)
	}
}

func freeAddress(t testing.TB) string {
	t.Helper()
	for range 100 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		u, udpErr := net.ListenPacket("udp", address)
		l.Close()
		if udpErr == nil {
			u.Close()
			return address
		}
	}
	t.Fatal("no address is free for TCP and UDP")
	return ""
}

func (w *world) settings(n int) settings.Settings {
	s := settings.Defaults()
	s.VM, s.Site, s.FailureDomain = id.VM(fmt.Sprintf("vm%d", n)), plan.Site, plan.DomainOf(n)
	s.CallerAddress, s.PeerAddress, s.OperatorAddress = freeAddress(w.t), freeAddress(w.t), freeAddress(w.t)
	s.Store, s.VMList, s.DrainDelay = w.url, w.url, unit.Duration(10*time.Millisecond)
	return s
}

func (w *world) start(s settings.Settings) *process {
	w.t.Helper()
	vm, err := hickorylug.NewVM(hickorylug.WithSettings(s), hickorylug.WithLog(slog.New(slog.DiscardHandler)))
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{settings: s, vm: vm, stop: cancel, done: make(chan error, 1)}
	go func() { p.done <- vm.Run(ctx) }()
	w.t.Cleanup(cancel)
	w.platform.AddVM(store.VM{Name: s.VM, FailureDomain: s.FailureDomain, PeerAddress: s.PeerAddress, State: store.VMLive})
	w.vms = append(w.vms, p)
	return p
}

func (w *world) startAll() {
	w.t.Helper()
	for n := range plan.VMs {
		w.start(w.settings(n))
	}
	w.await("every slice has an owner", func() bool {
		s := w.vms[0].vm.Status()
		for _, table := range s.Tables {
			if table.Vacant+table.Moving > 0 {
				return false
			}
		}
		return len(s.Tables) == len(plan.Services)
	})
}

func (w *world) await(what string, done func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); !done(); {
		if time.Now().After(end) {
			panic("not in time: " + what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// call sends a request to a VM and returns the answer's body, or its problem details.
func (w *world) call(p *process, method, path, identity string) (body string, details problem.Details, err error) {
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

func (w *world) get(p *process, key string) bool {
	body, details, err := w.call(p, http.MethodGet, "/plans/"+key, "r")
	w.last = fmt.Sprintf("%q %s %v", body, details.Detail, err)
	return err == nil && body == "r GET /plans/"+key+" 0"
}

func TestSite(t *testing.T) {
	if testing.Short() {
		t.Skip("real sockets and real time")
	}
	i := is.New(t)
	w := newWorld(t)
	w.accept(nil)
	w.startAll()
	for n := range 40 {
		key := fmt.Sprintf("k%d", n)
		w.await("key "+key+" is served", func() bool { return w.get(w.vms[n%len(w.vms)], key) })
	}
	// A resend at another VM meets its first sending.
	identity := uuid.Must(uuid.NewV7()).String()
	for _, p := range w.vms {
		body, details, err := w.call(p, http.MethodPost, "/renewals", identity)
		i.NoErr(err)
		i.Equal(details.Detail, "")
		i.Equal(body, identity+" POST /renewals 0")
	}
	runs := 0
	for _, r := range w.journal.Runs() {
		if r.Request == identity {
			runs++
		}
	}
	i.Equal(runs, 1)

	t.Run("a holder that dies is succeeded", func(t *testing.T) {
		lost := w.holder("plans.east")
		lost.vm.Kill()
		is.New(t).NoErr(<-lost.done)
		w.vms = without(w.vms, lost)
		w.await("another VM holds the lease", func() bool { return w.holder("plans.east") != nil })
		for n := range 20 {
			key := fmt.Sprintf("k%d", n)
			w.await("key "+key+" is served again", func() bool { return w.get(w.vms[0], key) })
		}
	})
	t.Run("a planned stop cuts nothing", func(t *testing.T) {
		stopped := w.holder("plans.west")
		w.vms = without(w.vms, stopped)
		failures := make(chan string, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			bad := ""
			for n := 0; ctx.Err() == nil; n++ {
				if !w.get(w.vms[0], fmt.Sprintf("k%d", n%40)) {
					bad = fmt.Sprintf("k%d: %s", n%40, w.last)
				}
			}
			failures <- bad
		}()
		stopped.stop()
		is.New(t).NoErr(<-stopped.done)
		cancel()
		is.New(t).Equal(<-failures, "")
	})
	t.Run("a failure domain is taken out", func(t *testing.T) {
		w.accept(func(c *config.Site) { c.FailureDomains["east"] = config.FailureDomain{Out: true} })
		w.await("its keys have moved", func() bool {
			for _, table := range w.vms[0].vm.Status().Tables {
				if table.Service == "plans" && table.Owned["plans-2"] == table.Slices {
					return true
				}
			}
			return false
		})
		before := len(w.journal.Runs())
		for n := range 20 {
			w.await("a key is served elsewhere", func() bool { return w.get(w.vms[0], fmt.Sprintf("k%d", n)) })
		}
		for _, r := range w.journal.Runs()[before:] {
			if r.Domain == "east" {
				t.Fatalf("%s has run a request", r.Server)
			}
		}
	})
}

func without(list []*process, p *process) (out []*process) {
	for _, q := range list {
		if q != p {
			out = append(out, q)
		}
	}
	return out
}

func (w *world) holder(g id.Group) *process {
	for _, p := range w.vms {
		for _, held := range p.vm.Status().Holds {
			if held == g {
				return p
			}
		}
	}
	return nil
}

func TestStartWithoutTheStore(t *testing.T) {
	if testing.Short() {
		t.Skip("real sockets and real time")
	}
	i := is.New(t)
	w := newWorld(t)
	w.accept(nil)
	first := w.start(w.settings(0))
	w.await("the first VM is ready", func() bool { return first.vm.Ready() == nil })
	w.platform.SetOutage(true)
	s := w.settings(1)
	s.Peers = []string{first.settings.PeerAddress}
	second := w.start(s)
	w.await("the second VM has the configuration from the first one", func() bool { return second.vm.Ready() == nil })
	i.Equal(second.vm.Status().Revision, first.vm.Status().Revision)
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	i := is.New(t)
	w := newWorld(t)
	d := directory.New("test")
	value, err := site.EncodeAccepted(plan.Config(func(n id.Server) string { return w.servers[n].Address() }), "c", time.Now())
	i.NoErr(err)
	taken, err := d.SetConfiguration(7, value)
	i.NoErr(err)
	i.True(taken)
	taken, err = d.SetConfiguration(6, value)
	i.NoErr(err)
	i.True(!taken)
	i.Equal(int(d.View().Revision), 7)
}

func TestBadStart(t *testing.T) {
	used, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer used.Close()
	tests := map[string]struct {
		change func(*settings.Settings)
		wanted string
	}{
		"no name":         {func(s *settings.Settings) { s.VM = "" }, "VM: a name is wanted"},
		"no IP number":    {func(s *settings.Settings) { s.PeerAddress = "localhost:1" }, "PeerAddress: "},
		"no store":        {func(s *settings.Settings) { s.Store = "" }, "Store: "},
		"share over one":  {func(s *settings.Settings) { s.TraceShare = 2 }, "TraceShare: 2 is not between 0 and 1"},
		"address in use":  {func(s *settings.Settings) { s.CallerAddress = used.Addr().String() }, "CallerAddress: listen tcp"},
		"unknown level":   {func(s *settings.Settings) { s.LogLevel = "loud" }, "LogLevel: "},
		"negative budget": {func(s *settings.Settings) { s.StoreReads = -1 }, "StoreReads: "},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := &world{t: t, url: "http://127.0.0.1:1"}
			s := w.settings(0)
			test.change(&s)
			vm, err := hickorylug.NewVM(hickorylug.WithSettings(s))
			if err == nil {
				err = vm.Run(t.Context())
			}
			if err == nil || !strings.Contains(err.Error(), test.wanted) {
				t.Fatalf("wanted %q, got %v", test.wanted, err)
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
