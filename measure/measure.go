// Package measure holds the router's decisions against the brief's measures in virtual time.
//
// Real groups, routers and plans run before fake servers inside a
// testing/synctest bubble, so that a seed gives the same load every time.
//
// # Usage
//
//	synctest.Test(t, func(t *testing.T) {
//		result := measure.Run(measure.Case{Site: site.Noor(), Name: "slow-servers", Policy: "default", Seed: 1})
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

// Case is one experiment.
type Case struct {
	Site   site.Plan
	Name   string
	Policy string
	Seed   uint64
}

// casePoison is the case of a request that crashes the servers which run it.
const casePoison = "poison"

// Names of the cases and policies.
var (
	Cases    = []string{"steady", "slow-servers", "server-loss", "domain-out", "cold-restart", casePoison, "two-faults"}
	Policies = []string{"default", "no-hedge", "random", "round-robin", "two-choices", "direct"}
)

// senders is the number of entry VMs that send to each server under the policy "direct".
const senders = 10

// world is one site in virtual time.
type world struct {
	c         Case
	rng       *rand.Rand
	clock     clock.Clock
	directory *directory.Directory
	config    config.Site
	revision  id.Revision
	servers   map[string]*server
	// groups holds one group for each sender.
	groups  []map[id.Group]*group.Group
	routers []*router.Router
	poison  *poison.Tracker
	lost    chan struct{}

	mu      sync.Mutex
	results []result
}

func itoa(n int) string { return strconv.Itoa(n) }

func newWorld(c Case) (w *world, err error) {
	defer func() { err = errors.Wrap(err, "make the site") }()
	w = &world{
		c: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), clock: clock.Runtime{Origin: time.Now().Add(-time.Hour)},
		directory: directory.New(c.Site.Site), servers: map[string]*server{}, poison: poison.NewTracker(), lost: make(chan struct{}, 1),
	}
	n := 0
	w.config = c.Site.Config(func(id.Server) string {
		n++
		return fmt.Sprintf("10.0.%d.%d:80", n/200, n%200+1)
	})
	for _, service := range w.config.Services {
		for name, s := range service.Servers {
			w.servers[s.Address] = newServer(name, s.FailureDomain, service.Slots, c.Seed+uint64(len(w.servers)))
		}
	}
	if err := w.accept(); err != nil {
		return nil, err
	}
	for g := range w.directory.View().Groups {
		w.directory.SetLease(lease.Record{Group: g, Term: 1, Holder: "holder", Incarnation: "1", Revision: 1})
	}
	for service, s := range w.directory.View().Site.Services {
		w.directory.SetTable(1, w.plan(table.New(service, s.Slices), nil))
	}
	return w, nil
}

func (w *world) accept() error {
	w.revision++
	value, err := site.EncodeAccepted(w.config, itoa(int(w.revision)), time.Now())
	if err != nil {
		return err
	}
	_, err = w.directory.SetConfiguration(w.revision, value)
	return err
}

// plan returns the next version of a table, by the configuration and the servers that are up.
func (w *world) plan(t *table.Table, groups map[id.Group]*group.Group) *table.Table {
	view := w.directory.View()
	var owners []planner.Owner
	var latencies []time.Duration
	for _, name := range view.ByService[t.Service] {
		g := view.Groups[name]
		if !view.Site.Services[t.Service].Keyed {
			owners = append(owners, planner.Owner{Name: id.Owner(name), Eligible: g.AcceptsRequests() && serves(groups[name]), MaxNewSlices: -1})
			latencies = append(latencies, 0)
			continue
		}
		reported := map[id.Server]group.ServerReport{}
		if groups != nil {
			for _, r := range groups[name].ServerReports() {
				reported[r.Server] = r
			}
		}
		for server, c := range g.Servers {
			owners = append(owners, planner.Owner{Name: id.Owner(server), Eligible: !g.Out && !c.Out && !reported[server].Lost, MaxNewSlices: -1})
			latencies = append(latencies, reported[server].Latency)
		}
	}
	planner.SetLatencyWeights(owners, latencies)
	next, _ := planner.Plan(t, owners, planner.Load{})
	return next
}

