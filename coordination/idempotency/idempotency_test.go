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

// uuidV7 returns an identity with the given time of creation.
func uuidV7(at time.Time) string {
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

func TestRetryOfEvictedEntryIsUnknown(t *testing.T) {
	i := is.New(t)
	d := idempotency.NewDeduplicator(time.Time{}, idempotency.WithMaxBytes(2000))
	var first idempotency.ID
	for n := range 20 {
		now := start.Add(time.Duration(n) * time.Second)
		id := idempotency.ID{Service: "s", Identity: uuidV7(now)}
		if n == 0 {
			first = id
		}
		e, original, err := d.Begin(now, id, time.Time{})
		i.NoErr(err)
		i.True(original)
		d.Finish(e, answer("done"))
	}
	_, _, err := d.Begin(start.Add(time.Minute), first, time.Time{})
	i.Equal(outcome.FromError(err).Reason, outcome.DuplicateRejected) // evicted, and therefore not run again
}

func TestAbandonedRequestCanRunAgain(t *testing.T) {
	i := is.New(t)
	d := idempotency.NewDeduplicator(time.Time{})
	id := idempotency.ID{Service: "s", Identity: "k"}
	e, original, err := d.Begin(start, id, time.Time{})
	i.NoErr(err)
	i.True(original)
	d.Abandon(e, idempotency.Answer{Err: outcome.NotRun(outcome.Overloaded, "full")})
	_, original, err = d.Begin(start, id, time.Time{})
	i.NoErr(err)
	i.True(original)
}

func TestEntriesAreHandedOver(t *testing.T) {
	i := is.New(t)
	previous := idempotency.NewDeduplicator(time.Time{})
	id := idempotency.ID{Service: "s", Identity: "k"}
	e, _, err := previous.Begin(start, id, time.Time{})
	i.NoErr(err)
	previous.Finish(e, answer("done"))
	next := idempotency.NewDeduplicator(previous.CompleteSince(), idempotency.WithEntries(previous.Export()))
	entry, original, err := next.Begin(start.Add(time.Second), id, time.Time{})
	i.NoErr(err)
	i.True(!original)
	<-entry.Done()
	i.Equal(string(entry.Answer().Body), "done")
}

func TestLookup(t *testing.T) {
	i := is.New(t)
	d := idempotency.NewDeduplicator(start)
	id := idempotency.ID{Service: "s", Identity: uuidV7(start.Add(time.Second))}
	e, _, err := d.Begin(start.Add(time.Second), id, time.Time{})
	i.NoErr(err)
	_, _, known := d.Lookup(start.Add(time.Second), id, time.Time{})
	i.True(!known) // still in flight
	d.Finish(e, answer("done"))
	_, found, known := d.Lookup(start.Add(2*time.Second), id, time.Time{})
	i.True(found && known)
	_, found, known = d.Lookup(start.Add(2*time.Second), idempotency.ID{Service: "s", Identity: uuidV7(start.Add(time.Second))}, time.Time{})
	i.True(!found && known)
	_, _, known = d.Lookup(start.Add(2*time.Second), idempotency.ID{Service: "s", Identity: uuidV7(start.Add(-time.Second))}, time.Time{})
	i.True(!known) // created before the state is complete
}

func TestClaims(t *testing.T) {
	claimed := uuidV7(start.Add(2 * time.Second))
	tests := map[string]struct {
		// startedAt is the start time of the successor's process.
		startedAt time.Time
		claims    []idempotency.Claim
		identity  string
		available bool
		runs      bool
	}{
		"claimed": {
			claims:   []idempotency.Claim{{Group: "g", Term: 4, CompleteSince: start, Identity: table.HashKey(claimed)}},
			identity: claimed, available: true,
		},
		"not claimed, created since the claims are complete": {
			claims:   []idempotency.Claim{{Group: "g", Term: 4, CompleteSince: start, Identity: 1}},
			identity: uuidV7(start.Add(2 * time.Second)), available: true, runs: true,
		},
		"not claimed, created before": {
			claims:   []idempotency.Claim{{Group: "g", Term: 4, CompleteSince: start, Identity: 1}},
			identity: uuidV7(start.Add(-2 * time.Second)), available: true,
		},
		"successor restarted": {
			startedAt: start.Add(3 * time.Second),
			claims:    []idempotency.Claim{{Group: "g", Term: 4, CompleteSince: start, Identity: 1}},
			identity:  uuidV7(start.Add(2 * time.Second)), available: true,
		},
		"another holder in between": {
			claims:   []idempotency.Claim{{Group: "g", Term: 3, CompleteSince: start, Identity: 1}},
			identity: uuidV7(start.Add(2 * time.Second)),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			c := idempotency.NewClaims(test.startedAt)
			for _, claim := range test.claims {
				i.True(c.Add(start.Add(time.Second), claim))
			}
			previous, ok := c.PopPrevious("g", 5)
			i.Equal(ok, test.available)
			if !ok {
				return
			}
			d := idempotency.NewDeduplicator(previous.CompleteSince, idempotency.WithClaimed(previous.Claimed))
			_, _, err := d.Begin(start.Add(10*time.Second), idempotency.ID{Service: "s", Identity: test.identity}, time.Time{})
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
