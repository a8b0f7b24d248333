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

func TestLeaseIsCountedFromSendTime(t *testing.T) {
	i := is.New(t)
	h := NewHolder(record(), at(0))
	r, to, ok := h.Renew(at(10 * time.Millisecond))
	i.True(ok)
	i.Equal(len(to), 3) // all witnesses are asked until the first round with a majority
	h.HandleAnswer(at(200*time.Millisecond), "b", grant(r))
	i.True(!h.IsValid(at(200 * time.Millisecond))) // one of three is not a majority
	h.HandleAnswer(at(300*time.Millisecond), "c", grant(r))
	i.True(h.IsValid(at(300 * time.Millisecond)))
	i.Equal(h.Expiry(), at(10*time.Millisecond).Add(DefaultTiming.holderTTL()))
	i.True(!h.IsValid(h.Expiry()))
}

func TestHolder(t *testing.T) {
	hold := DefaultTiming.holderTTL()
	tests := map[string]struct {
		run   func(h *Holder)
		now   time.Duration
		valid bool
	}{
		"no grants": {run: func(*Holder) {}, now: 0},
		"majority only after the start deadline": {
			run: func(h *Holder) {
				r, _, _ := h.Renew(at(0))
				h.HandleAnswer(at(hold), "b", grant(r))
				h.HandleAnswer(at(hold), "c", grant(r))
			},
			now: hold,
		},
		"grants arrive after the lease has ended": {
			run: func(h *Holder) {
				confirmRound(h, 0)
				r, _, _ := h.Renew(at(hold / 2))
				h.HandleAnswer(at(2*hold), "b", grant(r))
				h.HandleAnswer(at(2*hold), "c", grant(r))
			},
			now: hold + hold/4,
		},
		"duplicate answers of one witness": {
			run: func(h *Holder) {
				r, _, _ := h.Renew(at(0))
				h.HandleAnswer(at(1), "b", grant(r))
				h.HandleAnswer(at(2), "b", grant(r))
			},
			now: 3,
		},
		"answers to different rounds": {
			run: func(h *Holder) {
				r1, _, _ := h.Renew(at(0))
				r2, _, _ := h.Renew(at(1))
				h.HandleAnswer(at(2), "b", grant(r1))
				h.HandleAnswer(at(2), "c", grant(r2))
			},
			now: 3,
		},
		"answers of VMs that are not witnesses": {
			run: func(h *Holder) {
				r, _, _ := h.Renew(at(0))
				h.HandleAnswer(at(1), "x", grant(r))
				h.HandleAnswer(at(1), "y", grant(r))
			},
			now: 2,
		},
		"witness knows a later term": {
			run: func(h *Holder) {
				confirmRound(h, 0)
				h.HandleAnswer(at(1), "b", RenewalAnswer{Group: "g", Term: 2})
			},
			now: 2,
		},
		"answers out of order": {
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

// confirmRound runs a renewal round that a majority grants.
func confirmRound(h *Holder, now time.Duration) {
	r, _, _ := h.Renew(at(now))
	h.HandleAnswer(at(now+1), "b", grant(r))
	h.HandleAnswer(at(now+1), "c", grant(r))
}

func TestHolderAsksMajorityAfterConfirmedRound(t *testing.T) {
	i := is.New(t)
	h := NewHolder(record(), at(0))
	confirmRound(h, 0)
	_, second, _ := h.Renew(at(10))
	i.Equal(len(second), 2)
	i.Equal(second[0], id.VM("b")) // the preferred successor gets every renewal
	_, third, _ := h.Renew(at(20))
	i.Equal(len(third), 3) // no majority has granted the second round
}

func TestUnresponsiveWitnesses(t *testing.T) {
	i := is.New(t)
	h := NewHolder(record(), at(0))
	for n := range 8 {
		r, _, _ := h.Renew(at(time.Duration(n) * 10 * time.Millisecond))
		h.HandleAnswer(at(time.Duration(n)*10*time.Millisecond+1), "b", grant(r))
		h.HandleAnswer(at(time.Duration(n)*10*time.Millisecond+1), "c", grant(r))
	}
	i.Equal(h.UnresponsiveWitnesses(2), []id.VM{"d"})
}

func TestRestartedWitnessGrantsNothing(t *testing.T) {
	i := is.New(t)
	w := NewWitness(at(0))
	_, ok := w.Renew(at(DefaultTiming.WitnessTTL()-1), Renewal{Group: "g", Term: 1, Round: 1})
	i.True(!ok)
	a := w.Refuse(at(time.Millisecond), RefuseRequest{Group: "g", Term: 1})
	i.True(a.Refused)
	i.Equal(a.Remaining, DefaultTiming.WitnessTTL()-time.Millisecond) // the grants by the process before the restart are unknown
	_, ok = w.Renew(at(DefaultTiming.WitnessTTL()), Renewal{Group: "h", Term: 1, Round: 1})
	i.True(ok)
}

func TestWitnessRefusesSilentHolderOnly(t *testing.T) {
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
	i.True(ok && !a.Granted) // renewals of a refused term are not granted
	a, ok = w.Renew(at(452*time.Millisecond), Renewal{Group: "g", Term: 4, Round: 1})
	i.True(ok && a.Granted)
	old := w.Refuse(at(2*time.Second), RefuseRequest{Group: "g", Term: 3})
	i.Equal(old.Term, id.Term(4)) // the answer names the newer term
}

func TestWitnessKeepsRecentRefusal(t *testing.T) {
	i := is.New(t)
	w := NewWitness(at(-time.Hour))
	w.Refuse(at(0), RefuseRequest{Group: "g", Term: 1})
	i.True(!w.Forget(at(DefaultTiming.WitnessTTL()-1), "g"))
	i.True(w.Forget(at(DefaultTiming.WitnessTTL()), "g"))
}

// TestMaximumDriftIsSafe checks the lease with a holder's clock that is slow and a witness's clock that is fast, each by
// the allowance.
func TestMaximumDriftIsSafe(t *testing.T) {
	i := is.New(t)
	slow := func(d time.Duration) time.Duration { return d - d*time.Duration(DefaultTiming.MaxDriftPerMille)/1000 }
	holderEnd := DefaultTiming.holderTTL() // by the holder's clock
	trueEnd := holderEnd + holderEnd*time.Duration(DefaultTiming.MaxDriftPerMille)/1000
	grantEnd := slow(DefaultTiming.WitnessTTL()) // real time after which the grant of a fast witness has expired
	i.True(trueEnd <= grantEnd)
}

func TestTakeover(t *testing.T) {
	i := is.New(t)
	takeover := NewTakeover(record(), at(-time.Hour), 450*time.Millisecond)
	takeover.HandleAnswer(at(0), "b", RefuseAnswer{Group: "g", Term: 1, Refused: true, Remaining: 100})
	i.True(!takeover.IsReady(at(200))) // one of three is not a majority
	takeover.HandleAnswer(at(0), "c", RefuseAnswer{Group: "g", Term: 1, Refused: true, Remaining: 300})
	i.True(!takeover.IsReady(at(299)))
	i.True(takeover.IsReady(at(300)))
	i.Equal(takeover.PendingWitnesses(), []id.VM{"d"})
	takeover.HandleAnswer(at(1), "d", RefuseAnswer{Group: "g", Term: 1})
	i.True(takeover.IsAborted()) // the third witness still receives renewals
}

func TestTakeoverWaitsForLeaseOfRecordsWriter(t *testing.T) {
	i := is.New(t)
	takeover := NewTakeover(record(), at(0), 0)
	for _, w := range record().Witnesses {
		takeover.HandleAnswer(at(1), w, RefuseAnswer{Group: "g", Term: 1, Refused: true})
	}
	i.True(!takeover.IsReady(at(DefaultTiming.WitnessTTL() - 1)))
	i.True(takeover.IsReady(at(DefaultTiming.WitnessTTL())))
}
