package group

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/id"
)

// Constants of the latency window that sets the hedge delay.
const (
	// windowSize is the number of samples in the window.
	windowSize = 256
	// windowRefresh is the number of new samples after which the hedge delay is computed again.
	windowRefresh = 32
	// hedgeQuantile is the quantile of the latencies after which a request is hedged.
	hedgeQuantile = 0.95
	// hedgeMarginPercent is the hedge delay in percent of the quantile.
	//
	// With 100 % a group whose latencies are all equal would hedge needlessly.
	hedgeMarginPercent = 120
	minHedgeDelay      = 2 * time.Millisecond
	// initialHedgeDelay is the hedge delay until there are windowRefresh samples.
	initialHedgeDelay = 50 * time.Millisecond
)

// latencyWindow holds the latest latencies of a group, guarded by the group's lock.
type latencyWindow struct {
	samples    []time.Duration
	next       int
	added      int
	hedgeDelay time.Duration
}

func newLatencyWindow() *latencyWindow {
	return &latencyWindow{hedgeDelay: initialHedgeDelay}
}

// observe adds a sample and, every windowRefresh samples, computes the hedge delay.
func (w *latencyWindow) observe(d time.Duration) {
	if len(w.samples) < windowSize {
		w.samples = append(w.samples, d)
	} else {
		w.samples[w.next] = d
		w.next = (w.next + 1) % windowSize
	}
	if w.added++; w.added%windowRefresh == 0 {
		sorted := slices.Sorted(slices.Values(w.samples))
		w.hedgeDelay = max(minHedgeDelay, hedgeMarginPercent*sorted[int(hedgeQuantile*float64(len(sorted)-1))]/100)
	}
}

// errHedgeLost cancels an attempt when another attempt of the same request was answered first.
var errHedgeLost = errors.New("another attempt was answered first")

// attemptResult is the result of one attempt of a hedged request.
type attemptResult struct {
	answer *exchange.Response
	last   id.Server
	err    error
	// index is 0 for the first attempt and 1 for the hedge.
	index int
}

// sendHedged sends a request and, where its route allows hedging and the answer is late, a hedge to another server.
//
// The first answer is returned; the other attempt is cancelled.
func (g *Group) sendHedged(ctx context.Context, r *exchange.Request, p *exchange.Payload, avoid id.Server) (answer *exchange.Response, last id.Server, err error) {
	if !r.Hedge || !r.Idempotent || r.Keyed || !p.IsComplete() {
		return g.sendOnce(ctx, r, p, avoid)
	}
	results := make(chan attemptResult, 2)
	cancels := []context.CancelCauseFunc{g.startAttempt(ctx, r, p, avoid, 0, results)}
	g.mu.Lock()
	delay := g.latencies.hedgeDelay
	g.mu.Unlock()
	hedge := g.options.Clock.After(delay)
	unknown := false
	for pending := 1; ; {
		select {
		case <-hedge:
			hedge = nil
			first := g.serverRunning(p)
			if first != "" && g.hedges.TryWithdraw() {
				pending++
				cancels = append(cancels, g.startAttempt(ctx, r, p, first, 1, results))
			}
		case res := <-results:
			pending--
			if res.err != nil {
				res.err = outcome.Final(outcome.FromError(res.err), unknown)
				unknown = outcome.FromError(res.err).Outcome == outcome.KindUnknown
			}
			if res.err != nil && pending > 0 {
				continue
			}
			g.finishHedge(res, cancels, pending, results)
			return res.answer, res.last, res.err
		}
	}
}

// startAttempt starts one attempt, whose result is sent to results.
func (g *Group) startAttempt(ctx context.Context, r *exchange.Request, p *exchange.Payload, avoid id.Server, index int, results chan<- attemptResult) context.CancelCauseFunc {
	ctx, cancel := context.WithCancelCause(ctx)
	g.tasks.Go(ctx, func(ctx context.Context) {
		answer, last, err := g.sendOnce(ctx, r, p, avoid)
		results <- attemptResult{answer: answer, last: last, err: err, index: index}
	})
	return cancel
}

// finishHedge cancels the losing attempt and ends the context of the winning one when its body is closed.
func (g *Group) finishHedge(winner attemptResult, cancels []context.CancelCauseFunc, pending int, results <-chan attemptResult) {
	for i, cancel := range cancels {
		if i != winner.index || winner.err != nil {
			cancel(errHedgeLost)
		}
	}
	if winner.err == nil {
		winner.answer.Body = exchange.OnClose(winner.answer.Body, func() { cancels[winner.index](nil) })
	}
	if pending > 0 {
		g.tasks.Go(context.Background(), func(context.Context) {
			if loser := <-results; loser.err == nil {
				loser.answer.Body.Close()
			}
		})
	}
}

// serverRunning returns the server at which a payload is in flight, or an empty name while the request is queued.
func (g *Group) serverRunning(p *exchange.Payload) id.Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, s := range g.servers {
		for a := range s.attempts {
			if a.payload == p {
				return name
			}
		}
	}
	return ""
}
