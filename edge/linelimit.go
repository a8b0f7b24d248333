package edge

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// linesPerSecond and lineBurst limit the lines for the same reason and customer. The process writes 200 lines a second in all, so
	// that a flood would otherwise suppress the lines about everything else.
	linesPerSecond = 1
	lineBurst      = 5
	// maxLineLimits is the number of pairs of reason and customer with a limit of their own.
	maxLineLimits = 64
	// suppressedReportPeriod is the time between the first suppressed line and the line that says how many there were.
	suppressedReportPeriod = 5 * time.Second
)

// lineLimiter limits the log lines about requests that are refused for a fault of their callers, by reason and customer. It is safe for
// concurrent use.
type lineLimiter struct {
	clock      clock.Clock
	log        *slog.Logger
	suppressed atomic.Uint64

	mu     sync.Mutex
	limits map[lineKey]*lineLimit
}

// lineKey identifies the lines that share a limit. An empty customer stands for all that have none of their own.
type lineKey struct {
	reason   outcome.Reason
	customer id.Customer
}

// lineLimit is the limit of the lines of one key.
type lineLimit struct {
	limiter    *rate.Limiter
	suppressed int
}

func newLineLimiter(c clock.Clock, log *slog.Logger) *lineLimiter {
	return &lineLimiter{clock: c, log: log, limits: map[lineKey]*lineLimit{}}
}

// isLimited reports whether the lines of a refusal are limited.
func (*lineLimiter) isLimited(reason outcome.Reason) bool {
	return reason == outcome.Unauthenticated || reason == outcome.AllotmentExhausted
}

// allow reports whether a line may be written. Otherwise the line is counted, and the count is logged later.
func (l *lineLimiter) allow(reason outcome.Reason, customer id.Customer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Unix(0, int64(l.clock.Boot()))
	key, limit := l.limit(lineKey{reason, customer}, now)
	if limit.limiter.AllowN(now, 1) {
		return true
	}
	l.suppressed.Add(1)
	if limit.suppressed++; limit.suppressed == 1 {
		l.clock.AfterFunc(suppressedReportPeriod, func() { l.report(key) })
	}
	return false
}

// limit returns the limit of a key, and the key that it is kept under.
func (l *lineLimiter) limit(key lineKey, now time.Time) (kept lineKey, limit *lineLimit) {
	if limit, found := l.limits[key]; found {
		return key, limit
	}
	if len(l.limits) >= maxLineLimits {
		l.removeIdle(now)
	}
	if len(l.limits) >= maxLineLimits {
		key.customer = ""
	}
	limit, found := l.limits[key]
	if !found {
		limit = &lineLimit{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
		l.limits[key] = limit
	}
	return key, limit
}

// removeIdle removes the limits that a new limit would equal.
func (l *lineLimiter) removeIdle(now time.Time) {
	for key, limit := range l.limits {
		if limit.suppressed == 0 && limit.limiter.TokensAt(now) >= lineBurst {
			delete(l.limits, key)
		}
	}
}

// report logs how many lines of a key were suppressed since the preceding report.
func (l *lineLimiter) report(key lineKey) {
	l.mu.Lock()
	limit := l.limits[key]
	count := limit.suppressed
	limit.suppressed = 0
	l.mu.Unlock()
	l.log.Info("lines about refused requests were suppressed", "reason", string(key.reason), "customer", string(key.customer), "count", count)
}
