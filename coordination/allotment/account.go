package allotment

import (
	"math"
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// demandMemory is the time constant of a VM's demand. With 1 s, a single request counted as a demand of 1 per second, and VMs with one
	// request now and then held most tokens of small allotments.
	demandMemory = 3 * time.Second
	// aheadTime is the time whose demand a VM holds in tokens: two periods of asks, so that a lost ask delays no request.
	aheadTime = 2 * askPeriod
	// idleTime is the time without requests after which a VM gives its tokens and share back.
	idleTime = 3 * time.Second
	// minDemandChange is the change of the demand, as a fraction, from which the granter is told.
	minDemandChange = 0.3
)

// account is what a VM holds of one customer's allotment.
type account struct {
	customer id.Customer
	held     int
	share    Share
	offer    uint64
	// unconfirmed says that the granter has not been told that the VM has the share.
	unconfirmed bool
	// reported says that the granter of the present term knows the share.
	reported bool
	// level is what the share has yielded without contact, and refilledAt when it was last computed.
	level      float64
	refilledAt clock.Instant
	// granterLevel is the number of tokens that the granter had left at its latest answer, and startedFor the contact after whose loss the
	// VM has begun with its share of them.
	granterLevel int
	startedFor   clock.Instant
	// spent counts requests sent without tokens, and spentReported those of which the granter knows.
	spent, spentReported uint64
	returned             int
	waiting              []*Waiter
	// asked is the number of waiting requests that open asks have named, the first of them at askedAt. askAgainAt is when the granter
	// expects to have a token.
	asked          int
	askedAt        clock.Instant
	askAgainAt     clock.Instant
	arrivals       int
	demand         float64
	demandReported float64
	usedAt         clock.Instant
	// denied counts refusals since the last ask; deniedUntil is when the VM asks again after a denial.
	denied      int
	deniedUntil clock.Instant
	// place is the Retry-After of the next refused request.
	place             time.Duration
	admitted, refused uint64
}

// account returns the account of a customer.
func (h *Holder) account(now clock.Instant, c id.Customer) *account {
	a, ok := h.accounts[c]
	if !ok {
		a = &account{customer: c, refilledAt: now, usedAt: now, reported: true}
		h.accounts[c] = a
	}
	return a
}

// setPlace sets the Retry-After of the next refusal.
func (a *account) setPlace(wait time.Duration) { a.place = wait }

// nextPlace returns the Retry-After of a refusal; the next one gets a later one, so that the callers don't return together.
func (a *account) nextPlace(limit fleet.Allotment) (place time.Duration) {
	place = a.place
	a.place += time.Duration(float64(time.Second) / limit.Rate)
	if a.place > maxLine {
		// The line has an end: further callers are spread over its second half.
		a.place = maxLine/2 + (a.place-maxLine)%(maxLine/2)
	}
	return max(place, time.Millisecond)
}

func (a *account) removeWaiter(w *Waiter) {
	if i := slices.Index(a.waiting, w); i >= 0 {
		a.waiting = slices.Delete(a.waiting, i, i+1)
	}
}

// confirmEntry records that the granter has received an entry.
func (a *account) confirmEntry(e sentEntry) {
	a.spentReported = max(a.spentReported, e.spent)
	a.reported, a.demandReported = true, e.demand
	a.unconfirmed = a.unconfirmed && e.offer != a.offer
	a.asked = max(0, a.asked-e.waiting)
}

// trim gives back the tokens beyond a number.
func (a *account) trim(room int) {
	if a.held > room {
		a.returned += a.held - room
		a.held = room
	}
}

// takeUnasked returns the number of waiting requests for the next ask: those that no ask has named, or all once an ask counts as lost.
func (a *account) takeUnasked(now clock.Instant) (n int) {
	if now.Sub(a.askedAt) >= askPeriod-minBatchTime {
		a.asked = 0
	}
	if a.asked == 0 {
		a.askedAt = now
	}
	n = max(0, len(a.waiting)-a.asked)
	a.asked += n
	return n
}

// measure updates the demand after a time, in seconds.
func (a *account) measure(now clock.Instant, seconds float64) {
	if a.arrivals > 0 {
		a.usedAt = now
	}
	if seconds > 0 {
		a.demand += (float64(a.arrivals)/seconds - a.demand) * (1 - math.Exp(-seconds/demandMemory.Seconds()))
	}
	a.arrivals = 0
	if now.Sub(a.usedAt) >= idleTime {
		a.demand = 0
	}
}

// aheadTarget returns the number of tokens to hold ahead of need.
func (a *account) aheadTarget(room int) int {
	if a.demand < minDemand {
		return 0
	}
	return min(room, int(math.Ceil(a.demand*aheadTime.Seconds()))+1)
}

// isChanged reports whether the granter needs an entry for the account.
func (a *account) isChanged(target int) bool {
	d, r := a.demand, a.demandReported
	return a.held < target || a.returned > 0 || a.unconfirmed || !a.reported || a.spent != a.spentReported || a.denied > 0 ||
		math.Abs(d-r) > minDemandChange*r && max(d, r) >= minDemand || d == 0 && r > 0
}

// isUnused reports whether the account can be forgotten.
func (a *account) isUnused() bool {
	return a.held == 0 && a.share == 0 && !a.unconfirmed && len(a.waiting) == 0 && a.demand == 0 && a.demandReported == 0 && a.denied == 0 && a.returned == 0 &&
		a.spent == a.spentReported
}
