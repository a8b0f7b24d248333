// Package ownership decides which backend server owns which keys.
//
// Plan computes the next table of a service: it reassigns the keys of backend
// servers that have stopped or are draining, and moves busy key ranges to
// backend servers with spare capacity. Granter derives from a table the grant
// and release commands to send. Neither of them does I/O: the leader writes the
// tables and makes the calls.
//
// # Usage
//
//	next, changed := ownership.Plan(service, table, candidates, load)
//	for _, command := range granter.Due(now, next, liveness) {
//		go send(command)
//	}
package ownership

import (
	"cmp"
	"slices"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// Candidate is a backend server that may own keys.
type Candidate struct {
	Incarnation fleet.Incarnation
	// Eligible says that it may be assigned keys and keep those it has.
	Eligible bool
	// Warm says that its warm-up has ended, so that it can serve its full share.
	Warm bool
	// Capacity is the number of requests per second that it can serve.
	Capacity float64
}

// Load is the number of requests per second by key.
type Load map[fleet.Key]float64

// Limits of one plan.
const (
	// rebalanceUtilization is the utilization of a backend server from which keys are moved for balance.
	rebalanceUtilization = 0.6
	// imbalanceRatio is the ratio of the highest utilization to the mean from which keys are moved.
	imbalanceRatio = 1.2
	// minMoves and serversPerMove bound the ranges that one plan moves for balance, so that the requests of few keys are
	// held up at once.
	minMoves       = 3
	serversPerMove = 2
	// maxPieces bounds the pieces into which each range is split whose owner must not keep its keys.
	maxPieces = 6
	// idleWeightShare is the total of the base weights that all keys get, also those without requests, as a share of the load.
	idleWeightShare = 0.2
	// minLoadRate is the load in requests per second below which keys are balanced by count.
	minLoadRate = 5.0
)

// planner holds the state of the computation of one plan.
type planner struct {
	table *fleet.Table
	// prefixWeight holds the prefix sums of the keys' weights: prefixWeight[k] covers all keys below k.
	prefixWeight []float64
	// assigned is the weight of the keys of each owner.
	assigned map[fleet.Incarnation]float64
	// targets are the candidates that may be assigned keys, in a fixed order.
	targets       []Candidate
	byIncarnation map[fleet.Incarnation]Candidate
	totalWeight   float64
	// immovable holds the candidates whose load can't be moved, such as the owner of a single hot key.
	immovable map[fleet.Incarnation]bool
	changed   bool
}

// Plan returns the next table of a service, and whether it differs from the current one, which may be nil.
//
// A nil load means that no keys are moved for balance.
func Plan(service id.Service, t *fleet.Table, candidates []Candidate, load Load) (next *fleet.Table, changed bool) {
	if load == nil && t != nil && !needsRepair(t, candidates) && !needsMerge(t, candidates) {
		return t, false
	}
	p := newPlanner(service, t, candidates, load)
	if len(p.targets) == 0 {
		return p.table, false
	}
	p.assignUnowned()
	p.evacuate()
	if load != nil {
		p.balance()
		p.joinRanges()
	}
	p.mergeRanges()
	return p.table, p.changed
}

// needsRepair reports whether keys have no owner, or one that must not keep them. It is much cheaper than a plan, which
// sums up the weights of all keys.
func needsRepair(t *fleet.Table, candidates []Candidate) bool {
	eligible := make(map[fleet.Incarnation]bool, len(candidates))
	for _, c := range candidates {
		eligible[c.Incarnation] = c.Eligible
	}
	next := 0
	for _, r := range t.Ranges {
		if int(r.From) != next || !r.Moving() && !eligible[r.Owner] {
			return true
		}
		next = int(r.To) + 1
	}
	return next != fleet.KeyCount
}

func newPlanner(service id.Service, t *fleet.Table, candidates []Candidate, load Load) *planner {
	p := &planner{table: &fleet.Table{Service: service}, assigned: map[fleet.Incarnation]float64{}, byIncarnation: map[fleet.Incarnation]Candidate{}, immovable: map[fleet.Incarnation]bool{}}
	if t != nil {
		p.table = t.Clone()
	}
	p.sumWeights(load)
	warm := slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Eligible && c.Warm })
	for _, c := range candidates {
		p.byIncarnation[c.Incarnation] = c
		if c.Eligible && (c.Warm || !warm) && c.Capacity > 0 {
			p.targets = append(p.targets, c)
		}
	}
	slices.SortFunc(p.targets, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Incarnation.Server, b.Incarnation.Server), cmp.Compare(a.Incarnation.Born, b.Incarnation.Born))
	})
	for _, r := range p.table.Ranges {
		p.assigned[r.Owner] += p.weightOf(r.From, r.To)
	}
	return p
}

