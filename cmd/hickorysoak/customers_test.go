package main

import (
	"testing"
	"time"
)

// boundAt returns the bound of the window that begins at a time.
func boundAt(periods []period, at time.Time) (bound float64) {
	for _, p := range periods {
		if !at.Before(p.begin) && at.Before(p.end) {
			bound = p.bound
		}
	}
	return bound
}

// A bound that is too low for a window reports allotments that weren't exceeded; one that is too high hides those that were.
func TestPeriods(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	low, middle, high := limit{rate: 10, burst: 1}, limit{rate: 20, burst: 2}, limit{rate: 40, burst: 4}
	history := func(limits ...limit) *customer {
		for n := range limits[1:] {
			limits[n+1].at = at(10 * float64(n+1))
		}
		return &customer{limits: limits}
	}
	tests := map[string]struct {
		customer *customer
		// bounds holds the limit that bounds the window beginning at a number of seconds after the start.
		bounds map[float64]limit
	}{
		"no change": {customer: history(middle), bounds: map[float64]limit{-100: middle, 0: middle, 100: middle}},
		"lowered":   {customer: history(high, low), bounds: map[float64]limit{0: high, 9: high, 12.4: high, 12.6: low, 100: low}},
		"raised":    {customer: history(low, high), bounds: map[float64]limit{0: low, 4.9: low, 5.1: high, 100: high}},
		"lowered and raised": {
			customer: history(high, low, middle),
			bounds:   map[float64]limit{0: high, 12.4: high, 12.6: low, 14.9: low, 15.1: middle, 100: middle},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			periods := test.customer.periods()
			for seconds, want := range test.bounds {
				if got := boundAt(periods, at(seconds)); got != want.bound() {
					t.Errorf("window from %.1f s: bound %.1f, want %.1f", seconds, got, want.bound())
				}
			}
		})
	}
	if got := (&customer{limits: []limit{{}}}).periods(); got != nil {
		t.Errorf("a customer without a limit has the bounds %v", got)
	}
}

// What counts as a violation must follow the times at which the store accepted a key's issue and revocation.
func TestKeyViolations(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	revoked := func(d time.Duration) *apiKey { return &apiKey{isWithdrawn: true, revokedAt: ago(d)} }
	tests := map[string]struct {
		identity identity
		status   int
		violated bool
	}{
		"valid key served":                {identity{key: &apiKey{}}, 200, false},
		"valid key refused":               {identity{key: &apiKey{}}, 401, true},
		"new key refused":                 {identity{key: &apiKey{issuedAt: ago(time.Second)}}, 401, false},
		"key refused long after its time": {identity{key: &apiKey{issuedAt: ago(3 * time.Second)}}, 401, true},
		"wrong key served":                {identity{key: &apiKey{}, isWrong: true}, 200, true},
		"wrong key refused":               {identity{key: &apiKey{}, isWrong: true}, 401, false},
		"revoked key served at first":     {identity{key: revoked(time.Second)}, 200, false},
		"revoked key served later":        {identity{key: revoked(3 * time.Second)}, 200, true},
		"revoked key refused":             {identity{key: revoked(3 * time.Second)}, 401, false},
		"key during its revocation":       {identity{key: &apiKey{isWithdrawn: true}}, 401, false},
		"public route":                    {identity{isPublic: true}, 200, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.identity.sentAt = now
			if got := newCustomerBook().violation(test.identity, test.status); (got != "") != test.violated {
				t.Errorf("violation %q", got)
			}
		})
	}
}
