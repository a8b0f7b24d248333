package leader_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// A VM mustn't be sure of its leadership as of a time after which half of the VMs may have known a later leader.
func TestConfirmedAt(t *testing.T) {
	const term = 7
	report := func(sent clock.Instant, known id.Revision) leader.Heartbeat {
		return leader.Heartbeat{StoreUnreachable: true, KnownTerm: known, Stamp: &leader.Stamp{Term: known, SentAt: sent}}
	}
	second := func(n int) clock.Instant { return start.Add(time.Duration(n) * time.Second) }
	tests := map[string]struct {
		prepare func(e *leader.Elector)
		want    clock.Instant
	}{
		"by the election": {prepare: func(*leader.Elector) {}, want: start},
		"by a renewal":    {prepare: func(e *leader.Elector) { e.Renewed(second(1)) }, want: second(1)},
		"by the reports of most VMs, as of the second oldest": {
			prepare: func(e *leader.Elector) {
				e.RecordHeartbeat(second(4), "b", report(second(3), term))
				e.RecordHeartbeat(second(4), "c", report(second(2), term))
			}, want: second(2),
		},
		"reports of too few VMs": {
			prepare: func(e *leader.Elector) { e.RecordHeartbeat(second(4), "b", report(second(3), term)) }, want: start,
		},
		"reports that answer a former leader": {
			prepare: func(e *leader.Elector) {
				for _, m := range members[1:] {
					e.RecordHeartbeat(second(4), m, report(second(3), term-1))
				}
			}, want: start,
		},
		"VMs that the store answers may have forgotten a later term": {
			prepare: func(e *leader.Elector) {
				for _, m := range members[1:] {
					h := report(second(3), term)
					h.StoreUnreachable = false
					e.RecordHeartbeat(second(4), m, h)
				}
			}, want: start,
		},
		"reports before a later leader was known": {
			prepare: func(e *leader.Elector) {
				for _, m := range members[1:4] {
					e.RecordHeartbeat(second(4), m, report(second(3), term))
				}
				e.RecordHeartbeat(second(5), "e", leader.Heartbeat{KnownTerm: term + 1, Stamp: &leader.Stamp{}})
			}, want: start,
		},
		"the lease has ended": {
			prepare: func(e *leader.Elector) { e.Renewed(second(1)); e.LeaseEnded(second(2)) }, want: second(1),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newElector("a", members...)
			e.Won(start, term)
			test.prepare(e)
			is.Equal(e.ConfirmedAt(second(6)), test.want)
		})
	}
}
