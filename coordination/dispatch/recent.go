package dispatch

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
)

// maxRecentSends is the number of requests whose times are kept. A cold backend server bears fewer from one VM within a second.
const maxRecentSends = 32

// recentSends holds when the latest requests were sent to a backend server. The zero value holds none.
type recentSends struct {
	times []clock.Instant
	// next is the index of the oldest time once there are maxRecentSends.
	next int
}

// add records a request.
func (r *recentSends) add(now clock.Instant) {
	if len(r.times) < maxRecentSends {
		r.times = append(r.times, now)
		return
	}
	r.times[r.next] = now
	r.next = (r.next + 1) % maxRecentSends
}

// within returns the number of requests, at most maxRecentSends, that were sent less than a duration ago.
func (r *recentSends) within(now clock.Instant, d time.Duration) (n int) {
	for _, at := range r.times {
		if now.Sub(at) < d {
			n++
		}
	}
	return n
}
