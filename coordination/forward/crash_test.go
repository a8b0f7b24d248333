package forward_test

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/clearance"
	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// maxLateCrashes is the number of attempts at a request that are allowed later than crashReactionTime after its third crash.
	maxLateCrashes    = 3
	crashReactionTime = 3 * time.Second
	// crashRestartTime is the time from a crash to the start of the replacement, and crashRemovalTime the time to the removal of the entry.
	crashRestartTime = 3 * time.Second
	crashRemovalTime = 2600 * time.Millisecond
	// crashRestartDelay is the time from a crash to the restart of VMs.
	crashRestartDelay = 1500 * time.Millisecond
	// crashTarget is the target of the request that crashes each backend server that runs it.
	crashTarget = "/crash"
)

// crashCase is a way in which backend servers crash and VMs learn of it.
type crashCase struct {
	// silent backend servers refuse no connections after a crash.
	silent bool
	// sameName says that replacements register under the id of the crashed backend server.
	sameName bool
	// keepsEntry says that the entry of a crashed backend server stays until its replacement has registered.
	keepsEntry bool
	idempotent bool
	// lostMessages is the number of messages of each VM, from the first one, that reach no other VM.
	lostMessages int
	// startsLate is the number of VMs that start after the second crash.
	startsLate int
	// bystanders is the number of other requests that are sent together with the crashing one, to the same backend server if possible.
	bystanders int
	// concurrent is the number of VMs to which the request is sent at the same time.
	concurrent int
	// newAddress says that replacements listen at another address.
	newAddress bool
	// messageDelay is how late the messages of others reach the last VM, as if it were paused.
	messageDelay time.Duration
	// staleAnswer makes another request's answer, written before the crash, arrive after the first connection broke.
	staleAnswer bool
	// restart returns which of the VMs lose their memory crashRestartDelay after a crash, given its number and the number of VMs; nil means
	// none.
	restart func(crash, vms int) []int
	// cutFor is how long after each crash no message of a VM reaches another one.
	cutFor time.Duration
	// isStoreCut says that the store isn't reached in that time either.
	isStoreCut bool
	// refusesOthers says that the store turns all VMs but the leader away.
	refusesOthers bool
	// withoutLeader says that no VM leads, or one whose build records no crashes.
	withoutLeader bool
	// versions is the number of versions of the software of the backend servers, of which only the first one crashes; 0 means one.
	versions int
	// removalTime is the time to the removal of the entry of a crashed backend server; 0 means crashRemovalTime.
	removalTime time.Duration
	// keyed says that one backend server at a time owns the key of all requests.
	keyed bool
	// moves says that the key moves before each repeat of the request, to each version in turn.
	moves bool
}

// crashFleet is a fleet of VMs in front of backend servers, one of whose requests crashes them.
//
// Requests, crashes and the VMs' periodic reports run in goroutines of their own, several of them at the same virtual time.
type crashFleet struct {
	clock clock.Clock
	test  crashCase

	// publishing orders the snapshots that the VMs get. It is taken before mu, and isn't needed by the reports that a VM sends meanwhile.
	publishing sync.Mutex
	// mu guards the fields below. The VMs are not called while it is held, since they report through deliver.
	mu       sync.Mutex
	servers  map[id.Server]*crashServer
	vms      []*crashVM
	crashes  []clock.Instant
	sent     map[*crashVM]int
	snapshot *fleet.Snapshot
	started  int
	crashStore
	cutUntil clock.Instant
	fence    fleet.Fence
	owner    fleet.Incarnation
	// isKeyAtRobust says that the owner of the key isn't crashed by the request.
	isKeyAtRobust bool
}

type crashServer struct {
	fleet.Server
	crashed chan struct{}
	// robust says that the crashing request ends well here.
	robust bool
}

type crashVM struct {
	crashExchange
	clock clock.Clock
	// stopped is set when the VM has lost its memory: it says nothing more.
	stopped    bool
	dispatcher *dispatch.Dispatcher
	forwarder  *forward.Forwarder
}

