package lease

import (
	"slices"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// maxRounds is the number of newest renewal rounds whose answers are still accepted.
const maxRounds = 16

// Round is the sequence number of a renewal within a term.
type Round uint64

// Renewal asks a witness to renew the lease of a term's holder.
type Renewal struct {
	Group id.Group
	Term  id.Term
	Round Round
}

// RenewalAnswer is a witness's answer to a renewal.
type RenewalAnswer struct {
	Group id.Group
	// Term is the renewal's term, or a newer one that the witness has already granted.
	Term    id.Term
	Round   Round
	Granted bool
}

// round is a renewal and the witnesses that have granted it.
type round struct {
	number Round
	sentAt clock.Instant
	asked  []id.VM
	grants map[id.VM]bool
}

// Holder is the lease holder's state machine for one term; it is not safe for concurrent use.
type Holder struct {
	options   Options
	record    Record
	rounds    []round
	lastRound Round
	expiry    clock.Instant
	started   bool
	ended     bool
	// startDeadline is the time until which the term may begin. A witness that
	// restarts and loses its record of a refusal grants nothing for at least that long.
	startDeadline clock.Instant
}

// NewHolder returns the holder of a record whose compare-and-swap was sent at swapSentAt.
func NewHolder(r Record, swapSentAt clock.Instant, opts ...Option) *Holder {
	o := newOptions(opts)
	return &Holder{options: o, record: r, startDeadline: swapSentAt.Add(o.Timing.holderTTL())}
}

// Record returns the lease record of the holder's term.
func (h *Holder) Record() Record { return h.record }

// Expiry returns the end of the lease according to the newest round that a majority has granted, or 0 before the first one.
func (h *Holder) Expiry() clock.Instant { return h.expiry }

// Renew begins a renewal round and returns the renewal and its recipients; ok is false once the lease has ended.
//
// The recipients are the smallest majority of the witnesses: always the first
// witness, which is the preferred successor and needs every renewal, and others
// in rotation. If no majority has granted the previous round, all witnesses are
// asked.
func (h *Holder) Renew(now clock.Instant) (r Renewal, to []id.VM, ok bool) {
	if h.HasEnded(now) {
		return Renewal{}, nil, false
	}
	confirmed := len(h.rounds) > 0 && len(h.rounds[len(h.rounds)-1].grants) >= h.record.Majority()
	h.lastRound++
	to = h.record.Witnesses
	if confirmed && len(to) > h.record.Majority() {
		to = h.rotatingMajority(h.record.Majority())
	}
	h.rounds = append(h.rounds, round{number: h.lastRound, sentAt: now, asked: to, grants: map[id.VM]bool{}})
	if len(h.rounds) > maxRounds {
		h.rounds = h.rounds[1:]
	}
	return Renewal{Group: h.record.Group, Term: h.record.Term, Round: h.lastRound}, to, true
}

// rotatingMajority returns the first witness and n-1 others, which rotate from round to round.
func (h *Holder) rotatingMajority(n int) (out []id.VM) {
	others := h.record.Witnesses[1:]
	out = append(out, h.record.Witnesses[0])
	for i := range n - 1 {
		out = append(out, others[(int(h.lastRound)+i)%len(others)])
	}
	return out
}

// HandleAnswer processes a witness's answer; an answer with a later term ends the lease.
func (h *Holder) HandleAnswer(now clock.Instant, witness id.VM, a RenewalAnswer) {
	if h.HasEnded(now) || !h.record.IsWitness(witness) {
		return
	}
	if a.Term > h.record.Term {
		h.ended = true
		return
	}
	if !a.Granted || a.Term != h.record.Term {
		return
	}
	for i := range h.rounds {
		if h.rounds[i].number == a.Round {
			h.rounds[i].grants[witness] = true
			h.countGrants(now, h.rounds[i])
			return
		}
	}
}

// countGrants extends the lease if a majority has granted the round.
//
// The lease is counted from the time at which the renewal was sent.
func (h *Holder) countGrants(now clock.Instant, r round) {
	if len(r.grants) < h.record.Majority() {
		return
	}
	expiry := r.sentAt.Add(h.options.Timing.holderTTL())
	if expiry.After(h.expiry) && expiry.After(now) {
		h.expiry = expiry
		h.started = true
	}
}

// IsValid reports whether the holder may act on the lease now.
func (h *Holder) IsValid(now clock.Instant) bool {
	return h.started && !h.HasEnded(now)
}

// HasEnded reports whether the term has ended for this holder. A term that has ended is never resumed.
//
// If a holder resumed it, witnesses that refused the term and then restarted
// could grant it again, beside the lease of a successor.
func (h *Holder) HasEnded(now clock.Instant) bool {
	end := h.startDeadline
	if h.started {
		end = h.expiry
	}
	if now >= end {
		h.ended = true
	}
	return h.ended
}

// Resign ends the lease immediately.
func (h *Holder) Resign() { h.ended = true }

// UnresponsiveWitnesses returns the witnesses that have granted none of the last rounds in which they were asked.
//
// The argument is the number of those rounds. A witness that was asked in fewer
// of the retained rounds is not returned.
func (h *Holder) UnresponsiveWitnesses(rounds int) (out []id.VM) {
	for _, w := range h.record.Witnesses {
		asked, granted := 0, false
		// Answers to the newest round may still be in flight.
		for i := len(h.rounds) - 2; i >= 0 && asked < rounds; i-- {
			if slices.Contains(h.rounds[i].asked, w) {
				asked++
				granted = granted || h.rounds[i].grants[w]
			}
		}
		if asked >= rounds && !granted {
			out = append(out, w)
		}
	}
	return out
}
