package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

func at(d time.Duration) clock.Instant { return clock.Instant(time.Hour + d) }

func record() Record {
	return Record{Group: "g", Term: 1, Holder: "a", Witnesses: []id.VM{"b", "c", "d"}, Revision: 1}
}

func grant(r Renewal) RenewalAnswer {
	return RenewalAnswer{Group: r.Group, Term: r.Term, Round: r.Round, Granted: true}
}

func TestHolderCountsFromTheSending(t *testing.T) {
	i := is.New(t)
	h := NewHolder(record(), at(0))
	r, to, ok := h.Renew(at(10 * time.Millisecond))
	i.True(ok)
	i.Equal(len(to), 3) // before the first confirmation, all witnesses are asked
	h.Answer(at(200*time.Millisecond), "b", grant(r))
	i.True(!h.Valid(at(200 * time.Millisecond))) // one of three is no majority
	h.Answer(at(300*time.Millisecond), "c", grant(r))
	i.True(h.Valid(at(300 * time.Millisecond)))
	i.Equal(h.Until(), at(10*time.Millisecond).Add(DefaultTiming.hold()))
	i.True(!h.Valid(h.Until()))
}

func TestHolder(t *testing.T) {
	hold := DefaultTiming.hold()
	tests := map[string]struct {
		run   func(h *Holder)
		now   time.Duration
		valid bool
	}{
		"never confirmed": {run: func(*Holder) {}, now: 0},
		"confirmed after the start window": {
			run: func(h *Holder) {
				r, _, _ := h.Renew(at(0))
				h.Answer(at(hold), "b", grant(r))
				h.Answer(at(hold), "c", grant(r))
			},
			now: hold,
		},
		"lapsed and answered late": {
			run: func(h *Holder) {
				confirm(h, 0)
				r, _, _ := h.Renew(at(hold / 2))
				h.Answer(at(2*hold), "b", grant(r))
				h.Answer(at(2*hold), "c", grant(r))
			},
			now: hold + hold/4,
		},
		"doubled answers of one witness": {
			run: func(h *Holder) {
				r, _, _ := h.Renew(at(0))
				h.Answer(at(1), "b", grant(r))
				h.Answer(at(2), "b", grant(r))
			},
			now: 3,
		},
		"answers of different rounds": {
			run: func(h *Holder) {
				r1, _, _ := h.Renew(at(0))
				r2, _, _ := h.Renew(at(1))
				h.Answer(at(2), "b", grant(r1))
				h.Answer(at(2), "c", grant(r2))
			},
			now: 3,
		},
		"answer of a stranger": {
			run: func(h *Holder) {
				r, _, _ := h.Renew(at(0))
				h.Answer(at(1), "x", grant(r))
				h.Answer(at(1), "y", grant(r))
			},
			now: 2,
		},
		"a later term is known": {
			run: func(h *Holder) {
				confirm(h, 0)
				h.Answer(at(1), "b", RenewalAnswer{Group: "g", Term: 2})
			},
			now: 2,
		},
		"out of order": {
			run: func(h *Holder) {
				r1, _, _ := h.Renew(at(0))
				r2, _, _ := h.Renew(at(hold / 2))
				for _, r := range []Renewal{r2, r1} {
					h.Answer(at(hold*3/4), "b", grant(r))
					h.Answer(at(hold*3/4), "c", grant(r))
				}
			},
			now: hold + hold/4, valid: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := NewHolder(record(), at(0))
			test.run(h)
			is.New(t).Equal(h.Valid(at(test.now)), test.valid)
		})
	}
}

func confirm(h *Holder, now time.Duration) {
	r, _, _ := h.Renew(at(now))
	h.Answer(at(now+1), "b", grant(r))
	h.Answer(at(now+1), "c", grant(r))
}

func TestHolderAsksOnlyAMajorityOnceConfirmed(t *testing.T) {
	i := is.New(t)
	h := NewHolder(record(), at(0))
	confirm(h, 0)
	_, second, _ := h.Renew(at(10))
	i.Equal(len(second), 2)
	i.Equal(second[0], id.VM("b")) // the successor hears every renewal
	_, third, _ := h.Renew(at(20))
	i.Equal(len(third), 3) // the second round has no majority yet
}

func TestHolderNamesMissingWitnesses(t *testing.T) {
	i := is.New(t)
	h := NewHolder(record(), at(0))
	for n := range 8 {
		r, _, _ := h.Renew(at(time.Duration(n) * 10 * time.Millisecond))
		h.Answer(at(time.Duration(n)*10*time.Millisecond+1), "b", grant(r))
		h.Answer(at(time.Duration(n)*10*time.Millisecond+1), "c", grant(r))
	}
	i.Equal(h.Missing(2), []id.VM{"d"})
}

