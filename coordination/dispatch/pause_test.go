package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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

// pause is how long a backend server of these tests wants no requests.
const pause = time.Second

// pausePlayer plays the requests of one VM in virtual time.
type pausePlayer struct {
	*is.I
	clock clock.Clock
	vm    *dispatch.Dispatcher
	// began counts the pauses that began, by backend server.
	began map[id.Server]int
}

// pauseServers returns a snapshot with a number of backend servers, each of which owns the key of its number.
func pauseServers(n int, born fleet.StartTime, keyed bool) *fleet.Snapshot {
	servers := map[id.Server]fleet.Server{}
	table := &fleet.Table{Service: service, Fence: 1}
	for i := range n {
		name := id.Server(fmt.Sprint("s", i))
		servers[name] = fleet.Server{Incarnation: fleet.Incarnation{Server: name, Born: born}, Service: service, Domain: "east", Slots: slots, Revision: 1}
		table.Ranges = append(table.Ranges, fleet.Range{From: fleet.Key(i), To: fleet.Key(i), Owner: servers[name].Incarnation, Fence: 1})
	}
	tables := map[id.Service]*fleet.Table{}
	if keyed {
		tables[service] = table
	}
	return &fleet.Snapshot{
		Configuration: fleet.NewConfiguration(1, nil, map[id.Service]fleet.Service{service: {Name: service, MaxConnections: 1000}}, fleet.Limits{}),
		Servers:       servers, ByService: fleet.ByService(servers), Tables: tables,
	}
}

func (p *pausePlayer) demand(keyed bool) dispatch.Demand {
	now := p.clock.Boot()
	return dispatch.Demand{Service: service, Keyed: keyed, Arrived: now, Deadline: now.Add(deadline), Objective: now.Add(objective)}
}

// acquire returns the slot of a request that is expected to get one.
func (p *pausePlayer) acquire(keyed bool) *dispatch.Slot {
	p.Helper()
	slot, err := p.vm.Acquire(context.Background(), p.demand(keyed))
	p.NoErr(err)
	return slot
}

// refused returns the RetryAfter of a request that is expected to be refused at once.
func (p *pausePlayer) refused(d dispatch.Demand) time.Duration {
	p.Helper()
	began := p.clock.Boot()
	slot, err := p.vm.Acquire(context.Background(), d)
	p.Equal(slot, nil)
	var r *dispatch.Refusal
	p.True(errors.As(err, &r))
	p.Equal(p.clock.Boot(), began)
	return r.RetryAfter
}

// reject plays the rejection of a request with a pause by any backend server, and returns which one it was.
func (p *pausePlayer) reject(report dispatch.Report) id.Server {
	p.Helper()
	slot := p.acquire(false)
	slot.Done(dispatch.Shed, report)
	return slot.Server.Server
}

