package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/ratelimit"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// The stated bound of a request limit: from limitGrace after it was first named, limitFactor times what it allows in limitWindow, and
// limitSlack requests, from the VMs that have had an answer with it for toldAfter.
const (
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	toldAfter   = 500 * time.Millisecond
	limitedTime = 40 * time.Second
	limitStart  = 5 * time.Second
	limitEnd    = 22 * time.Second
	// forgottenAfter is how long VMs whose requests are for other backend servers may keep to a limit that no answer names.
	forgottenAfter = 10 * time.Second
	// messageDelay is the time of a message between two VMs, and lateSnapshot the longest time until a VM learns which others there are.
	messageDelay = 3 * time.Millisecond
	lateSnapshot = 400 * time.Millisecond
)

// limitedLoad is a load on backend servers of which the first one names a request limit.
type limitedLoad struct {
	vms, domains, servers int
	keyed                 bool
	// rate is the number of requests per second for each backend server.
	rate float64
	// limit returns the limit that the first backend server names at a time.
	limit func(at time.Duration) ratelimit.Rate
	// isUp reports whether a VM runs at a time, and isFrozen whether it stands still; nil means always and never.
	isUp, isFrozen func(vm int, at time.Duration) bool
	// restartAt is when the first backend server restarts and names no limit any more; 0 means never.
	restartAt time.Duration
	// deaf VMs get no messages from others.
	deaf bool
}

// constantLimit returns a limit that is named from limitStart to limitEnd.
func constantLimit(rate ratelimit.Rate) func(time.Duration) ratelimit.Rate {
	return func(at time.Duration) ratelimit.Rate {
		if at < limitStart || at >= limitEnd {
			return 0
		}
		return rate
	}
}

// limitArrival is a request that arrives at the first backend server.
type limitArrival struct {
	at time.Duration
	vm int
}

// limitPlayer plays a limitedLoad in virtual time.
type limitPlayer struct {
	load    limitedLoad
	random  *rand.Rand
	clock   clock.Clock
	began   time.Time
	servers map[id.Server]*backend
	born    fleet.StartTime

	mu       sync.Mutex
	vms      []*dispatch.Dispatcher
	told     []time.Duration
	arrivals []limitArrival
	// requests and inTime count all requests, and those that were answered within the objective.
	requests, inTime int
	// refusalWait is the longest time before a refusal.
	refusalWait time.Duration
}

func (p *limitPlayer) now() time.Duration { return time.Since(p.began) }

func (p *limitPlayer) domain(vm int) id.Domain { return id.Domain(fmt.Sprint("d", vm%p.load.domains)) }

func (p *limitPlayer) isUp(vm int) bool { return p.load.isUp == nil || p.load.isUp(vm, p.now()) }

func (p *limitPlayer) isFrozen(vm int) bool {
	return p.load.isFrozen != nil && p.load.isFrozen(vm, p.now())
}

// snapshot returns what the store holds: the VMs that run, and the backend servers.
func (p *limitPlayer) snapshot() *fleet.Snapshot {
	servers, peers := map[id.Server]fleet.Server{}, map[id.VM]fleet.Peer{}
	table := &fleet.Table{Service: service, Fence: 1}
	for i := range p.load.servers {
		name := id.Server(fmt.Sprint("s", i))
		born := fleet.StartTime(1)
		if i == 0 {
			born = p.born
		}
		servers[name] = fleet.Server{
			Incarnation: fleet.Incarnation{Server: name, Born: born}, Service: service, Domain: id.Domain(fmt.Sprint("d", i%p.load.domains)), Slots: slots, Revision: 1,
		}
		table.Ranges = append(table.Ranges, fleet.Range{From: fleet.Key(i), To: fleet.Key(i), Owner: servers[name].Incarnation, Fence: 1})
	}
	for vm := range p.load.vms {
		if p.isUp(vm) {
			name := id.VM(fmt.Sprint("vm", vm))
			peers[name] = fleet.Peer{VM: name, Domain: p.domain(vm)}
		}
	}
	tables := map[id.Service]*fleet.Table{}
	if p.load.keyed {
		tables[service] = table
	}
	return &fleet.Snapshot{
		Configuration: fleet.NewConfiguration(1, nil, map[id.Service]fleet.Service{service: {Name: service, MaxConnections: 1000}}, fleet.Limits{}),
		Peers:         peers, Servers: servers, ByService: fleet.ByService(servers), Tables: tables,
	}
}

