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

// Phases and load of a simulation.
const (
	warmupTime      = 5 * time.Second
	faultDelay      = 3 * time.Second
	faultDuration   = 5 * time.Second
	measureDuration = 12 * time.Second
	// utilization is the share of all slots that the load keeps in use.
	utilization  = 0.35
	keyCount     = 2000
	zipfExponent = 1.0001
	// promptLatency is the latency up to which a response counts as prompt.
	promptLatency = 100 * time.Millisecond
)

// result is the result of one request at its caller.
type result struct {
	// key is empty where the route has no key.
	key      string
	start    time.Time
	end      time.Time
	err      *outcome.Error
	poisoned bool
}

// Result contains the measurements of a case.
type Result struct {
	P50, P99 time.Duration
	// KeyedImbalance and Imbalance are the peak over the mean of the runs of a service's servers, for the worst keyed
	// service and the worst service without keys.
	KeyedImbalance, Imbalance float64
	// Churn is that of the worst keyed service's slice table, compared with the one before the fault.
	Churn float64
	// Unavailable is the longest time for which one key had no prompt response.
	Unavailable       time.Duration
	Answered, Refused int
	Unknown           int
	// ColdOverloads is the number of requests beyond a cold server's concurrency limit, LateServers the number of servers
	// that ran a request more than 3 s after their failure domain was taken out.
	ColdOverloads, LateServers int
	// ExtraRuns is the number of runs beyond one for each answered request, as a share of the answered requests.
	ExtraRuns float64
	// CrashedServers is the number of servers that a poison request crashed.
	CrashedServers int
}

// Violations returns the number of violated guarantees: overloads of cold servers, servers of a failure domain that ran
// requests too long after it was taken out, and a poison request that crashed more than two servers.
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

// Run runs the simulation of a case; it must be called inside a testing/synctest bubble.
func Run(c Case) (r Result, err error) {
	sim, err := newSimulation(c)
	if err != nil {
		return r, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	wait := sim.start(ctx)
	time.Sleep(time.Second)
	sim.runLoad(warmupTime)
	sim.mu.Lock()
	sim.results = nil
	sim.mu.Unlock()
	runsBefore := sim.runCounts()
	before := sim.tables()
	faults := make(chan int, 1)
	go func() { faults <- sim.injectFault() }()
	sim.runLoad(measureDuration)
	late := <-faults
	r = sim.summarize(runsBefore, before)
	r.LateServers = late
	cancel()
	wait()
	return r, nil
}

// runLoad sends requests for a time, with exponential intervals, and waits until all have ended.
func (sim *simulation) runLoad(d time.Duration) {
	var routes []namedRoute
	for _, name := range slices.Sorted(maps.Keys(sim.directory.View().Site.Routes)) {
		routes = append(routes, namedRoute{name, sim.directory.View().Site.Routes[name]})
	}
	keys := rand.NewZipf(sim.rng, zipfExponent, 1, keyCount-1)
	slots := 0
	for _, s := range sim.directory.View().Site.Services {
		slots += s.Slots * len(s.Servers)
	}
	perSecond := utilization * float64(slots) / serviceTime.Seconds()
	var wg sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(sim.rng.ExpFloat64() / perSecond * float64(time.Second)))
		r := sim.pickRoute(routes)
		key, router := fmt.Sprintf("k%d", keys.Uint64()), sim.rng.IntN(len(sim.routers))
		wg.Go(func() { sim.send(r, key, router, false) })
	}
	wg.Wait()
}

// pickRoute chooses a route at random, weighted by the number of its service's servers.
func (sim *simulation) pickRoute(routes []namedRoute) namedRoute {
	total := 0
	for _, r := range routes {
		total += len(sim.config.Services[r.route.Service].Servers)
	}
	n := sim.rng.IntN(total)
	for _, r := range routes {
		if n -= len(sim.config.Services[r.route.Service].Servers); n < 0 {
			return r
		}
	}
	return routes[0]
}

// send sends a request to a router and records its result.
func (sim *simulation) send(r namedRoute, key string, router int, poisoned bool) {
	req := &exchange.Request{
		Method: r.route.Methods[0], Target: r.route.Path + "?" + key, Header: http.Header{}, Route: r.name, Service: r.route.Service,
		Idempotent: r.route.Idempotent, Retries: r.route.Retries, Hedge: r.route.Hedge && sim.testCase.Policy != "no-hedge",
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
	resp, err := sim.routers[router].Serve(context.Background(), req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		out.err = outcome.FromError(err)
	}
	out.end = time.Now()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.results = append(sim.results, out)
}

// injectFault injects the fault of the case. It returns the number of servers that ran requests too long after their
// failure domain was taken out.
func (sim *simulation) injectFault() (late int) {
	time.Sleep(faultDelay)
	addresses := slices.Sorted(maps.Keys(sim.servers))
	sim.rng = rand.New(rand.NewPCG(sim.testCase.Seed, 3))
	switch sim.testCase.Name {
	case "slow-servers":
		for n := 0; n < len(addresses); n += 10 {
			s := sim.servers[addresses[n]]
			s.update(func() { s.slowdown = slowServerFactor })
		}
	case "server-loss":
		sim.crashServer(addresses)
	case "cold-restart":
		sim.servers[addresses[3]].restart()
	case "domain-out":
		return sim.takeDomainOut()
	case "two-faults":
		go sim.crashServer(addresses)
		return sim.takeDomainOut()
	case casePoison:
		sim.sendPoisonRequests()
	}
	return 0
}

// crashServer crashes a server of a keyed service and restarts it, cold, after the duration of the fault.
func (sim *simulation) crashServer(addresses []string) {
	for _, address := range addresses {
		s := sim.servers[address]
		if s.domain == sim.testCase.Site.Domains[1] && sim.isKeyed(s.name) {
			s.update(func() { s.isDown = true })
			time.Sleep(faultDuration)
			s.restart()
			return
		}
	}
}

func (sim *simulation) isKeyed(name id.Server) bool {
	for _, s := range sim.config.Services {
		if _, ok := s.Servers[name]; ok && s.Keyed {
			return true
		}
	}
	return false
}

// drainGrace is the time after which a failure domain that was taken out must get no new requests.
const drainGrace = 3 * time.Second

// takeDomainOut takes a failure domain out for the duration of the fault. It returns the number of its servers that ran a
// request later than drainGrace.
func (sim *simulation) takeDomainOut() (late int) {
	domain := sim.testCase.Site.Domains[0]
	set := func(out bool) {
		sim.config.FailureDomains[domain] = config.FailureDomain{Out: out}
		if err := sim.acceptConfig(); err != nil {
			panic(err)
		}
	}
	set(true)
	time.Sleep(faultDuration)
	for _, s := range sim.servers {
		if s.domain == domain && time.Since(s.lastRun) < faultDuration-drainGrace {
			late++
		}
	}
	set(false)
	return late
}

// sendPoisonRequests sends four poison requests on a hedged route.
func (sim *simulation) sendPoisonRequests() {
	for name, r := range sim.config.Routes {
		if r.Hedge {
			for range 4 {
				sim.send(namedRoute{name, r}, casePoison, 0, true)
			}
			return
		}
	}
}

// runCounts returns the number of runs of each server, by address.
func (sim *simulation) runCounts() map[string]int {
	out := map[string]int{}
	for address, s := range sim.servers {
		s.mu.Lock()
		out[address] = s.started
		s.mu.Unlock()
	}
	return out
}

func (sim *simulation) tables() map[id.Service]*table.Table {
	return sim.directory.View().Tables
}
