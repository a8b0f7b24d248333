package lease

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// RefuseRequest asks a witness to answer no more renewals of a term and of those before.
type RefuseRequest struct {
	Group id.Group
	Term  id.Term
	// Silence is the time for which the witness must not have heard of the holder.
	Silence time.Duration
}

// RefuseAnswer is a witness's answer to a refusal.
type RefuseAnswer struct {
	Group id.Group
	// Term is the term that the answer is about, or a later one that the witness knows.
	Term id.Term
	// Refused is false where the witness has heard of the holder lately.
	Refused bool
	// Remaining is the time for which the witness's last answer still binds it.
	Remaining time.Duration
}

type promise struct {
	term    id.Term
	last    clock.Instant
	heard   bool
	refused id.Term
	// refusing is set once any term is refused, since terms begin at 1 but may be compared with 0.
	refusing  bool
	refusedAt clock.Instant
}

// Witness answers renewals and refusals for any number of groups.
type Witness struct {
	options  Options
	started  clock.Instant
	promises map[id.Group]*promise
}

// NewWitness returns a witness that has just started and remembers nothing.
func NewWitness(now clock.Instant, opts ...Option) *Witness {
	return &Witness{options: newOptions(opts), started: now, promises: map[id.Group]*promise{}}
}

// silent reports whether the witness may have given promises that it has forgotten.
func (w *Witness) silent(now clock.Instant) bool {
	return now < w.started.Add(w.options.Timing.WitnessTTL())
}

func (w *Witness) of(g id.Group) *promise {
	p, ok := w.promises[g]
	if !ok {
		p = &promise{}
		w.promises[g] = p
	}
	return p
}

// Renew answers a renewal; ok is false where the witness must stay silent.
func (w *Witness) Renew(now clock.Instant, r Renewal) (a RenewalAnswer, ok bool) {
	if w.silent(now) {
		return RenewalAnswer{}, false
	}
	p := w.of(r.Group)
	a = RenewalAnswer{Group: r.Group, Term: r.Term, Round: r.Round}
	switch {
	case r.Term < p.term:
		a.Term = p.term
	case p.refusing && r.Term <= p.refused:
		// Not granted: a successor is waiting for this term to end.
	default:
		p.term, p.last, p.heard = r.Term, now, true
		a.Granted = true
	}
	return a, true
}

// Refuse answers a refusal.
func (w *Witness) Refuse(now clock.Instant, r RefuseRequest) (a RefuseAnswer) {
	p := w.of(r.Group)
	if r.Term < p.term {
		return RefuseAnswer{Group: r.Group, Term: p.term}
	}
	a = RefuseAnswer{Group: r.Group, Term: r.Term}
	if p.heard && now.Sub(p.last) < r.Silence {
		return a
	}
	if !p.refusing || p.refused < r.Term {
		p.refusing, p.refused, p.refusedAt = true, r.Term, now
	}
	a.Refused = true
	a.Remaining = w.remaining(now, p)
	return a
}

func (w *Witness) remaining(now clock.Instant, p *promise) time.Duration {
	from := w.started
	if p.heard {
		from = max(from, p.last)
	}
	return max(0, from.Add(w.options.Timing.WitnessTTL()).Sub(now))
}

// SilentHolders returns the groups whose holder has not renewed for a time, with the last term heard.
func (w *Witness) SilentHolders(now clock.Instant, silence time.Duration) (out []RefuseRequest) {
	for g, p := range w.promises {
		if p.heard && now.Sub(p.last) >= silence {
			out = append(out, RefuseRequest{Group: g, Term: p.term, Silence: silence})
		}
	}
	return out
}

// Forget drops what is known of a group whose record no longer names this witness.
//
// It keeps what it knows, and returns false, until its last promise and the
// time in which a refused term could still begin are over.
func (w *Witness) Forget(now clock.Instant, g id.Group) bool {
	p, ok := w.promises[g]
	if !ok || w.remaining(now, p) > 0 {
		return false
	}
	if p.refusing && now < p.refusedAt.Add(w.options.Timing.WitnessTTL()) {
		return false
	}
	delete(w.promises, g)
	return true
}