// follow starts and stops VMs, restarts the first backend server and tells all VMs of it, until ctx ends.
func (p *limitPlayer) follow(ctx context.Context, group *sync.WaitGroup) {
	for known := ""; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		state := ""
		p.mu.Lock()
		if p.load.restartAt > 0 && p.now() >= p.load.restartAt {
			p.born = 2
		}
		state += fmt.Sprint(p.born)
		for vm := range p.load.vms {
			up := p.isUp(vm)
			state += fmt.Sprint(up)
			switch {
			case up && p.vms[vm] == nil:
				p.vms[vm], p.told[vm] = p.start(vm), 0
				p.vms[vm].Update(p.snapshot())
			case !up:
				p.vms[vm] = nil
			}
		}
		if state != known {
			known = state
			s := p.snapshot()
			for _, d := range p.vms {
				if d != nil {
					delay := time.Duration(p.random.Float64() * float64(lateSnapshot))
					group.Go(func() { time.Sleep(delay); d.Update(s) })
				}
			}
		}
		p.mu.Unlock()
	}
}

// start returns the dispatcher of a VM that has just started.
func (p *limitPlayer) start(vm int) *dispatch.Dispatcher {
	random := rand.New(rand.NewPCG(7, uint64(vm)))
	return dispatch.NewDispatcher(id.VM(fmt.Sprint("vm", vm)), p.domain(vm), dispatch.WithClock(p.clock), dispatch.WithRandom(random.Float64),
		dispatch.WithPeers(func() int { return p.load.vms }))
}

// exchange sends the load reports of the VMs to each other until ctx ends.
func (p *limitPlayer) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(80 * time.Millisecond)
		p.mu.Lock()
		vms := slices.Clone(p.vms)
		p.mu.Unlock()
		for i, from := range vms {
			if from == nil || p.isFrozen(i) {
				continue
			}
			from.ExpirePeers()
			from.Tick()
			loads, news := from.Loads(), from.RequestLimitNews()
			if !p.load.deaf && len(news) > 0 {
				p.announce(i, vms, news)
			}
			for j, to := range vms {
				if to != nil && i != j && p.domain(i) == p.domain(j) && !p.load.deaf && !p.isFrozen(j) {
					to.UpdatePeer(id.VM(fmt.Sprint("vm", i)), loads)
				}
			}
		}
	}
}

// announce sends news of request limits to all other VMs.
func (p *limitPlayer) announce(from int, vms []*dispatch.Dispatcher, news []dispatch.LimitNews) {
	time.Sleep(messageDelay)
	for i, to := range vms {
		if to != nil && i != from && !p.isFrozen(i) {
			to.ApplyRequestLimitNews(news)
		}
	}
}

// request plays one request of a caller.
func (p *limitPlayer) request(ctx context.Context, vm int, key fleet.Key, chance float64) {
	p.mu.Lock()
	d := p.vms[vm]
	p.requests++
	p.mu.Unlock()
	began := p.clock.Boot()
	demand := dispatch.Demand{
		Service: service, Keyed: p.load.keyed, Key: key, Arrived: began, Deadline: began.Add(deadline), Objective: began.Add(objective),
	}
	slot, err := d.Acquire(ctx, demand)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.refusalWait = max(p.refusalWait, p.clock.Boot().Sub(began))
		return
	}
	limited := slot.Server.Server == "s0"
	if limited {
		p.mu.Lock()
		p.arrivals = append(p.arrivals, limitArrival{p.now(), vm})
		p.mu.Unlock()
	}
	result, report := p.servers[slot.Server.Server].run(chance)
	p.mu.Lock()
	if limited && slot.Server.Born == 1 && p.born == 1 {
		report.RequestLimit = p.load.limit(p.now())
		if report.RequestLimit > 0 && p.told[vm] == 0 {
			p.told[vm] = p.now()
		}
	}
	if p.clock.Boot().Sub(began) <= objective {
		p.inTime++
	}
	p.mu.Unlock()
	slot.Done(result, report)
}

