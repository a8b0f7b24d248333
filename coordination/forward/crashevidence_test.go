package forward_test

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/fleet"
)

// allVMs returns the numbers of all VMs.
func allVMs(_, vms int) (all []int) {
	for i := range vms {
		all = append(all, i)
	}
	return all
}

// playCrashes repeats the crashing request and checks the number of late crashes.
func playCrashes(t *testing.T, test crashCase) (f *crashFleet) {
	t.Helper()
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		f = newCrashFleet(test)
		f.repeatCrashingRequest(24)
	})
	t.Logf("crashes: %d, late ones: %d", len(f.crashes), f.lateCrashes())
	is.True(len(f.crashes) >= 2)
	is.True(f.lateCrashes() <= maxLateCrashes)
	return f
}

// VMs that lose their memory between crashes must still refuse the request.
func TestCrashEvidenceSurvivesRestarts(t *testing.T) {
	everyThird := func(crash, vms int) []int {
		if crash%3 > 0 {
			return nil
		}
		return allVMs(crash, vms)
	}
	tests := map[string]crashCase{
		"all VMs after each crash":                      {idempotent: true, restart: allVMs},
		"all VMs after each crash, keyed":               {idempotent: true, restart: allVMs, keyed: true, bystanders: 3},
		"all VMs after each crash, others beside it":    {idempotent: true, restart: allVMs, bystanders: 6},
		"all VMs after each crash, at three VMs":        {idempotent: true, restart: allVMs, concurrent: 3},
		"all VMs after each third crash":                {idempotent: true, restart: everyThird},
		"all VMs after each third crash, not retried":   {restart: everyThird, sameName: true},
		"the leader after each crash":                   {idempotent: true, restart: func(int, int) []int { return []int{0} }},
		"all but the leader after each crash":           {idempotent: true, restart: func(int, int) []int { return []int{1, 2, 3} }},
		"all VMs after each third crash, no leader":     {idempotent: true, restart: everyThird, withoutLeader: true},
		"all VMs in turn":                               {idempotent: true, restart: func(crash, vms int) []int { return []int{crash % vms} }},
		"all VMs in turn, messages are lost for a time": {idempotent: true, restart: func(crash, vms int) []int { return []int{crash % vms} }, lostMessages: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { playCrashes(t, test) })
	}
}

// What one VM alone has seen of a crash must reach the others, however long they don't hear it.
func TestCrashEvidenceReachesAllVMs(t *testing.T) {
	tests := map[string]crashCase{
		"the first ten messages of each VM are lost":              {idempotent: true, lostMessages: 10},
		"the first ten messages are lost, not retried":            {lostMessages: 10},
		"the first ten messages are lost, keyed":                  {idempotent: true, lostMessages: 10, keyed: true},
		"no messages for 2.5 s after each crash":                  {idempotent: true, cutFor: 2500 * time.Millisecond},
		"no messages for 2.5 s after each crash, not retried":     {cutFor: 2500 * time.Millisecond},
		"no messages for 8 s after each crash":                    {idempotent: true, cutFor: 8 * time.Second},
		"cut off from all for 2.5 s after each crash":             {idempotent: true, cutFor: 2500 * time.Millisecond, isStoreCut: true},
		"cut off for 2.5 s, the store refuses all but the leader": {idempotent: true, cutFor: 2500 * time.Millisecond, refusesOthers: true},
		"no messages at all":                                      {idempotent: true, lostMessages: math.MaxInt},
		"no messages at all, not retried":                         {lostMessages: math.MaxInt},
		"no messages at all, no leader":                           {idempotent: true, lostMessages: math.MaxInt, withoutLeader: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { playCrashes(t, test) })
	}
}