// sumWeights computes the prefix sums of the keys' weights.
//
// A key without requests has a small weight, so that the number of keys is balanced, too.
func (p *planner) sumWeights(load Load) {
	sum := 0.0
	for _, rate := range load {
		sum += rate
	}
	idle := (sum + 1) * idleWeightShare / fleet.KeyCount
	p.prefixWeight = make([]float64, fleet.KeyCount+1)
	for k := range fleet.KeyCount {
		p.prefixWeight[k+1] = p.prefixWeight[k] + idle + load[fleet.Key(k)]
	}
	p.totalWeight = p.prefixWeight[fleet.KeyCount]
}

func (p *planner) weightOf(from, to fleet.Key) float64 {
	return p.prefixWeight[int(to)+1] - p.prefixWeight[from]
}

// utilization returns the assigned weight of a candidate divided by its capacity.
func (p *planner) utilization(c Candidate) float64 { return p.assigned[c.Incarnation] / c.Capacity }

// meanUtilization returns the utilization of all targets together, without the immovable ones.
func (p *planner) meanUtilization() float64 {
	load, capacity := p.totalWeight, 0.0
	for _, c := range p.targets {
		if p.immovable[c.Incarnation] {
			load -= p.assigned[c.Incarnation]
		} else {
			capacity += c.Capacity
		}
	}
	return load / capacity
}

func (p *planner) leastUtilized() Candidate {
	return slices.MinFunc(p.targets, func(a, b Candidate) int { return cmp.Compare(p.utilization(a), p.utilization(b)) })
}

// assignUnowned assigns the keys that never had an owner to the targets.
func (p *planner) assignUnowned() {
	next := 0
	var out []fleet.Range
	for _, r := range append(slices.Clone(p.table.Ranges), fleet.Range{From: fleet.KeyCount - 1, To: fleet.KeyCount - 1}) {
		end := r.Owner.Server == ""
		limit := int(r.From)
		if end {
			limit = fleet.KeyCount
		}
		if next < limit {
			out = append(out, p.splitRange(fleet.Range{From: fleet.Key(next), To: fleet.Key(limit - 1)}, len(p.targets))...)
		}
		if !end {
			out = append(out, r)
			next = int(r.To) + 1
		}
	}
	if len(out) != len(p.table.Ranges) {
		p.table.Ranges, p.changed = out, true
	}
}

// evacuate moves the keys of backend servers that must not keep them.
func (p *planner) evacuate() {
	var out []fleet.Range
	for _, r := range p.table.Ranges {
		if c, ok := p.byIncarnation[r.Owner]; r.Moving() || ok && c.Eligible {
			out = append(out, r)
			continue
		}
		p.changed = true
		p.assigned[r.Owner] -= p.weightOf(r.From, r.To)
		out = append(out, p.splitRange(r, maxPieces)...)
	}
	p.table.Ranges = out
}

// splitRange splits a range among the least utilized targets and reassigns the pieces to them.
func (p *planner) splitRange(r fleet.Range, pieces int) (out []fleet.Range) {
	mean := p.meanUtilization()
	from := int(r.From)
	for i := 0; from <= int(r.To); i++ {
		c := p.leastUtilized()
		to := int(r.To)
		if i+1 < pieces {
			spare := max(mean*c.Capacity-p.assigned[c.Incarnation], 0)
			to = min(to, p.lastKeyWithin(from, spare))
		}
		piece := fleet.Range{From: fleet.Key(from), To: fleet.Key(to)}
		out = append(out, p.reassign(piece, r, c.Incarnation))
		from = to + 1
	}
	return out
}

// lastKeyWithin returns the last key of a run of keys that begins at from and whose weight is about amount.
func (p *planner) lastKeyWithin(from int, amount float64) int {
	limit := p.prefixWeight[from] + amount
	to, _ := slices.BinarySearch(p.prefixWeight[from+1:], limit)
	return min(from+to, fleet.KeyCount-1)
}

