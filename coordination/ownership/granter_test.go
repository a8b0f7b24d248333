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
	none := func(fleet.Incarnation) bool { return false }
	table := &fleet.Table{Service: service, Fence: 2, Ranges: []fleet.Range{{From: 0, To: 9, Owner: b, Fence: 2, PreviousOwner: &a, PreviousFence: 1}}}
	tests := map[string]struct {
		after time.Duration
		lives ownership.Liveness
		want  fleet.Incarnation
	}{
		"the former owner is asked first":           {lives: ownership.Liveness{IsDead: none, IsSuspended: none, IsLost: none}, want: a},
		"its hold may last":                         {after: ownership.GrantTTL, lives: ownership.Liveness{IsDead: none, IsSuspended: none, IsLost: none}, want: a},
		"its hold is over":                          {after: 2 * ownership.GrantTTL, lives: ownership.Liveness{IsDead: none, IsSuspended: none, IsLost: none}, want: b},
		"a leader that is alone doesn't go by time": {after: 2 * ownership.GrantTTL, lives: ownership.Liveness{IsDead: none, IsSuspended: none, IsLost: none, Isolated: true}, want: a},
		"its life is over":                          {lives: ownership.Liveness{IsDead: func(l fleet.Incarnation) bool { return l == a }, IsSuspended: none, IsLost: none}, want: b},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := ownership.NewGranter(began)
			first := g.Due(began, table, ownership.Liveness{IsDead: none, IsSuspended: none, IsLost: none})
			is.Equal(len(first), 1)
			g.Report(began, first[0], ownership.Unanswered, "")
			orders := g.Due(began.Add(max(test.after, time.Second)), table, test.lives)
			is.Equal(len(orders), 1)
			is.Equal(orders[0].Incarnation, test.want)
			is.Equal(orders[0].Release, test.want == a)
		})
	}
}

// A range gets a new fence when it is joined with its neighbour; its owner still holds the keys under the old one.
func TestNewFenceDoesNotShortenTheWait(t *testing.T) {
	const began = clock.Instant(time.Hour)
	a, b := life("a"), life("b")
	none := func(fleet.Incarnation) bool { return false }
	suspendsA := ownership.Liveness{IsDead: none, IsSuspended: func(l fleet.Incarnation) bool { return l == a }, IsLost: none}
	serves := ownership.Liveness{IsDead: none, IsSuspended: none, IsLost: none}
	is := is.New(t)
	g := ownership.NewGranter(began)

	granted := began.Add(time.Minute)
	for _, o := range g.Due(granted, &fleet.Table{Service: service, Fence: 1, Ranges: []fleet.Range{{From: 0, To: 9, Owner: a, Fence: 1}}}, serves) {
		g.Report(granted, o, ownership.Done, "")
	}
	joined := granted.Add(100 * time.Millisecond)
	orders := g.Due(joined, &fleet.Table{Service: service, Fence: 2, Ranges: []fleet.Range{{From: 0, To: 9, Owner: a, Fence: 2}}}, suspendsA)
	is.Equal(len(orders), 0) // a backend server that refuses connections gets no grants

	moved := &fleet.Table{Service: service, Fence: 3, Ranges: []fleet.Range{{From: 0, To: 9, Owner: b, Fence: 3, PreviousOwner: &a, PreviousFence: 2}}}
	for at := joined; at < granted.Add(ownership.GrantTTL); at = at.Add(200 * time.Millisecond) {
		for _, o := range g.Due(at, moved, suspendsA) {
			is.Equal(o.Incarnation, a) // the first owner's hold lasts
			g.Report(at, o, ownership.Unanswered, "")
		}
	}
}

// Keys that were released must not wait for a new owner that never answers.
func TestLostNewOwnerIsReplaced(t *testing.T) {
	const began = clock.Instant(time.Hour)
	a, b, c := life("a"), life("b"), life("c")
	none := func(fleet.Incarnation) bool { return false }
	lives := ownership.Liveness{IsDead: none, IsSuspended: none, IsLost: func(l fleet.Incarnation) bool { return l == b }}
	candidates := []ownership.Candidate{{Incarnation: b, Warm: true, Capacity: 40}, {Incarnation: c, Eligible: true, Warm: true, Capacity: 40}}
	table := &fleet.Table{Service: service, Fence: 2, Ranges: []fleet.Range{{From: 0, To: fleet.KeyCount - 1, Owner: b, Fence: 2, PreviousOwner: &a, PreviousFence: 1}}}
	is := is.New(t)
	g := ownership.NewGranter(began)
	var lastToB, firstToC clock.Instant
	for now := began; now < began.Add(10*time.Second) && firstToC == 0; now = now.Add(50 * time.Millisecond) {
		if next, moved, settled := g.Revise(table, candidates, nil); moved || settled {
			table = next
		}
		for _, o := range g.Due(now, table, lives) {
			switch {
			case o.Incarnation == c:
				firstToC = now
				g.Report(now, o, ownership.Done, "")
			case o.Release && o.Incarnation == a:
				g.Report(now, o, ownership.Done, "handover")
			default:
				if !o.Release {
					lastToB = now
				}
				g.Report(now, o, ownership.Unanswered, "")
			}
		}
	}
	is.True(firstToC > 0)                                 // the keys are served again
	is.True(firstToC.Sub(lastToB) > ownership.GrantTTL)   // the lost owner may have taken them
	is.True(firstToC.Sub(lastToB) < 2*ownership.GrantTTL) // but not for longer than a hold
}

func TestExpired(t *testing.T) {
	const issued = clock.Instant(time.Hour)
	tests := map[string]struct {
		release bool
		after   time.Duration
		want    bool
	}{
		"a grant within its time":                   {after: ownership.GrantTimeout},
		"a grant after its time":                    {after: ownership.GrantTimeout + 1, want: true},
		"a release does no harm however late it is": {release: true, after: time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ownership.Command{Release: test.release, IssuedAt: issued}.IsExpired(issued.Add(test.after)), test.want)
		})
	}
}
