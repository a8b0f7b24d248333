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
	// Remaining is the time for which the witness's last grant to the holder is still in force.
	Remaining time.Duration
}

// groupState holds what a witness has granted and refused for one group.
type groupState struct {
	// term is the newest granted term, valid if renewed is set.
	term        id.Term
	renewedAt   clock.Instant
	renewed     bool
	refusedTerm id.Term
	// hasRefused is set once any term has been refused. A refusedTerm of 0 doesn't mean that none has: terms begin at 1, but
	// term 0 may be compared as well.
	hasRefused bool
	refusedAt  clock.Instant
}

// Witness answers renewals and refuse requests for any number of groups; it is not safe for concurrent use.
type Witness struct {
	options Options
	started clock.Instant
	groups  map[id.Group]*groupState
}

// NewWitness returns a witness that has just started, without the state of an earlier process.
func NewWitness(now clock.Instant, opts ...Option) *Witness {
	return &Witness{options: newOptions(opts), started: now, groups: map[id.Group]*groupState{}}
}

// isRecovering reports whether grants by the process before a restart, whose state is lost, may still be in force.
func (w *Witness) isRecovering(now clock.Instant) bool {
	return now < w.started.Add(w.options.Timing.WitnessTTL())
}

// stateOf returns the state of a group and creates it if there is none.
func (w *Witness) stateOf(g id.Group) *groupState {
	s, ok := w.groups[g]
	if !ok {
		s = &groupState{}
		w.groups[g] = s
	}
	return s
}

// Renew answers a renewal; ok is false while the witness must not answer because it has restarted recently.
func (w *Witness) Renew(now clock.Instant, r Renewal) (a RenewalAnswer, ok bool) {
	if w.isRecovering(now) {
		return RenewalAnswer{}, false
	}
	s := w.stateOf(r.Group)
	a = RenewalAnswer{Group: r.Group, Term: r.Term, Round: r.Round}
	switch {
	case r.Term < s.term:
		a.Term = s.term
	case s.hasRefused && r.Term <= s.refusedTerm:
		// Not granted, since a successor is waiting for this term to end.
	default:
		s.term, s.renewedAt, s.renewed = r.Term, now, true
		a.Granted = true
	}
	return a, true
}

// Refuse answers a refuse request.
func (w *Witness) Refuse(now clock.Instant, r RefuseRequest) (a RefuseAnswer) {
	s := w.stateOf(r.Group)
	if r.Term < s.term {
		return RefuseAnswer{Group: r.Group, Term: s.term}
	}
	a = RefuseAnswer{Group: r.Group, Term: r.Term}
	if s.renewed && now.Sub(s.renewedAt) < r.Silence {
		return a
	}
	if !s.hasRefused || s.refusedTerm < r.Term {
		s.hasRefused, s.refusedTerm, s.refusedAt = true, r.Term, now
	}
	a.Refused = true
	a.Remaining = w.remainingGrant(now, s)
	return a
}

// remainingGrant returns how long the last grant may still be in force; a start of the witness counts as a grant.
func (w *Witness) remainingGrant(now clock.Instant, s *groupState) time.Duration {
	from := w.started
	if s.renewed {
		from = max(from, s.renewedAt)
	}
	return max(0, from.Add(w.options.Timing.WitnessTTL()).Sub(now))
}

// SilentHolders returns a refuse request for each group whose holder has not renewed for the given silence, with the
// newest granted term.
func (w *Witness) SilentHolders(now clock.Instant, silence time.Duration) (out []RefuseRequest) {
	for g, s := range w.groups {
		if s.renewed && now.Sub(s.renewedAt) >= silence {
			out = append(out, RefuseRequest{Group: g, Term: s.term, Silence: silence})
		}
	}
	return out
}

// Forget removes the state of a group whose record no longer names this witness, and reports whether it did.
//
// The state is kept until the last grant has expired and a refused term can no
// longer begin.
func (w *Witness) Forget(now clock.Instant, g id.Group) bool {
	s, ok := w.groups[g]
	if !ok || w.remainingGrant(now, s) > 0 {
		return false
	}
	if s.hasRefused && now < s.refusedAt.Add(w.options.Timing.WitnessTTL()) {
		return false
	}
	delete(w.groups, g)
	return true
}