// A request that ends well on one version of a service must not be sent again and again to the version that it crashes.
func TestVersionThatCrashesGetsNoMoreRequests(t *testing.T) {
	tests := map[string]crashCase{
		"the key moves between versions":   {idempotent: true, versions: 2, keyed: true, moves: true},
		"not retried":                      {versions: 2, keyed: true, moves: true},
		"not keyed":                        {idempotent: true, versions: 2},
		"not keyed, one version of four":   {versions: 4},
		"all VMs restart after each crash": {idempotent: true, versions: 2, keyed: true, moves: true, restart: allVMs},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			refused := map[string]*outcome.Error{}
			var f *crashFleet
			synctest.Test(t, func(*testing.T) {
				f = newCrashFleet(test)
				f.repeatCrashingRequest(24)
				if test.keyed {
					f.moveKey(f.snapshot.ByService[service], true)
					f.publish()
				}
				for i, v := range f.vms {
					if served, err := f.request(v, crashTarget); !served {
						refused[fmt.Sprint("vm", i)] = err
					}
				}
			})
			t.Logf("crashes: %d, late ones: %d", len(f.crashes), f.lateCrashes())
			is.True(f.lateCrashes() <= maxLateCrashes)
			// The other version goes on serving it.
			is.Equal(refused, map[string]*outcome.Error{})
		})
	}
}

// A silent backend server whose entry stays for an outage of the store must count as crashed by what it left unanswered.
func TestCrashesFoundLateHaveSuspects(t *testing.T) {
	tests := map[string]crashCase{
		"not retried": {silent: true, removalTime: 9 * time.Second},
		"retried":     {silent: true, idempotent: true, removalTime: 9 * time.Second},
		"keyed":       {silent: true, idempotent: true, removalTime: 9 * time.Second, keyed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { playCrashes(t, test) })
	}
}

// An attempt that a VM gives up since its own links hang was in flight all the same, and may be what crashed the backend server.
func TestAbandonedAttemptsAreSuspects(t *testing.T) {
	tests := map[string]struct {
		failure forward.Failure
		want    bool
	}{
		"abandoned":  {failure: forward.Failure{Sent: true, Abandoned: true, Cause: errors.New("the links of this VM hang")}, want: true},
		"broken":     {failure: forward.Failure{Sent: true, Cause: errors.New("connection reset")}, want: true},
		"never sent": {failure: forward.Failure{Cause: errors.New("i/o timeout")}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			suspects := 0
			synctest.Test(t, func(*testing.T) {
				f := newCrashFleet(crashCase{})
				v := f.vm(0)
				var server fleet.Server
				v.forwarder = forward.NewForwarder(v.dispatcher, forward.WithClock(f.clock), forward.WithCrashes(v.ledger), forward.WithSend(
					func(_ context.Context, a forward.Attempt) (*forward.Reply, *forward.Failure) {
						server = a.Slot.Server
						return nil, &test.failure
					}))
				f.start(v, crashTarget)
				v.forwarder.RecordCrash(server)
				f.stopAll()
				suspects = v.ledger.Stats(f.clock.Boot()).Suspects
			})
			is.Equal(suspects > 0, test.want)
		})
	}
}

// loseRack crashes half of the backend servers at once, for a reason that has nothing to do with requests.
func (f *crashFleet) loseRack() {
	f.mu.Lock()
	var lost []*crashServer
	for i, name := range slices.Sorted(maps.Keys(f.servers)) {
		if i%2 == 0 {
			lost = append(lost, f.servers[name])
		}
	}
	f.mu.Unlock()
	for _, s := range lost {
		f.crash(s)
	}
}

// Requests that were under way when many backend servers were lost at once must be served when their callers repeat them.
func TestRequestsBesideALostRackAreServed(t *testing.T) {
	tests := map[string]crashCase{
		"retried":     {idempotent: true},
		"not retried": {},
		"silent":      {idempotent: true, silent: true},
	}
	const unique = 30
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			refused := map[string]string{}
			synctest.Test(t, func(*testing.T) {
				f := newCrashFleet(test)
				for i := range 200 {
					go f.start(f.vm(i), "/popular")
					if i < unique {
						go f.start(f.vm(i), fmt.Sprint("/unique", i))
					}
					if i == unique {
						f.loseRack()
					}
					time.Sleep(2 * time.Millisecond)
				}
				time.Sleep(3 * time.Second)
				for i, v := range f.vms {
					for n := range unique {
						if _, err := f.request(v, fmt.Sprint("/unique", n)); err != nil && err.Reason == outcome.NoServer {
							refused[fmt.Sprint("unique", n)] = err.Error()
						}
					}
					if _, err := f.request(v, "/popular"); err != nil {
						refused[fmt.Sprint("popular at vm", i)] = err.Error()
					}
				}
				f.stopAll()
			})
			is.Equal(refused, map[string]string{})
		})
	}
}
