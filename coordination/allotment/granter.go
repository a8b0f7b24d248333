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
	// maxLine limits the time over which the Retry-After of denials is spread.
	maxLine = 4 * time.Second
	// shortWait is the longest time until the next token for which a request goes on waiting at its VM.
	shortWait = 80 * time.Millisecond
	// maxOpenAsks is the number of a VM's latest asks whose arrival is remembered.
	maxOpenAsks = 128
	// sweepPeriod is the time between two removals of what is no longer needed.
	sweepPeriod = time.Second
	goldenRatio = 0.618
	// vmTTL is how long a VM that asks for nothing is remembered; asks don't arrive that late.
	vmTTL = time.Minute
	// startWait is the Retry-After of requests for which a new granter has no tokens before it knows the shares of all VMs.
	startWait = time.Second
	// maxSpentStep limits what one ask may report as spent without tokens, since the number comes from the network.
	maxSpentStep = 1 << 20
)

// Granter grants tokens to the VMs in one term of the leader. It is not safe for concurrent use.
type Granter struct {
	settings Settings
	lookup   Lookup
	term     id.Revision
	since    clock.Instant
	// known says since when all shares of an earlier granter are known or have expired; hasKnown that there is such a time.
	known    clock.Instant
	hasKnown bool
	sweptAt  clock.Instant
	vms      map[id.VM]*vmState
	buckets  map[id.Customer]*bucket
}

// vmState is what the granter knows of a VM.
type vmState struct {
	incarnation id.Incarnation
	// former is the incarnation before; its asks may arrive late.
	former id.Incarnation
	// first and last are the numbers of the first and the latest ask.
	first, last uint64
	// deaf says that the VM has got no answers for long although it asks; tokens for it would be lost.
	deaf bool
	// arrived holds when the latest asks have arrived, by number modulo maxOpenAsks.
	arrived [maxOpenAsks]clock.Instant
	// contactAt is when the latest ask arrived whose answer is known to have reached the VM; 0 if none is.
	contactAt clock.Instant
	// firstAt and heardAt are when the first and the latest ask arrived.
	firstAt, heardAt clock.Instant
	complete         bool
	// unsettled says that there may be reservations to settle.
	unsettled bool
	holdings  map[id.Customer]*holding
}

// silentFrom returns when the VM begins to use its shares unless another answer reaches it.
func (v *vmState) silentFrom() clock.Instant {
	if v.contactAt == 0 {
		return 0
	}
	return v.contactAt.Add(silenceTimeout)
}

// bucket is the token bucket of a customer.
type bucket struct {
	customer  id.Customer
	allotment fleet.Allotment
	level     float64
	at        clock.Instant
	// refundable is the number of reserved tokens that can come back. It is at most the free capacity: a bucket without reservations would
	// have overflowed.
	refundable float64
	// pool is the part of the allotment that this granter may use: the shares that VMs have reported to it, or all.
	pool     Share
	holdings []*holding
	// line is the number of denied requests whose time to return has not come yet.
	line float64
	// spread is the place of the latest denial beyond the end of the line, from 0 to 1 in the second half of maxLine.
	spread float64
	// denied and granted count requests and tokens since the granter's start.
	denied, granted uint64
	rates           rates
	balancedAt      clock.Instant
}

// capacity returns the number of tokens that the bucket may collect: the burst without the parts of VMs without contact, which collect them
// by themselves, and of VMs that this granter hasn't heard of yet.
func (b *bucket) capacity(now clock.Instant) float64 {
	part := b.pool
	for _, h := range b.holdings {
		if h.counted() > 0 && now.After(h.vm.silentFrom()) {
			part -= h.counted()
		}
	}
	return max(1, max(0, part).of(capacity(b.allotment)))
}

// holding is the share of a VM in a bucket.
type holding struct {
	name   id.VM
	vm     *vmState
	demand float64
	// confirmed is the share that the VM has, offered the one last offered to it under the number offer. They differ until the VM
	// confirms the offer, and no other is made until then.
	confirmed, offered Share
	offer              uint64
	target             Share
	// holdsAhead says that the VM may hold tokens ahead of need.
	holdsAhead bool
	// reserved is the number of tokens taken from the bucket for what the VM may have spent by its share since its last report.
	reserved float64
	spent    uint64
	// told are the levels of the bucket in the latest two answers to the VM, and startedFor the contact after whose loss its share of the
	// higher one was reserved.
	told       [2]int
	startedFor clock.Instant
}

