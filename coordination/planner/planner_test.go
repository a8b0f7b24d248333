package planner_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickorylug/hickorylug/coordination/planner"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

func owners(n int) (out []planner.Owner) {
	for k := range n {
		out = append(out, planner.Owner{Name: id.Owner(fmt.Sprintf("s%d", k)), Eligible: true, MaxNewSlices: -1})
	}
	return out
}

func allReleased(id.Owner) bool { return true }

// planUntilStable plans and completes moves until the table doesn't change any more.
func planUntilStable(t *table.Table, o []planner.Owner, l planner.Load, opts ...planner.Option) *table.Table {
	for range 1000 {
		next, planned := planner.Plan(t, o, l, opts...)
		next, completed := planner.Complete(next, allReleased)
		if !planned && !completed {
			return next
		}
		t = next
	}
	return t
}

func slicesByOwner(t *table.Table) map[id.Owner]int {
	out := map[id.Owner]int{}
	for _, e := range t.Slices {
		out[t.OwnerAt(e.Owner)]++
	}
	return out
}

func TestFirstPlanIsEven(t *testing.T) {
	i := is.New(t)
	next := planUntilStable(table.New("s", 100), owners(4), planner.Load{})
	for _, n := range slicesByOwner(next) {
		i.Equal(n, 25)
	}
}

func TestOwnerLossMovesOnlyItsSlices(t *testing.T) {
	i := is.New(t)
	before := planUntilStable(table.New("s", 1000), owners(10), planner.Load{})
	o := owners(10)
	o[3].Eligible = false
	after := planUntilStable(before, o, planner.Load{})
	i.Equal(planner.Churn(before, after), 0.1)
	i.Equal(slicesByOwner(after)["s3"], 0)
}

func TestMoveTakesTwoWrites(t *testing.T) {
	i := is.New(t)
	before := planUntilStable(table.New("s", 10), owners(2), planner.Load{})
	o := owners(2)
	o[0].Eligible = false
	planned, changed := planner.Plan(before, o, planner.Load{})
	i.True(changed)
	i.Equal(planned.Version, before.Version+1)
	i.Equal(planned.MovingCount(), 5)
	i.Equal(planner.Sources(planned), []id.Owner{"s0"})
	same, changed := planner.Complete(planned, func(id.Owner) bool { return false })
	i.True(!changed)
	i.Equal(same.MovingCount(), 5) // no slice changes its owner before the release
	done, _ := planner.Complete(planned, allReleased)
	i.Equal(slicesByOwner(done)["s1"], 10)
}

func TestMoveToALostOwnerIsRedirected(t *testing.T) {
	i := is.New(t)
	before := planUntilStable(table.New("s", 9), owners(3), planner.Load{})
	o := owners(3)
	o[0].Eligible = false
	planned, _ := planner.Plan(before, o, planner.Load{})
	o[1].Eligible = false // the next owner of some slices is lost before their moves are complete
	after := planUntilStable(planned, o, planner.Load{})
	i.Equal(slicesByOwner(after)["s2"], 9)
}

func TestHotSliceIsBalanced(t *testing.T) {
	i := is.New(t)
	before := planUntilStable(table.New("s", 100), owners(4), planner.Load{})
	load := planner.Load{Slices: make([]float64, 100)}
	for k, e := range before.Slices {
		load.Slices[k] = 1
		if before.OwnerAt(e.Owner) == "s0" {
			load.Slices[k] = 3
		}
	}
	after := planUntilStable(before, owners(4), load)
	i.True(maxLoadRatio(after, load) <= 1.2)
	i.True(planner.Churn(before, after) < 0.2)
}

