package lease

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// Takeover is a successor's state machine for moving a lease to its next term; it is not safe for concurrent use.
type Takeover struct {
	options Options
	record  Record
	silence time.Duration
	// grantExpiries maps each witness that has refused the term to the expiry of its last grant to the holder.
	grantExpiries map[id.VM]clock.Instant
	// notBefore is the time by which a lease that the record's writer may have begun has expired.
	notBefore clock.Instant
	aborted   bool
}

// NewTakeover returns the takeover of a record that was first seen at seenAt.
//
// Witnesses refuse the record's term only if the holder has not renewed for the
// given silence. The takeover also waits for WitnessTTL after seenAt: the holder
// may begin its term until shortly after it wrote the record, with witnesses
// that have received no renewal of it yet.
func NewTakeover(r Record, seenAt clock.Instant, silence time.Duration, opts ...Option) *Takeover {
	o := newOptions(opts)
	return &Takeover{
		options:       o,
		record:        r,
		silence:       silence,
		grantExpiries: map[id.VM]clock.Instant{},
		notBefore:     seenAt.Add(o.Timing.WitnessTTL()),
	}
}

// Record returns the record whose lease is being taken over.
func (t *Takeover) Record() Record { return t.record }

// RefuseRequest returns the message to send to each witness in PendingWitnesses.
func (t *Takeover) RefuseRequest() RefuseRequest {
	return RefuseRequest{Group: t.record.Group, Term: t.record.Term, Silence: t.silence}
}

// PendingWitnesses returns the witnesses that have not refused yet.
func (t *Takeover) PendingWitnesses() (out []id.VM) {
	for _, w := range t.record.Witnesses {
		if _, ok := t.grantExpiries[w]; !ok {
			out = append(out, w)
		}
	}
	return out
}

// HandleAnswer processes a witness's answer; a witness that still receives renewals from the holder aborts the takeover.
func (t *Takeover) HandleAnswer(now clock.Instant, witness id.VM, a RefuseAnswer) {
	if !t.record.IsWitness(witness) {
		return
	}
	switch {
	case a.Term > t.record.Term:
		t.aborted = true
	case a.Term < t.record.Term:
		// A late answer to an earlier takeover.
	case !a.Refused:
		t.aborted = true
	default:
		t.grantExpiries[witness] = now.Add(a.Remaining)
	}
}

// MarkRetired counts a witness that has stopped permanently as one that has refused the term now.
func (t *Takeover) MarkRetired(now clock.Instant, witness id.VM) {
	if _, ok := t.grantExpiries[witness]; !ok && t.record.IsWitness(witness) {
		t.grantExpiries[witness] = now.Add(t.options.Timing.WitnessTTL())
	}
}

// IsAborted reports whether the takeover was aborted.
func (t *Takeover) IsAborted() bool { return t.aborted }

// IsReady reports whether the record of the next term may be written.
//
// A majority of the witnesses must have refused the term, and the last grants of
// all that have refused it must have expired. A lease that is vacant or has no
// record needs no refusals.
func (t *Takeover) IsReady(now clock.Instant) bool {
	if t.aborted {
		return false
	}
	if t.record.Revision == 0 || t.record.IsVacant() {
		return true
	}
	if len(t.grantExpiries) < t.record.Majority() || now < t.notBefore {
		return false
	}
	for _, at := range t.grantExpiries {
		if at.After(now) {
			return false
		}
	}
	return true
}
