package lease

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// RefuseRequest asks a witness to refuse all further renewals of a term and of earlier ones.
type RefuseRequest struct {
	Group id.Group
	Term  id.Term
	// Silence is the time for which the witness must have received no renewal.
	Silence time.Duration
}

// RefuseAnswer is a witness's answer to a RefuseRequest.
type RefuseAnswer struct {
	Group id.Group
	// Term is the request's term, or a later one that the witness has already granted.
	Term id.Term
	// Refused is false if the witness has received a renewal more recently than the request allows, or knows a later term.
	Refused bool
	// Remaining is the time for which the witness's last grant to the holder is still binding.
	Remaining time.Duration
}

// promise is what a witness has granted and refused for one group.
type promise struct {
	// term is the newest granted term, valid if renewed is set.
	term        id.Term
	renewedAt   clock.Instant
	renewed     bool
	refusedTerm id.Term
	// hasRefused is set once any term has been refused; refusedTerm alone can't tell, since terms may be compared with 0.
	hasRefused bool
	refusedAt  clock.Instant
}

// Witness answers renewals and refuse requests for any number of groups; it is not safe for concurrent use.
type Witness struct {
	options  Options
	started  clock.Instant
	promises map[id.Group]*promise
}

// NewWitness returns a witness that has just started, without any state from before.
func NewWitness(now clock.Instant, opts ...Option) *Witness {
	return &Witness{options: newOptions(opts), started: now, promises: map[id.Group]*promise{}}
}

// isRecovering reports whether promises of the process before a restart, whose state is lost, may still be binding.
func (w *Witness) isRecovering(now clock.Instant) bool {
	return now < w.started.Add(w.options.Timing.WitnessTTL())
}

// promiseFor returns the promise of a group and creates it if there is none.
func (w *Witness) promiseFor(g id.Group) *promise {
	p, ok := w.promises[g]
	if !ok {
		p = &promise{}
		w.promises[g] = p
	}
	return p
}

// Renew answers a renewal; ok is false while the witness must not answer because it has restarted recently.
func (w *Witness) Renew(now clock.Instant, r Renewal) (a RenewalAnswer, ok bool) {
	if w.isRecovering(now) {
		return RenewalAnswer{}, false
	}
	p := w.promiseFor(r.Group)
	a = RenewalAnswer{Group: r.Group, Term: r.Term, Round: r.Round}
	switch {
	case r.Term < p.term:
		a.Term = p.term
	case p.hasRefused && r.Term <= p.refusedTerm:
		// Not granted, since a successor is waiting for this term to end.
	default:
		p.term, p.renewedAt, p.renewed = r.Term, now, true
		a.Granted = true
	}
	return a, true
}

// Refuse answers a refuse request.
func (w *Witness) Refuse(now clock.Instant, r RefuseRequest) (a RefuseAnswer) {
	p := w.promiseFor(r.Group)
	if r.Term < p.term {
		return RefuseAnswer{Group: r.Group, Term: p.term}
	}
	a = RefuseAnswer{Group: r.Group, Term: r.Term}
	if p.renewed && now.Sub(p.renewedAt) < r.Silence {
		return a
	}
	if !p.hasRefused || p.refusedTerm < r.Term {
		p.hasRefused, p.refusedTerm, p.refusedAt = true, r.Term, now
	}
	a.Refused = true
	a.Remaining = w.remainingPromise(now, p)
	return a
}

// remainingPromise returns how long a promise may still be binding; a restart counts as a grant.
func (w *Witness) remainingPromise(now clock.Instant, p *promise) time.Duration {
	from := w.started
	if p.renewed {
		from = max(from, p.renewedAt)
	}
	return max(0, from.Add(w.options.Timing.WitnessTTL()).Sub(now))
}

// SilentHolders returns a refuse request for each group whose holder has not renewed for the given silence, with the
// newest granted term.
func (w *Witness) SilentHolders(now clock.Instant, silence time.Duration) (out []RefuseRequest) {
	for g, p := range w.promises {
		if p.renewed && now.Sub(p.renewedAt) >= silence {
			out = append(out, RefuseRequest{Group: g, Term: p.term, Silence: silence})
		}
	}
	return out
}

// Forget removes the state of a group whose record no longer names this witness, and reports whether it did.
//
// The state is kept until the last promise has expired and a refused term can no
// longer begin.
func (w *Witness) Forget(now clock.Instant, g id.Group) bool {
	p, ok := w.promises[g]
	if !ok || w.remainingPromise(now, p) > 0 {
		return false
	}
	if p.hasRefused && now < p.refusedAt.Add(w.options.Timing.WitnessTTL()) {
		return false
	}
	delete(w.promises, g)
	return true
}
