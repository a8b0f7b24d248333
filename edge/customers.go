package edge

import (
	"sync"

	"github.com/hickorylug/hickorylug/coordination/topk"
	"github.com/hickorylug/hickorylug/protocol/customers"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/entry"
)

const (
	// customerRows is the number of customers with figures of their own. A customer is active at about 13 VMs, so that of 75 customers
	// fewer than this number make up most of a VM's load.
	customerRows = 32
	// maxLoggedFindings is the number of mistakes in one version of the configuration that are logged, each in a line.
	maxLoggedFindings = 20
)

// customerCounters counts the requests of the heaviest customers. It is safe for concurrent use.
type customerCounters struct {
	mu              sync.Mutex
	rows            *topk.Table[id.Customer, customers.Counts]
	unauthenticated uint64
}

func newCustomerCounters() *customerCounters {
	return &customerCounters{rows: topk.NewTable[id.Customer](customerRows, (*customers.Counts).Add)}
}

// observe counts a request, unless no customer is known and its API key isn't the reason.
func (c *customerCounters) observe(v *entry.Event) {
	isUnauthenticated := v.Refusal != nil && v.Refusal.Reason == outcome.Unauthenticated
	if v.Customer == "" && !isUnauthenticated {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if isUnauthenticated {
		c.unauthenticated++
		return
	}
	c.rows.Add(v.Customer).Observe(v.Refusal)
}

// values returns the figures of all rows.
func (c *customerCounters) values() (m customers.Metrics) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.Unauthenticated = c.unauthenticated
	for _, r := range c.rows.Rows() {
		row := customers.Row{Customer: r.Key, Missed: r.Missed}
		row.Add(&r.Figures)
		m.Rows = append(m.Rows, row)
	}
	rest := c.rows.Rest()
	m.Rest.Add(&rest.Figures)
	return m
}

// logFindings logs the mistakes in a new version of the configuration, and the settings that may be mistakes.
func (e *Edge) logFindings(old, next *fleet.Configuration) {
	if next == nil || old != nil && old.Version == next.Version {
		return
	}
	f := next.Check(e.settings.AllotmentWindow.Std())
	for i, p := range f.Problems {
		if i == maxLoggedFindings {
			e.log.Warn("the configuration has more mistakes", "version", next.Version, "count", len(f.Problems)-i)
			break
		}
		e.log.Warn("the configuration has a mistake", "version", next.Version, "place", p.Path, "problem", p.Message)
	}
	for i, n := range f.Notes {
		if i == maxLoggedFindings {
			e.log.Info("notes about the configuration were left out", "version", next.Version, "count", len(f.Notes)-i)
			break
		}
		e.log.Info("note about the configuration", "version", next.Version, "place", n.Path, "note", n.Message)
	}
}
