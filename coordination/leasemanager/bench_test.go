package leasemanager_test

import (
	"fmt"
	"testing"

	"github.com/hickorylug/hickorylug/state/id"
)

// BenchmarkTick gives the processor time of a VM's lease side by the number of leases it holds.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("leases=%d", n), func(b *testing.B) {
			s := newSite(six()...)
			s.groups = map[id.Group]id.Domain{}
			for k := range n {
				s.groups[id.Group(fmt.Sprintf("g%d", k))] = "east"
			}
			s.leaving["b"] = true // so that a holds all of them
			quiet := &testing.T{}
			for range 200 {
				s.step(quiet)
			}
			if len(s.keepers["a"].Held()) != n {
				b.Fatalf("a holds %d leases", len(s.keepers["a"].Held()))
			}
			scene := s.scene("a")
			b.ReportAllocs()
			for b.Loop() {
				for _, a := range s.keepers["a"].Tick(s.now, scene) {
					s.perform("a", a)
				}
				s.now = s.now.Add(tick)
			}
		})
	}
}
