package lease

import (
	"slices"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// maxRounds bounds the renewals whose answers are still waited for.
const maxRounds = 16

// Round numbers the renewals of a term.
type Round uint64

// Renewal asks a witness to confirm the holder of a term.
type Renewal struct {
	Group id.Group
	Term  id.Term
	Round Round
}

// RenewalAnswer is a witness's answer to a renewal.
type RenewalAnswer struct {
	Group id.Group
	// Term is the newest term that the witness knows.
	Term    id.Term
	Round   Round
	Granted bool
}

type round struct {
	number Round
	sentAt clock.Instant
	asked  []id.VM
	grants map[id.VM]bool
}

// Holder is the lease holder's side of one term.
type Holder struct {
	options Options
	record  Record
	rounds  []round
	last    Round
	until   clock.Instant
	started bool
	lapsed  bool
	// startBy ends the time in which the term may begin: a witness that has
	// forgotten a refusal stays silent for just as long.
	startBy clock.Instant
}

// NewHolder returns the holder of a record whose swap was sent at swapSentAt.
func NewHolder(r Record, swapSentAt clock.Instant, opts ...Option) *Holder {
	o := newOptions(opts)
	return &Holder{options: o, record: r, startBy: swapSentAt.Add(o.Timing.hold())}
}

// Record returns the record that the holder holds.
func (h *Holder) Record() Record { return h.record }

// Expiry returns the end of the lease as far as it is known.
func (h *Holder) Expiry() clock.Instant { return h.until }

// Renew begins a round of renewals; ok is false once the lease has lapsed.
//
// The renewal is for the first witness, who is the successor and must hear
// every one, and for the fewest others that make a majority, each in its turn.
// After a round that no majority has answered, it is for all.
func (h *Holder) Renew(now clock.Instant) (r Renewal, to []id.VM, ok bool) {
	if h.HasEnded(now) {
		return Renewal{}, nil, false
	}
	confirmed := len(h.rounds) > 0 && len(h.rounds[len(h.rounds)-1].grants) >= h.record.Majority()
	h.last++
	to = h.record.Witnesses
	if confirmed && len(to) > h.record.Majority() {
		to = h.some(h.record.Majority())
	}
	h.rounds = append(h.rounds, round{number: h.last, sentAt: now, asked: to, grants: map[id.VM]bool{}})
	if len(h.rounds) > maxRounds {
		h.rounds = h.rounds[1:]
	}
	return Renewal{Group: h.record.Group, Term: h.record.Term, Round: h.last}, to, true
}

// some returns the first witness and n-1 others, who change from round to round.
func (h *Holder) some(n int) (out []id.VM) {
	others := h.record.Witnesses[1:]
	out = append(out, h.record.Witnesses[0])
	for i := range n - 1 {
		out = append(out, others[(int(h.last)+i)%len(others)])
	}
	return out
}

// HandleAnswer takes a witness's answer; an answer of a later term ends the lease.
func (h *Holder) HandleAnswer(now clock.Instant, witness id.VM, a RenewalAnswer) {
	if h.HasEnded(now) || !h.record.IsWitness(witness) {
		return
	}
	if a.Term > h.record.Term {
		h.lapsed = true
		return
	}
	if !a.Granted || a.Term != h.record.Term {
		return
	}
	for i := range h.rounds {
		if h.rounds[i].number == a.Round {
			h.rounds[i].grants[witness] = true
			h.count(now, h.rounds[i])
			return
		}
	}
}

// count extends the lease where a majority has answered the round.
func (h *Holder) count(now clock.Instant, r round) {
	if len(r.grants) < h.record.Majority() {
		return
	}
	until := r.sentAt.Add(h.options.Timing.hold())
	if until.After(h.until) && until.After(now) {
		h.until = until
		h.started = true
	}
}

// IsValid reports whether the holder may act on the lease now.
func (h *Holder) IsValid(now clock.Instant) bool {
	return h.started && !h.HasEnded(now)
}

// HasEnded reports whether the term is over for this holder; it never comes back.
//
// A holder that resumed a lapsed term could find witnesses that have restarted
// and forgotten that they refused it.
func (h *Holder) HasEnded(now clock.Instant) bool {
	end := h.startBy
	if h.started {
		end = h.until
	}
	if now >= end {
		h.lapsed = true
	}
	return h.lapsed
}

// Resign ends the lease at once.
func (h *Holder) Resign() { h.lapsed = true }

// UnresponsiveWitnesses returns the witnesses that have answered none of the last rounds in which they were asked.
func (h *Holder) UnresponsiveWitnesses(rounds int) (out []id.VM) {
	for _, w := range h.record.Witnesses {
		asked, heard := 0, false
		// The newest round may still be answered.
		for i := len(h.rounds) - 2; i >= 0 && asked < rounds; i-- {
			if slices.Contains(h.rounds[i].asked, w) {
				asked++
				heard = heard || h.rounds[i].grants[w]
			}
		}
		if asked >= rounds && !heard {
			out = append(out, w)
		}
	}
	return out
}
