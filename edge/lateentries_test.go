package edge

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/gossip"
)

// Each sign that entries of backend servers may be late must start checks at once, and nothing else must.
func TestSignsOfLateEntriesStartChecks(t *testing.T) {
	unanswered := errors.Mark(errors.New("timeout"), platform.ErrOutcomeUnknown)
	evacuated := func(domains ...id.Domain) *fleet.Snapshot {
		s := &fleet.Snapshot{Evacuated: map[id.Domain]bool{}}
		for _, d := range domains {
			s.Evacuated[d] = true
		}
		return s
	}
	call := func(name string, err error) func(e *Edge) {
		return func(e *Edge) { e.observeStoreCall(name, time.Second, err) }
	}
	returns := func(old, next *fleet.Snapshot) func(e *Edge) {
		return func(e *Edge) { e.observeReturns(old, next) }
	}
	late := func(l *gossip.LateEntries) func(e *Edge) {
		return func(e *Edge) { e.applyLateEntries("b", l) }
	}
	tests := map[string]struct {
		observe    func(e *Edge)
		east, west bool
	}{
		"a renewal without an answer":        {observe: call("kv-keep", unanswered), east: true, west: true},
		"a transaction without an answer":    {observe: call("kv-txn", unanswered), east: true, west: true},
		"a watch without an answer":          {observe: call("kv-watch", unanswered)},
		"a read without an answer":           {observe: call("kv-range", unanswered)},
		"a write that was refused":           {observe: call("kv-txn", platform.ErrRefused)},
		"a write that this VM gave up":       {observe: call("kv-txn", errors.Mark(context.Canceled, platform.ErrOutcomeUnknown))},
		"a write that was answered":          {observe: call("kv-txn", nil)},
		"the end of an evacuation":           {observe: returns(evacuated("east", "west"), evacuated("west")), east: true},
		"the begin of an evacuation":         {observe: returns(evacuated(), evacuated("east"))},
		"a message of another VM":            {observe: late(&gossip.LateEntries{Age: 100}), east: true, west: true},
		"a message with a negative age":      {observe: late(&gossip.LateEntries{Age: -100}), east: true, west: true},
		"an old message of another VM":       {observe: late(&gossip.LateEntries{Age: 5000})},
		"a message without a sign":           {observe: late(nil)},
		"a message with an age out of range": {observe: late(&gossip.LateEntries{Age: 1 << 62})},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := clock.Runtime{Origin: time.Now().Add(-time.Hour)}
			e := &Edge{clock: c, log: slog.New(slog.DiscardHandler), warmupSign: make(chan struct{}, 1), unansweredLogs: rate.Sometimes{First: 1}}
			e.metrics = newMetrics(e)
			test.observe(e)
			is.Equal(e.warmups.IsNeeded(c.Boot(), "east"), test.east)
			is.Equal(e.warmups.IsNeeded(c.Boot(), "west"), test.west)
			is.Equal(len(e.warmupSign) > 0, test.east)
		})
	}
}
