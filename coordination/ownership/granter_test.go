package ownership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
)

func TestDueForMovingKeys(t *testing.T) {
	const began = clock.Instant(time.Hour)
	a, b := life("a"), life("b")
	none := func(fleet.Life) bool { return false }
	table := &fleet.Table{Service: service, Fence: 2, Ranges: []fleet.Range{{From: 0, To: 9, Owner: b, Fence: 2, Before: &a, BeforeFence: 1}}}
	tests := map[string]struct {
		after time.Duration
		lives ownership.Lives
		want  fleet.Life
	}{
		"the former owner is asked first":           {lives: ownership.Lives{Dead: none, Suspended: none}, want: a},
		"its hold may last":                         {after: ownership.HoldTime, lives: ownership.Lives{Dead: none, Suspended: none}, want: a},
		"its hold is over":                          {after: 2 * ownership.HoldTime, lives: ownership.Lives{Dead: none, Suspended: none}, want: b},
		"a leader that is alone doesn't go by time": {after: 2 * ownership.HoldTime, lives: ownership.Lives{Dead: none, Suspended: none, Isolated: true}, want: a},
		"its life is over":                          {lives: ownership.Lives{Dead: func(l fleet.Life) bool { return l == a }, Suspended: none}, want: b},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := ownership.NewGranter(began)
			first := g.Due(began, table, ownership.Lives{Dead: none, Suspended: none})
			is.Equal(len(first), 1)
			g.Report(began, first[0], ownership.Unanswered, "")
			orders := g.Due(began.Add(max(test.after, time.Second)), table, test.lives)
			is.Equal(len(orders), 1)
			is.Equal(orders[0].Life, test.want)
			is.Equal(orders[0].Release, test.want == a)
		})
	}
}

// A range gets a new fence when it is joined with its neighbour; its owner still holds the keys under the old one.
func TestNewFenceDoesNotShortenTheWait(t *testing.T) {
	const began = clock.Instant(time.Hour)
	a, b := life("a"), life("b")
	suspendsA := ownership.Lives{Dead: func(fleet.Life) bool { return false }, Suspended: func(l fleet.Life) bool { return l == a }}
	serves := ownership.Lives{Dead: suspendsA.Dead, Suspended: func(fleet.Life) bool { return false }}
	is := is.New(t)
	g := ownership.NewGranter(began)

	granted := began.Add(time.Minute)
	for _, o := range g.Due(granted, &fleet.Table{Service: service, Fence: 1, Ranges: []fleet.Range{{From: 0, To: 9, Owner: a, Fence: 1}}}, serves) {
		g.Report(granted, o, ownership.Done, "")
	}
	joined := granted.Add(100 * time.Millisecond)
	orders := g.Due(joined, &fleet.Table{Service: service, Fence: 2, Ranges: []fleet.Range{{From: 0, To: 9, Owner: a, Fence: 2}}}, suspendsA)
	is.Equal(len(orders), 0) // a backend server that refuses connections gets no grants

	moved := &fleet.Table{Service: service, Fence: 3, Ranges: []fleet.Range{{From: 0, To: 9, Owner: b, Fence: 3, Before: &a, BeforeFence: 2}}}
	for at := joined; at < granted.Add(ownership.HoldTime); at = at.Add(200 * time.Millisecond) {
		for _, o := range g.Due(at, moved, suspendsA) {
			is.Equal(o.Life, a) // the first owner's hold lasts
			g.Report(at, o, ownership.Unanswered, "")
		}
	}
}
