// Package ownership decides which backend server owns which keys.
//
// Plan changes the table of a service: keys leave backend servers that are
// gone or leaving, and busy runs of keys move to backend servers with room.
// Granter carries a table out by grants and releases. Both are plain state:
// the leader writes the tables and makes the calls.
//
// # Usage
//
//	next, changed := ownership.Plan(table, candidates, load)
//	for _, order := range granter.Due(now, next, lives) {
//		go call(order)
//	}
package ownership

import (
	"cmp"
	"slices"

	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// Candidate is a backend server that may own keys.
type Candidate struct {
	Incarnation fleet.Incarnation
	// Eligible says that it may get keys and keep those it has.
	Eligible bool
	// Warm says that it bears its full share.
	Warm bool
	// Capacity is the number of requests per second that it can run.
	Capacity float64
}

// Load is the number of requests per second by key.
type Load map[fleet.Key]float64

// Limits of one plan.
const (
	// busyFrom is the utilization from which keys move for the sake of balance.
	busyFrom = 0.6
	// imbalance is the ratio of the busiest backend server to the mean from which keys move.
	imbalance = 1.2
	// minMoves and serversPerMove bound the ranges that one plan moves for balance, so that few keys wait at once.
	minMoves       = 3
	serversPerMove = 5
	// maxPieces bounds the parts into which the keys of a leaving backend server are split.
	maxPieces = 6
	// rangesPerServer is the number of ranges for each backend server from which neighbours are joined.
	rangesPerServer = 4
	// idleShare is the weight of keys without requests, as a share of the whole load.
	idleShare = 0.2
	// minRate is the load in requests per second below which keys are spread by their number.
	minRate = 5.0
)

// planner is the state of one plan.
type planner struct {
	table *fleet.Table
	// weight is the running sum of the keys' weights: weight[k] covers all keys below k.
	weight []float64
	used   map[fleet.Incarnation]float64
	able   []Candidate
	byLife map[fleet.Incarnation]Candidate
	total  float64
	// stuck are the candidates whose load can't be moved, such as the owner of a single hot key.
	stuck   map[fleet.Incarnation]bool
	changed bool
}

// Plan returns the table with keys moved to where they can be served.
//
// A nil load leaves the balance as it is.
func Plan(service id.Service, t *fleet.Table, candidates []Candidate, load Load) (next *fleet.Table, changed bool) {
	p := newPlanner(service, t, candidates, load)
	if len(p.able) == 0 {
		return p.table, false
	}
	p.fillGaps()
	p.evict()
	if load != nil {
		p.balance()
	}
	p.join()
	return p.table, p.changed
}

func newPlanner(service id.Service, t *fleet.Table, candidates []Candidate, load Load) *planner {
	p := &planner{table: &fleet.Table{Service: service}, used: map[fleet.Incarnation]float64{}, byLife: map[fleet.Incarnation]Candidate{}, stuck: map[fleet.Incarnation]bool{}}
	if t != nil {
		p.table = t.Clone()
	}
	p.weigh(load)
	warm := slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Eligible && c.Warm })
	for _, c := range candidates {
		p.byLife[c.Incarnation] = c
		if c.Eligible && (c.Warm || !warm) && c.Capacity > 0 {
			p.able = append(p.able, c)
		}
	}
	slices.SortFunc(p.able, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Incarnation.Server, b.Incarnation.Server), cmp.Compare(a.Incarnation.Born, b.Incarnation.Born))
	})
	for _, r := range p.table.Ranges {
		p.used[r.Owner] += p.cost(r.From, r.To)
	}
	return p
}

// weigh sums the keys' weights; a key without requests has a small one, so that keys spread evenly too.
func (p *planner) weigh(load Load) {
	sum := 0.0
	for _, rate := range load {
		sum += rate
	}
	idle := (sum + 1) * idleShare / fleet.KeyCount
	p.weight = make([]float64, fleet.KeyCount+1)
	for k := range fleet.KeyCount {
		p.weight[k+1] = p.weight[k] + idle + load[fleet.Key(k)]
	}
	p.total = p.weight[fleet.KeyCount]
}

func (p *planner) cost(from, to fleet.Key) float64 { return p.weight[int(to)+1] - p.weight[from] }

// level returns the load of a candidate for its capacity.
func (p *planner) level(c Candidate) float64 { return p.used[c.Incarnation] / c.Capacity }

