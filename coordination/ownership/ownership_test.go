package ownership_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

const service id.Service = "plans"

func incarnation(name string) fleet.Incarnation {
	return fleet.Incarnation{Server: id.Server(name), Born: 1}
}

func warmCandidates(names ...string) (out []ownership.Candidate) {
	for _, n := range names {
		out = append(out, ownership.Candidate{Incarnation: incarnation(n), Eligible: true, Warm: true, Capacity: 40})
	}
	return out
}

// keysAndRates returns the number of keys and the load of each owner, in requests per second.
func keysAndRates(t *fleet.Table, load ownership.Load) (keys map[id.Server]int, rates map[id.Server]float64) {
	keys, rates = map[id.Server]int{}, map[id.Server]float64{}
	for _, r := range t.Ranges {
		keys[r.Owner.Server] += r.Size()
		for k := int(r.From); k <= int(r.To); k++ {
			rates[r.Owner.Server] += load[fleet.Key(k)]
		}
	}
	return keys, rates
}

// hotRunLoad returns a load with 60 adjacent busy keys.
func hotRunLoad() ownership.Load {
	load := ownership.Load{}
	for k := range 60 {
		load[fleet.Key(30000+k)] = 1
	}
	for k := 0; k < fleet.KeyCount; k += 256 {
		load[fleet.Key(k)] += 0.2
	}
	return load
}

// hotKeyLoad returns a load with one key that exceeds the capacity of any owner, and 36 busy keys of another owner.
func hotKeyLoad() ownership.Load {
	load := ownership.Load{1000: 200}
	for k := range 36 {
		load[fleet.Key(20000+k*100)] = 1
	}
	return load
}

// hotKeyWithNeighboursLoad returns a load with a key that takes most of its owner's capacity, with other keys around it.
func hotKeyWithNeighboursLoad() ownership.Load {
	load := ownership.Load{8000: 30}
	for k := range 16 {
		load[fleet.Key(k*1000)]++
	}
	return load
}

func TestPlan(t *testing.T) {
	hotRun, hotKey, hotWithNeighbours := hotRunLoad(), hotKeyLoad(), hotKeyWithNeighboursLoad()
	tests := map[string]struct {
		before     []ownership.Candidate
		candidates []ownership.Candidate
		load       ownership.Load
		rounds     int
		check      func(is *is.I, t *fleet.Table)
	}{
		"the first table is divided evenly": {
			candidates: warmCandidates("a", "b", "c", "d"), rounds: 1,
			check: func(is *is.I, t *fleet.Table) {
				keys, _ := keysAndRates(t, nil)
				for _, n := range []id.Server{"a", "b", "c", "d"} {
					is.True(keys[n] > fleet.KeyCount/5 && keys[n] < fleet.KeyCount/3)
				}
				is.True(!t.Ranges[0].Moving())
			},
		},
		"keys of the only server are spread over new ones without load": {
			before: warmCandidates("a"), candidates: warmCandidates("a", "b", "c", "d"), load: ownership.Load{}, rounds: 2,
			check: func(is *is.I, t *fleet.Table) {
				keys, _ := keysAndRates(t, nil)
				for _, n := range []id.Server{"a", "b", "c", "d"} {
					is.True(keys[n] > fleet.KeyCount/6 && keys[n] < fleet.KeyCount/3)
				}
			},
		},
		"keys of a stopped server are reassigned": {
			before: warmCandidates("a", "b", "c"), candidates: warmCandidates("b", "c"), rounds: 1,
			check: func(is *is.I, t *fleet.Table) {
				keys, _ := keysAndRates(t, nil)
				is.Equal(keys["a"], 0)
				for _, r := range t.Ranges {
					is.True(!r.Moving() || *r.PreviousOwner == incarnation("a") && r.Fence > r.PreviousFence)
				}
			},
		},
		"cold servers get no keys while there are warm ones": {
			candidates: append(warmCandidates("a", "b"), ownership.Candidate{Incarnation: incarnation("c"), Eligible: true, Capacity: 40}), rounds: 1,
			check: func(is *is.I, t *fleet.Table) {
				keys, _ := keysAndRates(t, nil)
				is.Equal(keys["c"], 0)
			},
		},
		"no server is eligible": {
			before: warmCandidates("a"), candidates: []ownership.Candidate{{Incarnation: incarnation("a"), Capacity: 40}}, load: hotRun, rounds: 1,
			check: func(is *is.I, t *fleet.Table) {
				keys, _ := keysAndRates(t, nil)
				is.Equal(keys["a"], fleet.KeyCount)
			},
		},
		"a key above the capacity of any owner does not block other moves": {
			before: warmCandidates("a", "b", "c", "d"), candidates: warmCandidates("a", "b", "c", "d"), load: hotKey, rounds: 3,
			check: func(is *is.I, t *fleet.Table) {
				_, rates := keysAndRates(t, hotKey)
				r, found := t.Find(1000)
				is.True(found)
				for owner, rate := range rates {
					is.True(owner == r.Owner.Server || rate < 0.6*40)
				}
			},
		},
		"other keys are moved from the owner of a hot key": {
			before: warmCandidates("a", "b", "c", "d"), candidates: warmCandidates("a", "b", "c", "d"), load: hotWithNeighbours, rounds: 4,
			check: func(is *is.I, t *fleet.Table) {
				_, rates := keysAndRates(t, hotWithNeighbours)
				r, found := t.Find(8000)
				is.True(found)
				is.True(rates[r.Owner.Server] < 30+8)
			},
		},
		"a run of hot keys is split": {
			before: warmCandidates("a", "b", "c", "d"), candidates: warmCandidates("a", "b", "c", "d"), load: hotRun, rounds: 4,
			check: func(is *is.I, t *fleet.Table) {
				_, rates := keysAndRates(t, hotRun)
				for _, rate := range rates {
					is.True(rate < 1.3*(60+0.2*256)/4) // The objective is a busiest owner of at most 1.25 times the mean.
				}
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var table *fleet.Table
			if test.before != nil {
				table, _ = ownership.Plan(service, nil, test.before, nil)
			}
			for range test.rounds {
				next, _ := ownership.Plan(service, table, test.candidates, test.load)
				is.True(next.IsValid())
				table, _ = ownership.CompleteMoves(next, func(fleet.Range) bool { return test.rounds > 1 })
			}
			total := 0
			for _, r := range table.Ranges {
				total += r.Size()
			}
			is.Equal(total, fleet.KeyCount)
			test.check(is, table)
		})
	}
}

