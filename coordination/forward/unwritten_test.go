package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/clearance"
	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// A request counted as one that may have crashed backend servers that ended while it waited for its connections, and was refused.
func TestUnwrittenRequestsAreNotSuspectedOfCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := clock.Runtime{Origin: time.Now().Add(-time.Hour)}
		servers := map[id.Server]fleet.Server{}
		for _, n := range []id.Server{"a", "b", "c", "d"} {
			servers[n] = fleet.Server{Incarnation: fleet.Incarnation{Server: n, Born: 1}, Service: service, Domain: "east", Version: "v1", Slots: 4}
		}
		d := dispatch.NewDispatcher("vm1", "east", dispatch.WithClock(c))
		d.Update(&fleet.Snapshot{
			Configuration: fleet.NewConfiguration(1, nil, map[id.Service]fleet.Service{service: {Name: service}}, fleet.Limits{}),
			Servers:       servers, ByService: fleet.ByService(servers),
		})
		ended, written := 0, 0
		var f *forward.Forwarder
		f = forward.NewForwarder(d, forward.WithClock(c), forward.WithCrashes(poison.NewLedger()),
			forward.WithSend(func(ctx context.Context, a forward.Attempt) (*forward.Reply, *forward.Failure) {
				if ended < len(servers)-1 {
					ended++
					f.RecordCrash(a.Slot.Server)
					return nil, &forward.Failure{Cause: errors.New("no connection")}
				}
				if v := a.Clear(); v != clearance.Granted {
					return nil, &forward.Failure{Withheld: true, Cause: errors.New(v.String())}
				}
				written++
				return answers(200)(ctx)
			}))
		now := c.Boot()
		_, err := f.Forward(t.Context(), &forward.Request{
			ID: "1", Method: "POST", Service: service, Arrived: now, Deadline: now.Add(3 * time.Second), Objective: now.Add(time.Second),
			Route: &fleet.Route{Name: "r", MaxAttempts: 2, Objective: time.Second},
		})
		is.Equal(written, 1)
		is.NoErr(err)
	})
}
