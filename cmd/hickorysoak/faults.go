package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/standin/faultproxy"
	"github.com/hickorylug/hickorylug/standin/kv"
)

// fault is a named fault that run injects for the duration d.
type fault struct {
	name string
	run  func(e *environment, random *rand.Rand, d time.Duration)
	// isPlanned says that it is planned work, during which no request may be cut off.
	isPlanned bool
	// keepsEvidence says that VMs can tell each other what crashes backend servers all the while, so that the number of crashes is limited.
	keepsEvidence bool
	// keepsContact says that the VMs run, and reach the store, each other and all backend servers that aren't silent, so that the bound for
	// requests whose callers have left holds.
	keepsContact bool
	// needsCustomers says that it changes customers; it is left out where the configuration has none.
	needsCustomers bool
}

var faults = []fault{
	{name: "kill", run: func(e *environment, random *rand.Rand, d time.Duration) {
		e.restartVM(e.randomVM(random), syscall.SIGKILL, d)
	}, keepsEvidence: true},
	{name: "terminate", run: func(e *environment, random *rand.Rand, d time.Duration) {
		e.restartVM(e.randomVM(random), syscall.SIGTERM, d)
	}, isPlanned: true, keepsEvidence: true},
	{name: "all killed", run: func(e *environment, _ *rand.Rand, d time.Duration) { e.restartAll(syscall.SIGKILL, d) }},
	{name: "all terminated", run: func(e *environment, _ *rand.Rand, d time.Duration) { e.restartAll(syscall.SIGTERM, d) }, isPlanned: true},
	{name: "pause", run: func(e *environment, random *rand.Rand, d time.Duration) { e.pause(d, e.randomVM(random)) }},
	{name: "half paused", run: func(e *environment, random *rand.Rand, d time.Duration) {
		e.pause(d/2, e.someVMs(random, (len(e.vms)+1)/2)...)
	}},
	{name: "short stops", run: func(e *environment, random *rand.Rand, d time.Duration) { e.stopShortly(random, e.randomVM(random), d) }},
	{name: "leader first", run: func(e *environment, random *rand.Rand, d time.Duration) { e.strikeLeader(random, d) }},
	{name: "reload", run: func(e *environment, random *rand.Rand, _ time.Duration) {
		e.randomVM(random).signal(syscall.SIGHUP)
	}, isPlanned: true, keepsEvidence: true, keepsContact: true},
	{name: "cut", run: func(e *environment, random *rand.Rand, d time.Duration) { e.cutVMs(random, d) }},
	{name: "store down", run: func(e *environment, _ *rand.Rand, d time.Duration) { e.injectStoreFault(kv.Fault{Down: true}, d) }},
	{name: "store slow", run: func(e *environment, _ *rand.Rand, d time.Duration) {
		e.injectStoreFault(kv.Fault{Delay: 200 * time.Millisecond}, d)
	}},
	{name: "store loses answers", run: func(e *environment, _ *rand.Rand, d time.Duration) { e.injectStoreFault(kv.Fault{LostWrites: 0.5}, d) }},
	{name: "store link", run: func(e *environment, random *rand.Rand, d time.Duration) {
		v := e.randomVM(random)
		e.notes.add("the store link of %s is disturbed for %s", v.name, d)
		disturb(v.storeProxy, random, d)
	}},
	{name: "server link", run: func(e *environment, random *rand.Rand, d time.Duration) {
		e.mu.Lock()
		b := e.backends[random.IntN(len(e.backends))]
		e.mu.Unlock()
		e.notes.add("the link of %s is disturbed for %s", b.id, d)
		disturb(b.proxy, random, d)
	}},
	{name: "servers silent", run: func(e *environment, random *rand.Rand, d time.Duration) { e.silenceBackends(random, d) }, keepsContact: true},
	{name: "callers leave", run: func(e *environment, random *rand.Rand, d time.Duration) { e.sendAndLeave(random, 2*d) }, keepsContact: true},
	{name: "server restarts", run: func(e *environment, random *rand.Rand, d time.Duration) { e.replaceBackend(random, d, false) }, keepsContact: true},
	{name: "server starts again", run: func(e *environment, random *rand.Rand, _ time.Duration) { e.startBackendAgain(random) }},
	{name: "crashing request", run: func(e *environment, random *rand.Rand, d time.Duration) { e.repeatCrashingRequest(random, d) }, keepsEvidence: true},
	{name: "server drains", run: func(e *environment, random *rand.Rand, d time.Duration) { e.replaceBackend(random, d, true) }, keepsContact: true},
	{name: "store restored", run: func(e *environment, _ *rand.Rand, d time.Duration) { e.restoreStore(d) }},
	{name: "configuration", run: func(e *environment, random *rand.Rand, _ time.Duration) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.writeConfiguration(time.Duration(800+random.IntN(800)) * time.Millisecond)
	}, isPlanned: true, keepsEvidence: true, keepsContact: true},
	{name: "revoke", run: func(e *environment, random *rand.Rand, _ time.Duration) { e.revoke(random) }, isPlanned: true, needsCustomers: true},
	{name: "allotment", run: func(e *environment, random *rand.Rand, _ time.Duration) { e.changeAllotment(random) }, isPlanned: true, needsCustomers: true},
}