// reassign returns a piece of range r with a new owner and a new fence.
func (p *planner) reassign(piece, r fleet.Range, owner fleet.Incarnation) fleet.Range {
	p.table.Fence += 1 + reservedFences
	piece.Owner, piece.Fence = owner, p.table.Fence
	if r.Owner.Server != "" {
		before := r.Owner
		piece.PreviousOwner, piece.PreviousFence = &before, r.Fence
	}
	p.assigned[owner] += p.weightOf(piece.From, piece.To)
	return piece
}

// balance moves runs of busy keys from the most utilized targets to the least utilized one.
//
// A target whose load no move can lower is marked immovable, so that the load of the others is still balanced.
func (p *planner) balance() {
	if len(p.targets) < 2 {
		return
	}
	// Without load no requests are held up while keys move, so the number of moves needs no tighter bound.
	moves, threshold := len(p.targets), 0.0
	if p.totalWeight >= minLoadRate {
		moves, threshold = max(minMoves, len(p.targets)/serversPerMove), rebalanceUtilization
	}
	for moves > 0 {
		source, found := p.mostUtilized()
		if !found || p.utilization(source) < threshold || p.utilization(source) < imbalanceRatio*p.meanUtilization() {
			return
		}
		if p.moveBestRun(source, p.leastUtilized()) {
			moves--
		} else {
			p.immovable[source.Incarnation] = true
		}
	}
}

// mostUtilized returns the target with the highest utilization, without the immovable ones.
func (p *planner) mostUtilized() (most Candidate, found bool) {
	for _, c := range p.targets {
		if !p.immovable[c.Incarnation] && (!found || p.utilization(c) > p.utilization(most)) {
			most, found = c, true
		}
	}
	return most, found
}

const (
	// churnCost is the utilization that a move of the whole key space would have to gain; a smaller move must gain its
	// share of it, since each moved key has a cost.
	churnCost = 1.0
	// minGain is the least amount by which a move must lower the higher utilization of two targets.
	minGain = 0.08
)

// moveBestRun moves the run of keys with the highest gain from source to target; it reports whether there is one.
func (p *planner) moveBestRun(source, target Candidate) bool {
	mean := p.meanUtilization()
	amount := min(p.assigned[source.Incarnation]-mean*source.Capacity, mean*target.Capacity-p.assigned[target.Incarnation])
	best, at, maxGain := fleet.Range{}, 0, 0.0
	for i, r := range p.table.Ranges {
		if r.Owner != source.Incarnation || r.Moving() {
			continue
		}
		for _, piece := range p.endPieces(r, amount) {
			if gain := p.gain(piece, source, target); gain > maxGain {
				best, at, maxGain = piece, i, gain
			}
		}
	}
	if maxGain == 0 {
		return false
	}
	p.movePiece(at, best, target.Incarnation)
	return true
}

// gain returns by how much moving a piece lowers the higher utilization of the two targets, less the cost of the move.
func (p *planner) gain(piece fleet.Range, source, target Candidate) float64 {
	weight := p.weightOf(piece.From, piece.To)
	after := max((p.assigned[source.Incarnation]-weight)/source.Capacity, (p.assigned[target.Incarnation]+weight)/target.Capacity)
	gain := p.utilization(source) - after
	if p.totalWeight < minLoadRate {
		// Below minLoadRate all utilizations are small, and hardly any requests are held up by keys that move.
		return gain - minGain*p.utilization(source)
	}
	return gain - minGain - churnCost*float64(piece.Size())/fleet.KeyCount
}

// endPieces returns pieces of about the given weight from both ends of a range.
func (p *planner) endPieces(r fleet.Range, amount float64) (out []fleet.Range) {
	first := min(p.lastKeyWithin(int(r.From), amount), int(r.To))
	out = append(out, fleet.Range{From: r.From, To: fleet.Key(first)})
	if first > int(r.From) {
		out = append(out, fleet.Range{From: r.From, To: fleet.Key(first - 1)})
	}
	last, _ := slices.BinarySearch(p.prefixWeight, p.prefixWeight[int(r.To)+1]-amount)
	last = max(last, int(r.From))
	if last <= int(r.To) {
		out = append(out, fleet.Range{From: fleet.Key(last), To: r.To})
	}
	if last < int(r.To) {
		out = append(out, fleet.Range{From: fleet.Key(last + 1), To: r.To})
	}
	return out
}

