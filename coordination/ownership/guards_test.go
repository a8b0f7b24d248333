package ownership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// livenessOf returns the liveness in which one incarnation is in a state, and all others are healthy.
func livenessOf(set func(l *ownership.Liveness, is func(fleet.Incarnation) bool), one fleet.Incarnation) ownership.Liveness {
	never := func(fleet.Incarnation) bool { return false }
	l := ownership.Liveness{IsDead: never, IsSuspended: never, IsLost: never}
	set(&l, func(i fleet.Incarnation) bool { return i == one })
	return l
}

var (
	ended     = func(l *ownership.Liveness, is func(fleet.Incarnation) bool) { l.IsDead = is }
	suspended = func(l *ownership.Liveness, is func(fleet.Incarnation) bool) { l.IsSuspended = is }
	lost      = func(l *ownership.Liveness, is func(fleet.Incarnation) bool) { l.IsLost = is }
	isolated  = func(l *ownership.Liveness, _ func(fleet.Incarnation) bool) { l.Isolated = true }
	// formerActs says that former leaders may act for long.
	formerActs = func(l *ownership.Liveness, _ func(fleet.Incarnation) bool) {
		l.FormerUntil = clock.Instant(2 * time.Hour)
	}
	announced = func(l *ownership.Liveness, _ func(fleet.Incarnation) bool) {
		l.IsMoved = func(id.Service, fleet.Fence) bool { return true }
	}
)

// playMove plays a move until a time has passed or its new owner is granted the keys, and returns its commands. Outcomes are those of its fencing grants; all others are answered.
func playMove(g *ownership.Granter, table *fleet.Table, now clock.Instant, length time.Duration, l ownership.Liveness, outcomes ...ownership.Outcome) (commands []ownership.Command) {
	for at := now; at < now.Add(length); at = at.Add(50 * time.Millisecond) {
		for _, c := range g.Due(at, table, l) {
			commands = append(commands, c)
			outcome := ownership.Done
			if c.Fencing && len(outcomes) > 0 {
				outcome, outcomes = outcomes[0], outcomes[1:]
			}
			g.Report(at, c, outcome, "")
			if !c.Release && !c.Fencing {
				return commands
			}
		}
	}
	return commands
}

// A call carries no start time, so that the next process under the id of an ended owner would take its grant.
func TestOwnerThatHasEndedIsNotGrantedKeys(t *testing.T) {
	const now = clock.Instant(time.Hour)
	a, b := incarnation("a"), incarnation("b")
	renewed := &fleet.Table{Service: service, Fence: 1, Ranges: []fleet.Range{{From: 0, To: 9, Owner: a, Fence: 1}}}
	moved := &fleet.Table{Service: service, Fence: 5, Ranges: []fleet.Range{{From: 0, To: 9, Owner: b, Fence: 5, PreviousOwner: &a, PreviousFence: 1}}}
	tests := map[string]struct {
		table    *fleet.Table
		liveness ownership.Liveness
	}{
		"the owner has ended":                {table: renewed, liveness: livenessOf(ended, a)},
		"the owner refuses connections":      {table: renewed, liveness: livenessOf(suspended, a)},
		"the next owner has ended":           {table: moved, liveness: livenessOf(ended, b)},
		"the next owner refuses connections": {table: moved, liveness: livenessOf(suspended, b)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := ownership.NewGranter(now.Add(-time.Minute))
			is.New(t).Equal(len(playMove(g, test.table, now, time.Second, test.liveness)), 0)
		})
	}
}