func TestWitnessIsSilentAfterARestart(t *testing.T) {
	i := is.New(t)
	w := NewWitness(at(0))
	_, ok := w.Renew(at(DefaultTiming.Promise()-1), Renewal{Group: "g", Term: 1, Round: 1})
	i.True(!ok)
	a := w.Refuse(at(time.Millisecond), Refusal{Group: "g", Term: 1})
	i.True(a.Refused)
	i.Equal(a.Remaining, DefaultTiming.Promise()-time.Millisecond) // it may have promised something that it forgot
	_, ok = w.Renew(at(DefaultTiming.Promise()), Renewal{Group: "h", Term: 1, Round: 1})
	i.True(ok)
}

func TestWitnessRefusesOnlyASilentHolder(t *testing.T) {
	i := is.New(t)
	w := NewWitness(at(-time.Hour))
	a, ok := w.Renew(at(0), Renewal{Group: "g", Term: 3, Round: 1})
	i.True(ok && a.Granted)
	early := w.Refuse(at(100*time.Millisecond), Refusal{Group: "g", Term: 3, Silence: 450 * time.Millisecond})
	i.True(!early.Refused)
	late := w.Refuse(at(450*time.Millisecond), Refusal{Group: "g", Term: 3, Silence: 450 * time.Millisecond})
	i.True(late.Refused)
	i.Equal(late.Remaining, DefaultTiming.Promise()-450*time.Millisecond)
	a, ok = w.Renew(at(451*time.Millisecond), Renewal{Group: "g", Term: 3, Round: 2})
	i.True(ok && !a.Granted) // the refused term gets no answer that counts
	a, ok = w.Renew(at(452*time.Millisecond), Renewal{Group: "g", Term: 4, Round: 1})
	i.True(ok && a.Granted)
	old := w.Refuse(at(2*time.Second), Refusal{Group: "g", Term: 3})
	i.Equal(old.Term, id.Term(4)) // a successor of an old term learns of the newer one
}

func TestWitnessForgetsNoFreshRefusal(t *testing.T) {
	i := is.New(t)
	w := NewWitness(at(-time.Hour))
	w.Refuse(at(0), Refusal{Group: "g", Term: 1})
	i.True(!w.Forget(at(DefaultTiming.Promise()-1), "g"))
	i.True(w.Forget(at(DefaultTiming.Promise()), "g"))
}

func TestDriftAtTheAllowanceIsSafe(t *testing.T) {
	// The holder's clock runs slow and the witness's fast, each by the allowance.
	i := is.New(t)
	slow := func(d time.Duration) time.Duration { return d - d*time.Duration(DefaultTiming.DriftPerMille)/1000 }
	holderEnds := DefaultTiming.hold() // by its own clock
	trueEnd := holderEnds + holderEnds*time.Duration(DefaultTiming.DriftPerMille)/1000
	witnessFree := slow(DefaultTiming.Promise()) // true time after which a fast witness is free
	i.True(trueEnd <= witnessFree)
}

func TestTakeover(t *testing.T) {
	i := is.New(t)
	takeover := NewTakeover(record(), at(-time.Hour), 450*time.Millisecond)
	takeover.Answer(at(0), "b", RefusalAnswer{Group: "g", Term: 1, Refused: true, Remaining: 100})
	i.True(!takeover.Ready(at(200))) // one of three is no majority
	takeover.Answer(at(0), "c", RefusalAnswer{Group: "g", Term: 1, Refused: true, Remaining: 300})
	i.True(!takeover.Ready(at(299)))
	i.True(takeover.Ready(at(300)))
	i.Equal(takeover.Waiting(), []id.VM{"d"})
	takeover.Answer(at(1), "d", RefusalAnswer{Group: "g", Term: 1})
	i.True(takeover.Over()) // the third one still hears the holder
}

func TestTakeoverWaitsOutTheRecordsOwnWriter(t *testing.T) {
	i := is.New(t)
	takeover := NewTakeover(record(), at(0), 0)
	for _, w := range record().Witnesses {
		takeover.Answer(at(1), w, RefusalAnswer{Group: "g", Term: 1, Refused: true})
	}
	i.True(!takeover.Ready(at(DefaultTiming.Promise() - 1)))
	i.True(takeover.Ready(at(DefaultTiming.Promise())))
}
