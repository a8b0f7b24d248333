package forward

import (
	"sync"

	"github.com/hickorylug/hickorylug/state/id"
)

// budget limits the further sendings to a service; what may be saved up depends on the number of VMs.
type budget struct {
	mu    sync.Mutex
	share float64
	saved func() float64
	spent float64
}

func (f *Forwarder) budget(s id.Service) *budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.budgets[s]
	if !ok {
		b = &budget{share: f.options.RetryShare, saved: f.options.RetryBurst}
		f.budgets[s] = b
	}
	return b
}

// earn counts a first sending.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-b.share)
}

// spend takes one further sending where the budget allows it.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > max(1, b.saved()) {
		return false
	}
	b.spent++
	return true
}
