package ownership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
)

// A leader must not rely on a fencing grant before most VMs follow it: a former one may yet write on connections to later processes.
func TestIsolatedLeaderSendsNoFencingGrants(t *testing.T) {
	const now = clock.Instant(time.Hour)
	never := func(fleet.Incarnation) bool { return false }
	tests := map[string]struct {
		isolated bool
		want     []string
	}{
		"most VMs follow":   {want: []string{"release a1", "fence a1"}},
		"too few are known": {isolated: true, want: []string{"release a1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			liveness := ownership.Liveness{IsDead: never, IsSuspended: never, IsLost: never, Isolated: test.isolated}
			g, table := movingKeys(now, ownership.Unanswered)
			var got []string
			for at := now; at < now.Add(time.Second); at = at.Add(50 * time.Millisecond) {
				for _, c := range g.Due(at, table, liveness) {
					if got = append(got, commandsOf([]ownership.Command{c})...); c.Release {
						g.Report(at, c, ownership.Done, "")
					}
				}
			}
			is.Equal(got, test.want)
		})
	}
}
