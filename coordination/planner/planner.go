// Package planner decides which slices move, and to whom.
//
// Only the holder of the planner's lease plans. A move takes two writes of the
// service's table: the first names the next owner, from when nobody serves the
// slice any more; the second makes it the owner, after the lease holder of the
// old owner's group has confirmed that nothing is in flight. The functions
// here are pure: they map a table and what is known of the owners to the next
// version of the table.
//
// # Usage
//
//	next, changed := planner.Plan(current, owners, planner.WithMaxChurn(0.02))
//	if changed {
//		write(next)
//	}
package planner

import (
	"cmp"
	"slices"

	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// Owner is what the planner knows of a possible owner.
type Owner struct {
	Name id.Owner
	// Eligible says that the owner may get slices; one that isn't loses all of its own.
	Eligible bool
	// Weight is the share of work that the owner should get, relative to the others.
	Weight float64
	// MaxNewSlices bounds the number of slices that the owner may gain in one plan, or is negative.
	MaxNewSlices int
}

// Load is the rate of requests of each slice and of the hottest keys.
type Load struct {
	Slices []float64
	Keys   []KeyLoad
}

// KeyLoad is the rate of requests of one key.
type KeyLoad struct {
	Key  table.Hash
	Rate float64
}

// Plan returns the next version of a table, and whether it differs.
func Plan(current *table.Table, owners []Owner, load Load, opts ...Option) (next *table.Table, changed bool) {
	o := newOptions(opts)
	p := newPlan(current, owners, load, o)
	if len(p.eligible()) == 0 {
		return current, false
	}
	p.assignVacant()
	p.evacuate()
	p.redirect()
	if !o.NoBalance && p.next.MovingCount() == 0 {
		p.isolateHotKeys()
		p.balance()
	}
	if !p.changed {
		return current, false
	}
	p.next.Version++
	return p.next, true
}

// Complete returns the table in which entries whose old owner has let go belong to the next one.
func Complete(current *table.Table, released func(id.Owner) bool) (next *table.Table, changed bool) {
	next = current.Clone()
	finish := func(e table.Entry) table.Entry {
		if e.Moving() && (e.Owner < 0 || released(next.OwnerAt(e.Owner))) {
			changed = true
			return table.Entry{Owner: e.Next, Next: -1}
		}
		return e
	}
	for i, e := range next.Slices {
		next.Slices[i] = finish(e)
	}
	for h, e := range next.Keys {
		next.Keys[h] = finish(e)
	}
	if !changed {
		return current, false
	}
	next.Version++
	return next, true
}

// Sources returns the owners that have to let go of something, in order.
func Sources(t *table.Table) (out []id.Owner) {
	add := func(e table.Entry) {
		if name := t.OwnerAt(e.Owner); e.Moving() && name != "" && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	for _, e := range t.Slices {
		add(e)
	}
	for _, e := range t.Keys {
		add(e)
	}
	slices.Sort(out)
	return out
}

// Churn returns the share of slices that have another owner in a later table.
func Churn(before, after *table.Table) float64 {
	if len(before.Slices) == 0 || len(before.Slices) != len(after.Slices) {
		return 0
	}
	moved := 0
	for i, e := range after.Slices {
		old := before.OwnerAt(before.Slices[i].Owner)
		if old != "" && old != after.OwnerAt(e.Owner) {
			moved++
		}
	}
	return float64(moved) / float64(len(before.Slices))
}

type share struct {
	owner Owner
	index int32
	count int
	load  float64
	// gained counts the slices that this plan gives to the owner.
	gained int
}

type plan struct {
	options Options
	next    *table.Table
	load    Load
	shares  map[int32]*share
	changed bool
	mean    float64
}

func newPlan(current *table.Table, owners []Owner, load Load, o Options) *plan {
	p := &plan{options: o, next: current.Clone(), load: load, shares: map[int32]*share{}}
	for _, owner := range owners {
		if owner.Weight <= 0 {
			owner.Weight = 1
		}
		index := p.next.EnsureOwner(owner.Name)
		p.shares[index] = &share{owner: owner, index: index}
	}
	total := 0.0
	for i, e := range p.next.Slices {
		total += p.loadOf(i)
		if s, ok := p.shares[effective(e)]; ok {
			s.count++
			s.load += p.loadOf(i)
		}
	}
	for _, k := range load.Keys {
		if e, ok := p.next.Keys[k.Key]; ok {
			total += k.Rate
			if s, ok := p.shares[effective(e)]; ok {
				s.load += k.Rate
			}
		}
	}
	weights := 0.0
	for _, s := range p.eligible() {
		weights += s.owner.Weight
	}
	p.mean = total / max(weights, 1)
	return p
}

// effective returns who will own an entry once all moves are complete.
func effective(e table.Entry) int32 {
	if e.Moving() {
		return e.Next
	}
	return e.Owner
}

// loadOf returns the load of a slice; a slice without traffic counts a little, so that numbers are evened out, too.
func (p *plan) loadOf(i int) float64 {
	if i < len(p.load.Slices) {
		return p.load.Slices[i] + p.options.MinSliceRate
	}
	return p.options.MinSliceRate
}

func (p *plan) eligible() (out []*share) {
	for _, s := range p.shares {
		if s.owner.Eligible {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *share) int { return cmp.Compare(a.owner.Name, b.owner.Name) })
	return out
}

// coolest returns the eligible owner with the least load for its weight.
func (p *plan) coolest() *share {
	return slices.MinFunc(p.eligible(), func(a, b *share) int {
		return cmp.Or(cmp.Compare(a.load/a.owner.Weight, b.load/b.owner.Weight), cmp.Compare(a.count, b.count))
	})
}

func (p *plan) hottest() *share {
	return slices.MaxFunc(p.eligible(), func(a, b *share) int {
		return cmp.Or(cmp.Compare(a.load/a.owner.Weight, b.load/b.owner.Weight), cmp.Compare(a.count, b.count))
	})
}

// give puts slice i on its way to an owner.
func (p *plan) give(i int, to *share) {
	e := p.next.Slices[i]
	if from, ok := p.shares[effective(e)]; ok {
		from.load -= p.loadOf(i)
		from.count--
	}
	to.load += p.loadOf(i)
	to.count++
	to.gained++
	p.next.Slices[i] = moved(e, to.index)
	p.changed = true
}

// moved returns an entry on its way; one that nobody owns is there at once.
func moved(e table.Entry, to int32) table.Entry {
	if e.Owner < 0 {
		return table.Entry{Owner: to, Next: -1}
	}
	return table.Entry{Owner: e.Owner, Next: to}
}

// assignVacant gives every slice without owner to the coolest one.
func (p *plan) assignVacant() {
	for i, e := range p.next.Slices {
		if e.Owner < 0 && !e.Moving() {
			p.give(i, p.coolest())
		}
	}
}

// evacuate moves everything away from owners that are no longer eligible.
func (p *plan) evacuate() {
	for i, e := range p.next.Slices {
		if !e.Moving() && !p.isEligible(e.Owner) {
			p.give(i, p.coolest())
		}
	}
	for h, e := range p.next.Keys {
		if !e.Moving() && !p.isEligible(e.Owner) {
			p.next.Keys[h] = moved(e, p.coolest().index)
			p.changed = true
		}
	}
}

// redirect gives moves whose next owner was lost meanwhile another aim.
func (p *plan) redirect() {
	for i, e := range p.next.Slices {
		if e.Moving() && !p.isEligible(e.Next) {
			p.give(i, p.coolest())
		}
	}
	for h, e := range p.next.Keys {
		if e.Moving() && !p.isEligible(e.Next) {
			p.next.Keys[h] = table.Entry{Owner: e.Owner, Next: p.coolest().index}
			p.changed = true
		}
	}
}

func (p *plan) isEligible(index int32) bool {
	s, ok := p.shares[index]
	return ok && s.owner.Eligible
}
