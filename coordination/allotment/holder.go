package allotment

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// Verdict is the decision on a request.
type Verdict struct {
	// Waits says that the decision comes later, by Waiter.Settle; the other fields are then not set.
	Waits   bool
	Granted bool
	// RetryAfter is the time after which a refused request may be repeated.
	RetryAfter time.Duration
	Reason     Reason
}

// Reason says why a request is refused.
type Reason string

// Reasons of refusals.
const (
	// Exhausted means that the granter has no token.
	Exhausted Reason = "the allotment is used up"
	// Unanswered means that no answer came in time.
	Unanswered Reason = "no answer from the VM that counts requests"
	// NoContact means that the VM has used up its share while the granter is out of contact.
	NoContact Reason = "the share of this VM is used up while it has no contact to the VM that counts requests"
)

// Waiter is a request that waits for a token.
type Waiter struct {
	// Settle is called with the decision, at most once, during another call of the holder.
	Settle func(v Verdict)
	since  clock.Instant
	// settled is set once there is a decision.
	settled bool
}

const (
	// unansweredWait is the Retry-After of requests whose question is not answered, which is about the time to a further ask.
	unansweredWait = 200 * time.Millisecond
	// maxLocalDenial is how long a VM refuses requests by itself after a denial, so that a flood causes few asks.
	maxLocalDenial = 40 * time.Millisecond
	// maxSent is the number of the latest asks whose time of sending is remembered.
	maxSent = 128
)

// Holder holds the tokens and shares of a VM. It is not safe for concurrent use.
type Holder struct {
	settings Settings
	lookup   Lookup
	vms      int

	term id.Revision
	// hasGranter says that there is a leader; without is set if its build grants no tokens.
	hasGranter, without bool
	number              uint64
	// answered is the highest number that the granter of the present term has answered.
	answered uint64
	sent     [maxSent]sentAsk
	// contactAt is when the latest answered question was sent, and answeredAt when its answer arrived; 0 if none was.
	contactAt, answeredAt clock.Instant
	scannedAt, askedAt    clock.Instant
	accounts              map[id.Customer]*account
	// unansweredAt is when the first ask since the latest answer was sent; 0 if there is none.
	unansweredAt clock.Instant
	// wanting holds when the waiting requests of an account are to be named in an ask.
	wanting map[id.Customer]clock.Instant
	// complete is set once the granter of the present term has been told all shares.
	complete bool
	// pending are the customers that were left out of an ask for lack of room.
	pending []id.Customer
}

// sentAsk is an ask that may be answered.
type sentAsk struct {
	number   uint64
	at       clock.Instant
	open     bool
	complete bool
	entries  []sentEntry
}

// sentEntry is what an ask has reported for a customer.
type sentEntry struct {
	customer id.Customer
	spent    uint64
	waiting  int
	offer    uint64
	demand   float64
}

// NewHolder returns the holder of a VM that has just started.
func NewHolder(s Settings, lookup Lookup) *Holder {
	return &Holder{settings: s, lookup: lookup, vms: 1, accounts: map[id.Customer]*account{}, wanting: map[id.Customer]clock.Instant{}}
}

// SetFleet sets the number of registered VMs.
func (h *Holder) SetFleet(vms int) { h.vms = max(1, vms) }

// SetGranter sets the term of the leader to ask; a term below the present one is ignored. grants is false if its build grants no tokens.
func (h *Holder) SetGranter(term id.Revision, grants bool) {
	if term < h.term || term == h.term && h.hasGranter && h.without == !grants {
		return
	}
	h.hasGranter, h.without = true, !grants
	if term == h.term {
		return
	}
	h.term, h.answered, h.complete, h.scannedAt, h.pending = term, 0, false, 0, nil
	for c, a := range h.accounts {
		// The numbers of offers begin anew, and what was spent before is no concern of a new granter, which has granted nothing yet.
		a.offer, a.reported, a.asked = 0, false, 0
		if len(a.waiting) > 0 {
			h.wanting[c] = 0
		}
	}
}

// InContact reports whether the granter has answered a recent question.
func (h *Holder) InContact(now clock.Instant) bool {
	return !h.without && h.contactAt > 0 && now.Sub(h.contactAt) < contactTimeout
}

