package dispatch_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// Guards against a queue that ignores the turns of customers, and against one that puts them above retries and priorities or changes the
// order of requests without a customer.
func TestQueueOrder(t *testing.T) {
	tests := map[string]struct {
		// queue holds the queued requests in order of arrival: the customer, with the priority or "r" for a retry after a colon.
		queue string
		keyed bool
		want  string
	}{
		"no customers":                        {queue: ": : :", want: "0 1 2"},
		"no customers, with priorities":       {queue: ":1 :0 :1 :0 :r", want: "4 1 3 0 2"},
		"no customers, keys":                  {queue: ": : :", keyed: true, want: "0 1 2"},
		"in turn":                             {queue: "a: a: a: b: b:", want: "0 3 1 4 2"},
		"in turn, keys":                       {queue: "a: a: a: b: b:", keyed: true, want: "0 3 1 4 2"},
		"a customer with one request":         {queue: "a: a: a: a: b:", want: "0 4 1 2 3"},
		"priorities above the turns":          {queue: "b:1 a:0 a:0 a:0", want: "1 2 3 0"},
		"retries above the turns":             {queue: "b: a:r a:r", want: "1 2 0"},
		"no customer is like one more":        {queue: ": : : a:", want: "0 3 1 2"},
		"turns within each of two priorities": {queue: "a:1 a:1 b:1 c:0 c:0 d:0", want: "3 5 4 0 2 1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			synctest.Test(t, func(*testing.T) {
				is.Equal(strings.Join(queueOrder(strings.Fields(test.queue), test.keyed), " "), test.want)
			})
		})
	}
}

// queueOrder queues requests while the only backend server is full and returns their numbers in the order in which they get slots.
func queueOrder(queue []string, keyed bool) (order []string) {
	s := scenario{vms: 1, backends: newBackends(1)}
	snapshot := s.snapshot()
	if keyed {
		owner := snapshot.Servers["s0"].Incarnation
		snapshot.Tables[service] = &fleet.Table{Service: service, Fence: 1, Ranges: []fleet.Range{{From: 0, To: 9, Owner: owner, Fence: 1}}}
	}
	c := clock.Runtime{Origin: time.Now().Add(-time.Hour)}
	d := dispatch.NewDispatcher("vm0", "east", dispatch.WithClock(c))
	d.Update(snapshot)
	acquire := func(customer id.Customer, priority int, retry bool) (*dispatch.Slot, error) {
		now := c.Boot()
		return d.Acquire(context.Background(), dispatch.Demand{
			Service: service, Customer: customer, Weight: 1, Priority: priority, Retry: retry, Keyed: keyed, Arrived: now, Deadline: now.Add(time.Hour), Objective: now.Add(time.Hour),
		})
	}
	var held []*dispatch.Slot
	for d.Waiting(service) == 0 && len(held) < 20 {
		filled := make(chan *dispatch.Slot, 1)
		go func() {
			slot, _ := acquire("other", 0, true)
			filled <- slot
		}()
		synctest.Wait()
		if d.Waiting(service) > 0 {
			defer func() { (<-filled).Done(dispatch.Cancelled, dispatch.Report{}) }()
			break
		}
		held = append(held, <-filled)
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	for i, request := range queue {
		customer, kind, _ := strings.Cut(request, ":")
		group.Go(func() {
			slot, err := acquire(id.Customer(customer), strings.IndexByte("01", (kind + "0")[0]), kind == "r")
			if err != nil {
				return
			}
			mu.Lock()
			order = append(order, string(rune('0'+i)))
			mu.Unlock()
			time.Sleep(time.Second)
			slot.Done(dispatch.Cancelled, dispatch.Report{})
		})
		synctest.Wait()
	}
	for _, slot := range held {
		time.Sleep(10 * time.Millisecond)
		slot.Done(dispatch.Cancelled, dispatch.Report{})
	}
	group.Wait()
	return order
}
