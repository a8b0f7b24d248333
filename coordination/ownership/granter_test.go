package ownership_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
)

func TestDueCommandsForMovingKeys(t *testing.T) {
	const electedAt = clock.Instant(time.Hour)
	a, b := incarnation("a"), incarnation("b")
	never := func(fleet.Incarnation) bool { return false }
	isA := func(i fleet.Incarnation) bool { return i == a }
	laterA := fleet.Incarnation{Server: a.Server, Born: a.Born + 1}
	restarted := func(i fleet.Incarnation) (fleet.Incarnation, bool) { return laterA, i == a }
	table := &fleet.Table{Service: service, Fence: 2, Ranges: []fleet.Range{{From: 0, To: 9, Owner: b, Fence: 2, PreviousOwner: &a, PreviousFence: 1}}}
	tests := map[string]struct {
		after    time.Duration
		liveness ownership.Liveness
		want     fleet.Incarnation
		// release says that the command is a release; a release to a process other than a is one to its successor.
		release bool
	}{
		"sends a release to the previous owner first": {liveness: ownership.Liveness{IsDead: never, IsSuspended: never, IsLost: never}, want: a, release: true},
		"the previous owner may still hold the keys":  {after: ownership.GrantTTL, liveness: ownership.Liveness{IsDead: never, IsSuspended: never, IsLost: never}, want: a, release: true},
		"the previous owner's grant has expired":      {after: 2 * ownership.GrantTTL, liveness: ownership.Liveness{IsDead: never, IsSuspended: never, IsLost: never}, want: b},
		"an isolated leader doesn't rely on expiry":   {after: 2 * ownership.GrantTTL, liveness: ownership.Liveness{IsDead: never, IsSuspended: never, IsLost: never, Isolated: true}, want: a, release: true},
		"the previous owner's incarnation has ended":  {liveness: ownership.Liveness{IsDead: isA, IsSuspended: never, IsLost: never}, want: b},
		"a later process has the previous owner's id": {liveness: ownership.Liveness{IsDead: isA, Successor: restarted, IsSuspended: never, IsLost: never}, want: laterA, release: true},
		"the later process can't hold keys any more": {
			after: 2 * ownership.GrantTTL, liveness: ownership.Liveness{IsDead: isA, Successor: restarted, IsSuspended: never, IsLost: never}, want: b,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := ownership.NewGranter(electedAt)
			first := g.Due(electedAt, table, ownership.Liveness{IsDead: never, IsSuspended: never, IsLost: never})
			is.Equal(len(first), 1)
			g.Report(electedAt, first[0], ownership.Unanswered, "")
			commands := g.Due(electedAt.Add(max(test.after, time.Second)), table, test.liveness)
			is.Equal(len(commands), 1)
			is.Equal(commands[0].Incarnation, test.want)
			is.Equal(commands[0].Release, test.release)
		})
	}
}

// Guards against a wait for the previous owner that starts from its last grant under the newest fence. A range gets a
// new fence when it is merged with its neighbour, while its owner still holds the keys under the old fence.
func TestNewFenceDoesNotShortenHoldWait(t *testing.T) {
	const electedAt = clock.Instant(time.Hour)
	a, b := incarnation("a"), incarnation("b")
	never := func(fleet.Incarnation) bool { return false }
	suspendedA := ownership.Liveness{IsDead: never, IsSuspended: func(i fleet.Incarnation) bool { return i == a }, IsLost: never}
	healthy := ownership.Liveness{IsDead: never, IsSuspended: never, IsLost: never}
	is := is.New(t)
	g := ownership.NewGranter(electedAt)

	granted := electedAt.Add(time.Minute)
	for _, cmd := range g.Due(granted, &fleet.Table{Service: service, Fence: 1, Ranges: []fleet.Range{{From: 0, To: 9, Owner: a, Fence: 1}}}, healthy) {
		g.Report(granted, cmd, ownership.Done, "")
	}
	merged := granted.Add(100 * time.Millisecond)
	commands := g.Due(merged, &fleet.Table{Service: service, Fence: 2, Ranges: []fleet.Range{{From: 0, To: 9, Owner: a, Fence: 2}}}, suspendedA)
	is.Equal(len(commands), 0) // a backend server that refuses connections gets no grants

	moved := &fleet.Table{Service: service, Fence: 3, Ranges: []fleet.Range{{From: 0, To: 9, Owner: b, Fence: 3, PreviousOwner: &a, PreviousFence: 2}}}
	for at := merged; at < granted.Add(ownership.GrantTTL); at = at.Add(200 * time.Millisecond) {
		for _, cmd := range g.Due(at, moved, suspendedA) {
			is.Equal(cmd.Incarnation, a) // the first owner still holds the keys
			g.Report(at, cmd, ownership.Unanswered, "")
		}
	}
}