// start runs the groups and the planner until the context ends.
func (w *world) start(ctx context.Context) (wait func()) {
	var wg sync.WaitGroup
	count := 1
	if w.c.Policy == "direct" {
		count = senders
	}
	for n := range count {
		groups := map[id.Group]*group.Group{}
		for name, g := range w.directory.View().Groups {
			one := group.NewGroup(name, g.Service, w.directory, w.link(),
				group.WithClock(w.clock), group.WithPoison(w.poison), group.WithPick(w.policy(uint64(n))),
				group.WithLog(slog.New(slog.DiscardHandler)),
				group.WithOnServerLost(func(id.Server) { w.wake() }),
				group.WithLookupPrevious(func(_ context.Context, from id.Group, i idempotency.ID, place table.Hash) (idempotency.FinishedEntry, bool, bool) {
					return groups[from].LookupEntry(i.Identity, place)
				}))
			groups[name] = one
			wg.Go(func() { _ = one.Run(ctx) })
		}
		w.groups = append(w.groups, groups)
		for _, domain := range w.c.Site.Domains {
			w.routers = append(w.routers, w.router(domain, groups))
		}
	}
	wg.Go(func() { w.planAll(ctx) })
	return wg.Wait
}

func (w *world) wake() {
	select {
	case w.lost <- struct{}{}:
	default:
	}
}

func (w *world) policy(n uint64) pick.Policy {
	rng := rand.New(rand.NewPCG(w.c.Seed, 100+n))
	switch w.c.Policy {
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

// router returns the router of one entry VM, whose relays take the time between failure domains.
func (w *world) router(domain id.Domain, groups map[id.Group]*group.Group) *router.Router {
	relay := func(ctx context.Context, _ id.VM, r *exchange.Request) (*exchange.Response, error) {
		d := w.latency(domain, r)
		time.Sleep(d)
		answer, err := groups[r.Group].Serve(ctx, r)
		if err == nil {
			// The holder reads the answer at once; only then it crosses the network.
			err = buffer(answer)
		}
		time.Sleep(d)
		return answer, err
	}
	none := func(id.Group) (exchange.Handler, bool) { return nil, false }
	return router.NewRouter("entry", domain, w.directory, none, relay, router.WithClock(w.clock))
}

func buffer(a *exchange.Response) error {
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	a.Body = io.NopCloser(bytes.NewReader(body))
	return err
}

// oneWay is the latency between failure domains.
const oneWay = 1500 * time.Microsecond

func (w *world) latency(from id.Domain, r *exchange.Request) time.Duration {
	if w.directory.View().Groups[r.Group].FailureDomain == from {
		return 0
	}
	return oneWay
}

// serves reports whether a group has a server that isn't lost.
func serves(g *group.Group) bool {
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

// planAll moves slices when servers are lost or taken out, as the planner's lease holder does.
func (w *world) planAll(ctx context.Context) {
	for {
		changed := w.directory.Changed()
		for service := range w.directory.View().Tables {
			w.planService(ctx, service)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-w.lost:
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// releaseTime is the time after which what has been let go is given on, without those that are slow.
const releaseTime = 300 * time.Millisecond

// release asks all old owners at once to let go, and returns which have.
func (w *world) release(ctx context.Context, service id.Service, next *table.Table) map[id.Owner]bool {
	ctx, cancel := context.WithTimeout(ctx, releaseTime)
	defer cancel()
	sources := planner.Sources(next)
	results := make([]bool, len(sources))
	var wg sync.WaitGroup
	for i, owner := range sources {
		g, ok := w.directory.View().GroupOfServer(service, id.Server(owner))
		if !ok {
			g = id.Group(owner)
		}
		wg.Go(func() {
			results[i] = true
			for _, groups := range w.groups {
				results[i] = groups[g].Release(ctx, next.Version) && results[i]
			}
		})
	}
	wg.Wait()
	released := map[id.Owner]bool{}
	for i, owner := range sources {
		released[owner] = results[i]
	}
	return released
}

func (w *world) planService(ctx context.Context, service id.Service) {
	current := w.directory.View().Tables[service]
	next := w.plan(current, w.groups[0])
	if next == current && next.MovingCount() == 0 {
		return
	}
	w.directory.SetTable(id.Revision(next.Version), next)
	released := w.release(ctx, service, next)
	if done, changed := planner.Complete(next, func(o id.Owner) bool { return released[o] }); changed {
		w.directory.SetTable(id.Revision(done.Version), done)
	}
}
