package dispatch

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/hickorylug/hickorylug/coordination/ratelimit"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// maxWarmupSenders is the maximum number of VMs that send to one cold backend server.
const maxWarmupSenders = 5

// warmupWindow is the time for which requests to a cold backend server are counted.
const warmupWindow = time.Second

// WarmupNews says for how long a backend server stays cold, as VMs report it to each other.
type WarmupNews struct {
	Incarnation fleet.Incarnation
	// Left is the remaining warm-up time, or 0 if it is warm.
	Left time.Duration
}

// PresumeCold presumes that the backend servers of a failure domain whose evacuation ends are cold, until a health response says otherwise, for
// their warm-up time at most.
//
// They are idle, so that all VMs would send them what is queued before any of
// them could hear that they have turned cold. That holds also for those that
// are missing from the snapshot now, and whose entries come back soon after.
func (d *Dispatcher) PresumeCold(domain id.Domain) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.snapshot.Configuration == nil {
		return
	}
	now := d.options.Clock.Boot()
	d.returnedAt[domain] = now
	for _, c := range d.servers {
		if c.Domain == domain {
			d.presumeCold(now, c, d.snapshot.Configuration)
		}
	}
}

// presumeCold presumes that a backend server is cold, for what is left of its warm-up time since its failure domain was taken back.
func (d *Dispatcher) presumeCold(now clock.Instant, c *server, configuration *fleet.Configuration) {
	returnedAt, ok := d.returnedAt[c.Domain]
	if !ok || configuration == nil {
		return
	}
	service := configuration.Services[c.Service]
	until := returnedAt.Add(service.WarmupTime)
	if now >= until || !service.ReportsWarmup() {
		return
	}
	if !c.isCold(now) {
		d.beginWarmup(now, c)
	}
	c.presumedAt, c.presumedUntil, c.returnedUntil = now, until, until
}

// ObserveWarmup records what a backend server has told this VM in a health response that was asked for at a given time. It reports whether it
// is cold and wasn't known to be.
func (d *Dispatcher) ObserveWarmup(n WarmupNews, askedAt clock.Instant) (isNew bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.servers[n.Incarnation.Server]
	if !ok || c.Incarnation != n.Incarnation {
		return false
	}
	now := d.options.Clock.Boot()
	if n.Left > 0 {
		c.hasWarmupNews = true
		return d.warmUp(now, c, n.Left)
	}
	if askedAt >= c.presumedAt && now < c.returnedUntil {
		c.hasWarmupNews, c.presumedUntil = true, 0
		d.wake(c.Service)
	}
	return false
}

// TakeWarmupNews returns what the other VMs should hear of backend servers, as this VM was told since the preceding call.
func (d *Dispatcher) TakeWarmupNews() (out []WarmupNews) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Boot()
	for _, c := range d.servers {
		if c.hasWarmupNews && (now < c.coldUntil || now < c.returnedUntil) {
			out = append(out, WarmupNews{Incarnation: c.Incarnation, Left: max(0, c.coldUntil.Sub(now))})
		}
		c.hasWarmupNews = false
	}
	return out
}

// RecentServers returns the backend servers to which this VM has sent a request within the last second.
func (d *Dispatcher) RecentServers() map[id.Server]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, recent := d.options.Clock.Boot(), map[id.Server]bool{}
	for name, c := range d.servers {
		if c.sends.within(now, warmupWindow) > 0 {
			recent[name] = true
		}
	}
	return recent
}

// minCountedSends is the least number of requests of this VM within a second from which the rate of all VMs is estimated.
const minCountedSends = 3

// WarmupLoad is the load of a backend server that may turn cold, in requests per second of all VMs.
type WarmupLoad struct {
	// Rate is the estimated present load.
	Rate float64
	// Allowed is what the backend server may get within a second while it is cold.
	Allowed float64
}

// maxEarlyCheckers is the number of VMs that ask a busy backend server whether it is cold before all are asked.
const maxEarlyCheckers = 3

// WarmupLoads returns the loads of the backend servers that this VM asks whether they are cold once its news are too old for their load. A few
// VMs of its own failure domain that prefer it ask each one.
func (d *Dispatcher) WarmupLoads() map[id.Server]WarmupLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, loads := d.options.Clock.Boot(), map[id.Server]WarmupLoad{}
	if d.snapshot.Configuration == nil {
		return loads
	}
	for name := range d.services {
		service := d.snapshot.Configuration.Services[name]
		if !service.ReportsWarmup() {
			continue
		}
		p := d.preference(name)
		for _, c := range p.tiers[preferredTier] {
			sent := c.sends.within(now, warmupWindow)
			if sent > 0 && slices.Contains(ratelimit.Senders(c.Incarnation.Server, p.senders, maxEarlyCheckers), d.vm) {
				loads[c.Incarnation.Server] = WarmupLoad{
					Rate: d.sendRate(now, c, sent, len(p.senders), service.Keyed), Allowed: service.WarmupRate*d.options.WarmOverage + d.options.WarmSlack,
				}
			}
		}
	}
	return loads
}

