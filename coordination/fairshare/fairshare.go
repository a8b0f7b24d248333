// Package fairshare orders the requests of customers that compete for the capacity of a service at one VM.
//
// A customer's place in the order is its recent use, the requests that got
// capacity within the last seconds, against its weight. Queued requests of one
// customer count one after another, so that customers are served in turn.
//
// The weight is the customer's usual rate at this VM, the average of its
// demand over minutes. The callers of a customer are bound to VMs, so that its
// part of a VM's load isn't its part of the fleet's: a VM that served its
// customers equally would refuse most requests of a customer whose callers
// happen to be at that VM. The caller of the package bounds the weight by what
// the customer is entitled to.
//
// # Usage
//
//	o := fairshare.NewOrder(now)
//	o.Arrive(now, customer)
//	rank := o.Enqueue(now, customer, fairshare.Entitlement{})
//	// The request with the lowest rank is served first; those of one customer in order of arrival.
//	o.Dequeue(customer)
//	o.Charge(now, customer)
package fairshare

import (
	"container/heap"
	"math"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// useTime is the time constant of the recent use. A few seconds hold several requests of a customer that has two a second at a VM.
	useTime = 10 * time.Second
	// usualTime is the time constant of the usual rate: a customer that sends ten times as much as before reaches twice its usual rate
	// after 70 s.
	usualTime = 10 * time.Minute
	// maxCustomers limits the customers that are tracked. Beyond it, those with the lowest usual rate are dropped.
	maxCustomers = 4096
	// idleDemand is the decayed number of requests below which a customer is dropped.
	idleDemand = 0.05
	// priorTime is the time for which a customer counts as if it had sent the mean of all customers before. Without it, a customer that sends
	// many requests just after the start of the VM would count as one that usually does.
	priorTime = 10 * time.Second
	// minWeightShare is the least weight as a share of the mean usual rate: customers with fewer requests than that are served first.
	minWeightShare = 0.5
	// minWeight is the least weight, in requests per second. It keeps quotients finite.
	minWeight = 0.01
)

// Rank is the place of a queued request; lower ranks are served first. Ranks of different times can be compared.
type Rank float64

// Entitlement bounds the weight of a customer, in requests per second.
type Entitlement struct {
	// Min is the least weight; 0 means a part of the mean usual rate of all customers.
	Min float64
	// Max is the greatest weight; 0 means no bound.
	Max float64
}

// Order tracks the use of a service's capacity by the customers of one VM. It is not safe for concurrent use.
type Order struct {
	began     clock.Instant
	customers map[id.Customer]*customer
	// byDemand holds the customers with the lowest usual rate on top.
	byDemand demandHeap
	// demand and use are the sums over all customers.
	demand, use average
}

// customer is the state of one customer.
type customer struct {
	name id.Customer
	// demand counts its requests, and use those that got capacity.
	demand, use average
	// queued is the number of its queued requests, and lastRank the rank of the last one.
	queued   int
	lastRank Rank
	// index is the position in the heap.
	index int
}

// NewOrder returns an order without customers.
func NewOrder(now clock.Instant) *Order {
	return &Order{
		began: now, customers: map[id.Customer]*customer{}, demand: average{constant: usualTime, at: now}, use: average{constant: useTime, at: now},
	}
}

// Arrive counts a request of a customer.
func (o *Order) Arrive(now clock.Instant, name id.Customer) {
	c := o.customer(now, name)
	c.demand.add(now)
	o.demand.add(now)
	heap.Fix(&o.byDemand, c.index)
	for len(o.byDemand) > 0 && o.byDemand[0].demand.value(now) < idleDemand {
		o.drop(now, o.byDemand[0])
	}
}

// Charge counts a request that gets capacity.
func (o *Order) Charge(now clock.Instant, name id.Customer) {
	o.customer(now, name).use.add(now)
	o.use.add(now)
}

// Enqueue adds a request to the queue and returns its rank.
func (o *Order) Enqueue(now clock.Instant, name id.Customer, e Entitlement) Rank {
	rank := o.Rank(now, name, e)
	c := o.customer(now, name)
	c.queued++
	c.lastRank = rank
	return rank
}

// Rank returns the rank that a request would get in the queue.
func (o *Order) Rank(now clock.Instant, name id.Customer, e Entitlement) Rank {
	c := o.customers[name]
	if c == nil {
		return rank(now, 1/o.weight(now, nil, e))
	}
	r := rank(now, (c.use.value(now)+float64(c.queued)+1)/o.weight(now, c, e))
	if c.queued > 0 {
		r = max(r, c.lastRank)
	}
	return r
}

// rank returns the rank of a level of use. The level decays with time, so that its logarithm falls steadily.
func rank(now clock.Instant, level float64) Rank {
	return Rank(math.Log(level) + float64(now)/float64(useTime))
}

// Dequeue removes a request from the queue.
func (o *Order) Dequeue(name id.Customer) {
	if c := o.customers[name]; c != nil && c.queued > 0 {
		c.queued--
	}
}

// Level returns the recent use of a customer as a multiple of its weight. One request counts as none, so that a customer with few requests
// isn't above its share just after each of them.
func (o *Order) Level(now clock.Instant, name id.Customer, e Entitlement) float64 {
	c := o.customers[name]
	if c == nil {
		return 0
	}
	// Where all customers get less than usual, so does each one.
	overall := min(1, o.use.rate(now, o.began)/max(o.demand.rate(now, o.began), minWeight))
	return max(0, c.use.value(now)-1) / max(overall*o.weight(now, c, e)*useTime.Seconds(), minWeight)
}

// weight returns the weight of a customer, in requests per second; a nil customer is a new one.
func (o *Order) weight(now clock.Instant, c *customer, e Entitlement) (w float64) {
	mean := o.demand.rate(now, o.began) / float64(max(1, len(o.customers)))
	w = mean
	if c != nil {
		window := o.demand.window(now, o.began)
		w = (c.demand.value(now) + mean*priorTime.Seconds()) / (window + priorTime.Seconds())
	}
	least := e.Min
	if least == 0 {
		least = minWeightShare * mean
	}
	w = max(w, least, minWeight)
	if e.Max > 0 {
		w = min(w, e.Max)
	}
	return w
}

// Len returns the number of customers that are tracked.
func (o *Order) Len() int { return len(o.customers) }

// customer returns the state of a customer, which it adds if needed.
func (o *Order) customer(now clock.Instant, name id.Customer) *customer {
	if c, ok := o.customers[name]; ok {
		return c
	}
	if len(o.customers) >= maxCustomers {
		o.drop(now, o.byDemand[0])
	}
	c := &customer{name: name, demand: average{constant: usualTime, at: now}, use: average{constant: useTime, at: now}}
	o.customers[name] = c
	heap.Push(&o.byDemand, c)
	return c
}

// drop forgets a customer.
func (o *Order) drop(now clock.Instant, c *customer) {
	o.demand.subtract(now, c.demand.value(now))
	o.use.subtract(now, c.use.value(now))
	heap.Remove(&o.byDemand, c.index)
	delete(o.customers, c.name)
}