// mean returns the load for the capacity over all candidates that may own keys and aren't stuck.
func (p *planner) mean() float64 {
	load, capacity := p.total, 0.0
	for _, c := range p.able {
		if p.stuck[c.Incarnation] {
			load -= p.used[c.Incarnation]
		} else {
			capacity += c.Capacity
		}
	}
	return load / capacity
}

func (p *planner) lowest() Candidate {
	return slices.MinFunc(p.able, func(a, b Candidate) int { return cmp.Compare(p.level(a), p.level(b)) })
}

// fillGaps gives keys that never had an owner to the candidates.
func (p *planner) fillGaps() {
	next := 0
	var out []fleet.Range
	for _, r := range append(slices.Clone(p.table.Ranges), fleet.Range{From: fleet.KeyCount - 1, To: fleet.KeyCount - 1}) {
		end := r.Owner.Server == ""
		limit := int(r.From)
		if end {
			limit = fleet.KeyCount
		}
		if next < limit {
			out = append(out, p.divide(fleet.Range{From: fleet.Key(next), To: fleet.Key(limit - 1)}, len(p.able))...)
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

// evict moves the keys of backend servers that may not keep them.
func (p *planner) evict() {
	var out []fleet.Range
	for _, r := range p.table.Ranges {
		if c, ok := p.byLife[r.Owner]; r.Moving() || ok && c.Eligible {
			out = append(out, r)
			continue
		}
		p.changed = true
		p.used[r.Owner] -= p.cost(r.From, r.To)
		out = append(out, p.divide(r, maxPieces)...)
	}
	p.table.Ranges = out
}

// divide splits a range among the candidates with the most room; the pieces' owners follow its owner.
func (p *planner) divide(r fleet.Range, pieces int) (out []fleet.Range) {
	mean := p.mean()
	from := int(r.From)
	for i := 0; from <= int(r.To); i++ {
		c := p.lowest()
		to := int(r.To)
		if i+1 < pieces {
			room := max(mean*c.Capacity-p.used[c.Incarnation], 0)
			to = min(to, p.reach(from, room))
		}
		piece := fleet.Range{From: fleet.Key(from), To: fleet.Key(to)}
		out = append(out, p.give(piece, r, c.Incarnation))
		from = to + 1
	}
	return out
}

// reach returns the last key of a run that begins at from and weighs about amount.
func (p *planner) reach(from int, amount float64) int {
	limit := p.weight[from] + amount
	to, _ := slices.BinarySearch(p.weight[from+1:], limit)
	return min(from+to, fleet.KeyCount-1)
}

// give returns a piece of a range with a new owner and a new fence.
func (p *planner) give(piece, r fleet.Range, owner fleet.Incarnation) fleet.Range {
	p.table.Fence++
	piece.Owner, piece.Fence = owner, p.table.Fence
	if r.Owner.Server != "" {
		before := r.Owner
		piece.PreviousOwner, piece.PreviousFence = &before, r.Fence
	}
	p.used[owner] += p.cost(piece.From, piece.To)
	return piece
}

// balance moves runs of busy keys from the busiest candidates to the one with most room.
//
// A candidate that nothing can relieve doesn't keep the others from being relieved.
func (p *planner) balance() {
	if len(p.able) < 2 {
		return
	}
	// Without load nobody waits for keys that move.
	moves, threshold := len(p.able), 0.0
	if p.total >= minRate {
		moves, threshold = max(minMoves, len(p.able)/serversPerMove), busyFrom
	}
	for moves > 0 {
		busy, found := p.busiest()
		if !found || p.level(busy) < threshold || p.level(busy) < imbalance*p.mean() {
			return
		}
		if p.relieve(busy, p.lowest()) {
			moves--
		} else {
			p.stuck[busy.Incarnation] = true
		}
	}
}

// busiest returns the candidate with the highest level that isn't stuck.
func (p *planner) busiest() (busy Candidate, found bool) {
	for _, c := range p.able {
		if !p.stuck[c.Incarnation] && (!found || p.level(c) > p.level(busy)) {
			busy, found = c, true
		}
	}
	return busy, found
}

const (
	// churnWeight is the level that a move must gain for each share of the key space, since each moved key has its cost.
	churnWeight = 1.0
	// minGain is the level that the busier of two candidates must lose by a move.
	minGain = 0.08
)

// relieve moves the run of keys from one candidate to another one that gains most for the keys moved.
func (p *planner) relieve(busy, room Candidate) bool {
	mean := p.mean()
	amount := min(p.used[busy.Incarnation]-mean*busy.Capacity, mean*room.Capacity-p.used[room.Incarnation])
	best, at, most := fleet.Range{}, 0, 0.0
	for i, r := range p.table.Ranges {
		if r.Owner != busy.Incarnation || r.Moving() {
			continue
		}
		for _, piece := range p.ends(r, amount) {
			if gain := p.gain(piece, busy, room); gain > most {
				best, at, most = piece, i, gain
			}
		}
	}
	if most == 0 {
		return false
	}
	p.cut(at, best, room.Incarnation)
	return true
}

// gain returns what moving a run of keys takes off the higher of two levels, less the cost of the move.
func (p *planner) gain(piece fleet.Range, busy, room Candidate) float64 {
	cost := p.cost(piece.From, piece.To)
	after := max((p.used[busy.Incarnation]-cost)/busy.Capacity, (p.used[room.Incarnation]+cost)/room.Capacity)
	gain := p.level(busy) - after
	if p.total < minRate {
		// All levels are small before there is load, and nobody waits for keys that move.
		return gain - minGain*p.level(busy)
	}
	return gain - minGain - churnWeight*float64(piece.Size())/fleet.KeyCount
}

// ends returns the runs at both ends of a range that weigh about amount.
func (p *planner) ends(r fleet.Range, amount float64) (out []fleet.Range) {
	first := min(p.reach(int(r.From), amount), int(r.To))
	out = append(out, fleet.Range{From: r.From, To: fleet.Key(first)})
	if first > int(r.From) {
		out = append(out, fleet.Range{From: r.From, To: fleet.Key(first - 1)})
	}
	last, _ := slices.BinarySearch(p.weight, p.weight[int(r.To)+1]-amount)
	last = max(last, int(r.From))
	if last <= int(r.To) {
		out = append(out, fleet.Range{From: fleet.Key(last), To: r.To})
	}
	if last < int(r.To) {
		out = append(out, fleet.Range{From: fleet.Key(last + 1), To: r.To})
	}
	return out
}

// cut moves a piece of a range to another owner; the rest keeps owner and fence.
func (p *planner) cut(at int, piece fleet.Range, to fleet.Incarnation) {
	r := p.table.Ranges[at]
	p.used[r.Owner] -= p.cost(piece.From, piece.To)
	var parts []fleet.Range
	if piece.From > r.From {
		left := r
		left.To = piece.From - 1
		parts = append(parts, left)
	}
	parts = append(parts, p.give(piece, r, to))
	if piece.To < r.To {
		right := r
		right.From = piece.To + 1
		parts = append(parts, right)
	}
	p.table.Ranges = slices.Replace(p.table.Ranges, at, at+1, parts...)
	p.changed = true
}

// join gives neighbouring ranges of one owner a common fence where there are many ranges.
func (p *planner) join() {
	if len(p.table.Ranges) <= rangesPerServer*len(p.able) {
		return
	}
	var out []fleet.Range
	for _, r := range p.table.Ranges {
		if n := len(out) - 1; n >= 0 && out[n].Owner == r.Owner && !out[n].Moving() && !r.Moving() && out[n].To+1 == r.From {
			p.table.Fence++
			out[n].To, out[n].Fence = r.To, p.table.Fence
			p.changed = true
			continue
		}
		out = append(out, r)
	}
	p.table.Ranges = out
}

// Revise returns the next table of a service: moves that have ended are dropped, refused grants get new fences, and keys move.
//
// A move ends before the plan is made, so that keys whose new owner is given
// up move on. Moved is false where the table differs only by ended moves,
// which may wait for the next write.
func (g *Granter) Revise(t *fleet.Table, candidates []Candidate, load Load) (next *fleet.Table, moved, settled bool) {
	next, settled = CompleteMoves(t, func(r fleet.Range) bool { return g.IsSettled(t.Service, r) })
	next, moved = Plan(t.Service, next, candidates, load)
	for _, fence := range g.refused(t.Service) {
		var again bool
		next, again = refence(next, fence)
		moved = moved || again
	}
	return next, moved, settled
}

// CompleteMoves returns the table without the former owners of moves that have ended.
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

// refence gives a range a new fence, after its owner has seen a higher one.
func refence(t *fleet.Table, fence fleet.Fence) (next *fleet.Table, changed bool) {
	next = t.Clone()
	for i, r := range next.Ranges {
		if r.Fence == fence {
			next.Fence++
			next.Ranges[i].Fence = next.Fence
			changed = true
		}
	}
	return next, changed
}