func newCrashFleet(test crashCase) *crashFleet {
	f := &crashFleet{clock: clock.Runtime{Origin: time.Now().Add(-time.Hour)}, test: test, servers: map[id.Server]*crashServer{}, sent: map[*crashVM]int{}, crashStore: crashStore{records: map[fleet.Incarnation]fleet.Crash{}}}
	for i := range 8 {
		f.startServer(fmt.Sprintf("10.0.0.%d:80", i), "", test.versions > 0 && i%test.versions > 0)
	}
	f.publish()
	for range 4 - test.startsLate {
		f.startVM()
	}
	return f
}

// startServer registers a new backend server; mu is held, except in newCrashFleet.
func (f *crashFleet) startServer(address string, name id.Server, robust bool) {
	f.started++
	if name == "" {
		name = id.Server(fmt.Sprint("i-", f.started))
	}
	f.servers[name] = &crashServer{crashed: make(chan struct{}), robust: robust, Server: fleet.Server{
		Version:     versionOf(robust),
		Incarnation: fleet.Incarnation{Server: name, Born: fleet.StartTime(f.started)}, Service: service, Domain: "east", Slots: 4, Address: address,
	}}
}

// versionOf returns the version of backend servers that the crashing request crashes, or doesn't.
func versionOf(robust bool) id.SoftwareVersion {
	if robust {
		return "v2"
	}
	return "v1"
}

// startVM starts a VM. Its ledger is empty, so that it reports nothing while mu is held.
func (f *crashFleet) startVM() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = append(f.vms, f.newVM(len(f.vms)))
}

// newVM returns a VM with a number; mu is held.
func (f *crashFleet) newVM(number int) *crashVM {
	v := &crashVM{clock: f.clock, dispatcher: dispatch.NewDispatcher(id.VM(fmt.Sprint("vm", number)), "east", dispatch.WithClock(f.clock))}
	v.dispatcher.Update(f.snapshot)
	options := append(v.options(f, v, number == 0), forward.WithClock(f.clock), forward.WithSend(f.send), forward.WithRetries(0.2, func() float64 { return 10 }))
	v.forwarder = forward.NewForwarder(v.dispatcher, options...)
	return v
}

// restartVMs replaces VMs by ones that know nothing.
func (f *crashFleet) restartVMs(numbers []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range numbers {
		f.vms[i].stopped = true
		f.vms[i] = f.newVM(i)
	}
}

// stopAll stops all VMs.
func (f *crashFleet) stopAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.vms {
		v.stopped = true
	}
}

// publish makes the registered backend servers the snapshot of all VMs.
func (f *crashFleet) publish() {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	old, next, vms := f.register()
	for _, v := range vms {
		v.dispatcher.Update(next)
		v.follow(v, old, next)
	}
}

// register replaces the snapshot and returns the old and the new one with the VMs that have the old one.
func (f *crashFleet) register() (old, next *fleet.Snapshot, vms []*crashVM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	servers := map[id.Server]fleet.Server{}
	for name, s := range f.servers {
		servers[name] = s.Server
	}
	old = f.snapshot
	f.snapshot = &fleet.Snapshot{
		Configuration: fleet.NewConfiguration(1, nil, map[id.Service]fleet.Service{service: {Name: service, Keyed: f.test.keyed}}, fleet.Limits{}),
		Servers:       servers, ByService: fleet.ByService(servers), Tables: f.tables(servers), Crashes: f.records,
	}
	return old, f.snapshot, slices.Clone(f.vms)
}

// tables returns the key table of a keyed service, whose owner changes when its entry is gone; mu is held.
func (f *crashFleet) tables(servers map[id.Server]fleet.Server) map[id.Service]*fleet.Table {
	names := fleet.ByService(servers)[service]
	if !f.test.keyed || len(names) == 0 {
		return nil
	}
	if s, ok := servers[f.owner.Server]; !ok || s.Incarnation != f.owner {
		f.moveKey(names, f.isKeyAtRobust)
	}
	return map[id.Service]*fleet.Table{service: {Service: service, Fence: f.fence, Ranges: []fleet.Range{{To: math.MaxUint16, Owner: f.owner, Fence: f.fence}}}}
}

// moveKey gives the key to a backend server that the request crashes or, if robust is set, to one of another version; mu is held.
func (f *crashFleet) moveKey(names []id.Server, robust bool) {
	f.fence++
	for i := range names {
		next := f.servers[names[(int(f.fence)+i)%len(names)]]
		f.owner, f.isKeyAtRobust = next.Incarnation, next.robust
		if next.robust == robust {
			return
		}
	}
}

