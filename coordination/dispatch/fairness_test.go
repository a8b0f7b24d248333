package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// usualLoadTime is the time with the usual load, after which contendedTime begins.
	usualLoadTime = 200 * time.Second
	contendedTime = 30 * time.Second
	fairnessVMs   = 4
	// maxUnfairness is how much less than the mean the worst tenth of the customers may be served.
	maxUnfairness = 0.05
	// maxMeanLoss is how much less of their requests the customers that behave may be served than before, on average, and maxLoss is the same
	// for one of them, of which there are fewer requests.
	maxMeanLoss = 0.05
	maxLoss     = 0.1
	// minFairnessShare is the least part of the mean that each customer must be served.
	minFairnessShare = 0.25
)

// fairCustomer is a customer in a fairnessLoad.
type fairCustomer struct {
	// rate is its usual rate, as a multiple of the others'.
	rate float64
	// factor multiplies its rate in the contended time.
	factor float64
	// atVM says that all of its callers are at the first VM. Otherwise they are at all VMs.
	atVM bool
	// elsewhere says that none of its callers is at the first VM.
	elsewhere bool
	// hot says that all of its requests are for a key of the first backend server.
	hot bool
	// entitled is the rate that it is entitled to as a multiple of its usual one; 0 means no limit.
	entitled float64

	usual, contended fairCount
}

// fairCount counts the requests of a customer.
type fairCount struct{ sent, served int }

func (c fairCount) share() float64 { return float64(c.served) / float64(max(1, c.sent)) }

// fairnessLoad is the load of customers on several VMs. Each has its usual rate first, and its rate with the factor then.
type fairnessLoad struct {
	customers []fairCustomer
	// usual is the usual rate of all customers as a share of the capacity, and load multiplies all rates in the contended time.
	usual, load float64
	// keyed says that all requests are for keys, of which each backend server owns the same number.
	keyed bool
}

// fairnessPlayer runs a fairnessLoad in virtual time.
type fairnessPlayer struct {
	load      fairnessLoad
	customers []fairCustomer
	clock     clock.Clock
	backends  map[id.Server]*backend
	vms       []*dispatch.Dispatcher
	mu        sync.Mutex
}

// servedShare returns the share of its requests that a customer was served. Of requests beyond the usual rate none has to be.
func (c *fairCustomer) servedShare() float64 {
	return min(1, float64(c.contended.served)/max(1, float64(c.contended.sent)/max(1, c.factor)))
}

// equalCustomers returns customers with the same usual rate.
func equalCustomers(n int, change func(customers []fairCustomer)) []fairCustomer {
	customers := make([]fairCustomer, n)
	for i := range customers {
		customers[i] = fairCustomer{rate: 1, factor: 1}
	}
	change(customers)
	return customers
}

// request sends a request of a customer through a VM and reports whether it was answered within the objective.
func (p *fairnessPlayer) request(ctx context.Context, vm int, customer int, key fleet.Key, chance float64) (inTime bool) {
	began := p.clock.Boot()
	demand := dispatch.Demand{
		Service: service, Customer: id.Customer(fmt.Sprint("c", customer)), Weight: p.weight(customer),
		Arrived: began, Deadline: began.Add(deadline), Objective: began.Add(objective), Keyed: p.load.keyed, Key: key,
	}
	slot, err := p.vms[vm].Acquire(ctx, demand)
	if err != nil {
		if r := (*dispatch.Refusal)(nil); !errors.As(err, &r) {
			panic(err)
		}
		return false
	}
	result, report := p.backends[slot.Server.Server].run(chance)
	slot.Done(result, report)
	return result == dispatch.Answered && p.clock.Boot().Sub(began) <= objective
}

// weight returns the rate that a customer is entitled to, in requests per second.
func (p *fairnessPlayer) weight(customer int) float64 {
	total := 0.0
	for _, c := range p.load.customers {
		total += c.rate
	}
	c := p.load.customers[customer]
	return c.entitled * c.rate / total * p.load.usual * capacity
}

// send sends requests of all customers for a time and counts them.
func (p *fairnessPlayer) send(ctx context.Context, random *rand.Rand, group *sync.WaitGroup, duration time.Duration, contended bool) {
	rates := make([]float64, len(p.customers))
	total, usual := 0.0, 0.0
	for i, c := range p.load.customers {
		rates[i], usual = c.rate, usual+c.rate
		if contended {
			rates[i] *= c.factor * p.load.load
		}
		total += rates[i]
	}
	// Callers wait for an answer before they send their next request, so that those of a customer come more evenly than at random.
	credit := make([]float64, len(rates))
	interval := float64(time.Second) / (p.load.usual * capacity * total / usual)
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(interval * random.ExpFloat64()))
		i, most := 0, -math.MaxFloat64
		for n := range credit {
			credit[n] += rates[n] / total
			if score := credit[n] + 4*random.Float64(); score > most {
				i, most = n, score
			}
		}
		credit[i]--
		c := &p.customers[i]
		vm, key, chance := random.IntN(fairnessVMs), fleet.Key(random.IntN(len(p.backends))), random.Float64()
		switch {
		case c.atVM:
			vm = 0
		case c.elsewhere:
			vm = 1 + random.IntN(fairnessVMs-1)
		}
		if c.hot {
			key = 0
		}
		count := &c.usual
		if contended {
			count = &c.contended
		}
		group.Go(func() {
			inTime := p.request(ctx, vm, i, key, chance)
			p.mu.Lock()
			defer p.mu.Unlock()
			count.sent++
			if inTime {
				count.served++
			}
		})
	}
}

