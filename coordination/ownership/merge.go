package ownership

import (
	"github.com/hickorylug/hickorylug/state/fleet"
)

// Limits of the joining of ranges.
const (
	// mergeRangesPerServer is the number of ranges per backend server above which ranges are joined, since each of them is
	// renewed by a call of its own.
	mergeRangesPerServer = 1.5
	// urgentMergeRangesPerServer is the number from which they are merged without waiting for a plan for balance.
	urgentMergeRangesPerServer = 4
	// maxJoinedKeys is the number of keys up to which a range is moved to the owner of an adjacent one to be joined with it.
	maxJoinedKeys = 32
	// maxJoinedUtilization is the load of such a range up to which it is moved, as a share of a backend server's capacity.
	maxJoinedUtilization = 0.05
	// serversPerJoin bounds the ranges that one plan moves to join them, in proportion to the backend servers.
	serversPerJoin = 20
)

// needsMerge reports whether ranges have to be merged before the next plan for balance. Each plan that changes the table costs a write to
// the store.
func needsMerge(t *fleet.Table, candidates []Candidate) bool {
	if len(t.Ranges) <= urgentMergeRangesPerServer*len(candidates) {
		return false
	}
	for i := 1; i < len(t.Ranges); i++ {
		if isMergeable(t.Ranges[i-1], t.Ranges[i]) {
			return true
		}
	}
	return false
}

// isMergeable reports whether two ranges are adjacent, have the same owner and aren't moving.
func isMergeable(a, b fleet.Range) bool {
	return a.Owner == b.Owner && !a.Moving() && !b.Moving() && a.To+1 == b.From
}

// hasManyRanges reports whether the table has so many ranges that some should be joined.
func (p *planner) hasManyRanges() bool {
	return float64(len(p.table.Ranges)) > mergeRangesPerServer*float64(len(p.targets))
}

// joinRanges moves some short and idle ranges to the owners of adjacent ones. The ranges remain from keys that were hot.
func (p *planner) joinRanges() {
	if !p.hasManyRanges() {
		return
	}
	moves := max(1, len(p.targets)/serversPerJoin)
	for i, r := range p.table.Ranges {
		if moves == 0 {
			return
		}
		if r.Moving() || r.Size() > maxJoinedKeys {
			continue
		}
		if owner, ok := p.adjacentOwner(i); ok {
			p.assigned[r.Owner] -= p.weightOf(r.From, r.To)
			p.table.Ranges[i] = p.reassign(fleet.Range{From: r.From, To: r.To}, r, owner)
			p.changed = true
			moves--
		}
	}
}

// adjacentOwner returns an owner of a range next to the range at an index, if it can bear that range's load.
func (p *planner) adjacentOwner(at int) (owner fleet.Incarnation, found bool) {
	r := p.table.Ranges[at]
	weight := p.weightOf(r.From, r.To)
	for _, next := range []int{at - 1, at + 1} {
		if next < 0 || next >= len(p.table.Ranges) {
			continue
		}
		n := p.table.Ranges[next]
		c, known := p.byIncarnation[n.Owner]
		if !known || !c.Eligible || c.Capacity <= 0 || n.Moving() || n.Owner == r.Owner {
			continue
		}
		if weight/c.Capacity <= maxJoinedUtilization && p.utilization(c)+weight/c.Capacity <= p.meanUtilization() {
			return n.Owner, true
		}
	}
	return owner, false
}

// mergeRanges merges adjacent ranges of one owner under a new fence when the table has many ranges.
func (p *planner) mergeRanges() {
	if !p.hasManyRanges() {
		return
	}
	var out []fleet.Range
	for _, r := range p.table.Ranges {
		if n := len(out) - 1; n >= 0 && isMergeable(out[n], r) {
			p.table.Fence++
			out[n].To, out[n].Fence = r.To, p.table.Fence
			p.changed = true
			continue
		}
		out = append(out, r)
	}
	p.table.Ranges = out
}
