package lease

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// Takeover is a successor's way to the next term of a lease.
type Takeover struct {
	options Options
	record  Record
	silence time.Duration
	freeAt  map[id.VM]clock.Instant
	// earliest is the time at which whatever the record's own writer may rely on is over.
	earliest clock.Instant
	over     bool
}

// NewTakeover begins the takeover of a record that was first seen at seenAt.
//
// The holder must have been silent for a time. A holder may begin its term
// until shortly after it wrote the record, with witnesses that have not heard
// of it yet; that time is waited out, too.
func NewTakeover(r Record, seenAt clock.Instant, silence time.Duration, opts ...Option) *Takeover {
	o := newOptions(opts)
	return &Takeover{
		options:  o,
		record:   r,
		silence:  silence,
		freeAt:   map[id.VM]clock.Instant{},
		earliest: seenAt.Add(o.Timing.WitnessTTL()),
	}
}

// Record returns the record that is being taken over.
func (t *Takeover) Record() Record { return t.record }

// RefuseRequest returns the message to send to every witness in Waiting.
func (t *Takeover) RefuseRequest() RefuseRequest {
	return RefuseRequest{Group: t.record.Group, Term: t.record.Term, Silence: t.silence}
}

// PendingWitnesses returns the witnesses that have not refused yet.
func (t *Takeover) PendingWitnesses() (out []id.VM) {
	for _, w := range t.record.Witnesses {
		if _, ok := t.freeAt[w]; !ok {
			out = append(out, w)
		}
	}
	return out
}

// HandleAnswer takes a witness's answer; a witness that still hears the holder ends the takeover.
func (t *Takeover) HandleAnswer(now clock.Instant, witness id.VM, a RefuseAnswer) {
	if !t.record.IsWitness(witness) {
		return
	}
	switch {
	case a.Term > t.record.Term:
		t.over = true
	case a.Term < t.record.Term:
		// An answer to an earlier takeover came late.
	case !a.Refused:
		t.over = true
	default:
		t.freeAt[witness] = now.Add(a.Remaining)
	}
}

// MarkRetired counts a witness that is known to have stopped for good as one that refuses.
func (t *Takeover) MarkRetired(now clock.Instant, witness id.VM) {
	if _, ok := t.freeAt[witness]; !ok && t.record.IsWitness(witness) {
		t.freeAt[witness] = now.Add(t.options.Timing.WitnessTTL())
	}
}

// IsAborted reports whether the takeover was given up.
func (t *Takeover) IsAborted() bool { return t.over }

// IsReady reports whether the record may be swapped to the next term.
func (t *Takeover) IsReady(now clock.Instant) bool {
	if t.over {
		return false
	}
	if t.record.Revision == 0 || t.record.IsVacant() {
		return true
	}
	if len(t.freeAt) < t.record.Majority() || now < t.earliest {
		return false
	}
	for _, at := range t.freeAt {
		if at.After(now) {
			return false
		}
	}
	return true
}
