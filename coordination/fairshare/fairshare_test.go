package fairshare_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/fairshare"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// start is when the tests begin; machines have been up for some time.
const start = clock.Instant(1000 * time.Hour)

// queued is a request in a queue.
type queued struct {
	customer id.Customer
	rank     fairshare.Rank
}

// serve returns the customers of queued requests in the order in which they are served.
func serve(queue []queued) string {
	slices.SortStableFunc(queue, func(a, b queued) int {
		switch {
		case a.rank < b.rank:
			return -1
		case a.rank > b.rank:
			return 1
		default:
			return 0
		}
	})
	var out strings.Builder
	for _, q := range queue {
		out.WriteString(string(q.customer))
	}
	return out.String()
}

// Guards against an order in which a customer is served before its turn because of many or of earlier requests.
func TestOrderOfQueuedRequests(t *testing.T) {
	tests := map[string]struct {
		// used holds the customers of requests that got capacity before, and queue those of queued requests, in order of arrival.
		used, queue string
		weights     map[id.Customer]float64
		want        string
	}{
		"one customer in order of arrival":    {queue: "aaa", want: "aaa"},
		"two customers in turn":               {queue: "aaabbb", want: "ababab"},
		"few requests ahead of many":          {queue: "aaaaaab", want: "abaaaaa"},
		"recent use counts":                   {used: "aaaa", queue: "aabb", want: "bbaa"},
		"twice the weight, twice the turns":   {queue: "aaabbbbbb", weights: map[id.Customer]float64{"a": 1, "b": 2}, want: "babbabbab"},
		"a customer without any use is first": {used: "aab", queue: "abc", want: "cba"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := fairshare.NewOrder(start)
			for _, c := range test.used {
				o.Charge(start, id.Customer(c))
			}
			var queue []queued
			for _, c := range test.queue {
				customer := id.Customer(c)
				w := max(1, test.weights[customer])
				queue = append(queue, queued{customer, o.Enqueue(start, customer, fairshare.Entitlement{Min: w, Max: w})})
			}
			is.Equal(serve(queue), test.want)
		})
	}
}

// A request that leaves the queue must not let a later one of the same customer overtake an earlier one.
func TestRequestsOfACustomerStayInOrder(t *testing.T) {
	is := is.New(t)
	o := fairshare.NewOrder(start)
	last := fairshare.Rank(0)
	for i := range 20 {
		rank := o.Enqueue(start.Add(time.Duration(i)*time.Millisecond), "a", fairshare.Entitlement{})
		is.True(rank >= last)
		last = rank
		if i%3 == 2 {
			o.Dequeue("a")
			o.Dequeue("a")
		}
	}
}

// Guards against a level that doesn't tell a customer with many times its usual rate from one that sends as before, and against one that
// tells customers apart by the part of their callers that is at this VM.
func TestLevel(t *testing.T) {
	const usual, contended = 10 * time.Minute, 20 * time.Second
	tests := map[string]struct {
		// before and after are the requests per second of customer a at first and then; the other nine customers have one.
		before, after float64
		entitlement   fairshare.Entitlement
		min, max      float64
	}{
		"as before":                           {before: 1, after: 1, max: 1.1},
		"as before, with many callers":        {before: 20, after: 20, max: 1.1},
		"as before, with few callers":         {before: 0.1, after: 0.1, max: 0.5},
		"twice the rate":                      {before: 2, after: 4, min: 1.4},
		"ten times the rate":                  {before: 1, after: 10, min: 4},
		"ten times, which it is entitled to":  {before: 1, after: 10, entitlement: fairshare.Entitlement{Min: 10, Max: 20}, max: 1},
		"ten times, more than it is entitled": {before: 1, after: 10, entitlement: fairshare.Entitlement{Min: 0.1, Max: 2}, min: 4},
		"a new customer":                      {before: 0, after: 5, min: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := fairshare.NewOrder(start)
			now, credit := start, 0.0
			for step := range 100 * int((usual+contended)/time.Second) {
				now = start.Add(time.Duration(step) * 10 * time.Millisecond)
				rate := test.before
				if now.Sub(start) > usual {
					rate = test.after
				}
				for credit += rate / 100; credit >= 1; credit-- {
					o.Arrive(now, "a")
					o.Charge(now, "a")
				}
				if step%10 == 0 {
					other := id.Customer(fmt.Sprint("c", step/10%9))
					o.Arrive(now, other)
					o.Charge(now, other)
				}
			}
			got := o.Level(now, "a", test.entitlement)
			t.Logf("level %.2f", got)
			if got < test.min || test.max > 0 && got > test.max {
				t.Errorf("level is %.2f, want %.2f to %.2f", got, test.min, test.max)
			}
		})
	}
}

// Guards against memory that grows with the number of customers, and against the loss of busy customers in a flood of others.
func TestTrackedCustomersAreLimited(t *testing.T) {
	is := is.New(t)
	o := fairshare.NewOrder(start)
	now := start
	for i := range 50_000 {
		now = start.Add(time.Duration(i) * time.Millisecond)
		o.Arrive(now, id.Customer(fmt.Sprint("c", i)))
		o.Charge(now, id.Customer(fmt.Sprint("c", i)))
		if i%5 == 0 {
			o.Arrive(now, "busy")
			o.Charge(now, "busy")
		}
	}
	is.True(o.Len() <= 4096)
	is.True(o.Level(now, "busy", fairshare.Entitlement{Min: 1, Max: 1}) > 0)
	now = now.Add(time.Hour)
	o.Arrive(now, "late")
	is.Equal(o.Len(), 2) // Only the busy one has had enough requests to be remembered.
	o.Arrive(now.Add(24*time.Hour), "late")
	is.Equal(o.Len(), 1)
}

// BenchmarkOrder measures the work for one request. It must not grow in proportion to the number of customers.
func BenchmarkOrder(b *testing.B) {
	for _, customers := range []int{100, 10_000} {
		b.Run(fmt.Sprint("customers=", customers), func(b *testing.B) {
			names := make([]id.Customer, customers)
			for i := range names {
				names[i] = id.Customer(fmt.Sprint("c", i))
			}
			o := fairshare.NewOrder(start)
			now := start
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				name := names[i%customers]
				o.Arrive(now, name)
				o.Enqueue(now, name, fairshare.Entitlement{})
				o.Dequeue(name)
				o.Charge(now, name)
				o.Level(now, name, fairshare.Entitlement{})
			}
		})
	}
}
