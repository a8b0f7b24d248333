package dispatch

import (
	"github.com/hickorylug/hickorylug/coordination/ratelimit"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// RequestLimits returns the request limits in force, by backend server.
func (d *Dispatcher) RequestLimits() map[id.Server]ratelimit.Rate {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Boot()
	out := map[id.Server]ratelimit.Rate{}
	for name, c := range d.servers {
		if limit := c.requestLimit.Rate(now); limit > 0 {
			out[name] = limit
		}
	}
	return out
}

// recordRequestLimit records what an answer says about the request limit of a backend server.
//
// An answer without a limit ends the limit only if its request was sent after
// the limit was observed, since answers of other requests overtake it.
func (s *Slot) recordRequestLimit(now clock.Instant, c *server, result Result, report Report) {
	answered := result == Answered || result == ServerError
	if report.RequestLimit == 0 && (!answered || s.acquiredAt < c.requestLimit.Latest().At) {
		return
	}
	if c.requestLimit.Observe(now, ratelimit.Observation{Rate: report.RequestLimit, At: now}) {
		s.dispatcher.options.OnRequestLimit(c.Incarnation.Server, report.RequestLimit)
	}
}