// counted returns the share that the VM may be using.
func (h *holding) counted() Share { return max(h.confirmed, h.offered) }

// remove removes a VM's holding.
func (b *bucket) remove(vm id.VM) {
	b.holdings = slices.DeleteFunc(b.holdings, func(h *holding) bool { return h.name == vm })
}

// NewGranter returns the granter of a term, with empty buckets.
func NewGranter(s Settings, lookup Lookup, term id.Revision, now clock.Instant) *Granter {
	return &Granter{settings: s, lookup: lookup, term: term, since: now, vms: map[id.VM]*vmState{}, buckets: map[id.Customer]*bucket{}}
}

// Term returns the granter's term.
func (g *Granter) Term() id.Revision { return g.term }

// SetMembers tells the granter which VMs are registered. Once all have reported their shares, the granter may use whole allotments.
func (g *Granter) SetMembers(now clock.Instant, members []id.VM) {
	if g.hasKnown {
		return
	}
	missing := false
	for _, vm := range members {
		v, ok := g.vms[vm]
		missing = missing || !ok || !v.complete
	}
	if missing && now.Sub(g.since) < shareExpiry {
		return
	}
	for _, b := range g.buckets {
		g.advance(b, now)
		b.pool = WholeShare
	}
	g.known, g.hasKnown = now, true
}

// NeedsMembers reports whether the granter still waits for reports of shares.
func (g *Granter) NeedsMembers() bool { return !g.hasKnown }

// Answer returns the answer to a VM's ask; ok is false if the ask is out of date or meant for another granter.
func (g *Granter) Answer(now clock.Instant, from id.VM, incarnation id.Incarnation, ask Ask) (answer Answer, ok bool) {
	if ask.Term != g.term || len(ask.Entries) > MaxEntries {
		return answer, false
	}
	v := g.vmOf(now, from, incarnation)
	if v == nil || ask.Number <= v.last {
		return answer, false
	}
	g.recordContact(now, v, ask)
	answer = Answer{Term: g.term, Number: ask.Number}
	for _, e := range ask.Entries {
		if a, limited := g.lookup(e.Customer); limited {
			answer.Entries = append(answer.Entries, g.answerEntry(now, from, v, a, e))
		}
	}
	v.complete = v.complete || ask.Complete
	if now.Sub(g.sweptAt) >= sweepPeriod {
		g.sweptAt = now
		g.sweep(now)
	}
	return answer, true
}

// vmOf returns the state of a VM's incarnation, or nil if that has ended. The shares of an earlier incarnation are free: it has ended.
func (g *Granter) vmOf(now clock.Instant, vm id.VM, incarnation id.Incarnation) *vmState {
	v, ok := g.vms[vm]
	if ok && v.incarnation == incarnation {
		return v
	}
	next := &vmState{incarnation: incarnation, firstAt: now, holdings: map[id.Customer]*holding{}}
	if ok {
		if v.former == incarnation {
			return nil
		}
		next.former = v.incarnation
		g.removeHoldings(now, vm, v)
	}
	g.vms[vm] = next
	return next
}

func (g *Granter) removeHoldings(now clock.Instant, vm id.VM, v *vmState) {
	for c := range v.holdings {
		g.advance(g.buckets[c], now)
		g.buckets[c].remove(vm)
	}
	clear(v.holdings)
}

