package planner

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/hickorylug/hickorylug/state/table"
)

// isolateHotKeys assigns owners of their own to keys whose rate is too high to be balanced together with their slice.
//
// A key whose rate exceeds HotKeyShare of the mean load is moved to the least
// loaded owner if its own owner is above the maximum load ratio. An isolated
// key whose rate has fallen below a quarter of that share is moved back to its
// slice's owner and then removed from the isolated keys.
func (p *plan) isolateHotKeys() {
	rates := map[table.Hash]float64{}
	for _, k := range p.load.Keys {
		rates[k.Key] = k.Rate
		if _, isolated := p.next.Keys[k.Key]; !isolated && k.Rate > p.options.HotKeyShare*p.meanLoad && len(p.next.Keys) < p.options.MaxIsolatedKeys {
			p.isolate(k)
		}
	}
	for _, h := range slices.Sorted(maps.Keys(p.next.Keys)) {
		if rates[h] < p.options.HotKeyShare*p.meanLoad/4 {
			p.rejoin(h)
		}
	}
}

func (p *plan) isolate(k KeyLoad) {
	slice := p.next.Slices[p.next.SliceOf(k.Key)]
	from, ok := p.owners[slice.Owner]
	to := p.leastLoaded()
	if !ok || from == to || from.load/from.owner.Weight < p.maxLoadRatio()*p.meanLoad {
		return
	}
	from.load -= k.Rate
	to.load += k.Rate
	p.next.Keys[k.Key] = moveEntry(slice, to.index)
	p.changed = true
}

// rejoin moves a key that is no longer hot back to the owner of its slice, and removes it from the isolated keys once
// that owner has it.
func (p *plan) rejoin(h table.Hash) {
	slice := p.next.Slices[p.next.SliceOf(h)]
	e := p.next.Keys[h]
	switch {
	case slice.IsMoving():
	case e.Owner == slice.Owner:
		delete(p.next.Keys, h)
		p.changed = true
	default:
		p.next.Keys[h] = moveEntry(e, slice.Owner)
		p.changed = true
	}
}

// balance moves slices from the most to the least loaded owner until no owner is above the maximum load ratio, with as
// few moves as possible and within the churn budget.
func (p *plan) balance() {
	budget := int(p.options.MaxChurn * float64(len(p.next.Slices)))
	if most := p.mostLoaded(); most.load/most.owner.Weight > urgentRatio*p.meanLoad {
		budget *= urgentChurnFactor
	}
	for range max(budget, 1) {
		from, to := p.mostLoaded(), p.leastLoaded()
		if from == to || from.load/from.owner.Weight <= p.maxLoadRatio()*p.meanLoad {
			return
		}
		if to.owner.MaxNewSlices >= 0 && to.gained >= to.owner.MaxNewSlices {
			return
		}
		i := p.bestSlice(from, to)
		if i < 0 {
			return
		}
		p.moveSlice(i, to)
	}
}

const (
	// urgentRatio is the ratio to the mean load above which urgentChurnFactor times as many slices may move in one plan.
	urgentRatio       = 3
	urgentChurnFactor = 3
)

// maxLoadRatio returns the ratio to the mean load above which slices of an owner are moved.
//
// A small number of requests fluctuates by chance. Two standard deviations of
// a count as large as the mean are tolerated, since keys would otherwise move
// back and forth without benefit.
func (p *plan) maxLoadRatio() float64 {
	counted := p.meanLoad * p.options.MeasurementWindow.Seconds()
	if p.meanLoad <= p.options.MinSliceRate*float64(len(p.next.Slices)) {
		return p.options.MaxLoadRatio
	}
	return p.options.MaxLoadRatio + 2/math.Sqrt(max(counted, 1))
}

// bestSlice returns the slice whose move makes the loads of two owners most equal, or -1 if no move improves them.
func (p *plan) bestSlice(from, to *ownerState) int {
	gap := from.load/from.owner.Weight - to.load/to.owner.Weight
	candidates := []int{}
	for i, e := range p.next.Slices {
		if e.Owner == from.index && !e.IsMoving() && p.loadOf(i) < gap {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return -1
	}
	return slices.MinFunc(candidates, func(a, b int) int {
		return cmp.Compare(abs(p.loadOf(a)-gap/2), abs(p.loadOf(b)-gap/2))
	})
}

func abs(v float64) float64 {
	if v < 0 {
		return -v
	}
	return v
}
