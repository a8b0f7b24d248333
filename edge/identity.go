package edge

import (
	"github.com/hickorylug/hickorylug/state/fleet"
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

// mayHoldRevokedKeys reports whether requests that need an API key must be refused, since the key may have been revoked without this VM's
// knowledge.
func (e *Edge) mayHoldRevokedKeys() bool {
	return e.settings.StrictRevocation && e.storeStaleness() > e.settings.RevocationTime.Std()
}