// play runs the load in virtual time and returns the customers with what they got.
func (l fairnessLoad) play(t *testing.T) []fairCustomer {
	t.Helper()
	s := scenario{vms: fairnessVMs, backends: newBackends(1, 1, 1, 1)}
	p := &fairnessPlayer{load: l, customers: slices.Clone(l.customers), backends: s.backends}
	snapshot := s.snapshot()
	if l.keyed {
		table := &fleet.Table{Service: service, Fence: 1}
		for i := range len(s.backends) {
			owner := snapshot.Servers[id.Server(fmt.Sprint("s", i))].Incarnation
			table.Ranges = append(table.Ranges, fleet.Range{From: fleet.Key(i), To: fleet.Key(i), Owner: owner, Fence: 1})
		}
		snapshot.Tables[service] = table
	}
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		p.clock = clock.Runtime{Origin: time.Now().Add(-time.Hour)}
		random := rand.New(rand.NewPCG(1, 2))
		for _, b := range s.backends {
			b.start()
		}
		for i := range fairnessVMs {
			ties := rand.New(rand.NewPCG(2, uint64(i)))
			d := dispatch.NewDispatcher(id.VM(fmt.Sprint("vm", i)), "east", dispatch.WithClock(p.clock), dispatch.WithRandom(ties.Float64),
				dispatch.WithPeers(func() int { return fairnessVMs }))
			d.Update(snapshot)
			p.vms = append(p.vms, d)
		}
		var group sync.WaitGroup
		group.Go(func() { gossip(ctx, p.vms, 40*time.Millisecond) })
		p.send(ctx, random, &group, usualLoadTime, false)
		p.send(ctx, random, &group, contendedTime, true)
		time.Sleep(2 * deadline)
		cancel()
		group.Wait()
	})
	return p.customers
}