// recordContact records an ask's arrival.
func (g *Granter) recordContact(now clock.Instant, v *vmState, ask Ask) {
	if v.last == 0 {
		v.first = ask.Number
	}
	v.last, v.heardAt = ask.Number, now
	contact := v.contactAt
	if ask.Answered > 0 && ask.Answered < ask.Number && ask.Number-ask.Answered < maxOpenAsks {
		contact = max(contact, v.arrived[ask.Answered%maxOpenAsks])
	}
	v.arrived[ask.Number%maxOpenAsks] = now
	unanswered := max(ask.Answered+1, v.first)
	v.deaf = unanswered < ask.Number && (ask.Number-unanswered >= maxOpenAsks || now.Sub(v.arrived[unanswered%maxOpenAsks]) >= silenceTimeout)
	if now.After(v.silentFrom()) {
		v.unsettled = true
		for c := range v.holdings {
			g.advance(g.buckets[c], now)
		}
	}
	v.contactAt = contact
	if v.unsettled && !now.After(v.silentFrom()) && !ask.Partial {
		v.unsettled = false
		g.settleAbsent(v, ask)
	}
}

// settleAbsent settles the reservations of the customers that an ask leaves out: the VM has spent nothing for them.
func (g *Granter) settleAbsent(v *vmState, ask Ask) {
	inAsk := map[id.Customer]bool{}
	for _, e := range ask.Entries {
		inAsk[e.Customer] = true
	}
	for c, h := range v.holdings {
		if !inAsk[c] && h.reserved > 0 {
			g.settle(g.buckets[c], h, h.spent)
		}
	}
}

// settle replaces what was reserved for a VM by what it has spent.
func (g *Granter) settle(b *bucket, h *holding, spent uint64) {
	var unseen float64
	if spent > h.spent {
		unseen = float64(min(spent-h.spent, maxSpentStep))
		h.spent = spent
		b.rates.spend(unseen)
	}
	// The VM's bucket held its part of the burst at most; the rest of what was reserved had overflowed there.
	unused := min(h.reserved, h.counted().of(capacity(b.allotment))) - unseen
	change := min(0, h.reserved-unseen)
	if unused > 0 {
		change = min(unused, b.refundable)
		b.refundable -= change
	}
	b.level = min(b.capacity(b.at), b.level+change)
	h.reserved = 0
}

// bucketOf returns the bucket of a customer. That of a customer without one has filled since the shares of an earlier granter are known.
func (g *Granter) bucketOf(now clock.Instant, c id.Customer, a fleet.Allotment) *bucket {
	b, ok := g.buckets[c]
	if !ok {
		b = &bucket{customer: c, allotment: a, at: now}
		if g.hasKnown {
			b.pool = WholeShare
			b.level = min(capacity(a), a.Rate*elapsed(g.known, now))
		}
		g.buckets[c] = b
		return b
	}
	g.advance(b, now)
	if b.allotment != a {
		b.allotment = a
		b.level = min(b.level, b.capacity(now))
	}
	return b
}

// advance adds the tokens of the time since the last call, without those that VMs without contact may spend by their shares.
func (g *Granter) advance(b *bucket, now clock.Instant) {
	if !now.After(b.at) {
		return
	}
	gain := b.pool.of(b.allotment.Rate) * elapsed(b.at, now)
	for _, h := range b.holdings {
		if h.counted() > 0 && now.After(h.vm.silentFrom()) {
			reserved := h.counted().of(b.allotment.Rate) * elapsed(max(b.at, h.vm.silentFrom()), now)
			if h.startedFor != h.vm.contactAt {
				h.startedFor = h.vm.contactAt
				reserved += h.counted().of(float64(max(h.told[0], h.told[1])))
			}
			h.reserved += reserved
			b.refundable += reserved
			gain -= reserved
		}
	}
	b.level = min(b.capacity(now), b.level+gain)
	b.refundable = min(b.refundable, capacity(b.allotment)-max(0, b.level))
	b.line = max(0, b.line-b.allotment.Rate*elapsed(b.at, now))
	b.rates.advance(elapsed(b.at, now))
	b.at = now
}

