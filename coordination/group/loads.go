package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// Bounds of what is counted between two reports.
const (
	maxCountedKeys  = 4096
	maxReportedKeys = 8
)

// loads counts requests by slice and key since the last report, guarded by the group's lock.
type loads struct {
	slices map[id.Slice]int
	keys   map[table.Hash]int
	byName map[id.Server]int
}

func newLoads() *loads {
	return &loads{slices: map[id.Slice]int{}, keys: map[table.Hash]int{}, byName: map[id.Server]int{}}
}

func (l *loads) count(t *table.Table, s id.Server, r *exchange.Request) {
	l.byName[s]++
	if !r.Keyed || t == nil {
		return
	}
	if _, single := t.Keys[r.Key]; !single {
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

// ServerReport is the condition and load of one server since the last report.
type ServerReport struct {
	Server id.Server
	Boot   id.Incarnation
	// Lost says that the server should own nothing: it is lost or leaving.
	Lost  bool
	Limit int
	Slots int
	Count int
	// Latency is the usual time to an answer, or 0 while it isn't known.
	Latency time.Duration
}

// Report is what the planner and a successor need to know of a group.
type Report struct {
	Servers []ServerReport
	Slices  []SliceCount
	// Keys holds the most requested keys, the first one most.
	Keys []KeyCount
}

// Report returns the condition and load since the last call.
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
	g.loads = newLoads()
	return r
}

// ServerReports returns the condition of the group's servers without ending a period of counting.
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
			Server:  name,
			Boot:    s.boot,
			Lost:    s.condition == lost || s.condition == leaving,
			Limit:   s.ramp.Limit(),
			Slots:   slots,
			Count:   g.loads.byName[name],
			Latency: s.ramp.SmoothedLatency(),
		})
	}
	return out
}