func maxLoadRatio(t *table.Table, l planner.Load) (ratio float64) {
	sums, total := map[id.Owner]float64{}, 0.0
	for k, e := range t.Slices {
		sums[t.OwnerAt(e.Owner)] += l.Slices[k]
		total += l.Slices[k]
	}
	for _, k := range l.Keys {
		owner := t.Lookup(k.Key)
		sums[t.OwnerAt(owner.Owner)] += k.Rate
		total += k.Rate
	}
	for _, v := range sums {
		ratio = max(ratio, v*float64(len(sums))/total)
	}
	return ratio
}

func TestHotKeyIsIsolatedAndRejoined(t *testing.T) {
	i := is.New(t)
	before := planUntilStable(table.New("s", 100), owners(4), planner.Load{})
	load := planner.Load{Slices: make([]float64, 100), Keys: []planner.KeyLoad{{Key: 7, Rate: 30}}}
	for k := range load.Slices {
		load.Slices[k] = 1
	}
	load.Slices[7] = 31
	balanced := planUntilStable(before, owners(4), load)
	_, isolated := balanced.Keys[7]
	i.True(isolated)
	load.Keys, load.Slices[7] = nil, 1
	rejoined := planUntilStable(balanced, owners(4), load)
	i.Equal(len(rejoined.Keys), 0)
}

func TestNoEligibleOwnerChangesNothing(t *testing.T) {
	i := is.New(t)
	before := planUntilStable(table.New("s", 10), owners(2), planner.Load{})
	o := owners(2)
	o[0].Eligible, o[1].Eligible = false, false
	_, changed := planner.Plan(before, o, planner.Load{})
	i.True(!changed) // the slices keep their owners until another owner is eligible
}

func TestWarmingOwnerGainsFewSlices(t *testing.T) {
	i := is.New(t)
	before := planUntilStable(table.New("s", 100), owners(4), planner.Load{})
	o := append(owners(4), planner.Owner{Name: "new", Eligible: true, MaxNewSlices: 2})
	next, _ := planner.Plan(before, o, planner.Load{}, planner.WithMaxChurn(1))
	i.Equal(next.MovingCount(), 2)
}

func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "owners")
		current := table.New("s", rapid.IntRange(1, 40).Draw(t, "slices"))
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			o := owners(n)
			eligible := 0
			for k := range o {
				o[k].Eligible = rapid.Bool().Draw(t, "eligible")
				if o[k].Eligible {
					eligible++
				}
			}
			load := planner.Load{Slices: rapid.SliceOfN(rapid.Float64Range(0, 100), len(current.Slices), len(current.Slices)).Draw(t, "load")}
			next, changed := planner.Plan(current, o, load)
			checkPlanStep(t, current, next, changed, eligible > 0)
			released := map[id.Owner]bool{}
			for _, s := range planner.Sources(next) {
				released[s] = rapid.Bool().Draw(t, "released")
			}
			done, completed := planner.Complete(next, func(o id.Owner) bool { return released[o] })
			for k, e := range done.Slices {
				old := next.Slices[k]
				if e.Owner != old.Owner && old.Owner >= 0 && !released[next.OwnerAt(old.Owner)] {
					t.Fatalf("slice %d was moved from an owner that has not released it", k)
				}
			}
			if completed && done.Version != next.Version+1 {
				t.Fatalf("got version %d after version %d", done.Version, next.Version)
			}
			current = done
		}
	})
}

// checkPlanStep checks that a plan only starts moves: no slice changes from one owner to another.
func checkPlanStep(t *rapid.T, before, after *table.Table, changed, hasEligible bool) {
	if err := after.Validate(); err != nil {
		t.Fatal(err)
	}
	if changed != (after.Version == before.Version+1) {
		t.Fatalf("changed is %v, but version %d follows version %d", changed, after.Version, before.Version)
	}
	for k, e := range after.Slices {
		old := before.Slices[k]
		if old.Owner >= 0 && e.Owner != old.Owner {
			t.Fatalf("slice %d changed from owner %d to owner %d in one write", k, old.Owner, e.Owner)
		}
		if hasEligible && e.Owner < 0 {
			t.Fatalf("slice %d has no owner", k)
		}
	}
}