// AnswerAge returns the time since the latest answer; ok is false if there was none.
func (h *Holder) AnswerAge(now clock.Instant) (age time.Duration, ok bool) {
	return now.Sub(h.answeredAt), h.answeredAt > 0
}

// Take decides on a request of a customer. If the verdict is that it waits, w.Settle is called later.
func (h *Holder) Take(now clock.Instant, c id.Customer, w *Waiter) Verdict {
	limit, limited := h.lookup(c)
	if !limited {
		return Verdict{Granted: true}
	}
	a := h.account(now, c)
	a.arrivals++
	if h.takeNow(now, a, limit) {
		return Verdict{Granted: true}
	}
	switch {
	case !h.mayAnswer(now):
		// GiveUp takes what the share has yielded by then.
		if wait := h.fallbackWait(a, limit); wait > MaxWait {
			a.refused++
			return Verdict{RetryAfter: wait, Reason: NoContact}
		}
	case now < a.deniedUntil:
		a.refused++
		a.denied++
		return Verdict{RetryAfter: a.nextPlace(limit), Reason: Exhausted}
	}
	w.since = now
	a.waiting = append(a.waiting, w)
	h.want(c, max(now, a.askAgainAt))
	return Verdict{Waits: true}
}

// want makes the next ask from an instant on name the waiting requests of a customer.
func (h *Holder) want(c id.Customer, at clock.Instant) {
	if due, ok := h.wanting[c]; !ok || at < due {
		h.wanting[c] = at
	}
}

// mayAnswer reports whether an answer of the granter can be expected: there is one, and it has not left asks without an answer for long.
func (h *Holder) mayAnswer(now clock.Instant) bool {
	return h.hasGranter && !h.without && (h.unansweredAt == 0 || now.Sub(h.unansweredAt) < contactTimeout)
}

// Charge takes a token for a further attempt of a request without a wait, and reports whether there was one.
func (h *Holder) Charge(now clock.Instant, c id.Customer) bool {
	limit, limited := h.lookup(c)
	if !limited {
		return true
	}
	a := h.account(now, c)
	a.arrivals++
	return h.takeNow(now, a, limit)
}

// Release gives back the token of a request that was not run.
func (h *Holder) Release(now clock.Instant, c id.Customer) {
	limit, limited := h.lookup(c)
	if !limited {
		return
	}
	h.give(now, h.account(now, c), limit, 1)
}

// GiveUp decides on a request that can't wait any longer.
func (h *Holder) GiveUp(now clock.Instant, c id.Customer, w *Waiter) (v Verdict, decided bool) {
	if w.settled {
		return v, false
	}
	w.settled = true
	a := h.account(now, c)
	a.removeWaiter(w)
	if len(a.waiting) == 0 {
		delete(h.wanting, c)
	}
	limit, limited := h.lookup(c)
	if !limited || h.takeNow(now, a, limit) {
		return Verdict{Granted: true}, true
	}
	a.refused++
	if !h.mayAnswer(now) {
		return Verdict{RetryAfter: h.fallbackWait(a, limit), Reason: NoContact}, true
	}
	if h.answeredAt.After(w.since) {
		return Verdict{RetryAfter: a.nextPlace(limit), Reason: Exhausted}, true
	}
	return Verdict{RetryAfter: unansweredWait, Reason: Unanswered}, true
}

// takeNow takes a token that is held, or else one of the VM's share if there is no contact to the granter.
func (h *Holder) takeNow(now clock.Instant, a *account, limit fleet.Allotment) bool {
	h.refill(now, a, limit)
	switch {
	case a.held > 0:
		a.held--
	case a.level >= 1:
		a.level--
		a.spent++
	default:
		return false
	}
	a.admitted++
	return true
}

