package edge

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/http1"
)

// maxAnswer is the longest answer that is kept until it is whole, in bytes.
const maxAnswer = 32 << 20

// errAnswerTooLarge means that an answer is longer than what can be kept.
var errAnswerTooLarge = errors.New("the answer is too large")

// send makes one sending of a request to a backend server.
func (e *Edge) send(ctx context.Context, s forward.Attempt) (reply *forward.Reply, failure *forward.Failure) {
	r, server := s.Request, s.Slot.Server
	header := r.Header.Clone()
	platform.SetAttemptHeaders(header, r.ID, s.Timeout, server.Server)
	got, err := e.backends.Do(ctx, http1.Request{
		Address: server.Address, Server: string(server.Server), Method: r.Method, Target: r.Target, Host: r.Host, Header: header, Body: r.Body,
		Matches:        func(h http.Header) bool { return platform.MatchesRequest(h, r.ID) },
		MaxConnections: s.Slot.MaxConnections, NewConnection: s.NewConnection,
	})
	if err != nil {
		return nil, failureOf(err)
	}
	defer got.Body.Close()
	body, err := io.ReadAll(io.LimitReader(got.Body, maxAnswer))
	if err == nil && len(body) == maxAnswer {
		err = errAnswerTooLarge
	}
	if err != nil {
		return nil, &forward.Failure{Sent: true, Cause: errors.Wrap(err, "read the answer")}
	}
	v := platform.ParseResponseHeader(got.Status, got.Header)
	return &forward.Reply{
		Answer:    forward.Answer{Status: got.Status, Header: got.Header, Body: body, Server: server.Server},
		Report:    dispatch.Report{Known: v.HasLoad, Running: v.Running, Waiting: v.Waiting, Slots: v.Slots, Slowdown: v.Slowdown},
		NotRun:    v.NotRun,
		Misplaced: v.Misplaced,
	}, nil
}

func failureOf(err error) *forward.Failure {
	return &forward.Failure{
		Sent: http1.WasSent(err), Refused: errors.Is(err, http1.ErrRefused), AtConnectionLimit: errors.Is(err, http1.ErrNoConnection), Cause: err,
	}
}

// splits chooses among the targets of routes so that each gets its exact share.
type splits struct {
	mu sync.Mutex
	// credit is what each target of a route is owed, in requests.
	credit map[id.Route][]float64
}

func newSplits() *splits { return &splits{credit: map[id.Route][]float64{}} }

// pick returns the target that is owed most.
func (s *splits) pick(r *fleet.Route) id.Service {
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