func TestFencingGrants(t *testing.T) {
	const now = clock.Instant(time.Hour)
	a := incarnation("a")
	unsent := []ownership.Outcome{ownership.Undelivered, ownership.Undelivered, ownership.Undelivered, ownership.Undelivered}
	tests := map[string]struct {
		renewal  ownership.Outcome
		liveness ownership.Liveness
		outcomes []ownership.Outcome
		// previousFence is that of the former owner if it isn't 0.
		previousFence fleet.Fence
		want          []string
	}{
		"of a leader that knows of former ones' grants": {
			renewal: ownership.Done, liveness: livenessOf(formerActs, a), want: []string{"release a1", "fence a1", "release a1", "grant b1"},
		},
		"not of a leader that doesn't know whether former ones act": {
			renewal: ownership.Done, liveness: livenessOf(isolated, a), want: []string{"release a1"},
		},
		"not to an owner that answers nothing": {
			renewal: ownership.Unanswered, liveness: livenessOf(lost, a), want: []string{"release a1"},
		},
		"not to an owner that may have restarted": {
			renewal: ownership.Unanswered, liveness: livenessOf(suspended, a), want: []string{"release a1"},
		},
		"not under fences that the former owner has": {
			renewal: ownership.Unanswered, liveness: livenessOf(formerActs, incarnation("c")), previousFence: 4, want: []string{"release a1"},
		},
		"those that never left don't use up the fences": {
			renewal: ownership.Unanswered, liveness: livenessOf(lost, incarnation("c")), outcomes: unsent,
			want: []string{"release a1", "fence a1", "fence a1", "fence a1", "fence a1", "fence a1", "release a1", "grant b1"},
		},
		"an announcement doesn't end a move that this leader has planned": {
			renewal: ownership.Done, liveness: livenessOf(announced, a), want: []string{"release a1", "grant b1"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g, table := movingKeys(now, test.renewal)
			if test.previousFence > 0 {
				table.Ranges[0].PreviousFence = test.previousFence
			}
			is.New(t).Equal(commandsOf(playMove(g, table, now, time.Second, test.liveness, test.outcomes...)), test.want)
		})
	}
}

// Guards against a fencing grant under a fence that was given out before its move got a new one.
func TestMoveWithNewFenceHasNewFencesForFencing(t *testing.T) {
	const now = clock.Instant(time.Hour)
	is := is.New(t)
	l := livenessOf(formerActs, incarnation("a"))
	candidates := []ownership.Candidate{{Incarnation: incarnation("a")}, {Incarnation: incarnation("b"), Eligible: true, Warm: true, Capacity: 40}}
	g, table := movingKeys(now, ownership.Unanswered)
	before := playMove(g, table, now, 100*time.Millisecond, l, ownership.Refused)
	is.Equal(commandsOf(before), []string{"release a1", "fence a1"})
	later := now.Add(ownership.MaxHoldTime + time.Second)
	next, moved, _ := g.Revise(later, table, candidates, nil)
	is.True(moved)
	after := playMove(g, next, later, 100*time.Millisecond, l)
	is.Equal(commandsOf(after)[:2], []string{"release a1", "fence a1"})
	is.True(after[1].Fence > table.Fence)
}

// A backend server whose clock is 2 % slow may take a grant at the latest time of its arrival.
func TestHoldTimeCoversSlowClocks(t *testing.T) {
	is.New(t).True(ownership.MaxHoldTime >= maxTransit+ownership.GrantTTL*102/100)
}

// Guards against a hold that counts from the issue of an answered grant where its range moves after its late write was reported.
func TestAnsweredGrantWrittenLateProlongsTheWaitOfALaterMove(t *testing.T) {
	const now = clock.Instant(time.Hour)
	is := is.New(t)
	a, b := incarnation("a"), incarnation("b")
	healthy := livenessOf(lost, incarnation("c"))
	g := ownership.NewGranter(now.Add(-time.Minute))
	table := &fleet.Table{Service: service, Fence: 1, Ranges: []fleet.Range{{To: fleet.KeyCount - 1, Owner: a, Fence: 1}}}
	written := now.Add(2 * time.Second)
	for _, c := range g.Due(now, table, healthy) {
		c.WriteReturnedAt = written
		g.Report(written, c, ownership.Done, "")
	}
	moved, _, _ := g.Revise(written, table, []ownership.Candidate{{Incarnation: a}, {Incarnation: b, Eligible: true, Warm: true, Capacity: 40}}, nil)
	grantedAt := clock.Instant(0)
	for at := written; grantedAt == 0 && at < written.Add(10*time.Second); at = at.Add(50 * time.Millisecond) {
		for _, c := range g.Due(at, moved, healthy) {
			if !c.Release {
				grantedAt = at
			}
			g.Report(at, c, ownership.Unanswered, "")
		}
	}
	is.True(grantedAt > written.Add(ownership.MaxHoldTime))
	is.True(grantedAt < written.Add(ownership.MaxHoldTime+time.Second))
}
