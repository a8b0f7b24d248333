package entry

import (
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/state/id"
)

// maxRoutes limits the number of routes in waitLimits.
const maxRoutes = 4096

// waitLimits tracks the longest time for which callers of each route wait. It is safe for concurrent use.
//
// A caller that retries sends only its remaining time. The difference from the
// longest time is the time that it has spent on earlier attempts.
type waitLimits struct {
	mu      sync.Mutex
	longest map[id.Route]time.Duration
}

func newWaitLimits() *waitLimits { return &waitLimits{longest: map[id.Route]time.Duration{}} }

// elapsed returns the time that a caller has spent on earlier attempts, given its remaining time. It is 0 if remaining
// isn't positive.
func (w *waitLimits) elapsed(route id.Route, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	longest, known := w.longest[route]
	if remaining > longest && (known || len(w.longest) < maxRoutes) {
		w.longest[route] = remaining
		return 0
	}
	return max(0, longest-remaining)
}