// sendRate estimates the requests per second of all VMs to a backend server to which this VM has sent some within a second. The senders send about
// as many each; where other VMs send to it as well, or this one sent few, its load tells more.
func (d *Dispatcher) sendRate(now clock.Instant, c *server, sent, senders int, isKeyed bool) float64 {
	if sent >= minCountedSends && !isKeyed {
		return float64(sent*senders) / warmupWindow.Seconds()
	}
	serviceTime := c.averageServiceTime(d.service(c.Service).serviceTime)
	return float64(min(c.load(now), c.Slots)) / max(serviceTime, minServiceTime).Seconds()
}

// minServiceTime keeps the estimate of a rate finite.
const minServiceTime = time.Millisecond

// ApplyWarmupNews records what another VM was told by backend servers, and returns the news of cold ones. Those of other incarnations than the
// known ones are ignored.
func (d *Dispatcher) ApplyWarmupNews(news []WarmupNews) (added []WarmupNews) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Boot()
	for _, n := range news {
		c, ok := d.servers[n.Incarnation.Server]
		switch {
		case !ok || c.Incarnation != n.Incarnation || n.Left < 0:
		case n.Left == 0:
			c.presumedUntil = 0
			d.wake(c.Service)
		case d.warmUp(now, c, n.Left):
			added = append(added, n)
		}
	}
	return added
}

// warmUp records the remaining warm-up time, and reports whether the backend server wasn't known to be cold. What was sent during a warm-up
// that goes on still counts.
func (d *Dispatcher) warmUp(now clock.Instant, c *server, left time.Duration) (isNew bool) {
	if !c.isCold(now) {
		if sent := d.beginWarmup(now, c); sent > 0 {
			d.options.OnLateWarmup(c.Incarnation.Server, left, sent)
		}
	}
	isNew = now >= c.coldUntil
	c.coldUntil = max(c.coldUntil, now.Add(left))
	return isNew
}

// beginWarmup starts the limit of a warm-up, and returns the number of requests that were sent within the second before.
func (d *Dispatcher) beginWarmup(now clock.Instant, c *server) (sent int) {
	c.warmupLimiter, c.warmupKnownAt, c.sentBeforeWarmup = nil, d.options.Clock.Now(), c.sends.within(now, warmupWindow)
	return c.sentBeforeWarmup
}

// isCold reports whether the backend server is still warming up, or is presumed to.
func (s *server) isCold(now clock.Instant) bool { return now < s.coldUntil || now < s.presumedUntil }

// allowsWarmup reports whether this VM may send a request to a cold backend server now.
//
// A few VMs of its failure domain share its warm-up rate, so that all of them
// together stay below the limit even if each sends its requests at once.
func (d *Dispatcher) allowsWarmup(now clock.Instant, c *server, name id.Service) bool {
	if c.Domain != d.domain || c.load(now) >= c.Slots {
		return false
	}
	if c.warmupLimiter == nil {
		share := d.warmupShare(c, d.snapshot.Configuration.Services[name].WarmupRate)
		if share <= 0 {
			return false
		}
		c.warmupLimiter = newWarmupLimiter(share, c.warmupKnownAt, c.sentBeforeWarmup)
	}
	return c.warmupLimiter.TokensAt(d.options.Clock.Now()) >= 1
}

// newWarmupLimiter returns the limiter of a share, in requests per second. Those that were sent within the second before the warm-up was known
// use up what may be sent at once, and delay the next one by the time of those that the share allows in a second.
func newWarmupLimiter(share float64, knownAt time.Time, sentBefore int) *rate.Limiter {
	limiter := rate.NewLimiter(rate.Limit(share), 1)
	for range min(sentBefore, max(1, int(share*warmupWindow.Seconds()))) {
		limiter.ReserveN(knownAt, 1)
	}
	return limiter
}

// warmupShare returns this VM's share of the warm-up rate of a cold backend server, in requests per second; 0 means that it may send none.
func (d *Dispatcher) warmupShare(c *server, warmupRate float64) float64 {
	p := d.preference(c.Service)
	if !p.prefers(c) {
		return 0
	}
	// Unreachable VMs count too: they may be partitioned from this VM and still send.
	// Each sender's token bucket allows a burst of one request on top of its rate.
	senders := ratelimit.Senders(c.Incarnation.Server, p.senders, min(maxWarmupSenders, int((d.options.WarmOverage-1)*warmupRate+d.options.WarmSlack)))
	if !slices.Contains(senders, d.vm) {
		return 0
	}
	return warmupRate / float64(len(senders))
}
