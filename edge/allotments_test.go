package edge

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/allotment"
	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/settings"
	"github.com/hickorylug/hickorylug/state/task"
	"github.com/hickorylug/hickorylug/state/unit"
	"github.com/hickorylug/hickorylug/transport/gossip"
)

// newAllotmentEdge returns an Edge that leads, with only what allotments need.
func newAllotmentEdge(c clock.Clock, customers ...fleet.Customer) *Edge {
	e := &Edge{
		clock: c, log: slog.New(slog.DiscardHandler), mirror: fleet.NewMirror(platform.Decode), tasks: task.NewSet(), incarnation: "1",
		elector: leader.NewElector("a", c.Boot()),
		settings: settings.Edge{
			VM: "a", AllotmentWindow: unit.Duration(5 * time.Second), AllotmentOverage: 0.1, AllotmentSlack: 20,
		},
	}
	index := fleet.NewCustomers(len(customers))
	for _, customer := range customers {
		index.Add(customer)
	}
	configuration := fleet.NewConfiguration(1, nil, nil, fleet.Limits{})
	configuration.Customers = index
	e.snapshot.Store(&fleet.Snapshot{Configuration: configuration})
	e.elector.Won(c.Boot(), 1)
	e.allotments = newAllotments(e)
	return e
}

// A customer must get its allotment and no more, a refusal must be safe to repeat and say when, and a request that wasn't run costs nothing.
func TestAdmit(t *testing.T) {
	limited := fleet.Customer{Name: "acme", Allotment: fleet.Allotment{Rate: 50, Burst: 10}}
	tests := map[string]struct {
		customer fleet.Customer
		// perSecond is the rate of requests over 10 s.
		perSecond int
		released  bool
		min, max  int
	}{
		"below the allotment": {customer: limited, perSecond: 40, min: 395, max: 400},
		"above the allotment": {customer: limited, perSecond: 200, min: 495, max: 510},
		"not run":             {customer: limited, perSecond: 200, released: true, min: 1900, max: 2000},
		"no limit":            {customer: fleet.Customer{Name: "free"}, perSecond: 200, min: 2000, max: 2000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := clock.Runtime{Origin: time.Now().Add(-time.Hour)}
				e := newAllotmentEdge(c, test.customer)
				stop := make(chan struct{})
				go keepLeading(e, stop)
				type result struct {
					admitted bool
					refusal  *outcome.Error
				}
				results := make(chan result, 10*test.perSecond)
				for range 10 * test.perSecond {
					go func() {
						ticket, err := e.allotments.admit(context.Background(), &test.customer, c.Boot().Add(time.Second))
						if err == nil && test.released {
							ticket.Release()
						}
						r := result{admitted: err == nil}
						if err != nil {
							r.refusal = outcome.FromError(err)
						}
						results <- r
					}()
					time.Sleep(time.Second / time.Duration(test.perSecond))
				}
				admitted := 0
				for range 10 * test.perSecond {
					r := <-results
					if r.admitted {
						admitted++
						continue
					}
					is.Equal(r.refusal.Outcome, outcome.KindNotRun)
					is.Equal(r.refusal.Reason, outcome.AllotmentExhausted)
					is.True(r.refusal.RetryAfter > 0)
					is.True(r.refusal.RetryAfter <= 5*time.Second)
				}
				t.Log(fmt.Sprint("admitted ", admitted, " of ", 10*test.perSecond))
				is.True(admitted >= test.min)
				is.True(admitted <= test.max)
				close(stop)
				e.allotments.stop()
				e.tasks.Wait()
			})
		})
	}
}

// keepLeading renews the lease of an Edge.
func keepLeading(e *Edge, stop <-chan struct{}) {
	for {
		e.mu.Lock()
		e.elector.Renewed(e.clock.Boot())
		e.mu.Unlock()
		select {
		case <-stop:
			return
		case <-e.clock.After(leader.RenewPeriod):
		}
	}
}