// vm returns a VM by number; numbers beyond the last one begin again.
func (f *crashFleet) vm(i int) *crashVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[i%len(f.vms)]
}

// deliver hands a message of a VM to the others, or to the leader alone, unless it is lost.
func (f *crashFleet) deliver(from *crashVM, toLeader bool, receive func(to *crashVM)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sent[from]++; from.stopped || f.sent[from] <= f.test.lostMessages || f.clock.Boot() < f.cutUntil {
		return
	}
	for i, v := range f.vms {
		delay := time.Millisecond
		if i == len(f.vms)-1 {
			delay += f.test.messageDelay
		}
		if v != from && (!toLeader || i == 0) {
			time.AfterFunc(delay, func() { receive(v) })
		}
	}
}

func (f *crashFleet) send(ctx context.Context, a forward.Attempt) (*forward.Reply, *forward.Failure) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	s := f.servers[a.Slot.Server.Server]
	f.mu.Unlock()
	if s == nil || s.Incarnation != a.Slot.Server.Incarnation || s.isDown() {
		if f.test.silent {
			time.Sleep(300 * time.Millisecond)
			return nil, &forward.Failure{Cause: errors.New("i/o timeout")}
		}
		return unreachable(ctx)
	}
	if v := a.Clear(); v != clearance.Granted {
		return nil, &forward.Failure{Withheld: true, Cause: errors.New(v.String())}
	}
	took := 100 * time.Millisecond
	if a.Request.Target == crashTarget {
		took = 30 * time.Millisecond
	}
	select {
	case <-time.After(took):
		if a.Request.Target != crashTarget || s.robust {
			return answers(200)(ctx)
		}
		f.crash(s)
	case <-s.crashed:
	}
	if f.test.staleAnswer && strings.HasPrefix(a.Request.Target, "/before") {
		time.Sleep(time.Millisecond)
		return answers(200)(ctx)
	}
	if f.test.silent {
		return hangs(ctx)
	}
	return breaks(ctx)
}

func (s *crashServer) isDown() bool {
	select {
	case <-s.crashed:
		return true
	default:
		return false
	}
}

// crash ends a backend server and starts its replacement later.
func (f *crashFleet) crash(s *crashServer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.isDown() {
		return
	}
	close(s.crashed)
	f.crashes = append(f.crashes, f.clock.Boot())
	if len(f.crashes) == 2 {
		for range f.test.startsLate {
			time.AfterFunc(100*time.Millisecond, f.startVM)
		}
	}
	f.cutUntil = f.clock.Boot().Add(f.test.cutFor)
	if f.test.restart != nil {
		numbers := f.test.restart(len(f.crashes), len(f.vms))
		time.AfterFunc(crashRestartDelay, func() { f.restartVMs(numbers) })
	}
	if !f.test.keepsEntry {
		time.AfterFunc(cmp.Or(f.test.removalTime, crashRemovalTime), func() { f.remove(s) })
	}
	time.AfterFunc(max(crashRestartTime, f.test.removalTime+crashRestartTime-crashRemovalTime), func() { f.replace(s) })
}

// remove removes the entry of a crashed backend server, unless it is replaced already.
func (f *crashFleet) remove(s *crashServer) {
	f.mu.Lock()
	found := f.servers[s.Incarnation.Server] == s
	if found {
		delete(f.servers, s.Incarnation.Server)
	}
	f.mu.Unlock()
	if found {
		f.publish()
	}
}

// replace starts the replacement of a crashed backend server.
func (f *crashFleet) replace(s *crashServer) {
	f.mu.Lock()
	delete(f.servers, s.Incarnation.Server)
	name := id.Server("")
	if f.test.sameName {
		name = s.Incarnation.Server
	}
	address := s.Address
	if f.test.newAddress {
		address += "1"
	}
	f.startServer(address, name, s.robust)
	f.mu.Unlock()
	f.publish()
}

// request sends a request through a VM and returns its outcome; refusal is nil if it was answered.
func (f *crashFleet) request(v *crashVM, target string) (served bool, refusal *outcome.Error) {
	now := f.clock.Boot()
	const timeout = time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	answer, err := v.forwarder.Forward(ctx, &forward.Request{
		ID: "1", Method: "GET", Target: target, Service: service, Arrived: now, Deadline: now.Add(timeout), Objective: now.Add(timeout / 2),
		Keyed: f.test.keyed, Route: &fleet.Route{Name: "r", Idempotent: f.test.idempotent, MaxAttempts: 2, Objective: timeout / 2},
	})
	if err != nil {
		return false, outcome.FromError(err)
	}
	return answer.Status == 200, nil
}

