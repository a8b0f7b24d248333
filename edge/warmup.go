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
	"github.com/hickorylug/hickorylug/state/clock"
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
	// maxOldNewsLogs is the number of rounds of checks since the news of the store were old that are logged each; of later ones, one per
	// oldNewsLogPeriod is.
	maxOldNewsLogs   = 100
	oldNewsLogPeriod = time.Second
	// maxUnansweredLogs is the number of unanswered calls to the store that are logged each; of later ones, one per unansweredLogPeriod is.
	maxUnansweredLogs   = 100
	unansweredLogPeriod = time.Second
)

// watchWarmups asks backend servers whether they are cold while their entries may not tell, until the context ends.
//
// A backend server may turn cold at any moment and says so in its entry in the
// store, which VMs don't hear of while the store is out of reach or carries
// writes out late. Its health responses say it too.
//
// VMs check at different times. Only the first check of a busy backend server
// after its news have become old doesn't wait for its turn.
func (e *Edge) watchWarmups(ctx context.Context) error {
	nextAt := e.clock.Boot()
	for {
		now := e.clock.Boot()
		isTurn := now >= nextAt
		if isTurn {
			nextAt = now.Add(warmupCheckPeriod)
		}
		if s := e.snapshot.Load(); s.Configuration != nil {
			e.observeNewsAge(now)
			e.checkWarmups(ctx, s, isTurn)
		}
		select {
		case <-e.clock.After(e.untilCheck(nextAt)):
		case <-e.warmupSign:
			nextAt = e.clock.Boot()
		case <-ctx.Done():
			return nil
		}
	}
}

// untilCheck returns the time until the next check: at a given time, or when the news become too old for a busy backend server before that.
func (e *Edge) untilCheck(nextAt clock.Instant) time.Duration {
	now := e.clock.Boot()
	left, age := nextAt.Sub(now), e.copyAge(now)
	if untilOld := warmup.UntilOld(age); untilOld > 0 {
		return min(left, untilOld)
	}
	for _, tolerance := range e.tolerances() {
		if tolerance >= age {
			left = min(left, tolerance-age+1)
		}
	}
	return left
}

// tolerances returns the ages of the news up to which the busy backend servers needn't be asked by this VM.
func (e *Edge) tolerances() map[id.Server]time.Duration {
	loads := e.dispatcher.WarmupLoads()
	tolerances := make(map[id.Server]time.Duration, len(loads))
	for server, load := range loads {
		tolerances[server] = warmup.Tolerance(load.Rate, load.Allowed)
	}
	return tolerances
}

// observeNewsAge records the age of the news, and tells the other VMs of a sign that they need.
func (e *Edge) observeNewsAge(now clock.Instant) {
	age := e.copyAge(now)
	e.mu.Lock()
	e.warmups.ObserveNews(now, age)
	var signAge time.Duration
	// A VM that has just started and knows the store from another VM only has old news, but that is no sign for the others.
	tell := e.firstNewsAt > 0
	if tell {
		signAge, tell = e.warmups.TakeSign(now)
	}
	e.mu.Unlock()
	if tell {
		e.log.Info("entries of backend servers may be late: they are asked whether they are cold", "signAgeMs", signAge.Milliseconds(), "newsAgeMs", age.Milliseconds())
		e.announce(e.withSender(gossip.Message{LateEntries: &gossip.LateEntries{Age: int(signAge.Milliseconds())}}))
	}
}

// observeSign records a sign that backend servers must be asked, and triggers checks at once unless they have been going on.
func (e *Edge) observeSign(record func(now clock.Instant, w *warmup.Watch)) {
	e.mu.Lock()
	now := e.clock.Boot()
	wasIdle := e.warmups.IsIdle(now)
	record(now, &e.warmups)
	starts := wasIdle && !e.warmups.IsIdle(now)
	e.mu.Unlock()
	if starts {
		e.notify(e.warmupSign)
	}
}