// refill adds what the VM's share has yielded while there was no contact to the granter.
//
// The VM's bucket has its part of the burst, since a request every now and then
// would find a smaller one empty at the usual rates. The granter's bucket is
// smaller by that part meanwhile.
func (h *Holder) refill(now clock.Instant, a *account, limit fleet.Allotment) {
	from := a.refilledAt
	a.refilledAt = now
	rate := h.settings.floor(limit, h.vms)
	size := 1
	switch {
	case h.without:
		rate = limit.Rate / float64(h.vms)
	case h.InContact(now):
		a.level = 0
		return
	default:
		from = max(from, h.contactAt.Add(contactTimeout))
		if now.Sub(h.contactAt) >= shareTTL {
			a.share, a.held = 0, 0
		}
		if a.share > 0 {
			if a.startedFor != h.contactAt {
				a.startedFor = h.contactAt
				a.level = a.share.of(float64(a.granterLevel))
			}
			rate, size = max(rate, a.share.of(limit.Rate)), max(h.settings.room(limit, a.share), int(a.share.of(capacity(limit))))
		}
	}
	a.level = min(max(0, float64(size-a.held)), a.level+rate*elapsed(from, now))
}

// fallbackWait returns the time until the VM's share yields a token for a further request.
func (h *Holder) fallbackWait(a *account, limit fleet.Allotment) time.Duration {
	rate := max(a.share.of(limit.Rate), h.settings.floor(limit, h.vms))
	if h.without {
		rate = limit.Rate / float64(h.vms)
	}
	wait := maxLine
	if rate > 0 {
		wait = time.Duration(min(maxLine.Seconds(), (1+float64(len(a.waiting))-a.level)/rate) * float64(time.Second))
	}
	return max(wait, time.Millisecond)
}

// give adds tokens to those held; what is beyond the VM's room goes back to the granter.
func (h *Holder) give(now clock.Instant, a *account, limit fleet.Allotment, tokens int) {
	h.refill(now, a, limit)
	room := h.settings.room(limit, a.share)
	kept := min(tokens, max(0, room-a.held-int(a.level)))
	a.held += kept
	a.returned += tokens - kept
}

// Receive applies an answer. Late answers and those of a former granter are dropped.
func (h *Holder) Receive(now clock.Instant, m Answer) {
	s := &h.sent[m.Number%maxSent]
	if m.Term != h.term || !s.open || s.number != m.Number || now.Sub(s.at) > maxAnswerAge {
		return
	}
	s.open = false
	for c, a := range h.accounts {
		// Before the contact counts, what the share has yielded until now is used up or dropped.
		if limit, ok := h.lookup(c); ok && !h.InContact(now) {
			h.refill(now, a, limit)
		}
	}
	h.answered = max(h.answered, m.Number)
	h.contactAt, h.answeredAt, h.unansweredAt = max(h.contactAt, s.at), now, 0
	h.complete = h.complete || s.complete
	for _, e := range s.entries {
		if a, ok := h.accounts[e.customer]; ok {
			a.confirmEntry(e)
		}
	}
	for _, e := range m.Entries {
		h.apply(now, e)
	}
}

// apply applies the part of an answer for one customer.
func (h *Holder) apply(now clock.Instant, e AnswerEntry) {
	limit, limited := h.lookup(e.Customer)
	if !limited {
		return
	}
	a := h.account(now, e.Customer)
	a.granterLevel = max(0, e.Level)
	if e.Offer > a.offer {
		a.offer, a.unconfirmed = e.Offer, true
		a.share = min(max(0, e.Share), WholeShare)
		a.trim(h.settings.room(limit, a.share))
	}
	tokens := max(0, e.Tokens)
	waiting := a.waiting
	a.waiting = nil
	denied := max(0, e.Denied)
	wait := time.Duration(max(0, e.Wait)) * time.Millisecond
	if wait > 0 {
		a.setPlace(wait)
	}
	for _, w := range waiting {
		switch {
		case tokens > 0:
			tokens--
			a.admitted++
			w.settle(Verdict{Granted: true})
		case denied > 0:
			denied--
			a.refused++
			w.settle(Verdict{RetryAfter: a.nextPlace(limit), Reason: Exhausted})
		default:
			a.waiting = append(a.waiting, w)
		}
	}
	if e.Denied > 0 {
		a.deniedUntil = now.Add(min(wait, maxLocalDenial))
	}
	a.askAgainAt = 0
	delete(h.wanting, e.Customer)
	if len(a.waiting) > 0 {
		a.askAgainAt = now.Add(wait)
		h.want(e.Customer, a.askAgainAt)
	}
	h.give(now, a, limit, tokens)
}

func (w *Waiter) settle(v Verdict) {
	w.settled = true
	w.Settle(v)
}
