package measure_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorylug/hickorylug/measure"
	"github.com/hickorylug/hickorylug/standin/site"
)

var seed = flag.Uint64("seed", defaultSeed(), "seed of the measurements")

func defaultSeed() uint64 {
	if v, err := strconv.ParseUint(os.Getenv("HICKORY_SEED"), 10, 64); err == nil {
		return v
	}
	return 1
}

// run measures a case in a bubble of virtual time, which only a test can make.
func run(b testing.TB, c measure.Case) (r measure.Result) {
	b.Helper()
	ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: c.Name,
		F: func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var err error
				if r, err = measure.Run(c); err != nil {
					t.Error(err)
				}
			})
		},
	}})
	if !ok {
		b.Fatal("the measurement failed")
	}
	return r
}

func BenchmarkMeasure(b *testing.B) {
	for _, plan := range []site.Plan{site.Noor(), site.Ardlarach()} {
		for _, name := range measure.Cases {
			for _, policy := range measure.Policies {
				if policy != "default" && name != "steady" && name != "slow-servers" {
					continue
				}
				b.Run(fmt.Sprintf("site=%s/case=%s/policy=%s", plan.Site, name, policy), func(b *testing.B) {
					var r measure.Result
					for range b.N {
						r = run(b, measure.Case{Site: plan, Name: name, Policy: policy, Seed: *seed})
					}
					report(b, r)
				})
			}
		}
	}
}

func report(b *testing.B, r measure.Result) {
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	b.ReportMetric(ms(r.P50), "p50-ms")
	b.ReportMetric(ms(r.P99), "p99-ms")
	b.ReportMetric(r.Imbalance, "imbalance")
	b.ReportMetric(r.KeyedImbalance, "keyed-imbalance")
	b.ReportMetric(r.Churn, "churn")
	b.ReportMetric(ms(r.Unavailable), "unavailable-ms")
	b.ReportMetric(float64(r.Answered), "answered")
	b.ReportMetric(float64(r.Refused), "refused")
	b.ReportMetric(float64(r.Unknown), "unknown")
	b.ReportMetric(r.ExtraRuns, "extra-work")
	b.ReportMetric(float64(r.Violations()), "violations")
}
