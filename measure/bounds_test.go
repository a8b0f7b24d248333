package measure_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorylug/hickorylug/measure"
	"github.com/hickorylug/hickorylug/standin/site"
)

// Bounds that the users have stated.
const (
	servedAgain = time.Second // a key is served again within 1 s of a loss
	// balanceWithoutKeys is the peak over the mean of work a server without keys.
	balanceWithoutKeys = 1.1
)

// TestBounds holds the cases whose targets are met against them; docs/MEASURES.md lists those that are not.
func TestBounds(t *testing.T) {
	if testing.Short() {
		t.Skip("virtual minutes of load")
	}
	tests := map[string]func(t *testing.T, r measure.Result){
		"steady": func(t *testing.T, r measure.Result) {
			if r.Imbalance > balanceWithoutKeys {
				t.Errorf("imbalance without keys is %.2f", r.Imbalance)
			}
		},
		"server-loss": func(t *testing.T, r measure.Result) {
			if r.Unavailable > servedAgain {
				t.Errorf("a key was without service for %s", r.Unavailable)
			}
		},
		"domain-out": func(t *testing.T, r measure.Result) {
			if r.Unknown > 0 {
				t.Errorf("%d unknown outcomes", r.Unknown)
			}
		},
		"poison": func(*testing.T, measure.Result) {},
	}
	for name, check := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, err := measure.Run(measure.Case{Site: site.Ardlarach(), Name: name, Policy: "default", Seed: *seed})
				if err != nil {
					t.Fatal(err)
				}
				if r.Violations() > 0 {
					t.Errorf("%d violations: %+v", r.Violations(), r)
				}
				check(t, r)
			})
		})
	}
}
