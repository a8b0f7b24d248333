package change_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/change"
	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/standin/platform"
	client "github.com/hickorylug/hickorylug/transport/platform"
)

func start(t *testing.T) (*platform.Platform, *change.Repository) {
	t.Helper()
	p := platform.NewPlatform()
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, change.NewRepository(client.NewClient(server.URL))
}

func example(t *testing.T) json.RawMessage {
	t.Helper()
	data, err := os.ReadFile("../../examples/noor.json")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// with returns the document with a route's timeout changed.
func with(t *testing.T, document json.RawMessage, route, timeout string) json.RawMessage {
	t.Helper()
	out, err := change.Patch(document, json.RawMessage(fmt.Sprintf(`{"Base":{"Routes":{%q:{"Timeout":%q}}}}`, route, timeout)))
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func TestApplyAndHistory(t *testing.T) {
	i := is.New(t)
	_, book := start(t)
	entry, err := book.Apply(t.Context(), change.Entry{}, change.Proposal{Document: example(t), Operator: "first"})
	i.NoErr(err)
	for n := range 3 {
		next, err := book.Apply(t.Context(), entry, change.Proposal{Document: with(t, example(t), "renew", fmt.Sprintf("%ds", n+6)), Operator: "later"})
		i.NoErr(err)
		i.True(next.Revision > entry.Revision)
		entry = next
	}
	history, err := book.History(t.Context())
	i.NoErr(err)
	i.Equal(len(history), 3)
	i.Equal(history[2].Accepted.Operator, "first")
	// A revert is a new revision.
	reverted, err := book.Apply(t.Context(), entry, change.Proposal{Document: history[2].Accepted.Document})
	i.NoErr(err)
	i.True(reverted.Revision > entry.Revision)
}

func TestInvalidDocumentIsNotWritten(t *testing.T) {
	i := is.New(t)
	p, book := start(t)
	_, err := book.Apply(t.Context(), change.Entry{}, change.Proposal{Document: with(t, example(t), "renew", "soon")})
	var invalid *change.InvalidError
	i.True(errors.As(err, &invalid))
	i.True(strings.Contains(invalid.Error(), "Routes.renew.Timeout"))
	i.Equal(int(p.Item(directory.KeyConfiguration).Revision), 0)
}

func TestRacingOperatorIsShownBothChanges(t *testing.T) {
	i := is.New(t)
	_, book := start(t)
	entry, err := book.Apply(t.Context(), change.Entry{}, change.Proposal{Document: example(t)})
	i.NoErr(err)
	_, err = book.Apply(t.Context(), entry, change.Proposal{Document: with(t, example(t), "renew", "7s"), Operator: "noor"})
	i.NoErr(err)
	_, err = book.Apply(t.Context(), entry, change.Proposal{Document: with(t, example(t), "cancel", "8s"), Operator: "layl"})
	var conflict *change.ConflictError
	i.True(errors.As(err, &conflict))
	i.Equal(conflict.Current.Accepted.Operator, "noor")
	i.True(strings.Contains(string(conflict.Theirs), `"renew"`))
	i.True(strings.Contains(string(conflict.Ours), `"cancel"`))
}

func TestStoreFaultsAroundTheSwap(t *testing.T) {
	tests := map[string]struct {
		faults platform.Faults
		ok     bool
	}{
		"answers lost": {faults: platform.Faults{LostResponses: 2}, ok: true},
		"outage":       {faults: platform.Faults{Outage: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			p, book := start(t)
			entry, err := book.Apply(t.Context(), change.Entry{}, change.Proposal{Document: example(t)})
			i.NoErr(err)
			p.SetFaults(test.faults)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			next, err := book.Apply(ctx, entry, change.Proposal{Document: with(t, example(t), "renew", "7s")})
			p.SetFaults(platform.Faults{})
			current, readErr := book.Current(t.Context())
			i.NoErr(readErr)
			if test.ok {
				i.NoErr(err)
				i.Equal(current.Accepted.Change, next.Accepted.Change)
			} else {
				i.True(err != nil)
				i.Equal(current.Revision, entry.Revision)
			}
		})
	}
}

// TestThreeOperators lets three operators race; every accepted change must have been made from the one before it.
func TestThreeOperators(t *testing.T) {
	const rounds, operators = 66, 3
	i := is.New(t)
	_, book := start(t)
	document := example(t)
	_, err := book.Apply(t.Context(), change.Entry{}, change.Proposal{Document: document})
	i.NoErr(err)
	type result struct{ accepted, refused int }
	results := make(chan result, operators)
	for operator := range operators {
		go func() {
			rng := rand.New(rand.NewPCG(uint64(operator), 1))
			var r result
			for n := range rounds {
				from, err := book.Current(t.Context())
				if err != nil {
					t.Error(err)
					break
				}
				proposal := with(t, from.Accepted.Document, "renew", fmt.Sprintf("%dms", 5000+operator*1000+n+rng.IntN(7)*1000000))
				accepted, err := book.Apply(t.Context(), from, change.Proposal{Document: proposal, Operator: fmt.Sprint(operator)})
				var conflict *change.ConflictError
				switch {
				case err == nil && accepted.Revision > from.Revision:
					r.accepted++
				case errors.As(err, &conflict) && conflict.Current.Revision > from.Revision:
					r.refused++
				default:
					t.Errorf("operator %d: %v", operator, err)
				}
			}
			results <- r
		}()
	}
	total := result{}
	for range operators {
		r := <-results
		total.accepted += r.accepted
		total.refused += r.refused
	}
	i.Equal(total.accepted+total.refused, rounds*operators)
	i.True(total.accepted >= rounds) // somebody is accepted each time
}

func TestLargeConfiguration(t *testing.T) {
	i := is.New(t)
	_, book := start(t)
	servers := map[string]any{}
	for n := range 8000 {
		servers[fmt.Sprintf("server-%05d", n)] = map[string]any{
			"Address": fmt.Sprintf("10.%d.%d.%d:80", n/65536+1, n/256%256, n%256), "FailureDomain": "a", "Group": fmt.Sprintf("g%d", n/8),
		}
	}
	base, err := json.Marshal(map[string]any{
		"FailureDomains": map[string]any{"a": map[string]any{}},
		"Services":       map[string]any{"s": map[string]any{"Servers": servers}},
		"Routes":         map[string]any{"r": map[string]any{"Service": "s", "Path": "/", "Timeout": "1s"}},
	})
	i.NoErr(err)
	document := json.RawMessage(`{"Base":` + string(base) + `}`)
	i.True(len(document) > 600_000)
	entry, err := book.Apply(t.Context(), change.Entry{}, change.Proposal{Document: document})
	i.NoErr(err)
	second, err := book.Apply(t.Context(), entry, change.Proposal{Document: with(t, document, "r", "2s")})
	i.NoErr(err)
	_, err = book.Apply(t.Context(), second, change.Proposal{Document: with(t, document, "r", "3s")})
	i.NoErr(err)
	history, err := book.History(t.Context())
	i.NoErr(err)
	i.Equal(len(history), 2)
}
