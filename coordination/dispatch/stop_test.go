package dispatch_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
)

// A queued request that a VM which stops will never send must be refused at once, and no other one.
func TestQueuedRequestsOfAStoppingVM(t *testing.T) {
	const stopsAfter = 100 * time.Millisecond
	tests := map[string]struct {
		keyed, mayWait bool
		// late says that the request comes after the stop.
		late bool
		want dispatch.Reason
	}{
		"may not wait":                        {want: dispatch.Stopping},
		"may wait":                            {mayWait: true, want: dispatch.Overloaded},
		"may not wait for a key's owner":      {keyed: true, want: dispatch.Stopping},
		"may wait for a key's owner":          {keyed: true, mayWait: true, want: dispatch.NoOwner},
		"comes after the stop, may not wait":  {late: true, want: dispatch.Stopping},
		"comes after the stop, but may wait":  {late: true, mayWait: true, want: dispatch.Overloaded},
		"a key after the stop, may not wait":  {keyed: true, late: true, want: dispatch.Stopping},
		"a key after the stop, but may wait ": {keyed: true, late: true, mayWait: true, want: dispatch.NoOwner},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := clock.Runtime{Origin: time.Now().Add(-time.Hour)}
				var stopping atomic.Bool
				d := dispatch.NewDispatcher("a", "east", dispatch.WithClock(c), dispatch.WithMayWait(func(dispatch.Demand) bool { return test.mayWait || !stopping.Load() }))
				snapshot := pauseServers(1, 1, false)
				if test.keyed {
					snapshot.Tables[service] = &fleet.Table{Service: service, Fence: 1}
				}
				d.Update(snapshot)
				p := &pausePlayer{I: is, clock: c, vm: d}
				for !test.keyed {
					ctx, cancel := context.WithTimeout(t.Context(), time.Nanosecond)
					_, err := d.Acquire(ctx, p.demand(false))
					cancel()
					if err != nil {
						break
					}
				}
				go func() {
					time.Sleep(stopsAfter)
					stopping.Store(true)
					d.Tick()
				}()
				if test.late {
					time.Sleep(2 * stopsAfter)
				}
				began := c.Boot()
				_, err := d.Acquire(t.Context(), p.demand(test.keyed))
				var r *dispatch.Refusal
				is.True(errors.As(err, &r))
				is.Equal(r.Reason, test.want)
				waited := c.Boot().Sub(began)
				switch {
				case test.mayWait:
					is.True(waited > stopsAfter)
				case test.late:
					is.Equal(waited, time.Duration(0))
				default:
					is.Equal(waited, stopsAfter)
				}
				is.Equal(d.Waiting(service), 0)
			})
		})
	}
}