// A backend server that wants no requests of a VM for some time must get none, and callers must learn at once when to try again.
func TestPauses(t *testing.T) {
	rejection := dispatch.Report{RetryAfter: pause}
	tests := map[string]struct {
		servers int
		keyed   bool
		play    func(p *pausePlayer)
	}{
		"requests go elsewhere": {servers: 2, play: func(p *pausePlayer) {
			paused := p.reject(rejection)
			for range 20 {
				slot := p.acquire(false)
				p.True(slot.Server.Server != paused)
				slot.Done(dispatch.Answered, dispatch.Report{})
				time.Sleep(pause / 21)
			}
			time.Sleep(pause / 20)
			seen := map[id.Server]bool{}
			for range slots + 2 {
				seen[p.acquire(false).Server.Server] = true
			}
			p.True(seen[paused])
			p.Equal(p.began[paused], 1)
		}},
		"all backend servers": {servers: 3, play: func(p *pausePlayer) {
			for i := range 3 {
				p.reject(dispatch.Report{RetryAfter: pause * time.Duration(3-i)})
			}
			p.Equal(p.refused(p.demand(false)), pause)
			time.Sleep(pause / 2)
			p.Equal(p.refused(p.demand(false)), pause/2)
			time.Sleep(pause / 2)
			p.acquire(false)
		}},
		"the other one was tried": {servers: 2, play: func(p *pausePlayer) {
			paused := p.reject(rejection)
			d := p.demand(false)
			d.Retry, d.Avoid = true, []id.Server{"s0", "s1"}
			p.Equal(p.refused(d), pause)
			d.Avoid = []id.Server{paused}
			slot, err := p.vm.Acquire(context.Background(), d)
			p.NoErr(err)
			p.True(slot.Server.Server != paused)
		}},
		"an answer to an earlier request": {servers: 1, play: func(p *pausePlayer) {
			earlier := p.acquire(false)
			p.reject(rejection)
			earlier.Done(dispatch.Answered, dispatch.Report{})
			time.Sleep(pause / 2)
			p.Equal(p.refused(p.demand(false)), pause/2)
		}},
		"a shorter pause after a longer one": {servers: 1, play: func(p *pausePlayer) {
			other := p.acquire(false)
			p.reject(rejection)
			other.Done(dispatch.Shed, dispatch.Report{RetryAfter: pause / 4})
			time.Sleep(pause / 2)
			p.Equal(p.refused(p.demand(false)), pause/2)
			p.Equal(p.began["s0"], 1)
		}},
		"failures of this VM's links are forgotten": {servers: 1, play: func(p *pausePlayer) {
			p.reject(rejection)
			p.vm.ForgetFailures()
			p.Equal(p.refused(p.demand(false)), pause)
		}},
		"a server error with a pause": {servers: 1, play: func(p *pausePlayer) {
			for range 5 {
				p.acquire(false).Done(dispatch.ServerError, rejection)
				time.Sleep(pause)
			}
			for _, l := range p.vm.Loads() {
				p.Equal(l.EjectedFor, time.Duration(0)) // The other VMs would adopt the ejection.
			}
		}},
		"a rejection without a pause": {servers: 1, play: func(p *pausePlayer) {
			p.reject(dispatch.Report{})
			time.Sleep(100 * time.Millisecond)
			p.acquire(false)
			p.Equal(len(p.began), 0)
		}},
		"through another VM": {servers: 1, play: func(p *pausePlayer) {
			p.reject(dispatch.Report{RetryAfter: pause, Relayed: true})
			time.Sleep(100 * time.Millisecond)
			p.acquire(false)
			p.Equal(len(p.began), 0)
		}},
		"a late response or an attempt for another VM": {servers: 1, play: func(p *pausePlayer) {
			inc := fleet.Incarnation{Server: "s0", Born: 1}
			p.vm.Pause(inc, pause)
			p.True(p.vm.IsPaused(inc))
			p.Equal(p.refused(p.demand(false)), pause)
			time.Sleep(pause)
			p.True(!p.vm.IsPaused(inc))
		}},
		"a new incarnation": {servers: 1, play: func(p *pausePlayer) {
			p.reject(rejection)
			p.vm.Update(pauseServers(1, 2, false))
			p.acquire(false)
		}},
		"an entry that is missing for a moment": {servers: 1, play: func(p *pausePlayer) {
			p.reject(rejection)
			p.vm.Update(pauseServers(0, 1, false))
			p.vm.Update(pauseServers(1, 1, false))
			p.Equal(p.refused(p.demand(false)), pause)
		}},
		"a queued request with no other backend server": {servers: 1, play: func(p *pausePlayer) {
			p.pauseWithQueue(1, func(r *dispatch.Refusal, slot *dispatch.Slot, waited time.Duration) {
				p.Equal(slot, nil)
				p.Equal(r.RetryAfter, pause)
				p.Equal(waited, 50*time.Millisecond)
			})
		}},
		"a queued request with another backend server": {servers: 2, play: func(p *pausePlayer) {
			p.pauseWithQueue(2, func(_ *dispatch.Refusal, slot *dispatch.Slot, _ time.Duration) {
				p.True(slot != nil)
				p.Equal(slot.Server.Server, id.Server("s1"))
			})
		}},
		"a queued request for a key of the owner": {servers: 1, keyed: true, play: func(p *pausePlayer) {
			var first *dispatch.Slot
			for range slots + 8 {
				first = p.acquire(true)
			}
			time.AfterFunc(50*time.Millisecond, func() { first.Done(dispatch.Shed, rejection) })
			began := p.clock.Boot()
			_, err := p.vm.Acquire(context.Background(), p.demand(true))
			var r *dispatch.Refusal
			p.True(errors.As(err, &r))
			p.Equal(r.RetryAfter, pause)
			p.Equal(p.clock.Boot().Sub(began), 50*time.Millisecond)
		}},
		"the owner of a key, for long": {servers: 2, keyed: true, play: func(p *pausePlayer) {
			p.acquire(true).Done(dispatch.Shed, rejection)
			p.Equal(p.refused(p.demand(true)), pause)
			other := p.demand(true)
			other.Key = 1
			slot, err := p.vm.Acquire(context.Background(), other)
			p.NoErr(err)
			p.Equal(slot.Server.Server, id.Server("s1"))
			time.Sleep(pause)
			p.acquire(true)
		}},
		"the owner of a key, for a moment": {servers: 2, keyed: true, play: func(p *pausePlayer) {
			p.acquire(true).Done(dispatch.Shed, dispatch.Report{RetryAfter: 90 * time.Millisecond})
			began := p.clock.Boot()
			ticks := time.AfterFunc(100*time.Millisecond, p.vm.Tick)
			defer ticks.Stop()
			p.acquire(true)
			p.Equal(p.clock.Boot().Sub(began), 100*time.Millisecond)
		}},
		"the owner of a key, for a request that is late": {servers: 1, keyed: true, play: func(p *pausePlayer) {
			p.acquire(true).Done(dispatch.Shed, dispatch.Report{RetryAfter: 90 * time.Millisecond})
			d := p.demand(true)
			d.Objective = p.clock.Boot()
			p.Equal(p.refused(d), 90*time.Millisecond)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &pausePlayer{I: is.New(t), clock: clock.Runtime{Origin: time.Now().Add(-time.Hour)}, began: map[id.Server]int{}}
				p.vm = dispatch.NewDispatcher("vm0", "east", dispatch.WithClock(p.clock), dispatch.WithRandom(rand.New(rand.NewPCG(1, 2)).Float64),
					dispatch.WithOnPause(func(s id.Server, _ time.Duration) { p.began[s]++ }))
				p.vm.Update(pauseServers(test.servers, 1, test.keyed))
				test.play(p)
			})
		})
	}
}