func (l limitedLoad) play(t *testing.T) *limitPlayer {
	t.Helper()
	p := &limitPlayer{load: l, random: rand.New(rand.NewPCG(1, 2)), servers: map[id.Server]*backend{}, born: 1, vms: make([]*dispatch.Dispatcher, l.vms), told: make([]time.Duration, l.vms)}
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		p.began, p.clock = time.Now(), clock.Runtime{Origin: time.Now().Add(-time.Hour)}
		for i := range l.servers {
			b := newBackend(1)
			b.start()
			p.servers[id.Server(fmt.Sprint("s", i))] = b
		}
		var group sync.WaitGroup
		group.Go(func() { p.follow(ctx, &group) })
		group.Go(func() { p.exchange(ctx) })
		arrivals := rand.New(rand.NewPCG(3, 4))
		for p.now() < limitedTime {
			time.Sleep(time.Duration(float64(time.Second) / (l.rate * float64(l.servers)) * arrivals.ExpFloat64()))
			vm, key, chance := arrivals.IntN(l.vms), fleet.Key(arrivals.IntN(l.servers)), arrivals.Float64()
			p.mu.Lock()
			for p.vms[vm] == nil || p.isFrozen(vm) {
				vm = (vm + 1) % l.vms
			}
			p.mu.Unlock()
			group.Go(func() { p.request(ctx, vm, key, chance) })
		}
		time.Sleep(2 * deadline)
		cancel()
		group.Wait()
	})
	return p
}

// allowed returns the stated bound for the window that ends at a time.
func (p *limitPlayer) allowed(end time.Duration) float64 {
	const step = 10 * time.Millisecond
	sum := 0.0
	for at := end - limitWindow; at < end; at += step {
		sum += float64(p.load.limit(max(at, limitStart))) * step.Seconds()
	}
	return limitFactor*sum + limitSlack
}

// count returns the requests that arrived from one time to another, from VMs that were told before the given time.
func (p *limitPlayer) count(from, to, toldBefore time.Duration) (n int) {
	for _, a := range p.arrivals {
		if a.at > from && a.at <= to && p.told[a.vm] > 0 && p.told[a.vm] <= toldBefore {
			n++
		}
	}
	return n
}

// countAll returns the requests that arrived from one time to another.
func (p *limitPlayer) countAll(from, to time.Duration) (n int) {
	for _, a := range p.arrivals {
		if a.at > from && a.at <= to {
			n++
		}
	}
	return n
}

