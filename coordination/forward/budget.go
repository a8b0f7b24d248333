package forward

import (
	"sync"

	"github.com/hickorylug/hickorylug/state/id"
)

// budget is the retry budget of a service: a share of its requests, and a burst that depends on the number of VMs.
type budget struct {
	mu       sync.Mutex
	share    float64
	maxBurst func() float64
	// spent is the used part of the burst; each request restores share of it.
	spent float64
}

// budget returns the retry budget of a service.
func (f *Forwarder) budget(s id.Service) *budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.budgets[s]
	if !ok {
		b = &budget{share: f.options.RetryShare, maxBurst: f.options.RetryBurst}
		f.budgets[s] = b
	}
	return b
}

// addRequest counts a first attempt, which adds to the budget.
func (b *budget) addRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-b.share)
}

// trySpend takes one retry from the budget and reports whether it was allowed.
func (b *budget) trySpend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > max(1, b.maxBurst()) {
		return false
	}
	b.spent++
	return true
}