// applyLateEntries records that another VM had a sign that entries of backend servers may be late.
func (e *Edge) applyLateEntries(from id.VM, late *gossip.LateEntries) {
	if late == nil {
		return
	}
	e.observeSign(func(now clock.Instant, w *warmup.Watch) {
		if w.IsIdle(now) {
			e.log.Info("another VM reports that entries of backend servers may be late", "from", string(from), "ageMs", late.Age)
		}
		w.ObserveShared(now, time.Duration(min(max(late.Age, 0), maxSignAge))*time.Millisecond)
	})
}

// observeReturns records the failure domains whose evacuation has ended: their backend servers may have turned cold shortly before. It has to
// run before the dispatcher knows the next snapshot.
func (e *Edge) observeReturns(old, next *fleet.Snapshot) {
	for domain := range old.Evacuated {
		if !next.Evacuated[domain] {
			e.dispatcher.PresumeCold(domain)
			e.observeSign(func(now clock.Instant, w *warmup.Watch) { w.ObserveReturn(now, domain) })
			e.notify(e.warmupSign)
		}
	}
}

// checkWarmups asks the backend servers that this VM has to ask, and returns when all have answered or failed to. Out of turn, it asks the busy
// ones only.
func (e *Edge) checkWarmups(ctx context.Context, s *fleet.Snapshot, isTurn bool) {
	var checks sync.WaitGroup
	for _, server := range e.serversToCheck(s, isTurn) {
		checks.Go(func() {
			defer e.survivePanic()
			e.checkWarmup(ctx, server, s.Configuration.Services[server.Service].HealthPath)
		})
	}
	checks.Wait()
}

// serversToCheck returns the backend servers that this VM has to ask now, in its turn or out of it.
func (e *Edge) serversToCheck(s *fleet.Snapshot, isTurn bool) (servers []fleet.Server) {
	now := e.clock.Boot()
	e.mu.Lock()
	watch := e.warmups.Clone()
	e.mu.Unlock()
	late := e.lateServers(now, &watch)
	isTarget := func(fleet.Server) bool { return false }
	switch {
	case isTurn && !watch.IsIdle(now):
		isTarget = e.warmupTargets(s, watch.MustAskItself(e.followsLeader() || e.leads()))
	case len(late) == 0:
		return nil
	}
	for _, server := range s.Servers {
		service := s.Configuration.Services[server.Service]
		if !service.ReportsWarmup() || !s.UsableForKeys(now, server) {
			continue
		}
		if late[server.Server] || watch.IsNeeded(now, server.Domain) && isTarget(server) {
			servers = append(servers, server)
		}
	}
	return servers
}

// lateServers returns the busy backend servers that this VM asks before all are asked, since its news are old.
func (e *Edge) lateServers(now clock.Instant, watch *warmup.Watch) map[id.Server]bool {
	late, age := map[id.Server]bool{}, e.copyAge(now)
	if warmup.UntilOld(age) > 0 {
		return late
	}
	for server, tolerance := range e.tolerances() {
		if watch.IsLate(now, age, tolerance) {
			late[server] = true
		}
	}
	if len(late) > 0 {
		e.oldNewsLogs.Do(func() {
			e.log.Info("the news of the store are old: busy backend servers are asked whether they are cold", "newsAgeMs", age.Milliseconds(), "servers", len(late))
		})
	}
	return late
}

