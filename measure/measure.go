// Package measure runs simulations that compare the router's decisions with their targets, in virtual time.
//
// The real groups, routers and planner run against fake backend servers inside
// a testing/synctest bubble, so that a seed gives the same load in every run.
//
// # Usage
//
//	synctest.Test(t, func(t *testing.T) {
//		result, err := measure.Run(measure.Case{Site: site.Noor(), Name: "slow-servers", Policy: "default", Seed: 1})
//	})
package measure

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/coordination/group"
	"github.com/hickorylug/hickorylug/coordination/idempotency"
	"github.com/hickorylug/hickorylug/coordination/lease"
	"github.com/hickorylug/hickorylug/coordination/pick"
	"github.com/hickorylug/hickorylug/coordination/planner"
	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/coordination/router"
	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/standin/site"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// Case selects a simulation: a site, a fault by its name in Cases, and a policy by its name in Policies.
type Case struct {
	Site   site.Plan
	Name   string
	Policy string
	Seed   uint64
}

// casePoison is the case of a poison request, which crashes each server that runs it.
const casePoison = "poison"

// Names of the cases and policies.
var (
	Cases    = []string{"steady", "slow-servers", "server-loss", "domain-out", "cold-restart", casePoison, "two-faults"}
	Policies = []string{"default", "no-hedge", "random", "round-robin", "two-choices", "direct"}
)

// directSenders is the number of entry VMs that send to each server under the policy "direct".
const directSenders = 10

// simulation is one simulated site.
type simulation struct {
	testCase  Case
	rng       *rand.Rand
	clock     clock.Clock
	directory *directory.Directory
	config    config.Site
	revision  id.Revision
	// servers has the fake backend servers by their address.
	servers map[string]*server
	// groups has, for each sender, its instances of all groups; only the policy "direct" has more than one sender.
	groups []map[id.Group]*group.Group
	// routers has a router for each sender and failure domain.
	routers []*router.Router
	poison  *poison.Tracker
	// serverLost wakes the planner.
	serverLost chan struct{}

	mu      sync.Mutex
	results []result
}

func itoa(n int) string { return strconv.Itoa(n) }

func newSimulation(c Case) (sim *simulation, err error) {
	defer func() { err = errors.Wrap(err, "create the simulated site") }()
	sim = &simulation{
		testCase: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), clock: clock.Runtime{Origin: time.Now().Add(-time.Hour)},
		directory: directory.New(c.Site.Site), servers: map[string]*server{}, poison: poison.NewTracker(), serverLost: make(chan struct{}, 1),
	}
	n := 0
	sim.config = c.Site.Config(func(id.Server) string {
		n++
		return fmt.Sprintf("10.0.%d.%d:80", n/200, n%200+1)
	})
	for _, service := range sim.config.Services {
		for name, s := range service.Servers {
			sim.servers[s.Address] = newServer(name, s.FailureDomain, service.Slots, c.Seed+uint64(len(sim.servers)))
		}
	}
	if err := sim.acceptConfig(); err != nil {
		return nil, err
	}
	for g := range sim.directory.View().Groups {
		sim.directory.SetLease(lease.Record{Group: g, Term: 1, Holder: "holder", Incarnation: "1", Revision: 1})
	}
	for service, s := range sim.directory.View().Site.Services {
		sim.directory.SetTable(1, sim.plan(table.New(service, s.Slices), nil))
	}
	return sim, nil
}

// acceptConfig puts the current configuration in force under the next revision.
func (sim *simulation) acceptConfig() error {
	sim.revision++
	value, err := site.EncodeAccepted(sim.config, itoa(int(sim.revision)), time.Now())
	if err != nil {
		return err
	}
	_, err = sim.directory.SetConfiguration(sim.revision, value)
	return err
}

// plan returns the next version of a table, for the servers that are in service by the configuration and not lost.
func (sim *simulation) plan(t *table.Table, groups map[id.Group]*group.Group) *table.Table {
	view := sim.directory.View()
	var owners []planner.Owner
	var latencies []time.Duration
	for _, name := range view.ByService[t.Service] {
		g := view.Groups[name]
		if !view.Site.Services[t.Service].Keyed {
			owners = append(owners, planner.Owner{Name: id.Owner(name), Eligible: g.AcceptsRequests() && hasLiveServer(groups[name]), MaxNewSlices: -1})
			latencies = append(latencies, 0)
			continue
		}
		reports := map[id.Server]group.ServerReport{}
		if groups != nil {
			for _, r := range groups[name].ServerReports() {
				reports[r.Server] = r
			}
		}
		for server, s := range g.Servers {
			owners = append(owners, planner.Owner{Name: id.Owner(server), Eligible: !g.Out && !s.Out && !reports[server].Lost, MaxNewSlices: -1})
			latencies = append(latencies, reports[server].Latency)
		}
	}
	planner.SetLatencyWeights(owners, latencies)
	next, _ := planner.Plan(t, owners, planner.Load{})
	return next
}

