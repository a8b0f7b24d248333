package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// A backend server that lost a key and got it back must not run a request again that it ran before another one owned the key.
func TestRequestIsNotRunAgainUnderALaterGrant(t *testing.T) {
	owns := func(server id.Server, fence fleet.Fence) *fleet.Table {
		return &fleet.Table{Service: service, Fence: fence, Ranges: []fleet.Range{{To: fleet.KeyCount - 1, Owner: fleet.Incarnation{Server: server, Born: 1}, Fence: fence}}}
	}
	tests := map[string]struct {
		first step
		// after is the table once the first attempt has ended.
		after  *fleet.Table
		status int
		sentTo []id.Server
	}{
		"an error, the owner still owns the key":    {first: answers(500), after: owns("a", 4), status: 200, sentTo: []id.Server{"a", "a"}},
		"an error, another one owns it":             {first: answers(500), after: owns("b", 8), status: 200, sentTo: []id.Server{"a", "b"}},
		"an error, the owner got the key back":      {first: answers(500), after: owns("a", 12), status: 500, sentTo: []id.Server{"a"}},
		"no answer, the owner still owns the key":   {first: breaks, after: owns("a", 4), status: 200, sentTo: []id.Server{"a", "a"}},
		"no answer, the owner got the key back":     {first: breaks, after: owns("a", 12), sentTo: []id.Server{"a"}},
		"not run, since the owner had lost the key": {first: misplaced, after: owns("a", 12), status: 200, sentTo: []id.Server{"a", "a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := clock.Runtime{Origin: time.Now().Add(-time.Hour)}
				d := dispatch.NewDispatcher("vm1", "east", dispatch.WithClock(c))
				servers := map[id.Server]fleet.Server{}
				for _, n := range []id.Server{"a", "b"} {
					servers[n] = fleet.Server{Incarnation: fleet.Incarnation{Server: n, Born: 1}, Service: service, Domain: "east", Slots: 4}
				}
				update := func(table *fleet.Table) {
					d.Update(&fleet.Snapshot{
						Configuration: fleet.NewConfiguration(1, nil, map[id.Service]fleet.Service{service: {Name: service, Keyed: true}}, fleet.Limits{}),
						Servers:       servers, ByService: fleet.ByService(servers), Tables: map[id.Service]*fleet.Table{service: table},
					})
				}
				update(owns("a", 4))
				var sentTo []id.Server
				f := forward.NewForwarder(d, forward.WithClock(c), forward.WithRetries(0.1, func() float64 { return 9 }),
					forward.WithSend(func(ctx context.Context, a forward.Attempt) (*forward.Reply, *forward.Failure) {
						if sentTo = append(sentTo, a.Slot.Server.Server); len(sentTo) > 1 {
							return answers(200)(ctx)
						}
						update(test.after)
						return test.first(ctx)
					}))
				now := c.Boot()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				answer, err := f.Forward(ctx, &forward.Request{
					ID: "1", Method: "GET", Service: service, Keyed: true, Key: 7, Arrived: now, Deadline: now.Add(time.Second), Objective: now.Add(400 * time.Millisecond),
					Route: &fleet.Route{Name: "r", Idempotent: true, MaxAttempts: 2, Objective: 400 * time.Millisecond},
				})
				is.Equal(sentTo, test.sentTo)
				is.Equal(err != nil, test.status == 0)
				if answer != nil {
					is.Equal(answer.Status, test.status)
				}
			})
		})
	}
}
