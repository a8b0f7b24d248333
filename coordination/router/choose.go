package router

import (
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/id"
)

// Parameters of the selection of a group.
const (
	// loadMaxAge is the age after which a group's reported load, or its refusal of a request, is ignored.
	loadMaxAge = 500 * time.Millisecond
	// remoteDomainPenalty is added to the utilization of groups in another failure domain than this VM's. Such a
	// group is preferred to one in this VM's failure domain only if its utilization is lower by more than this.
	remoteDomainPenalty = 0.1
	// refusalPenalty is added to the utilization of a group that refused a request within loadMaxAge.
	refusalPenalty = 2.0
)

// selectGroup returns the group that a request is sent to: the owner's for a request that is routed by hash,
// otherwise the least loaded one.
func (r *Router) selectGroup(view *directory.View, req *exchange.Request, tried map[id.Group]bool) (g id.Group, err error) {
	if !req.RoutedByHash() {
		return r.leastLoaded(view, req, tried)
	}
	t, ok := view.Tables[req.Service]
	if !ok {
		return "", outcome.NotRun(outcome.NoOwner, "service %s has no slice table yet", req.Service)
	}
	owner, ok := t.Owner(req.RoutingHash())
	if !ok {
		return "", outcome.NotRun(outcome.NoOwner, "the slice of service %s is being moved", req.Service)
	}
	if !req.Keyed {
		return id.Group(owner), nil
	}
	g, ok = view.GroupOfServer(req.Service, id.Server(owner))
	if !ok {
		return "", outcome.NotRun(outcome.NoOwner, "the owner of the key, %s, is no longer configured", owner)
	}
	return g, nil
}

// leastLoaded returns the least loaded group of a service that isn't in tried. It prefers groups in this VM's
// failure domain.
func (r *Router) leastLoaded(view *directory.View, req *exchange.Request, tried map[id.Group]bool) (best id.Group, err error) {
	now := r.options.Clock.Now()
	lowest := 0.0
	for _, name := range view.ByService[req.Service] {
		g := view.Groups[name]
		record, ok := view.Leases[name]
		if !g.AcceptsRequests() || !ok || record.IsVacant() || tried[name] {
			continue
		}
		score := r.loads.score(now, name)
		if g.FailureDomain != r.domain {
			score += remoteDomainPenalty
		}
		if best == "" || score < lowest {
			best, lowest = name, score
		}
	}
	if best == "" {
		return "", outcome.NotRun(outcome.NoServer, "no group of service %s is in service", req.Service)
	}
	r.loads.recordSent(best)
	return best, nil
}

// groupLoad is the last known load of a group.
type groupLoad struct {
	load       exchange.Load
	reportedAt time.Time
	// sentSince is the number of requests that this VM sent to the group since reportedAt.
	sentSince int
	refusedAt time.Time
}

// loadTracker keeps the load of groups that their responses report. It is safe for concurrent use.
type loadTracker struct {
	mu     sync.Mutex
	groups map[id.Group]*groupLoad
}

func newLoadTracker() *loadTracker {
	return &loadTracker{groups: map[id.Group]*groupLoad{}}
}

// entry returns the record of a group, creating it if needed. The caller holds l.mu.
func (l *loadTracker) entry(g id.Group) *groupLoad {
	if _, ok := l.groups[g]; !ok {
		l.groups[g] = &groupLoad{}
	}
	return l.groups[g]
}

func (l *loadTracker) record(now time.Time, g id.Group, load exchange.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(g)
	e.load, e.reportedAt, e.sentSince = load, now, 0
}

func (l *loadTracker) recordSent(g id.Group) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(g).sentSince++
}

func (l *loadTracker) recordRefusal(now time.Time, g id.Group, e *outcome.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Outcome == outcome.KindNotRun && e.IsRetryable() {
		l.entry(g).refusedAt = now
	}
}

// score returns a group's utilization, the share of its limit that is in use, with a penalty after a refusal.
//
// The utilization counts as 0 if no load was reported within loadMaxAge.
func (l *loadTracker) score(now time.Time, g id.Group) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(g)
	score := 0.0
	if now.Sub(e.reportedAt) <= loadMaxAge && e.load.Limit > 0 {
		score = float64(e.load.Running+e.load.Waiting+e.sentSince) / float64(e.load.Limit)
	}
	if now.Sub(e.refusedAt) <= loadMaxAge {
		score += refusalPenalty
	}
	return score
}