// TestRequestLimitHoldsInSum guards against a backend server that gets more requests than the limit that it names to all VMs together.
func TestRequestLimitHoldsInSum(t *testing.T) {
	tests := map[string]struct {
		load limitedLoad
		// used is the least share of the limit that is used, and inTime the least share of all requests answered within the objective.
		used, inTime float64
	}{
		"ten VMs, a third of the rate":        {limitedLoad{vms: 10, domains: 1, servers: 6, rate: 20, limit: constantLimit(7)}, 0.6, 0.97},
		"ten VMs in four failure domains":     {limitedLoad{vms: 10, domains: 4, servers: 8, rate: 20, limit: constantLimit(7)}, 0.5, 0.97},
		"ten VMs, one request per second":     {limitedLoad{vms: 10, domains: 2, servers: 6, rate: 3, limit: constantLimit(1)}, 0.3, 0.97},
		"sixty VMs":                           {limitedLoad{vms: 60, domains: 1, servers: 20, rate: 20, limit: constantLimit(7)}, 0.4, 0.97},
		"sixty VMs, half a request":           {limitedLoad{vms: 60, domains: 3, servers: 12, rate: 2, limit: constantLimit(0.5)}, 0, 0.97},
		"ten VMs that don't hear of it":       {limitedLoad{vms: 10, domains: 1, servers: 6, rate: 20, limit: constantLimit(7), deaf: true}, 0.5, 0.97},
		"the limit falls":                     {limitedLoad{vms: 10, domains: 1, servers: 6, rate: 20, limit: fallingLimit}, 0.5, 0.97},
		"VMs are restarted one after another": {limitedLoad{vms: 10, domains: 1, servers: 6, rate: 20, limit: constantLimit(7), isUp: rollingRestart}, 0.5, 0.97},
		"half of the VMs are stopped":         {limitedLoad{vms: 10, domains: 1, servers: 6, rate: 20, limit: constantLimit(7), isUp: halfStopped}, 0.3, 0.97},
		"half of the VMs are added":           {limitedLoad{vms: 20, domains: 1, servers: 6, rate: 20, limit: constantLimit(7), isUp: halfAdded}, 0.5, 0.97},
		"a third of the VMs are frozen":       {limitedLoad{vms: 10, domains: 1, servers: 6, rate: 20, limit: constantLimit(7), isFrozen: thirdFrozen}, 0.3, 0.97},
		"the backend server restarts":         {limitedLoad{vms: 10, domains: 1, servers: 6, rate: 20, limit: constantLimit(7), restartAt: 14 * time.Second}, 0.5, 0.97},
		"owner of keys":                       {limitedLoad{vms: 10, domains: 4, servers: 6, rate: 20, keyed: true, limit: constantLimit(7)}, 0.5, 0.8},
		"owner of keys, 60 VMs, one request":  {limitedLoad{vms: 60, domains: 3, servers: 6, rate: 4, keyed: true, limit: constantLimit(1)}, 0, 0.8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := test.load.play(t)
			namedUntil := limitEnd
			if test.load.restartAt > 0 {
				namedUntil = test.load.restartAt
			}
			for _, a := range p.arrivals {
				if a.at < limitStart+limitGrace || a.at >= namedUntil {
					continue
				}
				if got, want := p.count(a.at-limitWindow, a.at, a.at-toldAfter), p.allowed(a.at); float64(got) > want {
					t.Fatalf("%d requests arrived in the 4 s before %s from VMs that had been told, want at most %.0f", got, a.at, want)
				}
			}
			from := limitStart + limitGrace
			used := float64(p.countAll(from, namedUntil)) / (float64(test.load.limit(limitEnd-time.Second)) * (namedUntil - from).Seconds())
			settled := limitEnd + forgottenAfter
			after := float64(p.countAll(settled, limitedTime)) / (limitedTime - settled).Seconds()
			inTime := float64(p.inTime) / float64(p.requests)
			t.Logf("%.2f of the limit used, %.1f requests per second after it, %.3f of %d in time, refusals after %s at most", used, after, inTime, p.requests, p.refusalWait)
			if used < test.used {
				t.Errorf("%.2f of the limit was used, want at least %.2f", used, test.used)
			}
			if after < test.load.rate/2 {
				t.Errorf("%.1f requests per second arrived after the end of the limit, want at least %.1f", after, test.load.rate/2)
			}
			if inTime < test.inTime {
				t.Errorf("%.3f of the requests were answered in time, want at least %.2f", inTime, test.inTime)
			}
		})
	}
}

func fallingLimit(at time.Duration) ratelimit.Rate {
	rate := constantLimit(12)(at)
	if at >= 12*time.Second {
		rate = min(rate, 4)
	}
	return rate
}

// rollingRestart stops each VM for half a second, one after another.
func rollingRestart(vm int, at time.Duration) bool {
	down := 6*time.Second + time.Duration(vm)*1500*time.Millisecond
	return at < down || at >= down+500*time.Millisecond
}

func halfStopped(vm int, at time.Duration) bool { return vm%2 == 0 || at < 10*time.Second }

func halfAdded(vm int, at time.Duration) bool { return vm%2 == 0 || at >= 10*time.Second }

// thirdFrozen freezes every third VM from second 10 to second 13.
func thirdFrozen(vm int, at time.Duration) bool {
	return vm%3 == 0 && at >= 10*time.Second && at < 13*time.Second
}
