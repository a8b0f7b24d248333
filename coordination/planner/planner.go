// Package planner decides which slices move to which owners.
//
// Only the holder of the planner's lease plans. A move takes two writes of the
// service's table. The first sets the next owner; from then on no owner serves
// the slice. The second makes the next owner the owner, after the lease holder
// of the old owner's group has confirmed that no request is in flight. The
// functions of this package do no I/O: they compute the next version of a table
// from the current one and the state of the owners.
//
// # Usage
//
//	next, changed := planner.Plan(current, owners, load, planner.WithMaxChurn(0.02))
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

// Owner is the state of a possible owner of slices.
type Owner struct {
	Name id.Owner
	// Eligible says that the owner may be assigned slices; all slices of an ineligible owner are moved from it.
	Eligible bool
	// Weight is the share of load that the owner should get, relative to the others; 0 or less counts as 1.
	Weight float64
	// MaxNewSlices is the number of slices from which the owner gets no more for balance in one plan, as during its
	// warm-up; a negative value means no bound.
	MaxNewSlices int
}

// Load holds the request rates of all slices and of the keys with the highest rates.
type Load struct {
	Slices []float64
	Keys   []KeyLoad
}

// KeyLoad is the request rate of one key.
type KeyLoad struct {
	Key  table.Hash
	Rate float64
}

// Plan returns the next version of a table, and whether it differs from the current one.
//
// Without an eligible owner the table doesn't change.
func Plan(current *table.Table, owners []Owner, load Load, opts ...Option) (next *table.Table, changed bool) {
	o := newOptions(opts)
	p := newPlan(current, owners, load, o)
	if len(p.eligibleOwners()) == 0 {
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

// Complete returns the next version of a table, in which the moves from owners that have released their entries are
// complete, and whether it differs from the current one.
func Complete(current *table.Table, released func(id.Owner) bool) (next *table.Table, changed bool) {
	next = current.Clone()
	finish := func(e table.Entry) table.Entry {
		if e.IsMoving() && (e.Owner < 0 || released(next.OwnerAt(e.Owner))) {
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

// Sources returns the owners that have to release slices or keys, in ascending order.
func Sources(t *table.Table) (out []id.Owner) {
	add := func(e table.Entry) {
		if name := t.OwnerAt(e.Owner); e.IsMoving() && name != "" && !slices.Contains(out, name) {
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

// Churn returns the share of slices whose owner differs between two tables; slices without a former owner don't count.
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

type ownerState struct {
	owner      Owner
	index      int32
	sliceCount int
	load       float64
	// gained counts the slices that this plan moves to the owner.
	gained int
}

type plan struct {
	options  Options
	next     *table.Table
	load     Load
	owners   map[int32]*ownerState
	changed  bool
	meanLoad float64
}

func newPlan(current *table.Table, owners []Owner, load Load, o Options) *plan {
	p := &plan{options: o, next: current.Clone(), load: load, owners: map[int32]*ownerState{}}
	for _, owner := range owners {
		if owner.Weight <= 0 {
			owner.Weight = 1
		}
		index := p.next.EnsureOwner(owner.Name)
		p.owners[index] = &ownerState{owner: owner, index: index}
	}
	total := 0.0
	for i, e := range p.next.Slices {
		total += p.loadOf(i)
		if s, ok := p.owners[finalOwner(e)]; ok {
			s.sliceCount++
			s.load += p.loadOf(i)
		}
	}
	for _, k := range load.Keys {
		if e, ok := p.next.Keys[k.Key]; ok {
			total += k.Rate
			if s, ok := p.owners[finalOwner(e)]; ok {
				s.load += k.Rate
			}
		}
	}
	weights := 0.0
	for _, s := range p.eligibleOwners() {
		weights += s.owner.Weight
	}
	p.meanLoad = total / max(weights, 1)
	return p
}

// finalOwner returns the owner of an entry once all moves are complete.
func finalOwner(e table.Entry) int32 {
	if e.IsMoving() {
		return e.Next
	}
	return e.Owner
}

// loadOf returns the load of a slice; one without requests has a small load, so that the number of slices is balanced,
// too.
func (p *plan) loadOf(i int) float64 {
	if i < len(p.load.Slices) {
		return p.load.Slices[i] + p.options.MinSliceRate
	}
	return p.options.MinSliceRate
}

func (p *plan) eligibleOwners() (out []*ownerState) {
	for _, s := range p.owners {
		if s.owner.Eligible {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *ownerState) int { return cmp.Compare(a.owner.Name, b.owner.Name) })
	return out
}

// leastLoaded returns the eligible owner with the least load relative to its weight.
func (p *plan) leastLoaded() *ownerState {
	return slices.MinFunc(p.eligibleOwners(), func(a, b *ownerState) int {
		return cmp.Or(cmp.Compare(a.load/a.owner.Weight, b.load/b.owner.Weight), cmp.Compare(a.sliceCount, b.sliceCount))
	})
}

func (p *plan) mostLoaded() *ownerState {
	return slices.MaxFunc(p.eligibleOwners(), func(a, b *ownerState) int {
		return cmp.Or(cmp.Compare(a.load/a.owner.Weight, b.load/b.owner.Weight), cmp.Compare(a.sliceCount, b.sliceCount))
	})
}

// moveSlice starts the move of slice i to an owner.
func (p *plan) moveSlice(i int, to *ownerState) {
	e := p.next.Slices[i]
	if from, ok := p.owners[finalOwner(e)]; ok {
		from.load -= p.loadOf(i)
		from.sliceCount--
	}
	to.load += p.loadOf(i)
	to.sliceCount++
	to.gained++
	p.next.Slices[i] = moveEntry(e, to.index)
	p.changed = true
}

// moveEntry returns an entry that moves to another owner; an entry without an owner is assigned at once.
func moveEntry(e table.Entry, to int32) table.Entry {
	if e.Owner < 0 {
		return table.Entry{Owner: to, Next: -1}
	}
	return table.Entry{Owner: e.Owner, Next: to}
}

// assignVacant assigns every slice without an owner to the least loaded one.
func (p *plan) assignVacant() {
	for i, e := range p.next.Slices {
		if e.Owner < 0 && !e.IsMoving() {
			p.moveSlice(i, p.leastLoaded())
		}
	}
}

// evacuate moves all slices and keys from owners that are no longer eligible.
func (p *plan) evacuate() {
	for i, e := range p.next.Slices {
		if !e.IsMoving() && !p.isEligible(e.Owner) {
			p.moveSlice(i, p.leastLoaded())
		}
	}
	for h, e := range p.next.Keys {
		if !e.IsMoving() && !p.isEligible(e.Owner) {
			p.next.Keys[h] = moveEntry(e, p.leastLoaded().index)
			p.changed = true
		}
	}
}

// redirect gives another next owner to the moves whose next owner is no longer eligible.
func (p *plan) redirect() {
	for i, e := range p.next.Slices {
		if e.IsMoving() && !p.isEligible(e.Next) {
			p.moveSlice(i, p.leastLoaded())
		}
	}
	for h, e := range p.next.Keys {
		if e.IsMoving() && !p.isEligible(e.Next) {
			p.next.Keys[h] = table.Entry{Owner: e.Owner, Next: p.leastLoaded().index}
			p.changed = true
		}
	}
}

func (p *plan) isEligible(index int32) bool {
	s, ok := p.owners[index]
	return ok && s.owner.Eligible
}
