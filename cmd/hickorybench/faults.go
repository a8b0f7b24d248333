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

// fault is something that goes wrong during a demonstration.
type fault struct {
	help string
	run  func(ctx context.Context, x *experiment) error
}

// outageTime is the length of an outage or a freeze.
const outageTime = 2 * time.Second

var faults = map[string]fault{
	"vm-loss":      {"an entry VM that holds leases dies", loseVM},
	"vm-stop":      {"an entry VM is stopped gracefully and replaced", stopVM},
	"server-loss":  {"a backend server that owns keys dies and comes back cold", loseServer},
	"freeze":       {"a backend server freezes and returns as if nothing had happened", freezeServer},
	"slow-servers": {"one backend server in ten takes ten times as long", slowServers},
	"domain-out":   {"operators take a failure domain out and bring it back", domainOut},
	"store-outage": {"the store is out while an entry VM runs on", storeOutage},
	"poison":       {"a request crashes each backend server that runs it", poisonRequest},
}

// experiment is a running demonstration.
type experiment struct {
	d    *deployment
	load *load
	rng  *rand.Rand
	outs map[id.Domain]time.Time
	// say tells the progress.
	say func(format string, args ...any)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// holder returns a live VM that holds leases.
func (x *experiment) holder() *entry {
	live := x.d.live()
	x.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	slices.SortStableFunc(live, func(a, b *entry) int {
		return len(b.vm.Status().Holds) - len(a.vm.Status().Holds)
	})
	if len(live) == 0 {
		return nil
	}
	return live[0]
}

func loseVM(ctx context.Context, x *experiment) error {
	e := x.holder()
	if e == nil {
		return nil
	}
	x.say("entry VM %s dies; it holds %v", e.name, e.vm.Status().Holds)
	x.d.kill(e)
	pause(ctx, outageTime)
	x.say("entry VM %s is started anew", e.name)
	return x.d.run(context.WithoutCancel(ctx), e)
}

func stopVM(ctx context.Context, x *experiment) error {
	e := x.holder()
	if e == nil {
		return nil
	}
	x.say("entry VM %s is stopped gracefully; it holds %v", e.name, e.vm.Status().Holds)
	e.planned.Store(true)
	e.stop()
	err := <-e.done
	e.dead.Store(true)
	if err != nil {
		return err
	}
	x.say("entry VM %s is replaced", e.name)
	return x.d.run(context.WithoutCancel(ctx), e)
}

// keyedServer returns a backend server of the service that is divided by key.
func (x *experiment) keyedServer() id.Server {
	for _, s := range x.d.plan.Services {
		if s.Keyed {
			return site.ServerName(s.Name, x.rng.IntN(s.Servers))
		}
	}
	return ""
}

func loseServer(ctx context.Context, x *experiment) error {
	s := x.d.servers[x.keyedServer()]
	x.say("backend server %s dies", s.Name())
	address := s.Address()
	s.Kill()
	pause(ctx, outageTime)
	x.say("backend server %s is started anew, cold", s.Name())
	_, err := s.Start(address)
	return err
}

func freezeServer(ctx context.Context, x *experiment) error {
	s := x.d.servers[x.keyedServer()]
	x.say("backend server %s freezes", s.Name())
	thaw := s.Pause()
	pause(ctx, outageTime)
	x.say("backend server %s goes on", s.Name())
	thaw()
	return nil
}

func slowServers(ctx context.Context, x *experiment) error {
	const slowness, share = 10, 10
	for _, s := range x.d.plan.Services {
		for n := 0; n < s.Servers; n += share {
			x.say("backend server %s becomes %d times slower", site.ServerName(s.Name, n), slowness)
			x.d.servers[site.ServerName(s.Name, n)].SetServiceTimeFactor(slowness)
		}
	}
	pause(ctx, outageTime)
	for _, s := range x.d.servers {
		s.SetServiceTimeFactor(1)
	}
	return nil
}

func domainOut(ctx context.Context, x *experiment) error {
	domain := x.d.plan.Domains[0]
	set := func(out bool, change string) error {
		x.d.mu.Lock()
		c := x.d.config.FailureDomains[domain]
		c.Out = out
		x.d.config.FailureDomains[domain] = c
		x.d.mu.Unlock()
		return x.d.accept(context.WithoutCancel(ctx), change)
	}
	x.say("failure domain %s is taken out", domain)
	if err := set(true, "out"); err != nil {
		return err
	}
	outAt := time.Now()
	pause(ctx, 2*graceAfterOut)
	x.d.settleOut(domain, outAt, x)
	x.say("failure domain %s comes back", domain)
	return set(false, "in")
}

// settleOut judges the time for which a failure domain was out, since it gets work again afterwards.
func (d *deployment) settleOut(domain id.Domain, outAt time.Time, x *experiment) {
	late := 0
	for _, run := range d.journal.Runs() {
		if run.Domain == domain && run.Start.Sub(outAt) > graceAfterOut {
			late++
		}
	}
	x.outs[domain] = outAt
	d.observed.mu.Lock()
	defer d.observed.mu.Unlock()
	d.observed.late += late
}

func storeOutage(ctx context.Context, x *experiment) error {
	x.say("the store is out")
	x.d.platform.SetFaults(platform.Faults{Outage: true})
	pause(ctx, outageTime)
	x.say("the store is back")
	x.d.platform.SetFaults(platform.Faults{})
	return nil
}

func poisonRequest(ctx context.Context, x *experiment) error {
	const tries = 4
	x.say("a request that crashes backend servers is sent %d times", tries)
	for range tries {
		verdict := x.load.poison(ctx)
		x.say("the request that crashes: %s", verdict)
		pause(ctx, resendPause)
	}
	dead := 0
	for _, s := range x.d.servers {
		if s.IsKilled() {
			dead++
			if _, err := s.Start(s.Address()); err != nil {
				return fmt.Errorf("restart %s: %w", s.Name(), err)
			}
		}
	}
	x.say("%d backend servers died and are started anew", dead)
	x.d.observed.mu.Lock()
	defer x.d.observed.mu.Unlock()
	x.d.observed.deaths += dead
	return nil
}
