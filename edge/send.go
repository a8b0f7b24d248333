package edge

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/coordination/ratelimit"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/http1"
)

// maxResponseBytes limits the size of a buffered response, in bytes.
const maxResponseBytes = 32 << 20

// sendAttempt makes one attempt at sending a request to a backend server.
func (e *Edge) sendAttempt(ctx context.Context, a forward.Attempt) (reply *forward.Reply, failure *forward.Failure) {
	r, server := a.Request, a.Slot.Server
	header := r.Header.Clone()
	platform.SetAttemptHeaders(header, r.ID, a.Timeout, server.Server)
	wait := e.reach.Begin(server.Server)
	defer func() { e.reach.End(wait, failure == nil) }()
	resp, err := e.backends.Do(ctx, http1.Request{
		Address: server.Address, Server: string(server.Server), Method: r.Method, Target: r.Target, Host: r.Host, Header: header, Body: r.Body,
		Match:          func(status int, h http.Header) http1.Match { return platform.MatchResponse(status, h, r.ID) },
		MaxConnections: a.Slot.MaxConnections, NewConnection: a.NewConnection,
	})
	if err != nil {
		return nil, newFailure(err)
	}
	defer resp.Body.Close()
	body, err := http1.ReadBody(resp.Body, maxResponseBytes, e.bodies)
	if err != nil {
		return nil, &forward.Failure{Sent: true, Cause: errors.Wrap(err, "read the answer")}
	}
	meta := platform.ParseResponseHeader(resp.Status, resp.Header)
	return &forward.Reply{
		Answer:    forward.Answer{Status: resp.Status, Header: resp.Header, Body: body, Server: server.Server},
		Report:    dispatch.Report{Known: meta.HasLoad, Running: meta.Running, Waiting: meta.Waiting, Slots: meta.Slots, Slowdown: meta.Slowdown, RequestLimit: ratelimit.Rate(meta.RequestLimit)},
		NotRun:    meta.NotRun,
		Misplaced: meta.Misplaced,
	}, nil
}

func newFailure(err error) *forward.Failure {
	return &forward.Failure{
		Sent: http1.WasSent(err), Refused: errors.Is(err, http1.ErrRefused), AtConnectionLimit: errors.Is(err, http1.ErrNoConnection), Cause: err,
	}
}

// trafficSplitter selects among the targets of a route so that each gets its exact share.
type trafficSplitter struct {
	mu sync.Mutex
	// credit is the accumulated credit of each target of a route, in requests.
	credit map[id.Route][]float64
}

func newTrafficSplitter() *trafficSplitter { return &trafficSplitter{credit: map[id.Route][]float64{}} }

// pick returns the target with the highest credit.
func (s *trafficSplitter) pick(r *fleet.Route) id.Service {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.credit[r.Name]
	if len(credit) != len(r.Targets) {
		credit = make([]float64, len(r.Targets))
		s.credit[r.Name] = credit
	}
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	best := 0
	for i, t := range r.Targets {
		credit[i] += float64(t.Weight) / float64(max(1, sum))
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best]--
	return r.Targets[best].Service
}
