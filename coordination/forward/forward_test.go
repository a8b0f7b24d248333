package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// step is what a backend server does with one sending.
type step func(ctx context.Context) (*forward.Reply, *forward.Failure)

func answers(status int) step {
	return func(context.Context) (*forward.Reply, *forward.Failure) {
		return &forward.Reply{Answer: forward.Answer{Status: status}}, nil
	}
}

func rejects(context.Context) (*forward.Reply, *forward.Failure) {
	return &forward.Reply{Answer: forward.Answer{Status: 503}, NotRun: true}, nil
}

func misplaced(context.Context) (*forward.Reply, *forward.Failure) {
	return &forward.Reply{Answer: forward.Answer{Status: 421}, NotRun: true, Misplaced: true}, nil
}

func breaks(context.Context) (*forward.Reply, *forward.Failure) {
	return nil, &forward.Failure{Sent: true, Cause: errors.New("connection reset")}
}

func unreachable(context.Context) (*forward.Reply, *forward.Failure) {
	return nil, &forward.Failure{Refused: true, Cause: errors.New("connection refused")}
}

func hangs(ctx context.Context) (*forward.Reply, *forward.Failure) {
	<-ctx.Done()
	return nil, &forward.Failure{Sent: true, Cause: ctx.Err()}
}

const service id.Service = "plans"

// play forwards one request to backend servers that do the steps in turn.
func play(t *testing.T, idempotent bool, saved float64, steps ...step) (answer *forward.Answer, sendings int, err error) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		c := clock.Runtime{Origin: time.Now().Add(-time.Hour)}
		servers := map[id.Server]fleet.Server{}
		for _, n := range []id.Server{"a", "b", "c", "d", "e", "f"} {
			servers[n] = fleet.Server{Incarnation: fleet.Incarnation{Server: n, Born: 1}, Service: service, Domain: "east", Slots: 4}
		}
		d := dispatch.NewDispatcher("vm1", "east", dispatch.WithClock(c))
		d.Update(&fleet.Snapshot{
			Configuration: fleet.NewConfiguration(1, nil, map[id.Service]fleet.Service{service: {Name: service}}, fleet.Limits{}),
			Servers:       servers, ByService: fleet.ByService(servers),
		})
		f := forward.NewForwarder(d, forward.WithClock(c), forward.WithRetries(0.1, func() float64 { return saved }),
			forward.WithSend(func(ctx context.Context, _ forward.Attempt) (*forward.Reply, *forward.Failure) {
				sendings++
				return steps[min(sendings, len(steps))-1](ctx)
			}))
		now := c.Boot()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		answer, err = f.Forward(ctx, &forward.Request{
			ID: "1", Method: "GET", Service: service, Arrived: now, Deadline: now.Add(time.Second), Objective: now.Add(400 * time.Millisecond),
			Route: &fleet.Route{Name: "r", Idempotent: idempotent, MaxAttempts: 2, Objective: 400 * time.Millisecond},
		})
	})
	return answer, sendings, err
}

func TestForward(t *testing.T) {
	tests := map[string]struct {
		idempotent bool
		saved      float64
		steps      []step
		status     int
		kind       outcome.Kind
		sendings   int
	}{
		"an answer":                                        {steps: []step{answers(200)}, status: 200, sendings: 1},
		"turned away, then answered":                       {steps: []step{rejects, answers(200)}, saved: 5, status: 200, sendings: 2},
		"turned away with the budget used up":              {steps: []step{rejects, rejects, answers(200)}, saved: 1, kind: outcome.KindNotRun, sendings: 2},
		"turned away by all":                               {steps: []step{rejects}, saved: 9, kind: outcome.KindNotRun, sendings: 4},
		"out of reach, then answered":                      {steps: []step{unreachable, answers(200)}, status: 200, sendings: 2},
		"not at the expected server":                       {steps: []step{misplaced, answers(200)}, saved: 5, status: 200, sendings: 2},
		"broken off: idempotent work is repeated":          {idempotent: true, steps: []step{breaks, answers(200)}, saved: 5, status: 200, sendings: 2},
		"broken off: other work is never repeated":         {steps: []step{breaks, answers(200)}, saved: 5, kind: outcome.KindUnknown, sendings: 1},
		"turned away, then broken off":                     {steps: []step{rejects, breaks, answers(200)}, saved: 5, kind: outcome.KindUnknown, sendings: 2},
		"broken off, then turned away: it may have run":    {idempotent: true, steps: []step{breaks, rejects}, saved: 9, kind: outcome.KindUnknown, sendings: 5},
		"no more runs than attempts":                       {idempotent: true, steps: []step{breaks, breaks, answers(200)}, saved: 9, kind: outcome.KindUnknown, sendings: 2},
		"a failure of the server is passed on":             {steps: []step{answers(500), answers(200)}, saved: 5, status: 500, sendings: 1},
		"a failure of the server is repeated where it may": {idempotent: true, steps: []step{answers(500), answers(200)}, saved: 5, status: 200, sendings: 2},
		"a failure of the server is passed on where no other server takes the request": {idempotent: true, steps: []step{answers(500), rejects}, saved: 9, status: 500, sendings: 5},
		"a failure of the server is passed on where the second sending breaks off":     {idempotent: true, steps: []step{answers(500), breaks}, saved: 9, status: 500, sendings: 2},
		"no answer in time: the outcome of work is unknown":                            {steps: []step{hangs}, saved: 5, kind: outcome.KindUnknown, sendings: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answer, sendings, err := play(t, test.idempotent, test.saved, test.steps...)
			is.Equal(sendings, test.sendings)
			if test.status != 0 {
				is.NoErr(err)
				is.Equal(answer.Status, test.status)
				return
			}
			is.Equal(outcome.FromError(err).Outcome, test.kind)
		})
	}
}
