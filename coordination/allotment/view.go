package allotment

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// GranterView is the granter's state of one customer, for operators. Rates are averages over a few seconds.
type GranterView struct {
	Customer id.Customer
	// Rate is the allotment in requests per second, and Burst the number of requests beyond it.
	Rate, Burst float64
	// Level is the number of tokens in the bucket. It is below 0 after more was spent without contact than reserved.
	Level float64
	// GivenPerS are tokens given per second, DeniedPerS requests refused, and SpentPerS requests that VMs without contact have sent.
	GivenPerS, DeniedPerS, SpentPerS float64
	// Usable is the part of the allotment that the granter may use, in thousandths.
	Usable Share
	// Shares are the shares of the VMs, in thousandths, and Demand their usual requests per second.
	Shares map[id.VM]Share
	Demand map[id.VM]float64
}

// HolderView is a VM's state of one customer, for operators.
type HolderView struct {
	Customer id.Customer
	// Held is the number of tokens held, and Share the VM's share in thousandths.
	Held  int
	Share Share
	// Demand is the usual number of requests per second, and Waiting the number of requests that wait for a token.
	Demand  float64
	Waiting int
	// Admitted and Refused count requests since the account was opened.
	Admitted, Refused uint64
}

// View returns the state of at most limit customers, those with the most requests first.
func (g *Granter) View(now clock.Instant, limit int) []GranterView {
	load := func(b *bucket) float64 { return b.rates.granted + b.rates.denied + b.rates.spent }
	list := slices.SortedFunc(maps.Values(g.buckets), func(x, y *bucket) int {
		return cmp.Or(-cmp.Compare(load(x), load(y)), cmp.Compare(x.customer, y.customer))
	})
	list = list[:min(max(0, limit), len(list))]
	out := make([]GranterView, 0, len(list))
	for _, b := range list {
		g.advance(b, now)
		v := GranterView{
			Customer: b.customer, Rate: b.allotment.Rate, Burst: b.allotment.Burst, Level: b.level, Usable: b.pool,
			GivenPerS: b.rates.granted, DeniedPerS: b.rates.denied, SpentPerS: b.rates.spent,
			Shares: map[id.VM]Share{}, Demand: map[id.VM]float64{},
		}
		for _, h := range b.holdings {
			v.Shares[h.name], v.Demand[h.name] = h.counted(), h.demand
		}
		out = append(out, v)
	}
	return out
}

// View returns the state of at most limit customers, those with the most demand first.
func (h *Holder) View(limit int) []HolderView {
	list := slices.SortedFunc(maps.Values(h.accounts), func(x, y *account) int {
		return cmp.Or(-cmp.Compare(x.demand, y.demand), cmp.Compare(x.customer, y.customer))
	})
	list = list[:min(max(0, limit), len(list))]
	out := make([]HolderView, 0, len(list))
	for _, a := range list {
		out = append(out, HolderView{
			Customer: a.customer, Held: a.held, Share: a.share, Demand: a.demand, Waiting: len(a.waiting), Admitted: a.admitted, Refused: a.refused,
		})
	}
	return out
}
