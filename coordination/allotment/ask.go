package allotment

import (
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// NextAskIn returns the time until the next ask is due; ok is false if there is nothing to ask.
func (h *Holder) NextAskIn(now clock.Instant) (d time.Duration, ok bool) {
	if len(h.accounts) == 0 && (h.complete || !h.hasGranter || h.without) {
		return 0, false
	}
	at := h.scannedAt.Add(askPeriod)
	if h.hasGranter && !h.without {
		for _, due := range h.wanting {
			at = min(at, max(due, h.askedAt).Add(h.batchTime()))
		}
	}
	return max(0, at.Sub(now)), true
}

// batchTime returns how long a request waits for others that share its ask. It grows with the fleet, since one leader answers all VMs.
func (h *Holder) batchTime() time.Duration {
	return min(max(minBatchTime, time.Duration(h.vms)*batchTimePerVM), maxBatchTime)
}

// hasShare reports whether the VM has a share of any allotment.
func (h *Holder) hasShare() bool {
	for _, a := range h.accounts {
		if a.share > 0 {
			return true
		}
	}
	return false
}

// NextAsk returns the ask that is due now; ok is false if none is.
func (h *Holder) NextAsk(now clock.Instant) (ask Ask, ok bool) {
	if d, due := h.NextAskIn(now); !due || d > 0 {
		return ask, false
	}
	h.number++
	ask = Ask{Term: h.term, Number: h.number, Answered: h.answered}
	sent := sentAsk{number: h.number, at: now, open: true}
	if now.Sub(h.scannedAt) >= askPeriod {
		h.scan(now, &ask, &sent)
	} else {
		h.askForWaiting(now, &ask, &sent)
	}
	if !h.hasGranter || h.without || len(ask.Entries) == 0 && h.complete && !h.hasShare() {
		// Contact matters only for shares.
		h.number--
		return Ask{}, false
	}
	h.askedAt = now
	if h.unansweredAt == 0 {
		h.unansweredAt = now
	}
	h.sent[h.number%maxSent] = sent
	return ask, true
}

// askForWaiting adds the customers whose requests wait.
func (h *Holder) askForWaiting(now clock.Instant, ask *Ask, sent *sentAsk) {
	var due []id.Customer
	for c, at := range h.wanting {
		if !at.After(now) {
			due = append(due, c)
		}
	}
	slices.Sort(due)
	for _, c := range due[:min(len(due), MaxEntries)] {
		h.addEntry(now, h.accounts[c], ask, sent)
	}
	ask.Partial = true
}

// scan measures the demand for all customers and adds those for which there is news.
func (h *Holder) scan(now clock.Instant, ask *Ask, sent *sentAsk) {
	seconds := elapsed(h.scannedAt, now)
	if h.scannedAt == 0 {
		seconds = 0
	}
	h.scannedAt = now
	var due []id.Customer
	for c, a := range h.accounts {
		limit, limited := h.lookup(c)
		if !limited {
			h.drop(c, a)
			continue
		}
		h.refill(now, a, limit)
		a.measure(now, seconds)
		room := h.settings.room(limit, a.share)
		target := a.aheadTarget(room)
		a.trim(room)
		if a.demand < minDemand {
			a.trim(0)
		}
		switch {
		case len(a.waiting) > 0 || a.isChanged(target):
			due = append(due, c)
		case a.isUnused():
			delete(h.accounts, c)
		}
	}
	slices.Sort(due)
	h.addDue(now, due, ask, sent)
}

// addDue adds entries as far as there is room; those left out come first in the next ask.
func (h *Holder) addDue(now clock.Instant, due []id.Customer, ask *Ask, sent *sentAsk) {
	if len(due) > MaxEntries {
		ask.Partial = true
		left := slices.DeleteFunc(slices.Clone(h.pending), func(c id.Customer) bool { _, ok := slices.BinarySearch(due, c); return !ok })
		first := map[id.Customer]bool{}
		for _, c := range left {
			first[c] = true
		}
		rest := slices.DeleteFunc(slices.Clone(due), func(c id.Customer) bool { return first[c] })
		due = append(left, rest...)
		h.pending = due[MaxEntries:]
		due = due[:MaxEntries]
	}
	for _, c := range due {
		h.addEntry(now, h.accounts[c], ask, sent)
	}
	complete := !ask.Partial
	for _, a := range h.accounts {
		complete = complete && (a.reported || slices.Contains(due, a.customer))
	}
	ask.Complete, sent.complete = h.complete || complete, complete
}

// drop removes the account of a customer that has no limit any more and grants its waiting requests.
func (h *Holder) drop(c id.Customer, a *account) {
	for _, w := range a.waiting {
		w.settle(Verdict{Granted: true})
	}
	delete(h.accounts, c)
	delete(h.wanting, c)
}

// addEntry adds the entry of a customer.
func (h *Holder) addEntry(now clock.Instant, a *account, ask *Ask, sent *sentAsk) {
	limit, limited := h.lookup(a.customer)
	if !limited {
		h.drop(a.customer, a)
		return
	}
	h.refill(now, a, limit)
	waiting := a.takeUnasked(now)
	ask.Entries = append(ask.Entries, AskEntry{
		Customer: a.customer, Waiting: waiting, Held: a.held, Ahead: max(0, a.aheadTarget(h.settings.room(limit, a.share))-a.held),
		Returned: a.returned, Demand: int(a.demand * 1000), Share: a.share, Offer: a.offer, Spent: a.spent, Denied: a.denied,
	})
	sent.entries = append(sent.entries, sentEntry{customer: a.customer, spent: a.spent, waiting: waiting, offer: a.offer, demand: a.demand})
	a.returned, a.denied = 0, 0
	delete(h.wanting, a.customer)
	if len(a.waiting) > 0 {
		// The next ask repeats the question if this one is lost.
		h.want(a.customer, now.Add(askPeriod-minBatchTime))
	}
}
