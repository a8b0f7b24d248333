package dispatch_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// A request must not reach versions that it excludes, and those that it avoids only while no other one has capacity.
func TestVersionsThatARequestAvoids(t *testing.T) {
	type versions = []id.SoftwareVersion
	tests := map[string]struct {
		excluded, avoided versions
		keyed             bool
		// busy says that all slots of v2 and its queue are taken.
		busy bool
		// want is the version that gets the request, or empty, and reason that of the refusal.
		want   id.SoftwareVersion
		reason dispatch.Reason
	}{
		"one is excluded":                        {excluded: versions{"v1"}, want: "v2"},
		"one is excluded, the other one is busy": {excluded: versions{"v1"}, busy: true, reason: dispatch.Overloaded},
		"one is avoided":                         {avoided: versions{"v1"}, want: "v2"},
		"one is avoided, the other one is busy":  {avoided: versions{"v1"}, busy: true, want: "v1"},
		"both are avoided":                       {avoided: versions{"v2", "v1"}, busy: true, want: "v1"},
		"the owner's is avoided":                 {avoided: versions{"v1"}, keyed: true, want: "v1"},
		"the owner's is excluded":                {excluded: versions{"v1"}, keyed: true, reason: dispatch.VersionExcluded},
		"another than the owner's is excluded":   {excluded: versions{"v2"}, keyed: true, want: "v1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &pausePlayer{I: is.New(t), clock: clock.Runtime{Origin: time.Now().Add(-time.Hour)}}
				p.vm = dispatch.NewDispatcher("vm0", "east", dispatch.WithClock(p.clock))
				s := pauseServers(2, 1, test.keyed)
				for name, version := range map[id.Server]id.SoftwareVersion{"s0": "v1", "s1": "v2"} {
					server := s.Servers[name]
					server.Version = version
					s.Servers[name] = server
				}
				p.vm.Update(s)
				p.Equal(len(p.vm.Versions(s.Servers["s0"].Service)), 2)
				demand := p.demand(test.keyed)
				demand.ExcludedVersions = versions{"v1"}
				for n := 0; test.busy && n <= slots; n++ {
					_, err := p.vm.Acquire(context.Background(), demand)
					p.NoErr(err)
				}
				demand.ExcludedVersions, demand.AvoidedVersions = test.excluded, test.avoided
				slot, err := p.vm.Acquire(context.Background(), demand)
				var r *dispatch.Refusal
				if errors.As(err, &r) {
					p.Equal(r.Reason, test.reason)
				} else {
					p.Equal(slot.Server.Version, test.want)
				}
			})
		})
	}
}
