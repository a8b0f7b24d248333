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

// Constants of the window of latencies that decides when to hedge.
const (
	windowSize    = 256
	windowRefresh = 32
	hedgeQuantile = 0.95
	// hedgeMargin is the delay in percent of the quantile, so that equal latencies aren't hedged.
	hedgeMargin    = 120
	minHedgeDelay  = 2 * time.Millisecond
	initialHedging = 50 * time.Millisecond
)

// window keeps the newest latencies of a group, guarded by the group's lock.
type window struct {
	samples []time.Duration
	next    int
	added   int
	delay   time.Duration
}

func newWindow() *window {
	return &window{delay: initialHedging}
}

func (w *window) add(d time.Duration) {
	if len(w.samples) < windowSize {
		w.samples = append(w.samples, d)
	} else {
		w.samples[w.next] = d
		w.next = (w.next + 1) % windowSize
	}
	if w.added++; w.added%windowRefresh == 0 {
		sorted := slices.Sorted(slices.Values(w.samples))
		w.delay = max(minHedgeDelay, hedgeMargin*sorted[int(hedgeQuantile*float64(len(sorted)-1))]/100)
	}
}

// errOutrun cancels the sending that another copy has outrun.
var errOutrun = errors.New("another copy was faster")

type arrival struct {
	answer *exchange.Response
	last   id.Server
	err    error
	// copy numbers the sending.
	copy int
}

// race sends a request and, where its route hedges and it is slow, a copy to another server.
//
// The first answer wins; the other sending is cancelled.
func (g *Group) race(ctx context.Context, r *exchange.Request, p *exchange.Payload, avoid id.Server) (answer *exchange.Response, last id.Server, err error) {
	if !r.Hedge || !r.Idempotent || r.Keyed || !p.IsComplete() {
		return g.attempt(ctx, r, p, avoid)
	}
	arrivals := make(chan arrival, 2)
	cancels := []context.CancelCauseFunc{g.start(ctx, r, p, avoid, 0, arrivals)}
	g.mu.Lock()
	delay := g.latency.delay
	g.mu.Unlock()
	hedge := g.options.Clock.After(delay)
	unknown := false
	for pending := 1; ; {
		select {
		case <-hedge:
			hedge = nil
			busy := g.serverOf(p)
			if busy != "" && g.hedges.TryWithdraw() {
				pending++
				cancels = append(cancels, g.start(ctx, r, p, busy, 1, arrivals))
			}
		case a := <-arrivals:
			pending--
			if a.err != nil {
				a.err = outcome.Final(outcome.FromError(a.err), unknown)
				unknown = outcome.FromError(a.err).Outcome == outcome.KindUnknown
			}
			if a.err != nil && pending > 0 {
				continue
			}
			g.settle(a, cancels, pending, arrivals)
			return a.answer, a.last, a.err
		}
	}
}

// start runs one sending, whose end is reported on arrivals.
func (g *Group) start(ctx context.Context, r *exchange.Request, p *exchange.Payload, avoid id.Server, number int, arrivals chan<- arrival) context.CancelCauseFunc {
	ctx, cancel := context.WithCancelCause(ctx)
	g.tasks.Go(ctx, func(ctx context.Context) {
		answer, last, err := g.attempt(ctx, r, p, avoid)
		arrivals <- arrival{answer: answer, last: last, err: err, copy: number}
	})
	return cancel
}

// settle cancels the loser of a race and ties the winner's context to its body.
func (g *Group) settle(winner arrival, cancels []context.CancelCauseFunc, pending int, arrivals <-chan arrival) {
	for i, cancel := range cancels {
		if i != winner.copy || winner.err != nil {
			cancel(errOutrun)
		}
	}
	if winner.err == nil {
		winner.answer.Body = exchange.OnClose(winner.answer.Body, func() { cancels[winner.copy](nil) })
	}
	if pending > 0 {
		g.tasks.Go(context.Background(), func(context.Context) {
			if loser := <-arrivals; loser.err == nil {
				loser.answer.Body.Close()
			}
		})
	}
}

// serverOf returns the server at which a payload is in flight, or the empty name while it waits.
func (g *Group) serverOf(p *exchange.Payload) id.Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, s := range g.servers {
		for f := range s.flights {
			if f.payload == p {
				return name
			}
		}
	}
	return ""
}
