package forward_test

import (
	"context"
	"fmt"
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

// All backend servers of a failure domain may go down at once. The requests of its callers must then be served by those of the
// other failure domains, and not be refused after attempts at near ones only.
func TestDomainDown(t *testing.T) {
	tests := map[string]struct {
		vms, servers int
		idempotent   bool
	}{
		"a small fleet":                  {vms: 3, servers: 8, idempotent: true},
		"a large fleet":                  {vms: 59, servers: 30, idempotent: true},
		"a large fleet, not idempotent":  {vms: 59, servers: 30},
		"few backend servers in a group": {vms: 59, servers: 12},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			served, attempts := 0, 0
			const requests = 40
			synctest.Test(t, func(*testing.T) {
				c := clock.Runtime{Origin: time.Now().Add(-time.Hour)}
				servers, peers := map[id.Server]fleet.Server{}, map[id.VM]fleet.Peer{}
				for _, domain := range []id.Domain{"east", "west"} {
					for i := range test.servers {
						n := id.Server(fmt.Sprint(domain, i))
						servers[n] = fleet.Server{Incarnation: fleet.Incarnation{Server: n, Born: 1}, Service: service, Domain: domain, Slots: 4}
					}
					for i := range test.vms {
						vm := id.VM(fmt.Sprint(domain, "-vm", i))
						peers[vm] = fleet.Peer{VM: vm, Domain: domain}
					}
				}
				d := dispatch.NewDispatcher("east-vm1", "east", dispatch.WithClock(c))
				d.Update(&fleet.Snapshot{
					Configuration: fleet.NewConfiguration(1, nil, map[id.Service]fleet.Service{service: {Name: service}}, fleet.Limits{}),
					Servers:       servers, ByService: fleet.ByService(servers), Peers: peers,
				})
				f := forward.NewForwarder(d, forward.WithClock(c), forward.WithSend(func(ctx context.Context, a forward.Attempt) (*forward.Reply, *forward.Failure) {
					attempts++
					time.Sleep(3 * time.Millisecond)
					if a.Slot.Server.Domain == "east" {
						return unreachable(ctx)
					}
					return answers(200)(ctx)
				}))
				for n := range requests {
					now := c.Boot()
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					answer, err := f.Forward(ctx, &forward.Request{
						ID: fmt.Sprint(n), Method: "GET", Service: service, Arrived: now, Deadline: now.Add(time.Second), Objective: now.Add(400 * time.Millisecond),
						Route: &fleet.Route{Name: "r", Idempotent: test.idempotent, MaxAttempts: 2, Objective: 400 * time.Millisecond},
					})
					cancel()
					if err == nil && answer.Status == 200 {
						served++
					}
					time.Sleep(250 * time.Millisecond)
				}
			})
			is.Equal(served, requests)
			is.True(attempts <= 3*requests)
		})
	}
}
