package planner

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/hickorylug/hickorylug/state/table"
)

// isolateHotKeys takes keys out of their slice that are too hot to be balanced with it.
//
// A single key whose share of an owner's work is over the bound goes to the
// coolest owner on its own; a key that has cooled down returns to its slice's
// owner and is then dropped from the exceptions.
func (p *plan) isolateHotKeys() {
	rates := map[table.Hash]float64{}
	for _, k := range p.load.Keys {
		rates[k.Key] = k.Rate
		if _, single := p.next.Keys[k.Key]; !single && k.Rate > p.options.HotKeyShare*p.mean && len(p.next.Keys) < p.options.MaxIsolatedKeys {
			p.isolate(k)
		}
	}
	for _, h := range slices.Sorted(maps.Keys(p.next.Keys)) {
		if rates[h] < p.options.HotKeyShare*p.mean/4 {
			p.rejoin(h)
		}
	}
}

func (p *plan) isolate(k KeyLoad) {
	slice := p.next.Slices[p.next.SliceOf(k.Key)]
	from, ok := p.shares[slice.Owner]
	to := p.coolest()
	if !ok || from == to || from.load/from.owner.Weight < p.bound()*p.mean {
		return
	}
	from.load -= k.Rate
	to.load += k.Rate
	p.next.Keys[k.Key] = moved(slice, to.index)
	p.changed = true
}

// rejoin brings a cooled key back to the owner of its slice.
func (p *plan) rejoin(h table.Hash) {
	home := p.next.Slices[p.next.SliceOf(h)]
	e := p.next.Keys[h]
	switch {
	case home.Moving():
	case e.Owner == home.Owner:
		delete(p.next.Keys, h)
		p.changed = true
	default:
		p.next.Keys[h] = moved(e, home.Owner)
		p.changed = true
	}
}

// balance moves the fewest slices that bring the hottest owner under the bound.
func (p *plan) balance() {
	budget := int(p.options.MaxChurn * float64(len(p.next.Slices)))
	if hot := p.hottest(); hot.load/hot.owner.Weight > urgentRatio*p.mean {
		budget *= urgentChurn
	}
	for range max(budget, 1) {
		from, to := p.hottest(), p.coolest()
		if from == to || from.load/from.owner.Weight <= p.bound()*p.mean {
			return
		}
		if to.owner.MaxNewSlices >= 0 && to.gained >= to.owner.MaxNewSlices {
			return
		}
		i := p.best(from, to)
		if i < 0 {
			return
		}
		p.give(i, to)
	}
}

const (
	// urgentRatio is the ratio to the mean load from which more slices move at once.
	urgentRatio = 3
	urgentChurn = 3
)

// bound returns the ratio to the mean load from which an owner is too hot.
//
// Few requests fluctuate by chance; two standard deviations of a count as
// large as the mean are left alone, or keys would move to and fro for nothing.
func (p *plan) bound() float64 {
	counted := p.mean * p.options.MeasurementWindow.Seconds()
	if p.mean <= p.options.MinSliceRate*float64(len(p.next.Slices)) {
		return p.options.MaxLoadRatio
	}
	return p.options.MaxLoadRatio + 2/math.Sqrt(max(counted, 1))
}

// best returns the slice whose move evens out two owners most, or -1 where none helps.
func (p *plan) best(from, to *share) int {
	gap := from.load/from.owner.Weight - to.load/to.owner.Weight
	candidates := []int{}
	for i, e := range p.next.Slices {
		if e.Owner == from.index && !e.Moving() && p.loadOf(i) < gap {
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
