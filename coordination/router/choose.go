package router

import (
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/id"
)

// Constants of the choice of a group.
const (
	// freshFor is the time for which the load in an answer is believed.
	freshFor = 500 * time.Millisecond
	// distance is the load, as a share of the limit, that makes the far failure domain as good as the near one.
	distance = 0.1
	// refusedScore is added for a group that refused a request lately.
	refusedScore = 2.0
)

// group returns the group that a request is for.
func (r *Router) group(view *directory.View, req *exchange.Request, tried map[id.Group]bool) (g id.Group, err error) {
	if !req.RoutedByHash() {
		return r.choose(view, req, tried)
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

// choose returns the least loaded group of a service, the near one where it costs nothing.
func (r *Router) choose(view *directory.View, req *exchange.Request, tried map[id.Group]bool) (best id.Group, err error) {
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
			score += distance
		}
		if best == "" || score < lowest {
			best, lowest = name, score
		}
	}
	if best == "" {
		return "", outcome.NotRun(outcome.NoServer, "no group of service %s is in service", req.Service)
	}
	r.loads.sent(best)
	return best, nil
}

type groupLoad struct {
	load exchange.Load
	at   time.Time
	// since counts what this VM has sent since the load was reported.
	since     int
	refusedAt time.Time
}

// loads is what answers have told of the groups' load.
type loads struct {
	mu     sync.Mutex
	groups map[id.Group]*groupLoad
}

func newLoads() *loads {
	return &loads{groups: map[id.Group]*groupLoad{}}
}

func (l *loads) of(g id.Group) *groupLoad {
	if _, ok := l.groups[g]; !ok {
		l.groups[g] = &groupLoad{}
	}
	return l.groups[g]
}

func (l *loads) note(now time.Time, g id.Group, load exchange.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.of(g)
	e.load, e.at, e.since = load, now, 0
}

func (l *loads) sent(g id.Group) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(g).since++
}

func (l *loads) refused(now time.Time, g id.Group, e *outcome.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Outcome == outcome.KindNotRun && e.IsRetryable() {
		l.of(g).refusedAt = now
	}
}

// score returns the share of a group's limit that is in use, as far as it is known.
func (l *loads) score(now time.Time, g id.Group) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.of(g)
	score := 0.0
	if now.Sub(e.at) <= freshFor && e.load.Limit > 0 {
		score = float64(e.load.Running+e.load.Waiting+e.since) / float64(e.load.Limit)
	}
	if now.Sub(e.refusedAt) <= freshFor {
		score += refusedScore
	}
	return score
}
