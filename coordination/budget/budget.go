// Package budget limits extra work to a share of the real traffic.
//
// Retries and hedges draw on a budget that only first sendings fill, so that
// they can't grow into a storm when everything fails.
//
// # Usage
//
//	b := budget.NewBudget(0.1, 10)
//	b.Earn()
//	if b.Spend() {
//		// Send again.
//	}
package budget

import "sync"

// Budget is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	share float64
	limit float64
	have  float64
}

// NewBudget returns a budget of share extra sendings for each first one, saved up to limit.
func NewBudget(share, limit float64) *Budget {
	return &Budget{share: share, limit: limit, have: limit}
}

// Deposit counts a first sending.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.have = min(b.limit, b.have+b.share)
}

// TryWithdraw takes one extra sending where the budget allows it.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.have < 1 {
		return false
	}
	b.have--
	return true
}