// pauseWithQueue fills all backend servers, queues one request, lets the first backend server begin a pause and then, if there is another
// one, lets it answer.
func (p *pausePlayer) pauseWithQueue(servers int, check func(r *dispatch.Refusal, slot *dispatch.Slot, waited time.Duration)) {
	bySlot := map[id.Server][]*dispatch.Slot{}
	for range servers * (slots + 1) {
		slot := p.acquire(false)
		bySlot[slot.Server.Server] = append(bySlot[slot.Server.Server], slot)
	}
	began := p.clock.Boot()
	var group sync.WaitGroup
	group.Go(func() {
		slot, err := p.vm.Acquire(context.Background(), p.demand(false))
		var r *dispatch.Refusal
		errors.As(err, &r)
		check(r, slot, p.clock.Boot().Sub(began))
	})
	time.Sleep(50 * time.Millisecond)
	bySlot["s0"][0].Done(dispatch.Shed, dispatch.Report{RetryAfter: pause})
	time.Sleep(50 * time.Millisecond)
	if servers > 1 {
		bySlot["s1"][0].Done(dispatch.Answered, dispatch.Report{})
	}
	group.Wait()
}

const (
	// pauseGrace is the time after a rejection within which further requests may reach the backend server, and latePauseRequests the number
	// of those that may until the end of the pause.
	pauseGrace        = 500 * time.Millisecond
	latePauseRequests = 2
	// fleetPause is the pause that the backend servers of the fleet ask for from pausesFrom to pausesUntil.
	fleetPause  = 3 * time.Second
	pausesFrom  = 2 * time.Second
	pausesUntil = 8 * time.Second
)

// pausingFleet plays VMs that send requests to backend servers, some of which ask each VM for a pause.
type pausingFleet struct {
	vms, servers, pausing int
	keyed                 bool

	mu       sync.Mutex
	clock    clock.Clock
	began    clock.Instant
	backends map[id.Server]*backend
	// pausedAt is when each VM was last asked for a pause by a backend server, and late counts the requests later in that pause.
	pausedAt map[string]clock.Instant
	late     map[string]int
	maxLate  int
	requests int
	inTime   int
	refused  int
	// wrongRetryAfter counts the refusals after which a retry would come too early, or long after the pause.
	wrongRetryAfter int
}

// request plays a request of a caller with up to two retries.
func (f *pausingFleet) request(d *dispatch.Dispatcher, vm int, key fleet.Key, chance float64) {
	began := f.clock.Boot()
	demand := dispatch.Demand{Service: service, Keyed: f.keyed, Key: key, Arrived: began, Deadline: began.Add(deadline), Objective: began.Add(objective)}
	for range 3 {
		slot, err := d.Acquire(context.Background(), demand)
		if err != nil {
			f.recordRefusal(err)
			return
		}
		name := slot.Server.Server
		if f.rejects(vm, name) {
			time.Sleep(10 * time.Millisecond)
			slot.Done(dispatch.Shed, dispatch.Report{RetryAfter: fleetPause})
			demand.Retry = true
			if !f.keyed {
				demand.Avoid = append(demand.Avoid, name)
			}
			continue
		}
		result, report := f.backends[name].run(chance)
		slot.Done(result, report)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.clock.Boot().Sub(began) <= objective {
			f.inTime++
		}
		return
	}
}

