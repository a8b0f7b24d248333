package allotment

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// balancePeriod is the time between two divisions of a customer's allotment into shares.
	balancePeriod = 200 * time.Millisecond
	// minDemand is the demand of a VM, in requests per second, below which it gets no share and no tokens ahead of need.
	minDemand = 0.5
	// minChange is the change of a share, as a fraction of it, below which it is left as it is.
	minChange = 0.2
	// maxDemand limits a VM's demand, in thousandths of a request per second, since the number comes from the network.
	maxDemand = 1_000_000_000
)

// updateHolding records what an entry says of the VM's demand and share. It returns nil for a VM with neither.
func (g *Granter) updateHolding(now clock.Instant, b *bucket, from id.VM, v *vmState, e AskEntry) *holding {
	h := v.holdings[e.Customer]
	demand := float64(min(max(0, e.Demand), maxDemand)) / 1000
	if h == nil {
		if demand < minDemand && e.Share <= 0 {
			return nil
		}
		h = &holding{name: from, vm: v, spent: e.Spent, offer: e.Offer}
		v.holdings[e.Customer] = h
		b.holdings = append(b.holdings, h)
		h.confirmed = min(max(0, e.Share), WholeShare)
		h.offered, h.target = h.confirmed, h.confirmed
		if !g.hasKnown {
			b.pool = min(b.pool+h.confirmed, WholeShare)
		}
	}
	if e.Offer == h.offer && (h.offer > 0 || e.Share < h.confirmed) {
		h.offered = min(h.offered, max(0, e.Share))
		h.confirmed = h.offered
	}
	h.demand = demand
	if !now.After(v.silentFrom()) {
		g.settle(b, h, e.Spent)
	}
	return h
}

// balance divides the pool of a bucket by demand, and chooses the VMs that may hold tokens ahead of need: those with the most of it.
func (g *Granter) balance(now clock.Instant, b *bucket) {
	if now.Sub(b.balancedAt) < balancePeriod && b.balancedAt > 0 {
		return
	}
	b.balancedAt = now
	list := make([]*holding, 0, len(b.holdings))
	for _, h := range b.holdings {
		h.target, h.holdsAhead = 0, false
		if h.demand >= minDemand {
			list = append(list, h)
		}
	}
	slots := g.settings.slots(b.allotment)
	if len(list) > slots {
		slices.SortFunc(list, func(x, y *holding) int {
			return cmp.Or(-cmp.Compare(x.demand, y.demand), -cmp.Compare(x.confirmed, y.confirmed), cmp.Compare(x.name, y.name))
		})
	}
	for _, h := range list[:min(len(list), slots)] {
		h.holdsAhead = true
	}
	var total float64
	for _, h := range list {
		total += h.demand
	}
	for _, h := range list {
		h.target = Share(float64(b.pool) * h.demand / total)
	}
}

// offer offers a VM the share that it should have, as far as it is free. A share that is lowered is free only when the VM has confirmed it.
func (g *Granter) offer(now clock.Instant, b *bucket, h *holding) {
	g.balance(now, b)
	if h.offered != h.confirmed {
		return
	}
	next := h.target
	if next > h.confirmed {
		free := b.pool
		for _, other := range b.holdings {
			free -= other.counted()
		}
		next = min(next, h.confirmed+max(0, free))
	}
	change := float64(max(next-h.confirmed, h.confirmed-next))
	if change == 0 || next > 0 && h.confirmed > 0 && change < minChange*float64(h.confirmed) {
		return
	}
	h.offer++
	h.offered = next
}
