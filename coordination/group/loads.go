package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// Bounds on the keys that are counted between two reports, and on those in a report.
const (
	maxCountedKeys  = 4096
	maxReportedKeys = 8
)

// loadCounts counts requests by slice, key and server since the last report, guarded by the group's lock.
type loadCounts struct {
	slices  map[id.Slice]int
	keys    map[table.Hash]int
	servers map[id.Server]int
}

func newLoadCounts() *loadCounts {
	return &loadCounts{slices: map[id.Slice]int{}, keys: map[table.Hash]int{}, servers: map[id.Server]int{}}
}

func (l *loadCounts) add(t *table.Table, s id.Server, r *exchange.Request) {
	l.servers[s]++
	if !r.Keyed || t == nil {
		return
	}
	if _, hasOwnEntry := t.Keys[r.Key]; !hasOwnEntry {
		l.slices[t.SliceOf(r.Key)]++
	}
	if _, known := l.keys[r.Key]; known || len(l.keys) < maxCountedKeys {
		l.keys[r.Key]++
	}
}

// SliceCount is the number of requests of a slice since the last report.
type SliceCount struct {
	Slice id.Slice
	Count int
}

// KeyCount is the number of requests of a key since the last report.
type KeyCount struct {
	Key   table.Hash
	Count int
}

// ServerReport is the state of one server and its load since the last report.
type ServerReport struct {
	Server      id.Server
	Incarnation id.Incarnation
	// Lost is true where the server is lost or draining, so that it should own no slices or keys.
	Lost bool
	// Limit is the current concurrency limit, at most Slots.
	Limit int
	Slots int
	// Count is the number of requests sent to the server since the last report.
	Count int
	// Latency is the smoothed latency, or 0 while it isn't known.
	Latency time.Duration
}

// Report is the state of a group that the planner and a successor use.
type Report struct {
	Servers []ServerReport
	Slices  []SliceCount
	// Keys holds the most requested keys, in descending order of their count.
	Keys []KeyCount
}

// Report returns the state of the servers and the load since the last call, and resets the counts.
func (g *Group) Report() (r Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.Servers = g.serverReportsLocked()
	for slice, n := range g.loads.slices {
		r.Slices = append(r.Slices, SliceCount{Slice: slice, Count: n})
	}
	for key, n := range g.loads.keys {
		r.Keys = append(r.Keys, KeyCount{Key: key, Count: n})
	}
	slices.SortFunc(r.Slices, func(a, b SliceCount) int { return cmp.Compare(a.Slice, b.Slice) })
	slices.SortFunc(r.Keys, func(a, b KeyCount) int {
		return cmp.Or(-cmp.Compare(a.Count, b.Count), cmp.Compare(a.Key, b.Key))
	})
	r.Keys = r.Keys[:min(len(r.Keys), maxReportedKeys)]
	g.loads = newLoadCounts()
	return r
}

// ServerReports returns the state of the group's servers without resetting the counts.
func (g *Group) ServerReports() (out []ServerReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serverReportsLocked()
}

func (g *Group) serverReportsLocked() (out []ServerReport) {
	slots := g.directory.View().Site.Services[g.service].Slots
	for _, name := range g.sortedServers() {
		s := g.servers[name]
		if s.removed {
			continue
		}
		out = append(out, ServerReport{
			Server:      name,
			Incarnation: s.boot,
			Lost:        s.state == lost || s.state == draining,
			Limit:       s.limiter.Limit(),
			Slots:       slots,
			Count:       g.loads.servers[name],
			Latency:     s.limiter.SmoothedLatency(),
		})
	}
	return out
}
