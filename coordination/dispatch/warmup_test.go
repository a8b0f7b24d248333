package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// A warm-up of which VMs hear from the backend server must bound their requests as one of its entry does.
func TestWarmupOutsideTheStore(t *testing.T) {
	const (
		rate = 5
		left = 3 * time.Second
	)
	process := fleet.Incarnation{Server: "s0", Born: 2}
	observe := func(n dispatch.WarmupNews) func(d *dispatch.Dispatcher) {
		return func(d *dispatch.Dispatcher) { d.ObserveWarmup(n) }
	}
	apply := func(n dispatch.WarmupNews) func(d *dispatch.Dispatcher) {
		return func(d *dispatch.Dispatcher) { d.ApplyWarmupNews([]dispatch.WarmupNews{n}) }
	}
	tests := map[string]struct {
		hear func(d *dispatch.Dispatcher)
		cold bool
		// news says that the other VMs hear of it from this one.
		news bool
	}{
		"a health response":                          {hear: observe(dispatch.WarmupNews{Incarnation: process, Left: left}), cold: true, news: true},
		"a health response of a warm backend server": {hear: observe(dispatch.WarmupNews{Incarnation: process})},
		"a health response of an earlier process":    {hear: observe(dispatch.WarmupNews{Incarnation: fleet.Incarnation{Server: "s0", Born: 1}, Left: left})},
		"another VM":                     {hear: apply(dispatch.WarmupNews{Incarnation: process, Left: left}), cold: true},
		"another VM, a negative time":    {hear: apply(dispatch.WarmupNews{Incarnation: process, Left: -left})},
		"another VM, an earlier process": {hear: apply(dispatch.WarmupNews{Incarnation: fleet.Incarnation{Server: "s0", Born: 1}, Left: left})},
		"another VM, an unknown server":  {hear: apply(dispatch.WarmupNews{Incarnation: fleet.Incarnation{Server: "s9", Born: 2}, Left: left})},
		"nothing":                        {hear: func(*dispatch.Dispatcher) {}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := clock.Runtime{Origin: time.Now().Add(-time.Hour)}
				vm := dispatch.NewDispatcher("vm0", "east", dispatch.WithClock(c), dispatch.WithWarmBounds(1.5, 5))
				s := pauseServers(1, 2, false)
				s.Configuration = fleet.NewConfiguration(1, nil, map[id.Service]fleet.Service{service: {Name: service, MaxConnections: 1000, WarmupRate: rate}}, fleet.Limits{})
				vm.Update(s)
				test.hear(vm)
				is.Equal(len(vm.TakeWarmupNews()) > 0, test.news)
				is.Equal(len(vm.TakeWarmupNews()), 0) // Each one is told once.
				sent := 0
				for at := time.Duration(0); at < time.Second; at += 10 * time.Millisecond {
					if at%(250*time.Millisecond) == 0 {
						test.hear(vm)
					}
					now := c.Boot()
					slot, err := vm.Acquire(context.Background(), dispatch.Demand{Service: service, Arrived: now, Deadline: now.Add(time.Millisecond), Objective: now.Add(time.Millisecond)})
					if err == nil {
						sent++
						slot.Done(dispatch.Answered, dispatch.Report{})
					}
					time.Sleep(10*time.Millisecond - c.Boot().Sub(now))
				}
				is.Equal(sent <= rate+1, test.cold) // One at once, then the rate.
				is.True(sent >= rate)
			})
		})
	}
}