func TestMergedRangesGetNewFence(t *testing.T) {
	is := is.New(t)
	table := &fleet.Table{Service: service, Fence: 20}
	for i := range 20 {
		table.Ranges = append(table.Ranges, fleet.Range{From: fleet.Key(i * 10), To: fleet.Key(i*10 + 9), Owner: incarnation("a"), Fence: fleet.Fence(i + 1)})
	}
	table.Ranges[19].To = fleet.KeyCount - 1
	next, changed := ownership.Plan(service, table, warmCandidates("a"), nil)
	is.True(changed)
	is.Equal(len(next.Ranges), 1)
	is.True(next.Ranges[0].Fence > 20)
}

// Fences must be above all that backend servers may have seen under a table that is lost.
func TestRefence(t *testing.T) {
	is := is.New(t)
	is.True(ownership.Refence("s", nil, 1).Fence > 0)
	a, b := fleet.Incarnation{Server: "a", Born: 1}, fleet.Incarnation{Server: "b", Born: 1}
	next := ownership.Refence("s", &fleet.Table{Service: "s", Fence: 9, Ranges: []fleet.Range{
		{From: 0, To: 9, Owner: a, Fence: 3}, {From: 10, To: 65535, Owner: b, Fence: 9, PreviousOwner: &a, PreviousFence: 4},
	}}, 1)
	is.True(next.IsValid())
	for i, r := range next.Ranges {
		is.True(r.Fence > 100_000)
		is.True(!r.Moving())
		is.True(i == 0 || r.Fence > next.Ranges[i-1].Fence)
	}
}

// Guards against fences that begin where they began when a table was lost before.
func TestFencesRiseWithEachLostTable(t *testing.T) {
	is := is.New(t)
	before := fleet.Fence(0)
	for _, at := range []id.Revision{1, 2, 1000, 1 << 31, id.Era(1).Revision(1), id.Era(1).Revision(2), id.Era(2).Revision(1), id.Era(4000).Revision(1)} {
		next := ownership.Refence("s", nil, at)
		is.True(next.Fence > before+100)
		before = next.Fence
	}
	// Fences are exact as numbers of JSON.
	is.True(before < 1<<53)
}