// Guards against released keys that stay without a holder because their new owner never answers its grants.
func TestLostNewOwnerIsReplaced(t *testing.T) {
	const electedAt = clock.Instant(time.Hour)
	a, b, c := incarnation("a"), incarnation("b"), incarnation("c")
	never := func(fleet.Incarnation) bool { return false }
	liveness := ownership.Liveness{IsDead: never, IsSuspended: never, IsLost: func(i fleet.Incarnation) bool { return i == b }}
	candidates := []ownership.Candidate{{Incarnation: b, Warm: true, Capacity: 40}, {Incarnation: c, Eligible: true, Warm: true, Capacity: 40}}
	table := &fleet.Table{Service: service, Fence: 2, Ranges: []fleet.Range{{From: 0, To: fleet.KeyCount - 1, Owner: b, Fence: 2, PreviousOwner: &a, PreviousFence: 1}}}
	is := is.New(t)
	g := ownership.NewGranter(electedAt)
	var lastToB, firstToC clock.Instant
	for now := electedAt; now < electedAt.Add(10*time.Second) && firstToC == 0; now = now.Add(50 * time.Millisecond) {
		if next, moved, settled := g.Revise(now, table, candidates, nil); moved || settled {
			table = next
		}
		for _, cmd := range g.Due(now, table, liveness) {
			switch {
			case cmd.Incarnation == c:
				firstToC = now
				g.Report(now, cmd, ownership.Done, "")
			case cmd.Release && cmd.Incarnation == a:
				g.Report(now, cmd, ownership.Done, "handover")
			default:
				if !cmd.Release {
					lastToB = now
				}
				g.Report(now, cmd, ownership.Unanswered, "")
			}
		}
	}
	is.True(firstToC > 0)                                 // the keys have a holder again
	is.True(firstToC.Sub(lastToB) > ownership.GrantTTL)   // the lost owner may have received its last grant
	is.True(firstToC.Sub(lastToB) < 2*ownership.GrantTTL) // but the wait is bounded by the hold time
}

func TestCommandIsExpired(t *testing.T) {
	const issuedAt = clock.Instant(time.Hour)
	tests := map[string]struct {
		release bool
		after   time.Duration
		want    bool
	}{
		"a grant at its latest time":    {after: ownership.WriteTimeout},
		"a grant after its latest time": {after: ownership.WriteTimeout + 1, want: true},
		"a release is safe at any time": {release: true, after: time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ownership.Command{Release: test.release, IssuedAt: issuedAt}.IsExpired(issuedAt.Add(test.after)), test.want)
		})
	}
}

// The calls that renew grants must not take all of the leader's time when hot keys have split the ranges, and a range must
// be renewed often enough for some lost calls.
func TestRenewalsOfManyRanges(t *testing.T) {
	tests := map[string]struct {
		ranges  int
		maxRate float64
	}{
		"a small fleet":                {ranges: 10, maxRate: 20},
		"a range for each of 274":      {ranges: 274, maxRate: 548},
		"three ranges for each of 274": {ranges: 822, maxRate: 822},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := &fleet.Table{Service: service, Fence: 1}
			for i := range test.ranges {
				table.Ranges = append(table.Ranges, fleet.Range{From: fleet.Key(i), To: fleet.Key(i), Owner: incarnation("a"), Fence: 1})
			}
			never := func(fleet.Incarnation) bool { return false }
			start := clock.Instant(time.Hour)
			g := ownership.NewGranter(start)
			renewals := 0
			lastAt := map[fleet.Key]clock.Instant{}
			for at := start; at < start.Add(10*time.Second); at = at.Add(50 * time.Millisecond) {
				for _, c := range g.Due(at, table, ownership.Liveness{IsDead: never, IsSuspended: never, IsLost: never}) {
					g.Report(at, c, ownership.Done, "")
					if before, ok := lastAt[c.From]; ok {
						renewals++
						// Three more calls fit into the hold time if this one is lost.
						is.True(at.Sub(before)+3*(ownership.GrantTimeout+100*time.Millisecond) < ownership.GrantTTL)
					}
					lastAt[c.From] = at
				}
			}
			is.True(float64(renewals)/10 <= test.maxRate)
		})
	}
}

