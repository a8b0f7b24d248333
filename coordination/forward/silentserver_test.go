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

// Dials that ended with their callers said nothing of a silent backend server, so that it got its full share of requests for as long as it was silent.
func TestSilentServerIsAvoidedThoughCallersLeaveDuringDials(t *testing.T) {
	const requests, patience = 60, 350 * time.Millisecond
	for name, idempotent := range map[string]bool{"idempotent": true, "not idempotent": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := clock.Runtime{Origin: time.Now().Add(-time.Hour)}
				servers := map[id.Server]fleet.Server{}
				for _, n := range []id.Server{"silent", "sound"} {
					servers[n] = fleet.Server{Incarnation: fleet.Incarnation{Server: n, Born: 1}, Service: service, Domain: "east", Slots: 4}
				}
				d := dispatch.NewDispatcher("vm1", "east", dispatch.WithClock(c))
				d.Update(&fleet.Snapshot{
					Configuration: fleet.NewConfiguration(1, nil, map[id.Service]fleet.Service{service: {Name: service}}, fleet.Limits{}),
					Servers:       servers, ByService: fleet.ByService(servers),
				})
				dials := 0
				f := forward.NewForwarder(d, forward.WithClock(c), forward.WithSend(func(ctx context.Context, a forward.Attempt) (*forward.Reply, *forward.Failure) {
					if a.Slot.Server.Server == "sound" {
						return answers(200)(ctx)
					}
					// A dial doesn't end with its caller.
					dials++
					time.Sleep(400 * time.Millisecond)
					return nil, &forward.Failure{Cause: context.DeadlineExceeded}
				}))
				for range requests {
					ctx, leave := context.WithTimeoutCause(t.Context(), time.Minute, nil)
					stop := time.AfterFunc(patience, leave)
					now := c.Boot()
					_, _ = f.Forward(ctx, &forward.Request{
						ID: "1", Method: "POST", Service: service, Arrived: now, Deadline: now.Add(3 * time.Second), Objective: now.Add(time.Second), Exchange: t.Context(),
						Route: &fleet.Route{Name: "r", Idempotent: idempotent, MaxAttempts: 2, Objective: time.Second},
					})
					stop.Stop()
					leave()
				}
				t.Logf("%d of %d requests went to the silent backend server", dials, requests)
				is.True(dials < requests/4)
			})
		})
	}
}
