// Package budget limits retries and hedges to a share of the requests.
//
// A budget is a token bucket. Only the first attempt of a request adds tokens,
// so that retries and hedges can't grow into a retry storm during an outage.
//
// # Usage
//
//	b := budget.NewBudget(0.1, 10)
//	b.Deposit()
//	if b.TryWithdraw() {
//		// Retry.
//	}
package budget

import "sync"

// Budget is a token bucket for extra attempts; it is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	tokenRatio float64
	maxTokens  float64
	tokens     float64
}

// NewBudget returns a full budget of at most maxTokens, to which each first attempt adds tokenRatio tokens.
func NewBudget(tokenRatio, maxTokens float64) *Budget {
	return &Budget{tokenRatio: tokenRatio, maxTokens: maxTokens, tokens: maxTokens}
}

// Deposit adds the tokens for one first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.maxTokens, b.tokens+b.tokenRatio)
}

// TryWithdraw takes the token for one extra attempt; it returns false where less than one token is left.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
