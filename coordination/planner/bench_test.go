package planner_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hickorylug/hickorylug/coordination/planner"
	"github.com/hickorylug/hickorylug/state/table"
)

// BenchmarkPlan measures the time of a plan after the loss of an owner and the encoded size of the table, by the number
// of slices and owners.
func BenchmarkPlan(b *testing.B) {
	for _, slices := range []int{1024, 8192, 65536} {
		for _, servers := range []int{10, 100} {
			b.Run(fmt.Sprintf("slices=%d/owners=%d", slices, servers), func(b *testing.B) {
				rng := rand.New(rand.NewPCG(1, 1))
				current := table.New("s", slices)
				for k := range current.Slices {
					current.Slices[k] = table.Entry{Owner: current.EnsureOwner(owners(servers)[k%servers].Name), Next: -1}
				}
				load := planner.Load{Slices: make([]float64, slices)}
				for k := range load.Slices {
					load.Slices[k] = rng.ExpFloat64() * 100
				}
				o := owners(servers)
				o[0].Eligible = false // a backend server is lost
				document, err := json.Marshal(current)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportAllocs()
				for b.Loop() {
					planner.Plan(current, o, load)
				}
				b.ReportMetric(float64(len(document))/float64(slices), "store-B/slice")
			})
		}
	}
}
