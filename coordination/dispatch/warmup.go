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

// WarmupNews says that a backend server is cold, as VMs report it to each other.
type WarmupNews struct {
	Incarnation fleet.Incarnation
	// Left is the remaining warm-up time.
	Left time.Duration
}

// ObserveWarmup records that a backend server has told this VM, in a health response, that it is cold. It reports whether this is new.
func (d *Dispatcher) ObserveWarmup(n WarmupNews) (isNew bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.servers[n.Incarnation.Server]
	if !ok || c.Incarnation != n.Incarnation || n.Left <= 0 {
		return false
	}
	c.hasWarmupNews = true
	return d.warmUp(d.options.Clock.Boot(), c, n.Left)
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

// TakeWarmupNews returns which cold backend servers the other VMs should hear of, as this VM was told since the preceding call.
func (d *Dispatcher) TakeWarmupNews() (out []WarmupNews) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Boot()
	for _, c := range d.servers {
		if c.hasWarmupNews && c.isCold(now) {
			out = append(out, WarmupNews{Incarnation: c.Incarnation, Left: c.coldUntil.Sub(now)})
		}
		c.hasWarmupNews = false
	}
	return out
}

// ApplyWarmupNews records what another VM was told of cold backend servers, and returns the news. Those of other incarnations than the
// known ones are ignored.
func (d *Dispatcher) ApplyWarmupNews(news []WarmupNews) (added []WarmupNews) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Boot()
	for _, n := range news {
		if c, ok := d.servers[n.Incarnation.Server]; ok && c.Incarnation == n.Incarnation && n.Left > 0 && d.warmUp(now, c, n.Left) {
			added = append(added, n)
		}
	}
	return added
}

// warmUp records the remaining warm-up time, and reports whether the backend server was warm before. What was sent during a warm-up that
// goes on still counts.
func (d *Dispatcher) warmUp(now clock.Instant, c *server, left time.Duration) (isNew bool) {
	if isNew = !c.isCold(now); isNew {
		c.warmupLimiter = nil
		c.warmupKnownAt = d.options.Clock.Now()
		if c.sentBeforeWarmup = c.sends.within(now, warmupWindow); c.sentBeforeWarmup > 0 {
			d.options.OnLateWarmup(c.Incarnation.Server, left, c.sentBeforeWarmup)
		}
	}
	c.coldUntil = max(c.coldUntil, now.Add(left))
	return isNew
}

// isCold reports whether the backend server is still warming up.
func (s *server) isCold(now clock.Instant) bool { return now < s.coldUntil }

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
	// Unreachable VMs count too: they may be partitioned from this VM and still send.
	candidates := d.division.Senders(c.Incarnation.Server, d.localServers(c.Service))
	// Each sender's token bucket allows a burst of one request on top of its rate.
	senders := ratelimit.Senders(c.Incarnation.Server, candidates, min(maxWarmupSenders, int((d.options.WarmOverage-1)*warmupRate+d.options.WarmSlack)))
	if !slices.Contains(senders, d.vm) {
		return 0
	}
	return warmupRate / float64(len(senders))
}