// Guards against customers that take the capacity of others, by many requests or by a VM of their own, and against an order that refuses the
// requests of a customer whose callers are all at one VM.
func TestCustomersAreServedFairly(t *testing.T) {
	none := func([]fairCustomer) {}
	oneAtTenTimes := equalCustomers(20, func(c []fairCustomer) { c[0].factor = 10 })
	tenAtTwice := equalCustomers(20, func(c []fairCustomer) {
		for i := range 10 {
			c[i].factor = 2
		}
	})
	oneCaller := equalCustomers(12, func(c []fairCustomer) { c[0].rate, c[0].atVM, c[1].rate = 0.2, true, 40 })
	oneCallerExceeded := equalCustomers(12, func(c []fairCustomer) { c[0].rate, c[0].atVM, c[1].rate, c[1].factor = 0.2, true, 40, 1.5 })
	thousandCallersAtTwice := equalCustomers(12, func(c []fairCustomer) { c[0].rate, c[0].atVM, c[1].rate, c[1].factor = 0.2, true, 15, 2 })
	atOneVM := equalCustomers(20, func(c []fairCustomer) { c[0].atVM = true })
	tenTimesAtOneVM := equalCustomers(20, func(c []fairCustomer) { c[0].atVM, c[0].factor = true, 10 })
	ownVM := equalCustomers(20, func(c []fairCustomer) {
		for i := range c {
			c[i].elsewhere = i > 0
		}
		c[0].atVM, c[0].factor = true, 10
	})
	hotKey := equalCustomers(20, func(c []fairCustomer) { c[0].hot, c[0].factor = true, 10 })
	// With a limit, customers may send 1.6 times their usual rate, and some do. They differ in size.
	withLimits := func(change func(c []fairCustomer)) []fairCustomer {
		return equalCustomers(20, func(c []fairCustomer) {
			for i := range c {
				c[i].entitled, c[i].rate = 1.6, 2+float64(i%3)
			}
			change(c)
		})
	}
	limitsAtOneVM := withLimits(func(c []fairCustomer) { c[0].atVM = true })
	limitsExceeded := withLimits(func(c []fairCustomer) {
		for i := range 8 {
			c[i].factor = 1.6
		}
	})
	tests := map[string]fairnessLoad{
		"limits, all callers at one VM, above the capacity":               {customers: limitsAtOneVM, usual: 0.9, load: 1.4},
		"limits, eight of 20 use theirs in full, above the capacity":      {customers: limitsExceeded, usual: 0.9, load: 1},
		"nobody exceeds its share, near the capacity":                     {customers: equalCustomers(20, none), usual: 0.9, load: 1},
		"one at ten times its rate, near the capacity":                    {customers: oneAtTenTimes, usual: 0.65, load: 1},
		"one at ten times its rate, above the capacity":                   {customers: oneAtTenTimes, usual: 0.85, load: 1},
		"ten at twice their rate, near the capacity":                      {customers: tenAtTwice, usual: 0.63, load: 1},
		"ten at twice their rate, above the capacity":                     {customers: tenAtTwice, usual: 0.85, load: 1},
		"one caller beside a thousand, near the capacity":                 {customers: oneCaller, usual: 0.9, load: 1.05},
		"one caller beside a thousand, above the capacity":                {customers: oneCallerExceeded, usual: 0.9, load: 1},
		"one caller beside a thousand at twice their rate":                {customers: thousandCallersAtTwice, usual: 0.85, load: 1},
		"all callers at one VM, near the capacity":                        {customers: atOneVM, usual: 0.9, load: 1.05},
		"all callers at one VM, above the capacity":                       {customers: atOneVM, usual: 0.9, load: 1.4},
		"all callers at one VM, ten times their rate, near the capacity":  {customers: tenTimesAtOneVM, usual: 0.65, load: 1},
		"all callers at one VM, ten times their rate, above the capacity": {customers: tenTimesAtOneVM, usual: 0.85, load: 1},
		"alone at its VM, ten times its rate, near the capacity":          {customers: ownVM, usual: 0.65, load: 1},
		"alone at its VM, ten times its rate, above the capacity":         {customers: ownVM, usual: 0.85, load: 1},
		"keys, one at ten times its rate, near the capacity":              {customers: oneAtTenTimes, usual: 0.65, load: 1, keyed: true},
		"keys, one at ten times its rate, above the capacity":             {customers: oneAtTenTimes, usual: 0.8, load: 1, keyed: true},
		"keys, ten at twice their rate, above the capacity":               {customers: tenAtTwice, usual: 0.76, load: 1, keyed: true},
		"one key at ten times its rate, above the capacity":               {customers: hotKey, usual: 0.65, load: 1, keyed: true},
	}
	for name, load := range tests {
		t.Run(name, func(t *testing.T) {
			f := judge(load.play(t))
			t.Log(f)
			if f.worst < f.mean-maxUnfairness {
				t.Errorf("the worst tenth of the customers is served %.3f, want at least %.3f", f.worst, f.mean-maxUnfairness)
			}
			if f.least < minFairnessShare*f.mean {
				t.Errorf("a customer is served %.3f, want at least %.3f", f.least, minFairnessShare*f.mean)
			}
			if load.usual*load.load > 1 {
				return // All customers together exceed the capacity, so that none of them behaves.
			}
			if f.meanLoss > maxMeanLoss || f.greatestLoss > maxLoss {
				t.Errorf("the customers that behave lost %.3f, the worst of them %.3f; want at most %.3f and %.3f", f.meanLoss, f.greatestLoss, maxMeanLoss, maxLoss)
			}
		})
	}
}

// fairness tells how the customers of a load were served, as shares of the requests to which they are entitled.
type fairness struct {
	mean, worst, least float64
	// meanLoss and greatestLoss are how much less the customers that behave were served than before.
	meanLoss, greatestLoss float64
	// load and throughput are the requests that were sent and those answered in time, as shares of the capacity.
	load, throughput float64
}

func (f fairness) String() string {
	return fmt.Sprintf("load %.2f, in time %.2f of the capacity; mean %.3f, worst tenth %.3f, least %.3f; those that behave lost %.3f, the worst %.3f",
		f.load, f.throughput, f.mean, f.worst, f.least, f.meanLoss, f.greatestLoss)
}

// judge computes how fairly customers were served.
func judge(customers []fairCustomer) (f fairness) {
	var shares []float64
	behaving := 0
	for _, c := range customers {
		shares = append(shares, c.servedShare())
		f.mean += c.servedShare() / float64(len(customers))
		f.load += float64(c.contended.sent) / (capacity * contendedTime.Seconds())
		f.throughput += float64(c.contended.served) / (capacity * contendedTime.Seconds())
		if c.factor == 1 {
			// One request more or less says nothing of a customer with few of them.
			loss := c.usual.share() - c.contended.share()
			f.meanLoss, behaving = f.meanLoss+loss, behaving+1
			f.greatestLoss = max(f.greatestLoss, loss-1/float64(max(1, c.contended.sent)))
		}
	}
	f.meanLoss /= float64(max(1, behaving))
	slices.Sort(shares)
	f.least = shares[0]
	worst := shares[:(len(shares)+9)/10]
	for _, s := range worst {
		f.worst += s / float64(len(worst))
	}
	return f
}
