package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/standin/platform"
	"github.com/hickorylug/hickorylug/standin/site"
	"github.com/hickorylug/hickorylug/state/id"
)

// fault is a fault that a demonstration can inject.
type fault struct {
	help string
	// inject starts the fault, waits for its duration and ends it.
	inject func(ctx context.Context, x *experiment) error
}

// faultDuration is the time until a fault ends, for example an outage or the pause of a process.
const faultDuration = 2 * time.Second

var faults = map[string]fault{
	"vm-loss":      {"the process of an entry VM that holds leases crashes and is restarted", crashVM},
	"vm-stop":      {"an entry VM shuts down gracefully and is replaced", stopVM},
	"server-loss":  {"a backend server that owns keys crashes and restarts cold", crashServer},
	"freeze":       {"the process of a backend server is paused and then resumes with its old state", pauseServer},
	"slow-servers": {"one backend server in ten has ten times the service time", slowDownServers},
	"domain-out":   {"operators take a failure domain out of service and bring it back", takeDomainOut},
	"store-outage": {"the store is unavailable while the entry VMs keep running", injectStoreOutage},
	"poison":       {"a poison request crashes each backend server that runs it", sendPoisonRequests},
}

// experiment is a running demonstration.
type experiment struct {
	d    *deployment
	load *loadGenerator
	rng  *rand.Rand
	// takenOutAt maps each failure domain that was taken out to the time when this was done.
	takenOutAt map[id.Domain]time.Time
	// logProgress writes a progress line for the user.
	logProgress func(format string, args ...any)
}

// sleepContext sleeps for d or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// leaseHolder returns the ready entry VM with the most leases, a random one among equals, or nil if no VM is ready.
func (x *experiment) leaseHolder() *entryVM {
	vms := x.d.readyVMs()
	x.rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	slices.SortStableFunc(vms, func(a, b *entryVM) int {
		return len(b.vm.Status().Holds) - len(a.vm.Status().Holds)
	})
	if len(vms) == 0 {
		return nil
	}
	return vms[0]
}

func crashVM(ctx context.Context, x *experiment) error {
	e := x.leaseHolder()
	if e == nil {
		return nil
	}
	x.logProgress("entry VM %s crashes; it holds the leases of %v", e.name, e.vm.Status().Holds)
	x.d.kill(e)
	sleepContext(ctx, faultDuration)
	x.logProgress("entry VM %s restarts", e.name)
	return x.d.startVM(context.WithoutCancel(ctx), e)
}

func stopVM(ctx context.Context, x *experiment) error {
	e := x.leaseHolder()
	if e == nil {
		return nil
	}
	x.logProgress("entry VM %s shuts down gracefully; it holds the leases of %v", e.name, e.vm.Status().Holds)
	e.gracefulStop.Store(true)
	e.stop()
	err := <-e.done
	e.stopped.Store(true)
	if err != nil {
		return err
	}
	x.logProgress("entry VM %s is replaced", e.name)
	return x.d.startVM(context.WithoutCancel(ctx), e)
}

// randomKeyedServer returns a random backend server of the first service that is sharded by key.
func (x *experiment) randomKeyedServer() id.Server {
	for _, s := range x.d.plan.Services {
		if s.Keyed {
			return site.ServerName(s.Name, x.rng.IntN(s.Servers))
		}
	}
	return ""
}

func crashServer(ctx context.Context, x *experiment) error {
	s := x.d.servers[x.randomKeyedServer()]
	x.logProgress("backend server %s crashes", s.Name())
	address := s.Address()
	s.Kill()
	sleepContext(ctx, faultDuration)
	x.logProgress("backend server %s restarts cold", s.Name())
	_, err := s.Start(address)
	return err
}

func pauseServer(ctx context.Context, x *experiment) error {
	s := x.d.servers[x.randomKeyedServer()]
	x.logProgress("backend server %s is paused", s.Name())
	resume := s.Pause()
	sleepContext(ctx, faultDuration)
	x.logProgress("backend server %s resumes", s.Name())
	resume()
	return nil
}

func slowDownServers(ctx context.Context, x *experiment) error {
	const factor, stride = 10, 10
	for _, s := range x.d.plan.Services {
		for n := 0; n < s.Servers; n += stride {
			x.logProgress("backend server %s has %d times its usual service time", site.ServerName(s.Name, n), factor)
			x.d.servers[site.ServerName(s.Name, n)].SetServiceTimeFactor(factor)
		}
	}
	sleepContext(ctx, faultDuration)
	for _, s := range x.d.servers {
		s.SetServiceTimeFactor(1)
	}
	return nil
}

func takeDomainOut(ctx context.Context, x *experiment) error {
	domain := x.d.plan.Domains[0]
	setOut := func(out bool, change string) error {
		x.d.mu.Lock()
		c := x.d.config.FailureDomains[domain]
		c.Out = out
		x.d.config.FailureDomains[domain] = c
		x.d.mu.Unlock()
		return x.d.applyConfig(context.WithoutCancel(ctx), change)
	}
	x.logProgress("failure domain %s is taken out of service", domain)
	if err := setOut(true, "out"); err != nil {
		return err
	}
	takenOutAt := time.Now()
	sleepContext(ctx, 2*drainGrace)
	x.d.countRequestsAfterOut(domain, takenOutAt, x)
	x.logProgress("failure domain %s is brought back into service", domain)
	return setOut(false, "in")
}

// countRequestsAfterOut counts the requests that started in a failure domain more than drainGrace after it was taken out.
//
// Call it before the domain is brought back, because the domain then gets requests again.
func (d *deployment) countRequestsAfterOut(domain id.Domain, takenOutAt time.Time, x *experiment) {
	count := 0
	for _, run := range d.journal.Runs() {
		if run.Domain == domain && run.Start.Sub(takenOutAt) > drainGrace {
			count++
		}
	}
	x.takenOutAt[domain] = takenOutAt
	d.observations.mu.Lock()
	defer d.observations.mu.Unlock()
	d.observations.requestsAfterOut += count
}

func injectStoreOutage(ctx context.Context, x *experiment) error {
	x.logProgress("the store is unavailable")
	x.d.platform.SetFaults(platform.Faults{Outage: true})
	sleepContext(ctx, faultDuration)
	x.logProgress("the store is available again")
	x.d.platform.SetFaults(platform.Faults{})
	return nil
}

func sendPoisonRequests(ctx context.Context, x *experiment) error {
	const attempts = 4
	x.logProgress("a poison request, which crashes backend servers, is sent %d times", attempts)
	for range attempts {
		response := x.load.sendPoison(ctx)
		x.logProgress("response to the poison request: %s", response)
		sleepContext(ctx, retryDelay)
	}
	crashed := 0
	for _, s := range x.d.servers {
		if s.IsKilled() {
			crashed++
			if _, err := s.Start(s.Address()); err != nil {
				return fmt.Errorf("restart %s: %w", s.Name(), err)
			}
		}
	}
	x.logProgress("%d backend servers crashed and were restarted", crashed)
	x.d.observations.mu.Lock()
	defer x.d.observations.mu.Unlock()
	x.d.observations.crashes += crashed
	return nil
}