// warmupTargets returns which backend servers this VM has to ask: its part and, if so told, those to which it sends.
func (e *Edge) warmupTargets(s *fleet.Snapshot, mustAskItself bool) (asks func(server fleet.Server) bool) {
	vms, recent := e.vmsByDomain(s.Peers), map[id.Server]bool{}
	if mustAskItself {
		recent = e.dispatcher.RecentServers()
	}
	return func(server fleet.Server) bool {
		return recent[server.Server] || slices.Contains(warmup.Checkers(server.Server, server.Domain, vms), e.settings.VM)
	}
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
	askedAt := e.clock.Boot()
	e.metrics.attempts.Add("checked", 1)
	result := e.attempt(ctx, relay.Attempt{
		Server: server.Server, Born: server.Born, Address: server.Address, Method: http.MethodGet, Target: path, Host: server.Address, Header: http.Header{},
		Command: true, Timeout: warmupCheckTimeout,
	})
	if n, ok := warmupNewsOf(server, result); ok && e.dispatcher.ObserveWarmup(n, askedAt) {
		e.logWarmup(n, e.settings.VM)
		// The next load report would tell it as well, but later.
		e.announceWarmups()
	}
}

// warmupNewsOf returns what a health response says of a backend server's warm-up. One that is no success says nothing of a warm one: the check
// may have been rejected before the backend server looked at it.
func warmupNewsOf(server fleet.Server, result relay.Result) (n dispatch.WarmupNews, ok bool) {
	if result.Failure != nil || result.Header.Get(platform.HeaderInstance) != string(server.Server) {
		return n, false
	}
	n = dispatch.WarmupNews{Incarnation: server.Incarnation, Left: platform.ParseWarmupLeft(result.Header)}
	return n, n.Left > 0 || result.Status == http.StatusOK
}

// logWarmup logs that a backend server is cold, as it has told the given VM.
func (e *Edge) logWarmup(n dispatch.WarmupNews, seenBy id.VM) {
	e.log.Info("backend server is cold", "server", string(n.Incarnation.Server), "born", int64(n.Incarnation.Born), "warmLeft", n.Left.String(), "seenBy", string(seenBy), "newsAgeMs", e.copyAge(e.clock.Boot()).Milliseconds())
}

// logLateWarmup logs that this VM has sent requests to a backend server within a second before it heard that it is cold.
func (e *Edge) logLateWarmup(server id.Server, left time.Duration, sent int) {
	e.log.Info("requests were sent to a backend server before it was known to be cold", "server", string(server), "sent", sent, "warmLeft", left.String())
}

// observeStoreCall counts a call to the store, and records and logs one that got no answer.
func (e *Edge) observeStoreCall(call string, took time.Duration, err error) {
	e.metrics.observeStore(call, took, err)
	if !errors.Is(err, platform.ErrOutcomeUnknown) || errors.Is(err, context.Canceled) {
		return
	}
	e.unansweredLogs.Do(func() {
		e.log.Info("a call to the store got no answer", "call", call, "tookMs", took.Milliseconds(), "error", err.Error())
	})
	if platform.IsWrite(call) {
		e.observeUnansweredWrite()
	}
}

// observeUnansweredWrite records that a write of this VM has got no answer from the store yet.
func (e *Edge) observeUnansweredWrite() {
	e.observeSign(func(now clock.Instant, w *warmup.Watch) { w.ObserveUnansweredWrite(now) })
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

// maxSignAge limits the age of a sign in a message, in milliseconds, so that it can't overflow.
const maxSignAge = 3_600_000

// maxWarmupLeft limits the remaining warm-up time in a message, in milliseconds, so that it can't overflow.
const maxWarmupLeft = 3_600_000

// applyWarmups records which backend servers have told another VM that they are cold.
func (e *Edge) applyWarmups(from id.VM, warmups []gossip.Warmup) {
	if len(warmups) == 0 {
		return
	}
	news := make([]dispatch.WarmupNews, len(warmups))
	for i, w := range warmups {
		// A negative time stays negative, as 0 says that the backend server is warm.
		news[i] = dispatch.WarmupNews{Incarnation: fleet.Incarnation{Server: w.Server, Born: w.Born}, Left: time.Duration(min(max(w.Left, -1), maxWarmupLeft)) * time.Millisecond}
	}
	for _, n := range e.dispatcher.ApplyWarmupNews(news) {
		e.logWarmup(n, from)
	}
}
