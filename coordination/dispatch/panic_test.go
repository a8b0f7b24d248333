package dispatch_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// A panic in the dispatcher must end one request only: no lock is held on, and those in the queue are served.
func TestPanicsEndOneRequest(t *testing.T) {
	tests := map[string]struct {
		// queue says that the request that causes the panic is looked at in the queue, and not as it comes.
		queue bool
	}{
		"as it comes":  {},
		"in the queue": {queue: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const bad id.Customer = "bad"
				var mu sync.Mutex
				armed := false
				c := clock.Runtime{Origin: time.Now().Add(-time.Hour)}
				fault := func() {
					mu.Lock()
					defer mu.Unlock()
					if armed {
						armed = false
						panic("a fault")
					}
				}
				arm := func() {
					mu.Lock()
					defer mu.Unlock()
					armed = true
				}
				d := dispatch.NewDispatcher("a", "east", dispatch.WithClock(c), dispatch.WithMayWait(func(d dispatch.Demand) bool {
					if d.Customer == bad {
						fault()
					}
					return true
				}))
				d.Update(pauseServers(1, 1, false))
				p := &pausePlayer{I: is, clock: c, vm: d}
				var held []*dispatch.Slot
				for {
					ctx, cancel := context.WithTimeout(t.Context(), time.Nanosecond)
					slot, err := d.Acquire(ctx, p.demand(false))
					cancel()
					if err != nil {
						break
					}
					held = append(held, slot)
				}
				var panics, served int
				var requests sync.WaitGroup
				send := func(customer id.Customer) {
					defer requests.Done()
					defer func() {
						if recover() != nil {
							panics++
						}
					}()
					demand := p.demand(false)
					demand.Customer, demand.Objective, demand.Deadline = customer, c.Boot().Add(5*time.Second), c.Boot().Add(10*time.Second)
					demand.Retry = customer == bad
					if slot, err := d.Acquire(t.Context(), demand); err == nil {
						served++
						slot.Done(dispatch.Answered, dispatch.Report{})
					}
				}
				if !test.queue {
					arm()
				}
				requests.Add(2)
				go send(bad)
				synctest.Wait()
				go send("good")
				synctest.Wait()
				if test.queue {
					arm()
					func() {
						defer func() { is.True(recover() != nil) }()
						d.Tick()
					}()
				}
				held[0].Done(dispatch.Answered, dispatch.Report{})
				requests.Wait()
				is.Equal(served, 1)
				is.Equal(panics > 0, !test.queue)
				is.Equal(d.Waiting(service), 0)
			})
		})
	}
}