// Guards against keys that are granted to a backend server which has announced meanwhile that it leaves, and would have to move again. The
// keys that it holds are renewed until they have moved.
func TestLeavingOwnerGetsNoFurtherKeys(t *testing.T) {
	const electedAt = clock.Instant(time.Hour)
	a, b, c := incarnation("a"), incarnation("b"), incarnation("c")
	never := func(fleet.Incarnation) bool { return false }
	healthy := ownership.Liveness{IsDead: never, IsSuspended: never, IsLost: never}
	leaving := healthy
	leaving.IsLeaving = func(i fleet.Incarnation) bool { return i == b }
	is := is.New(t)
	g := ownership.NewGranter(electedAt)
	moving := fleet.Range{From: 0, To: 9, Owner: b, Fence: 2, PreviousOwner: &a, PreviousFence: 1}
	held := fleet.Range{From: 10, To: fleet.KeyCount - 1, Owner: b, Fence: 1}
	table := &fleet.Table{Service: service, Fence: 2, Ranges: []fleet.Range{moving, held}}
	now := electedAt
	for _, cmd := range g.Due(now, table, healthy) {
		g.Report(now, cmd, ownership.Done, "")
	}
	// From then on, no grant of a former leader can be on its way.
	now = now.Add(ownership.MaxHoldTime + time.Second)
	commands := g.Due(now, table, leaving)
	is.Equal(len(commands), 1)
	is.Equal(commands[0].From, held.From)
	g.Report(now, commands[0], ownership.Done, "")
	next, changed, _ := g.Revise(now, table, []ownership.Candidate{{Incarnation: b}, {Incarnation: c, Eligible: true, Warm: true, Capacity: 10}}, nil)
	is.True(changed)
	for _, key := range []fleet.Key{0, 10} {
		r, _ := next.Find(key)
		is.Equal(r.Owner, c)
	}
}

// commandsOf returns what each of the commands is, in short.
func commandsOf(commands []ownership.Command) (out []string) {
	for _, c := range commands {
		kind := "grant"
		switch {
		case c.Release:
			kind = "release"
		case c.Fencing:
			kind = "fence"
		}
		out = append(out, kind+" "+string(c.Incarnation.Server)+strconv.FormatInt(int64(c.Incarnation.Born), 10))
	}
	return out
}

// movingKeys returns a granter that has granted all keys to a, with the given outcome of the latest renewal, and a table in which it moves
// them to b.
func movingKeys(now clock.Instant, renewal ownership.Outcome) (g *ownership.Granter, moved *fleet.Table) {
	a, b := incarnation("a"), incarnation("b")
	never := func(fleet.Incarnation) bool { return false }
	healthy := ownership.Liveness{IsDead: never, IsSuspended: never, IsLost: never}
	table := &fleet.Table{Service: service, Fence: 1, Ranges: []fleet.Range{{From: 0, To: fleet.KeyCount - 1, Owner: a, Fence: 1}}}
	g = ownership.NewGranter(now.Add(-time.Minute))
	for _, c := range g.Due(now.Add(-10*time.Millisecond), table, healthy) {
		g.Report(now, c, renewal, "")
	}
	moved, _, _ = g.Revise(now, table, []ownership.Candidate{{Incarnation: a}, {Incarnation: b, Eligible: true, Warm: true, Capacity: 40}}, nil)
	return g, moved
}

