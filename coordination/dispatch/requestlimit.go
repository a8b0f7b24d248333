package dispatch

import (
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/coordination/ratelimit"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// limitedRetryAfter is the RetryAfter of requests for a key whose owner this VM may not send to; other VMs may.
const limitedRetryAfter = 500 * time.Millisecond

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

// LimitNews is an observation of a request limit, as VMs report it to each other.
type LimitNews struct {
	Incarnation fleet.Incarnation
	// Rate is the limit, or 0 for its end.
	Rate ratelimit.Rate
	Age  time.Duration
}

// RequestLimitNews returns this VM's observations of request limits that the other VMs should hear of, each one once.
func (d *Dispatcher) RequestLimitNews() (out []LimitNews) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Boot()
	for _, c := range d.servers {
		if o, ok := c.requestLimit.TakeNews(); ok {
			out = append(out, LimitNews{Incarnation: c.Incarnation, Rate: o.Rate, Age: now.Sub(o.At)})
		}
	}
	return out
}

// ApplyRequestLimitNews records another VM's observations of request limits. Those of other incarnations than the known ones are ignored.
func (d *Dispatcher) ApplyRequestLimitNews(news []LimitNews) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Boot()
	for _, n := range news {
		if c, ok := d.servers[n.Incarnation.Server]; ok && c.Incarnation == n.Incarnation && n.Rate.IsValid() && n.Age >= 0 {
			d.followRequestLimit(now, c, c.requestLimit.ObserveShared(now, ratelimit.Observation{Rate: n.Rate, At: now.Add(-n.Age)}))
		}
	}
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
	s.dispatcher.followRequestLimit(now, c, c.requestLimit.Observe(now, ratelimit.Observation{Rate: report.RequestLimit, At: now}))
}

// followRequestLimit adapts this VM's share to the request limit in force.
func (d *Dispatcher) followRequestLimit(now clock.Instant, c *server, changed bool) {
	rate := c.requestLimit.Rate(now)
	switch {
	case rate == 0:
		c.limitBucket, c.sharedRate = nil, 0
	case c.limitBucket == nil:
		c.limitBucket = ratelimit.NewBucket(now)
		fallthrough
	case rate != c.sharedRate:
		c.sharedRate = rate
		c.limitBucket.SetRate(now, d.requestLimitShare(c, rate))
	}
	if changed {
		d.options.OnRequestLimit(c.Incarnation.Server, rate)
	}
}

// requestLimitShare returns this VM's share of a request limit; 0 means that it may send no requests.
func (d *Dispatcher) requestLimitShare(c *server, rate ratelimit.Rate) ratelimit.Rate {
	senders := ratelimit.Senders(c.Incarnation.Server, d.limitCandidates(c), ratelimit.MaxSenders(rate))
	if !slices.Contains(senders, d.vm) {
		return 0
	}
	return rate / ratelimit.Rate(len(senders))
}

// limitCandidates returns the VMs that may share the request limit of a backend server: those that prefer it, but all VMs if it owns keys,
// or if there is none in its failure domain. Unreachable VMs count, too: they may be partitioned from this VM and still send.
func (d *Dispatcher) limitCandidates(c *server) (vms []id.VM) {
	keyed := d.snapshot.Tables[c.Service] != nil
	if !keyed && c.Domain == d.domain {
		return d.division.Senders(c.Incarnation.Server, d.localServers(c.Service))
	}
	all := []id.VM{d.vm}
	for vm, p := range d.snapshot.Peers {
		if vm != d.vm {
			all = append(all, vm)
		}
		if p.Domain == c.Domain {
			vms = append(vms, vm)
		}
	}
	if !keyed && len(vms) > 0 {
		return vms
	}
	return all
}

// requestLimitWait returns how long the request limit of a backend server keeps this VM from sending n more requests; 0 means not at all.
func (d *Dispatcher) requestLimitWait(now clock.Instant, c *server, n int) time.Duration {
	if c.limitBucket == nil {
		return 0
	}
	if c.requestLimit.Rate(now) == 0 {
		d.followRequestLimit(now, c, true)
		return 0
	}
	return c.limitBucket.Wait(now, n)
}

// ownerLimitWait returns how long the request limit of a key's owner keeps one more request waiting behind those in the queue that it
// doesn't precede; a nil waiter is behind all.
func (d *Dispatcher) ownerLimitWait(now clock.Instant, s *service, owner *server, w *waiter) time.Duration {
	if owner.limitBucket == nil {
		return 0
	}
	ahead := 0
	for _, other := range s.waiting {
		if other.demand.Keyed && d.owner(s.name, other.demand.Key) == owner && (w == nil || !w.precedes(now, other)) {
			ahead++
		}
	}
	return d.requestLimitWait(now, owner, ahead+1)
}
