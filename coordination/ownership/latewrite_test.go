package ownership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
)

// Keys must not be granted elsewhere by the time of a grant that this VM may yet write, or wrote long after its issue.
func TestGrantWrittenLateProlongsTheWait(t *testing.T) {
	const (
		now   = clock.Instant(time.Hour)
		pause = 5 * time.Second
	)
	never := func(fleet.Incarnation) bool { return false }
	silent := ownership.Liveness{IsDead: never, IsSuspended: never, IsLost: func(i fleet.Incarnation) bool { return i == incarnation("a") }}
	tests := map[string]struct {
		// returns says that the call ends, after the pause.
		returns bool
		written time.Duration
		outcome ownership.Outcome
		// want is the earliest time at which the keys may be granted to another owner; 0 means never.
		want time.Duration
	}{
		"written at once, no answer": {returns: true, outcome: ownership.Unanswered, want: pause},
		"written at once, answered":  {returns: true, outcome: ownership.Done, want: pause},
		"never written":              {returns: true, outcome: ownership.Undelivered, want: pause},
		"written late, no answer":    {returns: true, written: pause, outcome: ownership.Unanswered, want: pause + ownership.MaxHoldTime},
		"written late, answered":     {returns: true, written: pause, outcome: ownership.Done, want: pause + ownership.MaxHoldTime},
		"it may yet be written":      {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const step = 50 * time.Millisecond
			g := ownership.NewGranter(now)
			owner := incarnation("a")
			table := &fleet.Table{Service: service, Fence: 1, Ranges: []fleet.Range{{To: fleet.KeyCount - 1, Owner: owner, Fence: 1}}}
			renewal := g.Due(now, table, silent)[0]
			moved := &fleet.Table{Service: service, Fence: 5, Ranges: []fleet.Range{{To: fleet.KeyCount - 1, Owner: incarnation("b"), Fence: 5, PreviousOwner: &owner, PreviousFence: 1}}}
			freedAfter := time.Duration(0)
			for after := step; freedAfter == 0 && after < 4*pause; after += step {
				if after == pause && test.returns {
					renewal.WriteReturnedAt = now.Add(test.written)
					g.Report(now.Add(pause), renewal, test.outcome, "")
				}
				for _, c := range g.Due(now.Add(after), moved, silent) {
					if c.Vacancy != "" {
						freedAfter = after
					}
					g.Report(now.Add(after), c, ownership.Unanswered, "")
				}
			}
			is.True(freedAfter >= test.want)
			is.True(freedAfter < test.want+4*step) // commands are sent every 100 ms
		})
	}
}
