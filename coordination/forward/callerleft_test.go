package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// A request whose context has ended must not begin another attempt, also if a slot is free.
func TestEndedRequestsAreNotSent(t *testing.T) {
	rejected := func(context.Context) (*forward.Reply, *forward.Failure) {
		return &forward.Reply{Answer: forward.Answer{Status: 503}, NotRun: true}, nil
	}
	tests := map[string]struct {
		// endsIn is the attempt during which the context ends; 0 means before the first one.
		endsIn     int
		idempotent bool
		keyed      bool
		step       step
	}{
		"before the first attempt":             {step: answers(200)},
		"before the first attempt, idempotent": {idempotent: true, step: answers(200)},
		"during a rejection":                   {endsIn: 1, step: rejected},
		"during a rejection, idempotent":       {endsIn: 1, idempotent: true, step: rejected},
		"during the second rejection":          {endsIn: 2, idempotent: true, step: rejected},
		"misplaced, with a key":                {endsIn: 1, keyed: true, step: misplaced},
		"misplaced, without a key":             {endsIn: 1, step: misplaced},
		"during a failing dial":                {endsIn: 1, idempotent: true, step: unreachable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := clock.Runtime{Origin: time.Now().Add(-time.Hour)}
				servers := map[id.Server]fleet.Server{}
				for _, n := range []id.Server{"a", "b", "c", "d"} {
					servers[n] = fleet.Server{Incarnation: fleet.Incarnation{Server: n, Born: 1}, Service: service, Domain: "east", Slots: 4}
				}
				d := dispatch.NewDispatcher("vm1", "east", dispatch.WithClock(c))
				d.Update(&fleet.Snapshot{
					Configuration: fleet.NewConfiguration(1, nil, map[id.Service]fleet.Service{service: {Name: service, Keyed: test.keyed}}, fleet.Limits{}),
					Servers:       servers, ByService: fleet.ByService(servers),
					Tables: map[id.Service]*fleet.Table{service: {Service: service, Fence: 1, Ranges: []fleet.Range{{To: fleet.KeyCount - 1, Owner: servers["a"].Incarnation, Fence: 1}}}},
				})
				ctx, end := context.WithCancel(t.Context())
				defer end()
				attempts := 0
				f := forward.NewForwarder(d, forward.WithClock(c), forward.WithRetries(0.1, func() float64 { return 9 }),
					forward.WithSend(func(ctx context.Context, _ forward.Attempt) (*forward.Reply, *forward.Failure) {
						if attempts++; attempts == test.endsIn {
							end()
						}
						return test.step(ctx)
					}))
				if test.endsIn == 0 {
					end()
				}
				now := c.Boot()
				_, err := f.Forward(ctx, &forward.Request{
					ID: "1", Method: "POST", Service: service, Keyed: test.keyed, Key: 7, Arrived: now, Deadline: now.Add(3 * time.Second), Objective: now.Add(time.Second),
					Route: &fleet.Route{Name: "r", Idempotent: test.idempotent, MaxAttempts: 2, Objective: time.Second},
				})
				is.Equal(attempts, test.endsIn)
				is.Equal(outcome.FromError(err).Outcome, outcome.KindNotRun)
				is.Equal(len(d.Loads()), 0)
			})
		})
	}
}
