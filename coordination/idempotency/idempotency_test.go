package idempotency_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/idempotency"
	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/table"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func v7(at time.Time) string {
	u := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for n := range 6 {
		u[n] = byte(ms >> (40 - 8*n))
	}
	return u.String()
}

func answer(body string) idempotency.Answer {
	return idempotency.Answer{Response: exchange.Response{Status: http.StatusOK}, Body: []byte(body)}
}

func TestDroppedEntriesAreNotForgottenSilently(t *testing.T) {
	i := is.New(t)
	m := idempotency.NewDeduplicator(time.Time{}, idempotency.WithMaxBytes(2000))
	var first idempotency.ID
	for n := range 20 {
		now := start.Add(time.Duration(n) * time.Second)
		id := idempotency.ID{Service: "s", Identity: v7(now)}
		if n == 0 {
			first = id
		}
		e, fresh, err := m.Begin(now, id, time.Time{})
		i.NoErr(err)
		i.True(fresh)
		m.Finish(e, answer("done"))
	}
	_, _, err := m.Begin(start.Add(time.Minute), first, time.Time{})
	i.Equal(outcome.FromError(err).Reason, outcome.DuplicateRejected) // dropped for want of memory, but not run again
}

func TestAbandonedRequestMayRunAgain(t *testing.T) {
	i := is.New(t)
	m := idempotency.NewDeduplicator(time.Time{})
	id := idempotency.ID{Service: "s", Identity: "k"}
	e, fresh, err := m.Begin(start, id, time.Time{})
	i.NoErr(err)
	i.True(fresh)
	m.Abandon(e, idempotency.Answer{Err: outcome.NotRun(outcome.Overloaded, "full")})
	_, fresh, err = m.Begin(start, id, time.Time{})
	i.NoErr(err)
	i.True(fresh)
}

func TestMemoryIsHandedOver(t *testing.T) {
	i := is.New(t)
	old := idempotency.NewDeduplicator(time.Time{})
	id := idempotency.ID{Service: "s", Identity: "k"}
	e, _, err := old.Begin(start, id, time.Time{})
	i.NoErr(err)
	old.Finish(e, answer("done"))
	next := idempotency.NewDeduplicator(old.CompleteSince(), idempotency.WithEntries(old.Export()))
	kept, fresh, err := next.Begin(start.Add(time.Second), id, time.Time{})
	i.NoErr(err)
	i.True(!fresh)
	<-kept.Done()
	i.Equal(string(kept.Answer().Body), "done")
}

func TestRecall(t *testing.T) {
	i := is.New(t)
	m := idempotency.NewDeduplicator(start)
	seen := idempotency.ID{Service: "s", Identity: v7(start.Add(time.Second))}
	e, _, err := m.Begin(start.Add(time.Second), seen, time.Time{})
	i.NoErr(err)
	_, _, known := m.Lookup(start.Add(time.Second), seen, time.Time{})
	i.True(!known) // still in flight
	m.Finish(e, answer("done"))
	_, found, known := m.Lookup(start.Add(2*time.Second), seen, time.Time{})
	i.True(found && known)
	_, found, known = m.Lookup(start.Add(2*time.Second), idempotency.ID{Service: "s", Identity: v7(start.Add(time.Second))}, time.Time{})
	i.True(!found && known)
	_, _, known = m.Lookup(start.Add(2*time.Second), idempotency.ID{Service: "s", Identity: v7(start.Add(-time.Second))}, time.Time{})
	i.True(!known) // from before the memory begins
}

func TestClaims(t *testing.T) {
	claimed := v7(start.Add(2 * time.Second))
	tests := map[string]struct {
		// startedAt is the start of the successor's process.
		startedAt time.Time
		claims    []idempotency.Claim
		identity  string
		takenOver bool
		runs      bool
	}{
		"claimed": {
			claims:   []idempotency.Claim{{Group: "g", Term: 4, CompleteSince: start, Identity: table.HashKey(claimed)}},
			identity: claimed, takenOver: true,
		},
		"not claimed, from the time that is covered": {
			claims:   []idempotency.Claim{{Group: "g", Term: 4, CompleteSince: start, Identity: 1}},
			identity: v7(start.Add(2 * time.Second)), takenOver: true, runs: true,
		},
		"not claimed, from before": {
			claims:   []idempotency.Claim{{Group: "g", Term: 4, CompleteSince: start, Identity: 1}},
			identity: v7(start.Add(-2 * time.Second)), takenOver: true,
		},
		"successor was restarted": {
			startedAt: start.Add(3 * time.Second),
			claims:    []idempotency.Claim{{Group: "g", Term: 4, CompleteSince: start, Identity: 1}},
			identity:  v7(start.Add(2 * time.Second)), takenOver: true,
		},
		"another holder came between": {
			claims:   []idempotency.Claim{{Group: "g", Term: 3, CompleteSince: start, Identity: 1}},
			identity: v7(start.Add(2 * time.Second)),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			c := idempotency.NewClaims(test.startedAt)
			for _, claim := range test.claims {
				i.True(c.Add(start.Add(time.Second), claim))
			}
			in, ok := c.PopPrevious("g", 5)
			i.Equal(ok, test.takenOver)
			if !ok {
				return
			}
			m := idempotency.NewDeduplicator(in.CompleteSince, idempotency.WithClaimed(in.Claimed))
			_, _, err := m.Begin(start.Add(10*time.Second), idempotency.ID{Service: "s", Identity: test.identity}, time.Time{})
			i.Equal(err == nil, test.runs)
		})
	}
}

func TestClaimOfAnOldTermIsRefused(t *testing.T) {
	i := is.New(t)
	c := idempotency.NewClaims(start)
	i.True(c.Add(start, idempotency.Claim{Group: "g", Term: 5, Identity: 1}))
	i.True(!c.Add(start, idempotency.Claim{Group: "g", Term: 4, Identity: 2}))
}
