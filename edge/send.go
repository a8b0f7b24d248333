package edge

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/clearance"
	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/coordination/ratelimit"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/relay"
)

const (
	// maxResponseBytes limits the size of a buffered response, in bytes.
	maxResponseBytes = 32 << 20
	// maxCommandResponseBytes is the same for grants, releases and health checks, whose responses have short bodies or none.
	maxCommandResponseBytes = 64 << 10
)

// sendAttempt makes one attempt at sending a request to a backend server.
func (e *Edge) sendAttempt(ctx context.Context, a forward.Attempt) (reply *forward.Reply, failure *forward.Failure) {
	r, server := a.Request, a.Slot.Server
	attempt := relay.Attempt{
		Server: server.Server, Born: server.Born, Address: server.Address, Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Body: r.Body,
		RequestID: r.ID, Timeout: a.Timeout, MaxConnections: a.Slot.MaxConnections, NewConnection: a.NewConnection, Detached: !r.Route.Idempotent,
		Wanted: a.Wanted,
	}
	if a.Clear != nil {
		attempt.Clear = func() error {
			if v := a.Clear(); v != clearance.Granted {
				return errors.Mark(errors.New(v.String()), errWithheld)
			}
			return nil
		}
	}
	result := e.attempt(ctx, attempt)
	sending := sendingOf(result)
	if f := result.Failure; f != nil {
		return nil, &forward.Failure{
			Sent: f.Sent, Refused: f.Refused, AtConnectionLimit: f.AtConnectionLimit, Abandoned: f.Abandoned, Withheld: f.Withheld, Cause: errors.New(f.Cause), Sending: sending,
		}
	}
	meta := platform.ParseResponseHeader(result.Status, result.Header)
	if inc, ok := e.respondent(attempt, result.Header); !ok || inc != server.Incarnation {
		// Another backend server at its address has answered.
		meta.RetryAfter = 0
	}
	return &forward.Reply{
		Answer:    forward.Answer{Status: result.Status, Header: result.Header, Body: result.Body, Server: server.Server},
		Report:    dispatch.Report{Known: meta.HasLoad, Running: meta.Running, Waiting: meta.Waiting, Slots: meta.Slots, Slowdown: meta.Slowdown, RequestLimit: ratelimit.Rate(meta.RequestLimit), RetryAfter: meta.RetryAfter, Relayed: result.Relayed},
		NotRun:    meta.NotRun,
		Misplaced: meta.Misplaced,
		Unsigned:  isSuccess(result.Status) && !meta.NotRun && !meta.Signed,
		Sending:   sending,
	}, nil
}

// sendingOf returns when an attempt was written. Through another VM that is the earliest time, without the time on the link between the VMs.
func sendingOf(r relay.Result) (s forward.Sending) {
	s.Relayed, s.WrittenAt = r.Relayed, r.WrittenAt
	if r.Relayed && r.WriteDelay > 0 {
		s.WrittenAt = r.AskedAt.Add(r.WriteDelay)
	}
	return s
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
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