// movePiece moves a piece of a range to another owner; the rest of the range keeps its owner and fence.
func (p *planner) movePiece(at int, piece fleet.Range, to fleet.Incarnation) {
	r := p.table.Ranges[at]
	p.assigned[r.Owner] -= p.weightOf(piece.From, piece.To)
	var parts []fleet.Range
	if piece.From > r.From {
		left := r
		left.To = piece.From - 1
		parts = append(parts, left)
	}
	parts = append(parts, p.reassign(piece, r, to))
	if piece.To < r.To {
		right := r
		right.From = piece.To + 1
		parts = append(parts, right)
	}
	p.table.Ranges = slices.Replace(p.table.Ranges, at, at+1, parts...)
	p.changed = true
}

// Revise returns the next table of a service: it completes ended moves, moves keys and renews fences where necessary.
//
// Ended moves are completed before the plan is made, so that keys whose new
// owner doesn't take them can be moved again. Settled reports whether moves
// were completed. Moved is false where the table differs only by completed
// moves, which may be written together with the next change.
func (g *Granter) Revise(now clock.Instant, t *fleet.Table, candidates []Candidate, load Load) (next *fleet.Table, moved, settled bool) {
	next, settled = CompleteMoves(t, func(r fleet.Range) bool { return g.IsSettled(t.Service, r) })
	next, renewed := renewFences(next, func(r fleet.Range) bool { return g.renewsFence(now, t.Service, r) })
	next, moved = Plan(t.Service, next, candidates, load)
	for _, r := range next.Ranges {
		if r.Fence > t.Fence {
			g.planned[rangeKey{t.Service, r.From, r.To, r.Fence}] = true
		}
	}
	return next, moved || renewed, settled
}

// CompleteMoves returns the table without the previous owners of the moves that have ended, and whether it differs.
func CompleteMoves(t *fleet.Table, ended func(fleet.Range) bool) (next *fleet.Table, changed bool) {
	next = t.Clone()
	for i, r := range next.Ranges {
		if r.Moving() && ended(r) {
			next.Ranges[i].PreviousOwner, next.Ranges[i].PreviousFence = nil, 0
			changed = true
		}
	}
	return next, changed
}

// renewFences returns the table with new fences for some ranges, and whether it differs.
func renewFences(t *fleet.Table, isDue func(fleet.Range) bool) (next *fleet.Table, changed bool) {
	next = t.Clone()
	for i, r := range next.Ranges {
		if isDue(r) {
			next.Fence += 1 + reservedFences
			next.Ranges[i].Fence = next.Fence
			changed = true
		}
	}
	return next, changed
}

const (
	// lostFences is more than the number of fences that are issued in the time that an older copy of the store may lack.
	lostFences = 1 << 20
	// eraFences is the number of fences of an era of the store, and revisionFences is more than the average number that is issued between two
	// revisions. An era begins above all fences of the one before, and a later revision of it above those of an earlier one.
	eraFences      = 1 << 40
	revisionFences = 1 << 8
	// maxRevisionFences bounds the fences that revisions of one era begin with.
	maxRevisionFences = eraFences / 2
)

// firstFence returns a fence above all that backend servers may have seen under tables that are lost, before a revision of the store.
func firstFence(at id.Revision) fleet.Fence {
	return fleet.Fence(at.Era())*eraFences + fleet.Fence(min(at.Number(), maxRevisionFences/revisionFences))*revisionFences
}

// Refence returns the table with fences above all that backend servers may have seen, given that the latest tables are lost and all grants
// under them have expired. at is a revision of the store after them. t may be nil.
func Refence(service id.Service, t *fleet.Table, at id.Revision) *fleet.Table {
	next := &fleet.Table{Service: service}
	if t != nil {
		next = t.Clone()
		next.Unreadable, next.Unsaved = false, false
	}
	next.Fence = max(next.Fence, firstFence(at)) + lostFences
	for i := range next.Ranges {
		next.Fence++
		r := &next.Ranges[i]
		r.Fence, r.PreviousOwner, r.PreviousFence = next.Fence, nil, 0
	}
	return next
}
