package measure

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// Shape of the load.
const (
	warmTime    = 5 * time.Second
	faultAt     = 3 * time.Second
	faultTime   = 5 * time.Second
	measureTime = 12 * time.Second
	// utilization is the share of all slots that the load keeps busy.
	utilization = 0.35
	keyCount    = 2000
	zipf        = 1.0001
	normal      = 100 * time.Millisecond
)

// result is one request as its caller saw it.
type result struct {
	key      string
	start    time.Time
	end      time.Time
	err      *outcome.Error
	poisoned bool
}

// Result is what a case has measured.
type Result struct {
	P50, P99 time.Duration
	// Imbalance is the peak over the mean of the work of a service's servers: of services divided by key, and of others.
	KeyedImbalance, Imbalance float64
	Churn                     float64
	Unavailable               time.Duration
	Answered, Refused         int
	Unknown                   int
	// ColdOverloads counts requests beyond what a cold server bears, Late the runs after a failure domain was out for 3 s.
	ColdOverloads, LateServers int
	// ExtraRuns is the share of runs beyond one for each answered request.
	ExtraRuns float64
	// CrashedServers counts the servers that a poisonous request has crashed.
	CrashedServers int
}

// Violations returns the number of broken promises.
func (r Result) Violations() int {
	n := r.ColdOverloads + r.LateServers
	if r.CrashedServers > 2 {
		n++
	}
	return n
}

type namedRoute struct {
	name  id.Route
	route config.Route
}

// Run measures a case; it must be called inside a testing/synctest bubble.
func Run(c Case) (r Result, err error) {
	w, err := newWorld(c)
	if err != nil {
		return r, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	wait := w.start(ctx)
	time.Sleep(time.Second)
	w.load(warmTime)
	w.mu.Lock()
	w.results = nil
	w.mu.Unlock()
	runsBefore := w.runs()
	before := w.tables()
	faults := make(chan int, 1)
	go func() { faults <- w.fault() }()
	w.load(measureTime)
	late := <-faults
	r = w.summarize(runsBefore, before)
	r.LateServers = late
	cancel()
	wait()
	return r, nil
}

// load sends requests for a time and waits until all are done.
func (w *world) load(d time.Duration) {
	var routes []namedRoute
	for _, name := range slices.Sorted(maps.Keys(w.directory.View().Site.Routes)) {
		routes = append(routes, namedRoute{name, w.directory.View().Site.Routes[name]})
	}
	keys := rand.NewZipf(w.rng, zipf, 1, keyCount-1)
	slots := 0
	for _, s := range w.directory.View().Site.Services {
		slots += s.Slots * len(s.Servers)
	}
	perSecond := utilization * float64(slots) / workTime.Seconds()
	var wg sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(w.rng.ExpFloat64() / perSecond * float64(time.Second)))
		r := w.pickRoute(routes)
		key, n := fmt.Sprintf("k%d", keys.Uint64()), w.rng.IntN(len(w.routers))
		wg.Go(func() { w.send(r, key, n, false) })
	}
	wg.Wait()
}

// pickRoute chooses a route so that each service gets work by the number of its servers.
func (w *world) pickRoute(routes []namedRoute) namedRoute {
	total := 0
	for _, r := range routes {
		total += len(w.config.Services[r.route.Service].Servers)
	}
	at := w.rng.IntN(total)
	for _, r := range routes {
		if at -= len(w.config.Services[r.route.Service].Servers); at < 0 {
			return r
		}
	}
	return routes[0]
}

func (w *world) send(r namedRoute, key string, n int, poisoned bool) {
	req := &exchange.Request{
		Method: r.route.Methods[0], Target: r.route.Path + "?" + key, Header: http.Header{}, Route: r.name, Service: r.route.Service,
		Idempotent: r.route.Idempotent, Retries: r.route.Retries, Hedge: r.route.Hedge && w.c.Policy != "no-hedge",
		Wait: r.route.Wait.Std(), Deadline: time.Now().Add(r.route.Timeout.Std()),
	}
	out := result{start: time.Now(), poisoned: poisoned}
	if !r.route.Key.IsZero() {
		req.Keyed, req.Key = true, table.HashKey(key)
		out.key = string(r.route.Service) + key
	}
	if !req.Idempotent {
		req.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
	}
	if poisoned {
		req.Header.Set(headerPoison, "1")
		req.Target = "/poison"
	}
	answer, err := w.routers[n].Serve(context.Background(), req)
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
	}
	if err != nil {
		out.err = outcome.FromError(err)
	}
	out.end = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results = append(w.results, out)
}

// fault brings the case's fault about and returns the runs that came too late.
func (w *world) fault() (late int) {
	time.Sleep(faultAt)
	names := slices.Sorted(maps.Keys(w.servers))
	w.rng = rand.New(rand.NewPCG(w.c.Seed, 3))
	switch w.c.Name {
	case "slow-servers":
		for n := 0; n < len(names); n += 10 {
			s := w.servers[names[n]]
			s.set(func() { s.slow = slowness })
		}
	case "server-loss":
		w.loseServer(names)
	case "cold-restart":
		w.servers[names[3]].restart()
	case "domain-out":
		return w.domainOut()
	case "two-faults":
		go w.loseServer(names)
		return w.domainOut()
	case casePoison:
		w.poisonous()
	}
	return 0
}

// loseServer lets a server of the service that is divided by key die and come back cold.
func (w *world) loseServer(names []string) {
	for _, name := range names {
		s := w.servers[name]
		if s.domain == w.c.Site.Domains[1] && w.keyed(s.name) {
			s.set(func() { s.down = true })
			time.Sleep(faultTime)
			s.restart()
			return
		}
	}
}

func (w *world) keyed(name id.Server) bool {
	for _, s := range w.config.Services {
		if _, ok := s.Servers[name]; ok && s.Keyed {
			return true
		}
	}
	return false
}

// graceAfterOut is the time after which a failure domain that was taken out gets no new work.
const graceAfterOut = 3 * time.Second

func (w *world) domainOut() (late int) {
	domain := w.c.Site.Domains[0]
	set := func(out bool) {
		w.config.FailureDomains[domain] = config.FailureDomain{Out: out}
		if err := w.accept(); err != nil {
			panic(err)
		}
	}
	set(true)
	time.Sleep(faultTime)
	for _, s := range w.servers {
		if s.domain == domain && time.Since(s.lastRun) < faultTime-graceAfterOut {
			late++
		}
	}
	set(false)
	return late
}

func (w *world) poisonous() {
	for name, r := range w.config.Routes {
		if r.Hedge {
			for range 4 {
				w.send(namedRoute{name, r}, casePoison, 0, true)
			}
			return
		}
	}
}

func (w *world) runs() map[string]int {
	out := map[string]int{}
	for name, s := range w.servers {
		s.mu.Lock()
		out[name] = s.runs
		s.mu.Unlock()
	}
	return out
}

func (w *world) tables() map[id.Service]*table.Table {
	return w.directory.View().Tables
}
