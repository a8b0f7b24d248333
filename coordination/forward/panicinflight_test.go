package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/clearance"
	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// An attempt that ended with a panic after its write stayed in flight for ever, and was suspected of a crash that came later.
func TestAttemptsEndedByPanicsAreNotInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := clock.Runtime{Origin: time.Now().Add(-time.Hour)}
		server := fleet.Server{Incarnation: fleet.Incarnation{Server: "a", Born: 1}, Service: service, Domain: "east", Version: "v1", Slots: 4}
		servers := map[id.Server]fleet.Server{"a": server}
		d := dispatch.NewDispatcher("vm1", "east", dispatch.WithClock(c))
		d.Update(&fleet.Snapshot{
			Configuration: fleet.NewConfiguration(1, nil, map[id.Service]fleet.Service{service: {Name: service}}, fleet.Limits{}),
			Servers:       servers, ByService: fleet.ByService(servers),
		})
		crashes := poison.NewLedger()
		f := forward.NewForwarder(d, forward.WithClock(c), forward.WithCrashes(crashes),
			forward.WithSend(func(_ context.Context, a forward.Attempt) (*forward.Reply, *forward.Failure) {
				is.Equal(a.Clear(), clearance.Granted)
				panic("in the answer")
			}))
		now := c.Boot()
		func() {
			defer func() { is.True(recover() != nil) }()
			_, _ = f.Forward(t.Context(), &forward.Request{
				ID: "1", Method: "POST", Target: "/t", Service: service, Arrived: now, Deadline: now.Add(3 * time.Second), Objective: now.Add(time.Second),
				Route: &fleet.Route{Name: "r", MaxAttempts: 2, Objective: time.Second},
			})
		}()
		is.Equal(len(d.Loads()), 0)
		time.Sleep(time.Hour)
		f.RecordCrash(server)
		is.True(!crashes.IsSuspect(poison.FingerprintOf(string(service), "POST", "/t", nil)))
	})
}
