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
	h.HandleAnswer(at(200*time.Millisecond), "b", grant(r))
	i.True(!h.IsValid(at(200 * time.Millisecond))) // one of three is no majority
	h.HandleAnswer(at(300*time.Millisecond), "c", grant(r))
	i.True(h.IsValid(at(300 * time.Millisecond)))
	i.Equal(h.Expiry(), at(10*time.Millisecond).Add(DefaultTiming.hold()))
	i.True(!h.IsValid(h.Expiry()))
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
				h.HandleAnswer(at(hold), "b", grant(r))
				h.HandleAnswer(at(hold), "c", grant(r))
			},
			now: hold,
		},
		"lapsed and answered late": {
			run: func(h *Holder) {
				confirm(h, 0)
				r, _, _ := h.Renew(at(hold / 2))
				h.HandleAnswer(at(2*hold), "b", grant(r))
				h.HandleAnswer(at(2*hold), "c", grant(r))
			},
			now: hold + hold/4,
		},
		"doubled answers of one witness": {
			run: func(h *Holder) {
				r, _, _ := h.Renew(at(0))
				h.HandleAnswer(at(1), "b", grant(r))
				h.HandleAnswer(at(2), "b", grant(r))
			},
			now: 3,
		},
		"answers of different rounds": {
			run: func(h *Holder) {
				r1, _, _ := h.Renew(at(0))
				r2, _, _ := h.Renew(at(1))
				h.HandleAnswer(at(2), "b", grant(r1))
				h.HandleAnswer(at(2), "c", grant(r2))
			},
			now: 3,
		},
		"answer of a stranger": {
			run: func(h *Holder) {
				r, _, _ := h.Renew(at(0))
				h.HandleAnswer(at(1), "x", grant(r))
				h.HandleAnswer(at(1), "y", grant(r))
			},
			now: 2,
		},
		"a later term is known": {
			run: func(h *Holder) {
				confirm(h, 0)
				h.HandleAnswer(at(1), "b", RenewalAnswer{Group: "g", Term: 2})
			},
			now: 2,
		},
		"out of order": {
			run: func(h *Holder) {
				r1, _, _ := h.Renew(at(0))
				r2, _, _ := h.Renew(at(hold / 2))
				for _, r := range []Renewal{r2, r1} {
					h.HandleAnswer(at(hold*3/4), "b", grant(r))
					h.HandleAnswer(at(hold*3/4), "c", grant(r))
				}
			},
			now: hold + hold/4, valid: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := NewHolder(record(), at(0))
			test.run(h)
			is.New(t).Equal(h.IsValid(at(test.now)), test.valid)
		})
	}
}

func confirm(h *Holder, now time.Duration) {
	r, _, _ := h.Renew(at(now))
	h.HandleAnswer(at(now+1), "b", grant(r))
	h.HandleAnswer(at(now+1), "c", grant(r))
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
		h.HandleAnswer(at(time.Duration(n)*10*time.Millisecond+1), "b", grant(r))
		h.HandleAnswer(at(time.Duration(n)*10*time.Millisecond+1), "c", grant(r))
	}
	i.Equal(h.UnresponsiveWitnesses(2), []id.VM{"d"})
}

func TestWitnessIsSilentAfterARestart(t *testing.T) {
	i := is.New(t)
	w := NewWitness(at(0))
	_, ok := w.Renew(at(DefaultTiming.WitnessTTL()-1), Renewal{Group: "g", Term: 1, Round: 1})
	i.True(!ok)
	a := w.Refuse(at(time.Millisecond), RefuseRequest{Group: "g", Term: 1})
	i.True(a.Refused)
	i.Equal(a.Remaining, DefaultTiming.WitnessTTL()-time.Millisecond) // it may have promised something that it forgot
	_, ok = w.Renew(at(DefaultTiming.WitnessTTL()), Renewal{Group: "h", Term: 1, Round: 1})
	i.True(ok)
}

func TestWitnessRefusesOnlyASilentHolder(t *testing.T) {
	i := is.New(t)
	w := NewWitness(at(-time.Hour))
	a, ok := w.Renew(at(0), Renewal{Group: "g", Term: 3, Round: 1})
	i.True(ok && a.Granted)
	early := w.Refuse(at(100*time.Millisecond), RefuseRequest{Group: "g", Term: 3, Silence: 450 * time.Millisecond})
	i.True(!early.Refused)
	late := w.Refuse(at(450*time.Millisecond), RefuseRequest{Group: "g", Term: 3, Silence: 450 * time.Millisecond})
	i.True(late.Refused)
	i.Equal(late.Remaining, DefaultTiming.WitnessTTL()-450*time.Millisecond)
	a, ok = w.Renew(at(451*time.Millisecond), Renewal{Group: "g", Term: 3, Round: 2})
	i.True(ok && !a.Granted) // the refused term gets no answer that counts
	a, ok = w.Renew(at(452*time.Millisecond), Renewal{Group: "g", Term: 4, Round: 1})
	i.True(ok && a.Granted)
	old := w.Refuse(at(2*time.Second), RefuseRequest{Group: "g", Term: 3})
	i.Equal(old.Term, id.Term(4)) // a successor of an old term learns of the newer one
}

func TestWitnessForgetsNoFreshRefusal(t *testing.T) {
	i := is.New(t)
	w := NewWitness(at(-time.Hour))
	w.Refuse(at(0), RefuseRequest{Group: "g", Term: 1})
	i.True(!w.Forget(at(DefaultTiming.WitnessTTL()-1), "g"))
	i.True(w.Forget(at(DefaultTiming.WitnessTTL()), "g"))
}

func TestDriftAtTheAllowanceIsSafe(t *testing.T) {
	// The holder's clock runs slow and the witness's fast, each by the allowance.
	i := is.New(t)
	slow := func(d time.Duration) time.Duration { return d - d*time.Duration(DefaultTiming.MaxDriftPerMille)/1000 }
	holderEnds := DefaultTiming.hold() // by its own clock
	trueEnd := holderEnds + holderEnds*time.Duration(DefaultTiming.MaxDriftPerMille)/1000
	witnessFree := slow(DefaultTiming.WitnessTTL()) // true time after which a fast witness is free
	i.True(trueEnd <= witnessFree)
}

func TestTakeover(t *testing.T) {
	i := is.New(t)
	takeover := NewTakeover(record(), at(-time.Hour), 450*time.Millisecond)
	takeover.HandleAnswer(at(0), "b", RefuseAnswer{Group: "g", Term: 1, Refused: true, Remaining: 100})
	i.True(!takeover.IsReady(at(200))) // one of three is no majority
	takeover.HandleAnswer(at(0), "c", RefuseAnswer{Group: "g", Term: 1, Refused: true, Remaining: 300})
	i.True(!takeover.IsReady(at(299)))
	i.True(takeover.IsReady(at(300)))
	i.Equal(takeover.PendingWitnesses(), []id.VM{"d"})
	takeover.HandleAnswer(at(1), "d", RefuseAnswer{Group: "g", Term: 1})
	i.True(takeover.IsAborted()) // the third one still hears the holder
}

func TestTakeoverWaitsOutTheRecordsOwnWriter(t *testing.T) {
	i := is.New(t)
	takeover := NewTakeover(record(), at(0), 0)
	for _, w := range record().Witnesses {
		takeover.HandleAnswer(at(1), w, RefuseAnswer{Group: "g", Term: 1, Refused: true})
	}
	i.True(!takeover.IsReady(at(DefaultTiming.WitnessTTL() - 1)))
	i.True(takeover.IsReady(at(DefaultTiming.WitnessTTL())))
}