// start starts the groups and the planner; they run until the context ends, and wait waits for their end.
func (sim *simulation) start(ctx context.Context) (wait func()) {
	var wg sync.WaitGroup
	senders := 1
	if sim.testCase.Policy == "direct" {
		senders = directSenders
	}
	for n := range senders {
		groups := map[id.Group]*group.Group{}
		for name, g := range sim.directory.View().Groups {
			instance := group.NewGroup(name, g.Service, sim.directory, sim.transport(),
				group.WithClock(sim.clock), group.WithPoison(sim.poison), group.WithPick(sim.policy(uint64(n))),
				group.WithLog(slog.New(slog.DiscardHandler)),
				group.WithOnServerLost(func(id.Server) { sim.wakePlanner() }),
				group.WithLookupPrevious(func(_ context.Context, from id.Group, i idempotency.ID, hash table.Hash) (idempotency.FinishedEntry, bool, bool) {
					return groups[from].LookupEntry(i.Identity, hash)
				}))
			groups[name] = instance
			wg.Go(func() { _ = instance.Run(ctx) })
		}
		sim.groups = append(sim.groups, groups)
		for _, domain := range sim.testCase.Site.Domains {
			sim.routers = append(sim.routers, sim.router(domain, groups))
		}
	}
	wg.Go(func() { sim.runPlanner(ctx) })
	return wg.Wait
}

func (sim *simulation) wakePlanner() {
	select {
	case sim.serverLost <- struct{}{}:
	default:
	}
}

// policy returns the policy of the case; each sender has its own sequence of random numbers.
func (sim *simulation) policy(sender uint64) pick.Policy {
	rng := rand.New(rand.NewPCG(sim.testCase.Seed, 100+sender))
	switch sim.testCase.Policy {
	case "random":
		return pick.Random(rng)
	case "round-robin":
		return pick.RoundRobin()
	case "two-choices":
		return pick.TwoChoices(rng)
	default:
		return pick.LeastUtilized()
	}
}

// router returns the router of one entry VM, whose relayed requests are delayed by the latency between failure domains.
func (sim *simulation) router(domain id.Domain, groups map[id.Group]*group.Group) *router.Router {
	relay := func(ctx context.Context, _ id.VM, r *exchange.Request) (*exchange.Response, error) {
		delay := sim.latency(domain, r)
		time.Sleep(delay)
		resp, err := groups[r.Group].Serve(ctx, r)
		if err == nil {
			// The holder reads the whole response before it crosses the network.
			err = bufferBody(resp)
		}
		time.Sleep(delay)
		return resp, err
	}
	noLocalGroup := func(id.Group) (exchange.Handler, bool) { return nil, false }
	return router.NewRouter("entry", domain, sim.directory, noLocalGroup, relay, router.WithClock(sim.clock))
}

// bufferBody reads the body of a response into memory.
func bufferBody(resp *exchange.Response) error {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return err
}

// oneWayLatency is the one-way network latency between failure domains.
const oneWayLatency = 1500 * time.Microsecond

func (sim *simulation) latency(from id.Domain, r *exchange.Request) time.Duration {
	if sim.directory.View().Groups[r.Group].FailureDomain == from {
		return 0
	}
	return oneWayLatency
}

// hasLiveServer reports whether a group has a server that isn't lost; an unknown group counts as having one.
func hasLiveServer(g *group.Group) bool {
	if g == nil {
		return true
	}
	for _, r := range g.ServerReports() {
		if !r.Lost {
			return true
		}
	}
	return false
}

// runPlanner moves slices when servers are lost or taken out, as the VM with the planner's lease does.
func (sim *simulation) runPlanner(ctx context.Context) {
	for {
		changed := sim.directory.Changed()
		for service := range sim.directory.View().Tables {
			sim.planService(ctx, service)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-sim.serverLost:
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// releaseTimeout is the time after which released slices are granted to their next owners, without waiting for owners
// that are slow to release.
const releaseTimeout = 300 * time.Millisecond

// release asks all previous owners concurrently to release the slices that move, and returns which have done so.
func (sim *simulation) release(ctx context.Context, service id.Service, next *table.Table) map[id.Owner]bool {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	sources := planner.Sources(next)
	hasReleased := make([]bool, len(sources))
	var wg sync.WaitGroup
	for i, owner := range sources {
		g, ok := sim.directory.View().GroupOfServer(service, id.Server(owner))
		if !ok {
			g = id.Group(owner)
		}
		wg.Go(func() {
			hasReleased[i] = true
			for _, groups := range sim.groups {
				hasReleased[i] = groups[g].Release(ctx, next.Version) && hasReleased[i]
			}
		})
	}
	wg.Wait()
	released := map[id.Owner]bool{}
	for i, owner := range sources {
		released[owner] = hasReleased[i]
	}
	return released
}

// planService plans a service's slices once and completes the moves whose previous owners have released them.
func (sim *simulation) planService(ctx context.Context, service id.Service) {
	current := sim.directory.View().Tables[service]
	next := sim.plan(current, sim.groups[0])
	if next == current && next.MovingCount() == 0 {
		return
	}
	sim.directory.SetTable(id.Revision(next.Version), next)
	released := sim.release(ctx, service, next)
	if done, changed := planner.Complete(next, func(o id.Owner) bool { return released[o] }); changed {
		sim.directory.SetTable(id.Revision(done.Version), done)
	}
}
