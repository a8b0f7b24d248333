package edge

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/warmup"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/gossip"
	"github.com/hickorylug/hickorylug/transport/relay"
)

const (
	// warmupCheckPeriod is the time between two checks of a backend server. It is a fraction of the second for which requests to a cold one
	// are counted.
	warmupCheckPeriod = 250 * time.Millisecond
	// warmupCheckTimeout limits a check.
	warmupCheckTimeout = 200 * time.Millisecond
	// maxUnansweredLogs is the number of unanswered calls to the store that are logged each; of later ones, one per unansweredLogPeriod is.
	maxUnansweredLogs   = 100
	unansweredLogPeriod = time.Second
)

// watchWarmups asks backend servers whether they are cold while the store can't tell, until the context ends.
//
// A backend server may turn cold at any moment and says so in its entry in the
// store, which VMs don't hear of during an outage. Its health responses say it too.
func (e *Edge) watchWarmups(ctx context.Context) error {
	var watch warmup.Watch
	for {
		startedAt := e.clock.Boot()
		if s := e.snapshot.Load(); s.Configuration != nil {
			watch.ObserveNews(startedAt, e.newsAge())
			e.checkWarmups(ctx, s, &watch)
		}
		select {
		case <-e.clock.After(startedAt.Add(warmupCheckPeriod).Sub(e.clock.Boot())):
		case <-ctx.Done():
			return nil
		}
	}
}

// checkWarmups asks the backend servers that this VM has to ask, and returns when all have answered or failed to.
func (e *Edge) checkWarmups(ctx context.Context, s *fleet.Snapshot, watch *warmup.Watch) {
	now, domains := e.clock.Boot(), e.vmsByDomain(s.Peers)
	var checks sync.WaitGroup
	for _, server := range s.Servers {
		if !watch.IsNeeded(now, server.Domain) {
			continue
		}
		service := s.Configuration.Services[server.Service]
		if service.WarmupRate <= 0 || service.HealthPath == "" || !s.Usable(server) || !slices.Contains(warmup.Checkers(server.Incarnation.Server, server.Domain, domains), e.settings.VM) {
			continue
		}
		checks.Go(func() {
			defer e.survivePanic()
			e.checkWarmup(ctx, server, service.HealthPath)
		})
	}
	checks.Wait()
}

// vmsByDomain returns this VM and its peers by failure domain, sorted by name.
func (e *Edge) vmsByDomain(peers map[id.VM]fleet.Peer) map[id.Domain][]id.VM {
	domains := map[id.Domain][]id.VM{e.settings.FailureDomain: {e.settings.VM}}
	for vm, p := range peers {
		if vm != e.settings.VM {
			domains[p.Domain] = append(domains[p.Domain], vm)
		}
	}
	for _, vms := range domains {
		slices.Sort(vms)
	}
	return domains
}

// checkWarmup asks a backend server for its remaining warm-up time.
func (e *Edge) checkWarmup(ctx context.Context, server fleet.Server, path string) {
	ctx, cancel := context.WithTimeout(ctx, warmupCheckTimeout)
	defer cancel()
	e.metrics.attempts.Add("checked", 1)
	result := e.attempt(ctx, relay.Attempt{
		Server: server.Server, Born: server.Born, Address: server.Address, Method: http.MethodGet, Target: path, Host: server.Address, Header: http.Header{},
		Command: true, Timeout: warmupCheckTimeout,
	})
	if result.Failure != nil || result.Header.Get(platform.HeaderInstance) != string(server.Server) {
		return
	}
	n := dispatch.WarmupNews{Incarnation: server.Incarnation, Left: platform.ParseWarmupLeft(result.Header)}
	if e.dispatcher.ObserveWarmup(n) {
		e.logWarmup(n, e.settings.VM)
	}
}

// logWarmup logs that a backend server is cold, as it has told the given VM.
func (e *Edge) logWarmup(n dispatch.WarmupNews, seenBy id.VM) {
	e.log.Info("backend server is cold", "server", string(n.Incarnation.Server), "born", int64(n.Incarnation.Born), "warmLeft", n.Left.String(), "seenBy", string(seenBy), "newsAgeMs", e.newsAge().Milliseconds())
}

// logLateWarmup logs that this VM has sent requests to a backend server within a second before it heard that it is cold.
func (e *Edge) logLateWarmup(server id.Server, left time.Duration, sent int) {
	e.log.Info("requests were sent to a backend server before it was known to be cold", "server", string(server), "sent", sent, "warmLeft", left.String())
}

// observeStoreCall counts a call to the store, and logs one that got no answer.
func (e *Edge) observeStoreCall(call string, took time.Duration, err error) {
	e.metrics.observeStore(call, took, err)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		e.unansweredLogs.Do(func() {
			e.log.Info("a call to the store got no answer", "call", call, "tookMs", took.Milliseconds(), "error", err.Error())
		})
	}
}

// announceWarmups tells all VMs which backend servers have told this VM that they are cold.
func (e *Edge) announceWarmups() {
	news := e.dispatcher.TakeWarmupNews()
	if len(news) == 0 {
		return
	}
	m := e.withSender(gossip.Message{Warmups: make([]gossip.Warmup, len(news))})
	for i, n := range news {
		m.Warmups[i] = gossip.Warmup{Server: n.Incarnation.Server, Born: n.Incarnation.Born, Left: int(n.Left.Milliseconds())}
	}
	e.announce(m)
}

// maxWarmupLeft limits the remaining warm-up time in a message, in milliseconds, so that it can't overflow.
const maxWarmupLeft = 3_600_000

// applyWarmups records which backend servers have told another VM that they are cold.
func (e *Edge) applyWarmups(from id.VM, warmups []gossip.Warmup) {
	if len(warmups) == 0 {
		return
	}
	news := make([]dispatch.WarmupNews, len(warmups))
	for i, w := range warmups {
		news[i] = dispatch.WarmupNews{Incarnation: fleet.Incarnation{Server: w.Server, Born: w.Born}, Left: time.Duration(min(max(w.Left, 0), maxWarmupLeft)) * time.Millisecond}
	}
	for _, n := range e.dispatcher.ApplyWarmupNews(news) {
		e.logWarmup(n, from)
	}
}