// Guards against two holders after a renewal that is carried out late: a release doesn't end a grant that is still on its way.
func TestFormerOwnerRefusesLateRenewals(t *testing.T) {
	const now = clock.Instant(time.Hour)
	never := func(fleet.Incarnation) bool { return false }
	healthy := ownership.Liveness{IsDead: never, IsSuspended: never, IsLost: never}
	tests := map[string]struct {
		renewal ownership.Outcome
		// fencings are the outcomes of the fencing grants.
		fencings []ownership.Outcome
		want     []string
		// waits says that b gets the keys only after the hold time.
		waits bool
	}{
		"all grants are answered":         {renewal: ownership.Done, want: []string{"release a1", "grant b1"}},
		"the renewal never left":          {renewal: ownership.Undelivered, want: []string{"grant b1"}},
		"the renewal has no answer":       {renewal: ownership.Unanswered, fencings: []ownership.Outcome{ownership.Done}, want: []string{"release a1", "fence a1", "release a1", "grant b1"}},
		"a fencing grant has no answer":   {renewal: ownership.Unanswered, fencings: []ownership.Outcome{ownership.Unanswered, ownership.Done}, want: []string{"release a1", "fence a1", "fence a1", "release a1", "grant b1"}},
		"no fencing grant has an answer":  {renewal: ownership.Unanswered, fencings: []ownership.Outcome{ownership.Unanswered, ownership.Unanswered, ownership.Unanswered}, want: []string{"release a1", "fence a1", "fence a1", "fence a1", "grant b1"}, waits: true},
		"a fencing grant that never left": {renewal: ownership.Unanswered, fencings: []ownership.Outcome{ownership.Undelivered, ownership.Done}, want: []string{"release a1", "fence a1", "fence a1", "release a1", "grant b1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, table := movingKeys(now, test.renewal)
			var got []string
			fences, sentTo, fenced := map[fleet.Fence]bool{}, clock.Instant(0), false
			for at := now; len(got) < len(test.want) && at < now.Add(10*time.Second); at = at.Add(50 * time.Millisecond) {
				commands := g.Due(at, table, healthy)
				got = append(got, commandsOf(commands)...)
				for _, c := range commands {
					outcome := ownership.Done
					// A backend server may remember the fence of a release, and must take the fencing grant all the same.
					is.True(!c.Release || fenced || len(test.want) < 4 || c.Fence == 1)
					if c.Fencing {
						fenced = true
						outcome, test.fencings = test.fencings[0], test.fencings[1:]
						is.True(!fences[c.Fence] || outcome == ownership.Done) // each fence is used for one call
						fences[c.Fence] = outcome != ownership.Undelivered
						is.True(c.Fence > 1 && c.Fence < table.Ranges[0].Fence)
					}
					g.Report(at, c, outcome, "")
					sentTo = at
				}
			}
			is.Equal(got, test.want)
			is.Equal(sentTo.Sub(now) > ownership.GrantTTL, test.waits)
		})
	}
}

// Guards against keys with two holders where an owner refuses a grant: another backend server may hold them under the higher fence.
func TestRefusedKeysWaitForTheHoldTime(t *testing.T) {
	const now = clock.Instant(time.Hour)
	is := is.New(t)
	a := incarnation("a")
	never := func(fleet.Incarnation) bool { return false }
	table := &fleet.Table{Service: service, Fence: 1, Ranges: []fleet.Range{{From: 0, To: fleet.KeyCount - 1, Owner: a, Fence: 1}}}
	candidates := []ownership.Candidate{{Incarnation: a, Eligible: true, Warm: true, Capacity: 40}}
	g := ownership.NewGranter(now)
	for _, c := range g.Due(now, table, ownership.Liveness{IsDead: never, IsSuspended: never, IsLost: never}) {
		g.Report(now, c, ownership.Refused, "")
	}
	_, moved, _ := g.Revise(now.Add(ownership.MaxHoldTime), table, candidates, nil)
	is.True(!moved)
	next, moved, _ := g.Revise(now.Add(ownership.MaxHoldTime+1), table, candidates, nil)
	is.True(moved)
	is.True(next.Ranges[0].Fence > table.Fence)
}

// Guards against two holders where refused keys get a new owner, or the same one for a longer range, before the unknown grant has run out.
func TestRefusedKeysWaitForTheHoldTimeInLaterTables(t *testing.T) {
	const now = clock.Instant(time.Hour)
	a, b := incarnation("a"), incarnation("b")
	never := func(fleet.Incarnation) bool { return false }
	healthy := ownership.Liveness{IsDead: never, IsSuspended: never, IsLost: never}
	tests := map[string]fleet.Range{
		"the keys move":                     {From: 0, To: 9, Owner: b, Fence: 9, PreviousOwner: &a, PreviousFence: 1},
		"some of the keys move":             {From: 3, To: 4, Owner: b, Fence: 9, PreviousOwner: &a, PreviousFence: 1},
		"the range is merged with the next": {From: 0, To: 19, Owner: a, Fence: 9},
		"a part of the range stays":         {From: 5, To: 9, Owner: a, Fence: 1},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := ownership.NewGranter(now.Add(-time.Minute))
			first := &fleet.Table{Service: service, Fence: 1, Ranges: []fleet.Range{{From: 0, To: 9, Owner: a, Fence: 1}}}
			for _, c := range g.Due(now, first, healthy) {
				g.Report(now, c, ownership.Refused, "")
			}
			next, grantedAt := &fleet.Table{Service: service, Fence: 9, Ranges: []fleet.Range{r}}, clock.Instant(0)
			for at := now; grantedAt == 0 && at < now.Add(10*time.Second); at = at.Add(50 * time.Millisecond) {
				for _, c := range g.Due(at, next, healthy) {
					if !c.Release {
						grantedAt = at
					}
					g.Report(at, c, ownership.Done, "")
				}
			}
			is.True(grantedAt > now.Add(ownership.MaxHoldTime))
			is.True(grantedAt < now.Add(ownership.MaxHoldTime+time.Second))
		})
	}
}

