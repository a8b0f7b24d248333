package ownership_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/fleet"
)

// The requests for a hot key must be limited to what its owner can serve besides its other keys.
func TestAdmissions(t *testing.T) {
	a, b := incarnation("a"), incarnation("b")
	table := &fleet.Table{Service: service, Fence: 2, Ranges: []fleet.Range{{From: 0, To: 99, Owner: a, Fence: 1}, {From: 100, To: 199, Owner: b, Fence: 2}}}
	candidates := []ownership.Candidate{{Incarnation: a, Eligible: true, Warm: true, Capacity: 10}, {Incarnation: b, Eligible: true, Warm: true, Capacity: 10}}
	spread := func(rate float64, from, to fleet.Key) ownership.Load {
		l := ownership.Load{}
		for k := from; k <= to; k++ {
			l[k] = rate / float64(to-from+1)
		}
		return l
	}
	with := func(l ownership.Load, key fleet.Key, rate float64) ownership.Load {
		l[key] = rate
		return l
	}
	tests := map[string]struct {
		load ownership.Load
		want []ownership.Admission
	}{
		"no load":                         {load: ownership.Load{}},
		"within the capacity":             {load: spread(10, 0, 99)},
		"one hot key":                     {load: with(ownership.Load{}, 5, 100), want: []ownership.Admission{{From: 5, To: 5, Fence: 1, Share: 0.09}}},
		"a hot key beside others":         {load: with(spread(5, 100, 199), 150, 54.95), want: []ownership.Admission{{From: 150, To: 150, Fence: 2, Share: 0.0735}}},
		"adjacent hot keys":               {load: with(with(ownership.Load{}, 5, 10), 6, 10), want: []ownership.Admission{{From: 5, To: 6, Fence: 1, Share: 0.45}}},
		"too much load without a hot key": {load: spread(20, 0, 99), want: []ownership.Admission{{From: 0, To: 99, Fence: 1, Share: 0.45}}},
		"a share is never 0":              {load: with(ownership.Load{}, 5, 1e9), want: []ownership.Admission{{From: 5, To: 5, Fence: 1, Share: 0.01}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := ownership.Admissions(table, candidates, test.load)
			is.Equal(len(got), len(test.want))
			for i, w := range test.want {
				is.True(math.Abs(got[i].Share-w.Share) < 0.001)
				got[i].Share = w.Share
				is.Equal(got[i], w)
			}
		})
	}
}