// selectFaults returns the faults with the given names, or all if there are none.
func selectFaults(names []string) (selected []fault, err error) {
	if len(names) == 0 {
		return faults, nil
	}
	for _, name := range names {
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, errors.Newf("--faults: there is no fault %q", name)
		}
		selected = append(selected, faults[i])
	}
	return selected, nil
}

// Sizes of the groups in which faults come.
const (
	minGroup = 3
	maxGroup = 9
)

// injectFaults injects overlapping random faults out of the given ones until the context ends, and returns the count of each fault. Grouped
// ones come three to nine within some seconds, with a rest after them.
func (e *environment) injectFaults(ctx context.Context, random *rand.Rand, faults []fault, grouped bool) (summary string) {
	counts := map[string]int{}
	var wg sync.WaitGroup
	for left := 0; ctx.Err() == nil; left-- {
		if grouped && left == 0 {
			left = minGroup + random.IntN(maxGroup-minGroup+1)
		}
		f := faults[random.IntN(len(faults))]
		d := time.Duration(300+random.IntN(3500)) * time.Millisecond
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), 3))
		counts[f.name]++
		wg.Go(func() {
			e.notes.add("%s begins", f.name)
			f.run(e, faultRandom, d)
			e.notes.add("%s has ended", f.name)
		})
		pause := time.Duration(200+random.IntN(1200)) * time.Millisecond
		switch {
		case grouped && left == 1:
			pause = time.Duration(2000+random.IntN(3000)) * time.Millisecond
		case grouped:
			pause /= 3
		}
		time.Sleep(pause)
	}
	wg.Wait()
	var out []string
	for name, n := range counts {
		out = append(out, fmt.Sprintf("%s %d", name, n))
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}

// clearFaults ends all faults and starts the VMs that aren't running.
func (e *environment) clearFaults() {
	e.store.SetFault(kv.Fault{})
	e.network.Heal()
	for _, v := range e.vms {
		v.signal(syscall.SIGCONT)
		v.storeProxy.SetMode(faultproxy.Pass)
		if err := v.start(e.program); err != nil {
			panic(err)
		}
	}
	for _, b := range e.backends {
		b.proxy.SetMode(faultproxy.Pass)
	}
}

// injectStoreFault injects a fault into the store for the duration d.
func (e *environment) injectStoreFault(f kv.Fault, d time.Duration) {
	e.storeUse.RLock()
	defer e.storeUse.RUnlock()
	e.store.SetFault(f)
	time.Sleep(d)
	e.store.SetFault(kv.Fault{})
}

// restoreStore brings the store back from a copy that is d old, after an outage of a quarter of d. With customers, the operator writes the
// latest configuration again an eighth of d later; until then the VMs must not apply the older one.
func (e *environment) restoreStore(d time.Duration) {
	copied := e.store.Copy()
	time.Sleep(d)
	e.storeUse.RLock()
	defer e.storeUse.RUnlock()
	e.store.SetFault(kv.Fault{Down: true})
	time.Sleep(d / 4)
	e.store.Restore(copied)
	e.store.SetFault(kv.Fault{})
	if e.customers == nil {
		return
	}
	time.Sleep(d / 8)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store.Put("op/config", e.configuration)
}

// disturb sets a random fault mode of a proxy for the duration d.
func disturb(p *faultproxy.Proxy, random *rand.Rand, d time.Duration) {
	p.SetMode([]faultproxy.Mode{faultproxy.Delay, faultproxy.Stall, faultproxy.StallResponses, faultproxy.Reset}[random.IntN(4)])
	time.Sleep(d)
	p.SetMode(faultproxy.Pass)
}
