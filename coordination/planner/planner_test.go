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

func all(id.Owner) bool { return true }

// settle plans and completes until nothing changes.
func settle(t *table.Table, o []planner.Owner, l planner.Load, opts ...planner.Option) *table.Table {
	for range 1000 {
		next, planned := planner.Plan(t, o, l, opts...)
		next, completed := planner.Complete(next, all)
		if !planned && !completed {
			return next
		}
		t = next
	}
	return t
}

func counts(t *table.Table) map[id.Owner]int {
	out := map[id.Owner]int{}
	for _, e := range t.Slices {
		out[t.OwnerAt(e.Owner)]++
	}
	return out
}

func TestFirstPlanIsEven(t *testing.T) {
	i := is.New(t)
	next := settle(table.New("s", 100), owners(4), planner.Load{})
	for _, n := range counts(next) {
		i.Equal(n, 25)
	}
}

func TestLossMovesOnlyWhatWasLost(t *testing.T) {
	i := is.New(t)
	before := settle(table.New("s", 1000), owners(10), planner.Load{})
	o := owners(10)
	o[3].Eligible = false
	after := settle(before, o, planner.Load{})
	i.Equal(planner.Churn(before, after), 0.1)
	i.Equal(counts(after)["s3"], 0)
}

func TestMoveIsTwoWrites(t *testing.T) {
	i := is.New(t)
	before := settle(table.New("s", 10), owners(2), planner.Load{})
	o := owners(2)
	o[0].Eligible = false
	marked, changed := planner.Plan(before, o, planner.Load{})
	i.True(changed)
	i.Equal(marked.Version, before.Version+1)
	i.Equal(marked.MovingCount(), 5)
	i.Equal(planner.Sources(marked), []id.Owner{"s0"})
	same, changed := planner.Complete(marked, func(id.Owner) bool { return false })
	i.True(!changed)
	i.Equal(same.MovingCount(), 5) // nothing is given on before it was let go
	done, _ := planner.Complete(marked, all)
	i.Equal(counts(done)["s1"], 10)
}

func TestMoveToALostOwnerIsRedirected(t *testing.T) {
	i := is.New(t)
	before := settle(table.New("s", 9), owners(3), planner.Load{})
	o := owners(3)
	o[0].Eligible = false
	marked, _ := planner.Plan(before, o, planner.Load{})
	o[1].Eligible = false // the next owner of some is lost before they have moved
	after := settle(marked, o, planner.Load{})
	i.Equal(counts(after)["s2"], 9)
}

func TestHotSliceIsBalanced(t *testing.T) {
	i := is.New(t)
	before := settle(table.New("s", 100), owners(4), planner.Load{})
	load := planner.Load{Slices: make([]float64, 100)}
	for k, e := range before.Slices {
		load.Slices[k] = 1
		if before.OwnerAt(e.Owner) == "s0" {
			load.Slices[k] = 3
		}
	}
	after := settle(before, owners(4), load)
	i.True(peak(after, load) <= 1.2)
	i.True(planner.Churn(before, after) < 0.2)
}

func peak(t *table.Table, l planner.Load) (ratio float64) {
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

func TestHotKeyIsIsolatedAndReturns(t *testing.T) {
	i := is.New(t)
	before := settle(table.New("s", 100), owners(4), planner.Load{})
	load := planner.Load{Slices: make([]float64, 100), Keys: []planner.KeyLoad{{Key: 7, Rate: 30}}}
	for k := range load.Slices {
		load.Slices[k] = 1
	}
	load.Slices[7] = 31
	hot := settle(before, owners(4), load)
	_, single := hot.Keys[7]
	i.True(single)
	load.Keys, load.Slices[7] = nil, 1
	cold := settle(hot, owners(4), load)
	i.Equal(len(cold.Keys), 0)
}

func TestNobodyEligibleChangesNothing(t *testing.T) {
	i := is.New(t)
	before := settle(table.New("s", 10), owners(2), planner.Load{})
	o := owners(2)
	o[0].Eligible, o[1].Eligible = false, false
	_, changed := planner.Plan(before, o, planner.Load{})
	i.True(!changed) // the keys stay where they are until somebody can take them
}

func TestWarmingOwnerGainsSlowly(t *testing.T) {
	i := is.New(t)
	before := settle(table.New("s", 100), owners(4), planner.Load{})
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
			checkStep(t, current, next, changed, eligible > 0)
			released := map[id.Owner]bool{}
			for _, s := range planner.Sources(next) {
				released[s] = rapid.Bool().Draw(t, "released")
			}
			done, completed := planner.Complete(next, func(o id.Owner) bool { return released[o] })
			for k, e := range done.Slices {
				old := next.Slices[k]
				if e.Owner != old.Owner && old.Owner >= 0 && !released[next.OwnerAt(old.Owner)] {
					t.Fatalf("slice %d left an owner that has not let go", k)
				}
			}
			if completed && done.Version != next.Version+1 {
				t.Fatalf("version %d after %d", done.Version, next.Version)
			}
			current = done
		}
	})
}

// checkStep checks that a plan alone gives no slice from one owner to another.
func checkStep(t *rapid.T, before, after *table.Table, changed, possible bool) {
	if err := after.Validate(); err != nil {
		t.Fatal(err)
	}
	if changed != (after.Version == before.Version+1) {
		t.Fatalf("changed %v, version %d after %d", changed, after.Version, before.Version)
	}
	for k, e := range after.Slices {
		old := before.Slices[k]
		if old.Owner >= 0 && e.Owner != old.Owner {
			t.Fatalf("slice %d went from %d to %d in one step", k, old.Owner, e.Owner)
		}
		if possible && e.Owner < 0 {
			t.Fatalf("slice %d has no owner", k)
		}
	}
}
