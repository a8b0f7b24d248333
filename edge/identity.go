package edge

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// logConfiguration logs a configuration that comes into force.
func (e *Edge) logConfiguration(c *fleet.Configuration, position uint64) {
	args := []any{"version", c.Version, "routes", c.RouteCount(), "position", position}
	if c.Customers != nil {
		args = append(args, "customers", len(c.Customers.All()), "keys", c.Customers.KeyCount())
	}
	e.log.Info("configuration in force", args...)
	if c.SkippedCustomers > 0 {
		e.log.Warn("customers of the configuration are malformed: their API keys are unknown", "customers", c.SkippedCustomers, "version", c.Version)
	}
}

// recordNews records that this VM knows all that the store held some time ago, if its items reach up to a position. The leader's contact
// with the store alone doesn't tell that: a message with a withdrawn key may be lost.
func (e *Edge) recordNews(position id.Revision, age time.Duration) {
	known := e.mirror.Position()
	if position > known {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Boot()
	if e.firstNewsAt == 0 {
		e.firstNewsAt, e.firstEra = now, known.Era()
	}
	e.newsAt = max(e.newsAt, now.Add(-age))
}

// newsAge returns how long ago this VM last knew all that the store held.
func (e *Edge) newsAge() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Boot().Sub(e.newsAt)
}

// copyAge returns how long ago this VM's copy surely held all that the store held: by its own calls to the store, or by the leader's.
func (e *Edge) copyAge(now clock.Instant) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return min(e.reader.Age(now), now.Sub(e.newsAt))
}

// mayHoldRevokedKeys reports whether requests that need an API key must be refused, since the key may have been revoked without this VM's
// knowledge.
func (e *Edge) mayHoldRevokedKeys() bool {
	return e.mayKnowOlderCopy() || e.settings.StrictRevocation && e.newsAge() > e.settings.RevocationTime.Std()
}

// mayKnowOlderCopy reports whether this VM started so shortly after a restoration of the store that the operator may not yet have written
// the configuration again. VMs that ran before keep the newer one.
func (e *Edge) mayKnowOlderCopy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.firstEra > 0 && e.clock.Boot().Sub(e.firstNewsAt) < reappearanceTime
}