// A configuration without limited customers must cost nothing.
func TestNoAllotmentsCostNothing(t *testing.T) {
	is := is.New(t)
	e := newAllotmentEdge(clock.System{}, fleet.Customer{Name: "free"})
	e.allotments.followLeader()
	_, err := e.allotments.admit(context.Background(), &fleet.Customer{Name: id.Customer("free")}, e.clock.Boot().Add(time.Second))
	is.NoErr(err)
	is.True(e.allotments.stopTimer == nil)
	is.Equal(len(e.Allotments(10).Held), 0)
}

// A VM that doesn't lead must get tokens by datagram. Without, it would refuse all requests beyond a small floor.
func TestAdmitAtAnotherVM(t *testing.T) {
	is := is.New(t)
	acme := fleet.Customer{Name: "acme", Allotment: fleet.Allotment{Rate: 500, Burst: 100}}
	leading, other := newAllotmentEdge(clock.System{}, acme), newAllotmentEdge(clock.System{}, acme)
	other.settings.VM, other.elector = "b", leader.NewElector("b", other.clock.Boot())
	ctx, cancel := context.WithCancel(context.Background())
	peers := map[id.VM]fleet.Peer{}
	var ended []<-chan error
	for _, e := range []*Edge{leading, other} {
		socket, err := gossip.Listen("127.0.0.1:0", e.mirror.Since)
		is.NoErr(err)
		e.socket, e.metrics = socket, newMetrics(e)
		peers[e.settings.VM] = fleet.Peer{VM: e.settings.VM, Address: socket.Address()}
	}
	for _, e := range []*Edge{leading, other} {
		s := *e.snapshot.Load()
		s.Peers = peers
		e.snapshot.Store(&s)
		ended = append(ended, e.socket.Serve(ctx, e.allotments.receive))
	}
	stop := make(chan struct{})
	go keepLeading(leading, stop)
	beat := func() {
		other.mu.Lock()
		other.elector.RecordHeartbeat(other.clock.Boot(), "a", leader.Heartbeat{Leading: true, Term: 1})
		other.leaderGrants = true
		other.mu.Unlock()
		leading.allotments.followLeader()
		other.allotments.followLeader()
	}
	admitted := 0
	for start := time.Now(); admitted < 50 && time.Since(start) < 20*time.Second; time.Sleep(5 * time.Millisecond) {
		beat()
		if _, err := other.allotments.admit(ctx, &acme, other.clock.Boot().Add(time.Second)); err == nil {
			admitted++
		}
	}
	is.Equal(admitted, 50)
	is.True(other.Allotments(1).InContact)
	is.Equal(other.Allotments(1).Held[0].Customer, acme.Name)
	is.Equal(len(other.Allotments(1).Granted), 0)
	is.Equal(leading.Allotments(1).Granted[0].Customer, acme.Name)
	close(stop)
	cancel()
	for i, e := range []*Edge{leading, other} {
		e.allotments.stop()
		is.NoErr(<-ended[i])
		e.tasks.Wait()
	}
}

// A panic while a request is charged must not keep the lock of all allotments, without which no request of a limited customer is answered.
func TestPanicsReleaseAllotments(t *testing.T) {
	acme := fleet.Customer{Name: "acme", Allotment: fleet.Allotment{Rate: 500, Burst: 100}}
	tests := map[string]func(m *allotments){
		"a request":          func(m *allotments) { _, _ = m.admit(context.Background(), &acme, m.edge.clock.Boot().Add(time.Second)) },
		"another attempt":    func(m *allotments) { ticket{m, acme.Name}.ChargeAttempt() },
		"the end of a wait":  func(m *allotments) { m.giveUp(&acme, nil) },
		"an ask":             func(m *allotments) { m.ask(0) },
		"another VM's share": func(m *allotments) { m.receive(gossip.Message{From: "b", Answer: &allotment.Answer{}}) },
	}
	for name, call := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newAllotmentEdge(clock.System{}, acme)
			e.allotments.holder = nil
			func() {
				defer func() { is.True(recover() != nil) }()
				call(e.allotments)
			}()
			is.True(e.allotments.mu.TryLock())
		})
	}
}