// rejects records the arrival of a request and reports whether the backend server rejects it with a pause.
func (f *pausingFleet) rejects(vm int, name id.Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Boot()
	at := now.Sub(f.began)
	link := fmt.Sprint(vm, name)
	if since := now.Sub(f.pausedAt[link]); f.pausedAt[link] > 0 && since > pauseGrace && since < fleetPause {
		f.late[link]++
		f.maxLate = max(f.maxLate, f.late[link])
	}
	pauses := at >= pausesFrom && at < pausesUntil
	for i := range f.pausing {
		if pauses && name == id.Server(fmt.Sprint("s", i)) {
			if now.Sub(f.pausedAt[link]) >= fleetPause {
				f.pausedAt[link], f.late[link] = now, 0
			}
			return true
		}
	}
	return false
}

func (f *pausingFleet) recordRefusal(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused++
	var r *dispatch.Refusal
	if errors.As(err, &r) && r.PausedFor > 0 && (r.RetryAfter < r.PausedFor || r.RetryAfter > fleetPause) {
		f.wrongRetryAfter++
	}
}

func (f *pausingFleet) play(t *testing.T) {
	t.Helper()
	f.backends, f.pausedAt, f.late = map[id.Server]*backend{}, map[string]clock.Instant{}, map[string]int{}
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f.clock = clock.Runtime{Origin: time.Now().Add(-time.Hour)}
		f.began = f.clock.Boot()
		snapshot := pauseServers(f.servers, 1, f.keyed)
		snapshot.Peers = map[id.VM]fleet.Peer{}
		for i := range f.servers {
			b := newBackend(1)
			b.start()
			f.backends[id.Server(fmt.Sprint("s", i))] = b
		}
		var vms []*dispatch.Dispatcher
		for i := range f.vms {
			vm := id.VM(fmt.Sprint("vm", i))
			snapshot.Peers[vm] = fleet.Peer{VM: vm, Domain: "east"}
			vms = append(vms, dispatch.NewDispatcher(vm, "east", dispatch.WithClock(f.clock), dispatch.WithRandom(rand.New(rand.NewPCG(7, uint64(i))).Float64),
				dispatch.WithPeers(func() int { return f.vms })))
		}
		for _, d := range vms {
			d.Update(snapshot)
		}
		var group sync.WaitGroup
		group.Go(func() { gossip(ctx, vms, 40*time.Millisecond) })
		random := rand.New(rand.NewPCG(3, 4))
		for time.Duration(f.clock.Boot()-f.began) < 14*time.Second {
			time.Sleep(time.Duration(float64(time.Second) / (12 * float64(f.servers)) * random.ExpFloat64()))
			vm, key, chance := random.IntN(f.vms), fleet.Key(random.IntN(f.servers)), random.Float64()
			f.requests++
			group.Go(func() { f.request(vms[vm], vm, key, chance) })
		}
		time.Sleep(2 * deadline)
		cancel()
		group.Wait()
	})
}

// A pause is for one VM: each VM must keep to the one that it was asked for, and requests must be served by the other backend servers.
func TestFleetKeepsToPauses(t *testing.T) {
	tests := map[string]struct {
		fleet *pausingFleet
		// inTime is the least share of requests that are answered within the objective.
		inTime float64
	}{
		"one backend server of six": {&pausingFleet{vms: 8, servers: 6, pausing: 1}, 0.95},
		"three of six":              {&pausingFleet{vms: 8, servers: 6, pausing: 3}, 0.9},
		"all of them":               {&pausingFleet{vms: 8, servers: 6, pausing: 6}, 0.25},
		"an owner of keys":          {&pausingFleet{vms: 8, servers: 6, pausing: 1, keyed: true}, 0.75},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := test.fleet
			f.play(t)
			inTime := float64(f.inTime) / float64(f.requests)
			t.Logf("%d requests, %.3f in time, %d refused, at most %d late in a pause", f.requests, inTime, f.refused, f.maxLate)
			if len(f.pausedAt) == 0 {
				t.Error("no VM was asked for a pause")
			}
			if f.maxLate > latePauseRequests {
				t.Errorf("%d requests of a VM arrived late in a pause, want at most %d", f.maxLate, latePauseRequests)
			}
			if inTime < test.inTime {
				t.Errorf("%.3f of the requests were answered in time, want at least %.2f", inTime, test.inTime)
			}
			if f.wrongRetryAfter > 0 {
				t.Errorf("%d refusals name a time that is not the end of the first pause", f.wrongRetryAfter)
			}
		})
	}
}
