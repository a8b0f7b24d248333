package leasemanager_test

import (
	"fmt"
	"testing"

	"github.com/hickorylug/hickorylug/state/id"
)

// BenchmarkTick measures the processor time of a VM's lease manager by the number of leases that it holds.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("leases=%d", n), func(b *testing.B) {
			s := newSite(sixVMs()...)
			s.groups = map[id.Group]id.Domain{}
			for k := range n {
				s.groups[id.Group(fmt.Sprintf("g%d", k))] = "east"
			}
			s.leaving["b"] = true   // a acquires all leases
			ignored := &testing.T{} // step needs one
			for range 200 {
				s.step(ignored)
			}
			if len(s.managers["a"].Held()) != n {
				b.Fatalf("a holds %d leases", len(s.managers["a"].Held()))
			}
			snapshot := s.snapshot("a")
			b.ReportAllocs()
			for b.Loop() {
				for _, a := range s.managers["a"].Tick(s.now, snapshot) {
					s.perform("a", a)
				}
				s.now = s.now.Add(tick)
			}
		})
	}
}
