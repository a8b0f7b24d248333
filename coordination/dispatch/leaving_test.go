package dispatch_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// A backend server that leaves must get no new requests, except those for keys that only it can serve until they have moved.
func TestLeavingServers(t *testing.T) {
	const keyedFor = time.Second
	tests := map[string]struct {
		keyed bool
		// at is how long after the announcement the request is made.
		at    time.Duration
		drain bool
		sent  bool
	}{
		"a request without a key":                  {drain: true},
		"a request for its key":                    {keyed: true, drain: true, sent: true},
		"a request for its key, just in time":      {keyed: true, drain: true, at: keyedFor - 1, sent: true},
		"a request for its key, later":             {keyed: true, drain: true, at: keyedFor},
		"a request for its key, much later":        {keyed: true, drain: true, at: time.Minute},
		"a request without a key, if it stays":     {sent: true},
		"a request for its key, if it stays":       {keyed: true, at: time.Minute, sent: true},
		"a request without a key, after the drain": {at: time.Minute, drain: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &pausePlayer{I: is.New(t), clock: clock.Runtime{Origin: time.Now().Add(-time.Hour)}}
				p.vm = dispatch.NewDispatcher("vm0", "east", dispatch.WithClock(p.clock))
				s := pauseServers(1, 1, test.keyed)
				if leaving := s.Servers["s0"]; test.drain {
					leaving.Draining, leaving.KeyedUntil = true, p.clock.Boot().Add(keyedFor)
					s.Servers["s0"] = leaving
				}
				p.vm.Update(s)
				time.Sleep(test.at)
				slot, err := p.vm.Acquire(context.Background(), p.demand(test.keyed))
				p.Equal(slot != nil, test.sent)
				var r *dispatch.Refusal
				p.Equal(errors.As(err, &r), !test.sent)
			})
		})
	}
}

// A request that waits in the queue must not be sent to a backend server that has announced meanwhile that it leaves.
func TestQueuedRequestsAvoidLeavingServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pausePlayer{I: is.New(t), clock: clock.Runtime{Origin: time.Now().Add(-time.Hour)}}
		p.vm = dispatch.NewDispatcher("vm0", "east", dispatch.WithClock(p.clock))
		s := pauseServers(1, 1, false)
		p.vm.Update(s)
		var running []*dispatch.Slot
		for range slots + 1 {
			running = append(running, p.acquire(false))
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			slot, _ := p.vm.Acquire(context.Background(), p.demand(false))
			p.Equal(slot, nil)
		}()
		time.Sleep(10 * time.Millisecond)
		leaving := s.Servers["s0"]
		leaving.Draining, leaving.KeyedUntil = true, p.clock.Boot().Add(time.Second)
		next := s.WithServers(map[id.Server]fleet.Server{"s0": leaving})
		p.vm.Update(next)
		for _, slot := range running {
			slot.Done(dispatch.Answered, dispatch.Report{})
		}
		<-done
	})
}