// Guards against two holders after a refused fencing grant: the next one is a grant to the former owner, too.
func TestRefusedFencingGrantWaitsForTheHoldTime(t *testing.T) {
	const now = clock.Instant(time.Hour)
	is := is.New(t)
	never := func(fleet.Incarnation) bool { return false }
	healthy := ownership.Liveness{IsDead: never, IsSuspended: never, IsLost: never}
	candidates := []ownership.Candidate{{Incarnation: incarnation("a")}, {Incarnation: incarnation("b"), Eligible: true, Warm: true, Capacity: 40}}
	g, table := movingKeys(now, ownership.Unanswered)
	released := g.Due(now, table, healthy)
	is.Equal(commandsOf(released), []string{"release a1"})
	g.Report(now, released[0], ownership.Done, "")
	first := g.Due(now, table, healthy)
	is.Equal(commandsOf(first), []string{"fence a1"})
	g.Report(now, first[0], ownership.Refused, "")
	grantedAt := clock.Instant(0)
	for at := now; grantedAt == 0 && at < now.Add(10*time.Second); at = at.Add(50 * time.Millisecond) {
		if next, moved, settled := g.Revise(at, table, candidates, nil); moved || settled {
			table = next
		}
		for _, c := range g.Due(at, table, healthy) {
			if !c.Release {
				grantedAt = at
			}
			g.Report(at, c, ownership.Done, "")
		}
	}
	is.True(grantedAt > now.Add(ownership.MaxHoldTime))
	is.True(grantedAt < now.Add(ownership.MaxHoldTime+time.Second))
}

// Guards against keys that stay with an unreachable owner: fencing grants that never left don't prolong its hold.
func TestFencingGrantsThatNeverLeftDoNotProlongTheWait(t *testing.T) {
	const now = clock.Instant(time.Hour)
	is := is.New(t)
	never := func(fleet.Incarnation) bool { return false }
	healthy := ownership.Liveness{IsDead: never, IsSuspended: never, IsLost: never}
	g, table := movingKeys(now, ownership.Unanswered)
	grantedAt := clock.Instant(0)
	for at := now; grantedAt == 0 && at < now.Add(20*time.Second); at = at.Add(50 * time.Millisecond) {
		for _, c := range g.Due(at, table, healthy) {
			outcome := ownership.Undelivered
			if c.Release {
				outcome = ownership.Done
			}
			if c.Vacancy != "" {
				grantedAt, outcome = at, ownership.Done
			}
			g.Report(at, c, outcome, "")
		}
	}
	is.True(grantedAt > now.Add(ownership.GrantTTL))
	is.True(grantedAt < now.Add(ownership.MaxHoldTime+time.Second))
}

// Guards against a fencing grant to the former owner when the next one may hold the keys already.
func TestFormerOwnerIsNotGrantedKeysOnceTheyWereFree(t *testing.T) {
	const now = clock.Instant(time.Hour)
	never := func(fleet.Incarnation) bool { return false }
	isA := func(i fleet.Incarnation) bool { return i == incarnation("a") }
	healthy := ownership.Liveness{IsDead: never, IsSuspended: never, IsLost: never}
	isolated, ended := healthy, healthy
	isolated.Isolated, ended.IsDead = true, isA
	tests := map[string]struct {
		after    time.Duration
		liveness ownership.Liveness
	}{
		"it seemed to have ended":         {liveness: ended},
		"its hold had run out before now": {after: ownership.MaxHoldTime + time.Second, liveness: healthy},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, table := movingKeys(now, ownership.Unanswered)
			at := now.Add(test.after)
			commands := g.Due(at, table, test.liveness)
			is.Equal(commandsOf(commands), []string{"grant b1"})
			g.Report(at, commands[0], ownership.Unanswered, "")
			at = at.Add(time.Second)
			is.Equal(commandsOf(g.Due(at, table, isolated)), []string{"grant b1"})
		})
	}
}
