package customers_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/protocol/customers"
	"github.com/hickorylug/hickorylug/protocol/outcome"
)

// A complaint about 429 is judged by Limited against Admitted, so a request refused for another reason must not count as limited, and one
// refused for its form not as admitted.
func TestCounts(t *testing.T) {
	tests := map[string]struct {
		refusal *outcome.Error
		want    customers.Counts
	}{
		"served":     {want: customers.Counts{Requests: 1, Admitted: 1, Served: 1}},
		"limited":    {refusal: outcome.NotRun(outcome.AllotmentExhausted, ""), want: customers.Counts{Requests: 1, Limited: 1}},
		"overloaded": {refusal: outcome.NotRun(outcome.Overloaded, ""), want: customers.Counts{Requests: 1, Admitted: 1, Refused: map[outcome.Reason]uint64{outcome.Overloaded: 1}}},
		"no key":     {refusal: outcome.NotRun(outcome.NoKey, ""), want: customers.Counts{Requests: 1, Refused: map[outcome.Reason]uint64{outcome.NoKey: 1}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got, sum customers.Counts
			got.Observe(test.refusal)
			is.Equal(got, test.want)
			sum.Add(&got)
			sum.Add(&got)
			is.Equal(sum.Requests, 2*test.want.Requests)
			is.Equal(sum.Limited, 2*test.want.Limited)
			for reason, n := range test.want.Refused {
				is.Equal(sum.Refused[reason], 2*n)
			}
		})
	}
}