// answerEntry answers the part of an ask for one customer.
func (g *Granter) answerEntry(now clock.Instant, from id.VM, v *vmState, a fleet.Allotment, e AskEntry) (out AnswerEntry) {
	b := g.bucketOf(now, e.Customer, a)
	h := g.updateHolding(now, b, from, v, e)
	g.returnTokens(b, e)
	out = AnswerEntry{Customer: e.Customer}
	if v.deaf {
		if h != nil {
			g.offer(now, b, h)
			out.Share, out.Offer = h.offered, h.offer
		}
		return out
	}
	tokens := min(max(0, e.Waiting), int(max(0, b.level)))
	b.level -= float64(tokens)
	out.Tokens = tokens
	g.deny(b, e, max(0, e.Waiting)-tokens, &out)
	if h != nil {
		ahead := g.grantAhead(b, h, e)
		out.Tokens += ahead
		b.level -= float64(ahead)
		g.offer(now, b, h)
		out.Share, out.Offer, out.Level = h.offered, h.offer, int(max(0, b.level))
		h.told = [2]int{h.told[1], out.Level}
	}
	b.granted += uint64(out.Tokens)
	b.rates.grant(float64(out.Tokens))
	return out
}

// returnTokens adds the tokens that a VM gives back.
func (g *Granter) returnTokens(b *bucket, e AskEntry) {
	if e.Returned <= 0 {
		return
	}
	b.level = min(b.capacity(b.at), b.level+min(float64(e.Returned), g.settings.ahead(b.allotment)))
}

// grantAhead returns the number of tokens that a VM gets ahead of need. One is left for a request that waits at another VM.
func (g *Granter) grantAhead(b *bucket, h *holding, e AskEntry) int {
	if !h.holdsAhead {
		return 0
	}
	share := min(h.confirmed, h.offered)
	free := g.settings.room(b.allotment, share) - max(0, e.Held)
	return max(0, min(e.Ahead, free, int(max(0, b.level-1))))
}

// deny sets what an answer says to the requests that got no token.
func (g *Granter) deny(b *bucket, e AskEntry, count int, out *AnswerEntry) {
	b.line += float64(max(0, min(e.Denied, maxSpentStep)))
	b.denied += uint64(max(0, e.Denied))
	b.rates.deny(float64(max(0, min(e.Denied, maxSpentStep))))
	maxInLine := b.allotment.Rate * maxLine.Seconds()
	b.line = min(b.line, maxInLine)
	if count == 0 && e.Denied <= 0 {
		return
	}
	wait := startWait
	if b.pool > 0 {
		wait = time.Duration((b.line + 1 - b.level) / b.pool.of(b.allotment.Rate) * float64(time.Second))
	}
	if wait >= maxLine {
		// Steps of the golden ratio spread any number of callers evenly.
		_, b.spread = math.Modf(b.spread + goldenRatio)
		wait = maxLine/2 + time.Duration(b.spread*float64(maxLine/2))
	}
	out.Wait = int(min(max(wait, time.Millisecond), maxLine).Milliseconds())
	// Those for whom a token comes soon go on waiting. They are in line, too, so that others don't count on the same tokens.
	keep := 0
	if b.pool > 0 {
		keep = int(max(0, min(float64(count), b.pool.of(b.allotment.Rate)*shortWait.Seconds()-b.line+b.level)))
	}
	out.Denied = count - keep
	b.line = min(b.line+float64(count), maxInLine)
	b.denied += uint64(out.Denied)
	b.rates.deny(float64(out.Denied))
}

// sweep removes what is no longer needed.
func (g *Granter) sweep(now clock.Instant) {
	for name, v := range g.vms {
		g.sweepHoldings(now, name, v)
		if g.hasKnown && len(v.holdings) == 0 && now.Sub(v.heardAt) >= vmTTL {
			delete(g.vms, name)
		}
	}
	for c, b := range g.buckets {
		a, limited := g.lookup(c)
		if limited {
			b = g.bucketOf(now, c, a)
		}
		if len(b.holdings) == 0 && (!limited || g.hasKnown && b.line == 0 && b.level >= capacity(b.allotment)) {
			delete(g.buckets, c)
		}
	}
}

// sweepHoldings removes the shares that a VM no longer uses.
func (g *Granter) sweepHoldings(now clock.Instant, name id.VM, v *vmState) {
	gone := now.Sub(max(v.contactAt, v.firstAt)) >= shareExpiry
	for c, h := range v.holdings {
		b := g.buckets[c]
		g.advance(b, now)
		if gone || h.counted() == 0 && h.demand == 0 && h.reserved == 0 {
			delete(v.holdings, c)
			b.remove(name)
		}
	}
}