// start sends a request whose outcome doesn't matter.
func (f *crashFleet) start(v *crashVM, target string) { _, _ = f.request(v, target) }

// lateCrashes returns the number of crashes later than crashReactionTime after the third one.
func (f *crashFleet) lateCrashes() (n int) {
	for _, at := range f.crashes[min(3, len(f.crashes)):] {
		if at.Sub(f.crashes[2]) > crashReactionTime {
			n++
		}
	}
	return n
}

// repeatCrashingRequest sends the crashing request a number of times, one after the other and each time to another VM.
func (f *crashFleet) repeatCrashingRequest(times int) {
	for i := range times {
		if f.test.moves {
			f.mu.Lock()
			f.moveKey(f.snapshot.ByService[service], !f.isKeyAtRobust)
			f.mu.Unlock()
			f.publish()
		}
		for n := range max(1, f.test.concurrent) {
			go f.start(f.vm(i+n), crashTarget)
		}
		for n := range f.test.bystanders {
			prefix := "/other"
			if n%2 == 0 {
				prefix = "/before"
			}
			go f.start(f.vm(i+n), fmt.Sprintf("%s%d-%d", prefix, i, n))
		}
		time.Sleep(3100 * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
}

// A request that crashes each backend server that runs it must be refused by all VMs after few crashes.
func TestCrashingRequestIsRefused(t *testing.T) {
	tests := map[string]crashCase{
		"retries find the port closed":                     {idempotent: true},
		"nobody finds the port closed":                     {keepsEntry: true},
		"the same id registers again":                      {sameName: true, keepsEntry: true},
		"back at another address":                          {sameName: true, keepsEntry: true, newAddress: true},
		"back under another name and address":              {newAddress: true, silent: true},
		"a VM hears of all crashes late":                   {idempotent: true, messageDelay: 5 * time.Second},
		"backend servers fall silent":                      {silent: true},
		"backend servers fall silent, retried":             {silent: true, idempotent: true},
		"silent until replaced":                            {silent: true, keepsEntry: true},
		"the first messages of each VM are lost":           {idempotent: true, lostMessages: 3},
		"VMs start after the second crash":                 {idempotent: true, startsLate: 2},
		"at three VMs at once":                             {idempotent: true, concurrent: 3},
		"other requests beside it":                         {idempotent: true, bystanders: 6},
		"other requests beside it, nobody retries":         {bystanders: 6},
		"an answer from before the crash is read after it": {idempotent: true, bystanders: 6, staleAnswer: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f *crashFleet
			synctest.Test(t, func(*testing.T) {
				f = newCrashFleet(test)
				f.repeatCrashingRequest(24)
			})
			t.Logf("crashes: %d, late ones: %d", len(f.crashes), f.lateCrashes())
			is.True(len(f.crashes) >= 2)
			is.True(f.lateCrashes() <= maxLateCrashes)
		})
	}
}

// Requests that are only under way beside a crashing one must be served when their callers repeat them.
func TestRequestsBesideACrashingOneAreServed(t *testing.T) {
	tests := map[string]crashCase{
		"retried":       {idempotent: true},
		"not retried":   {},
		"silent":        {silent: true},
		"the same name": {idempotent: true, sameName: true, keepsEntry: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			refused := map[string]string{}
			synctest.Test(t, func(*testing.T) {
				f := newCrashFleet(test)
				targets := []string{"/a", "/b", "/c", "/d", "/e", "/f"}
				for i := range 12 {
					go f.start(f.vm(i), crashTarget)
					for n, target := range targets {
						go f.start(f.vm(i+n), target)
					}
					time.Sleep(1500 * time.Millisecond)
				}
				time.Sleep(5 * time.Second)
				for _, target := range targets {
					for _, v := range f.vms {
						if served, err := f.request(v, target); !served {
							refused[target] = fmt.Sprint(err)
						}
					}
				}
			})
			is.Equal(maps.Clone(refused), map[string]string{})
		})
	}
}
