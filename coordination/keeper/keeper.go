// Package keeper decides which leases a VM renews, takes over and gives up.
//
// A Keeper is a state machine: the time, the directory's records, messages of
// other VMs and the results of swaps go in, actions come out. It has no
// sockets, clocks or goroutines, so that its interleavings can be searched.
//
// # Usage
//
//	k := keeper.NewKeeper("vm1", "boot-7", "east", now)
//	for _, action := range k.Tick(now, scene) {
//		perform(action)
//	}
//	reply := k.Receive(now, from, message)
package keeper

import (
	"maps"
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/coordination/lease"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// Message is what VMs tell each other about leases, in one datagram.
type Message struct {
	Renewals       []lease.Renewal
	RenewalAnswers []lease.RenewalAnswer
	Refusals       []lease.Refusal
	RefusalAnswers []lease.RefusalAnswer
}

// Empty reports whether there is nothing to send.
func (m Message) Empty() bool {
	return len(m.Renewals)+len(m.RenewalAnswers)+len(m.Refusals)+len(m.RefusalAnswers) == 0
}

// Member is a VM as a candidate for leases and as a witness.
type Member struct {
	VM            id.VM
	Incarnation   id.Incarnation
	FailureDomain id.Domain
	// Settled says that the process has been up long enough to answer as a witness.
	Settled bool
}

// Scene is what the keeper needs to know of the site.
type Scene struct {
	// Groups maps each group to its failure domain; the planner's is empty.
	Groups  map[id.Group]id.Domain
	Records map[id.Group]lease.Record
	// Live lists the VMs that can hold leases, this one included.
	Live []Member
	// Gone lists the VMs that are known to have stopped for good.
	Gone map[id.VM]bool
	// Leaving says that this VM gives up its leases and takes no new ones.
	Leaving bool
}

// Action is something that the keeper's owner has to do; exactly one field is set.
type Action struct {
	Send *Send
	Swap *Swap
	// Start names a group whose lease this VM holds from now on.
	Start *Start
	// Stop names a group whose lease this VM no longer holds.
	Stop id.Group
}

// Send passes a message to a VM.
type Send struct {
	To      id.VM
	Message Message
}

// Swap writes a record where the store's is still the one that it follows.
type Swap struct {
	Record lease.Record
}

// Start begins the work for a group.
type Start struct {
	Record lease.Record
	// First says that no VM has held the lease before.
	First bool
}

type seen struct {
	term id.Term
	at   clock.Instant
}

type pending struct {
	record lease.Record
	sentAt clock.Instant
}

type held struct {
	current *lease.Holder
	// before is the holder of the term before, which stays good while the next one begins.
	before  *lease.Holder
	running bool
	renewed clock.Instant
}

func (h *held) valid(now clock.Instant) bool {
	return h.current.Valid(now) || h.before != nil && h.before.Valid(now)
}

func (h *held) lapsed(now clock.Instant) bool {
	return h.current.Lapsed(now) && (h.before == nil || h.before.Lapsed(now))
}

func (h *held) until() clock.Instant {
	if h.before != nil {
		return max(h.current.Until(), h.before.Until())
	}
	return h.current.Until()
}

// Keeper is the lease side of one VM; it is not safe for concurrent use.
type Keeper struct {
	options   Options
	self      Member
	started   clock.Instant
	witness   *lease.Witness
	held      map[id.Group]*held
	takeovers map[id.Group]*lease.Takeover
	swaps     map[id.Group]pending
	seen      map[id.Group]seen
	notBefore map[id.Group]clock.Instant
	// nextUnseen is the time of the next try to succeed a holder that only membership misses.
	nextUnseen map[id.Group]clock.Instant
}

// NewKeeper returns the keeper of a VM that has just started.
func NewKeeper(self Member, now clock.Instant, opts ...Option) *Keeper {
	o := newOptions(opts)
	return &Keeper{
		options:    o,
		self:       self,
		started:    now,
		witness:    lease.NewWitness(now, lease.WithTiming(o.Timing)),
		held:       map[id.Group]*held{},
		takeovers:  map[id.Group]*lease.Takeover{},
		swaps:      map[id.Group]pending{},
		seen:       map[id.Group]seen{},
		notBefore:  map[id.Group]clock.Instant{},
		nextUnseen: map[id.Group]clock.Instant{},
	}
}

// Valid reports whether this VM may act for a group now.
func (k *Keeper) Valid(now clock.Instant, g id.Group) bool {
	h, ok := k.held[g]
	return ok && h.running && h.valid(now)
}

// Until returns the end of this VM's lease of a group as far as it is known.
func (k *Keeper) Until(g id.Group) clock.Instant {
	if h, ok := k.held[g]; ok {
		return h.until()
	}
	return 0
}

// Term returns the term in which this VM holds a group, or 0.
func (k *Keeper) Term(g id.Group) id.Term {
	if h, ok := k.held[g]; ok {
		return h.current.Record().Term
	}
	return 0
}

// Record returns the newest record by which this VM holds a group.
func (k *Keeper) Record(g id.Group) (r lease.Record, ok bool) {
	h, ok := k.held[g]
	if !ok {
		return r, false
	}
	return h.current.Record(), true
}

// Held returns the groups whose lease this VM holds or is about to begin, in order.
func (k *Keeper) Held() []id.Group {
	return slices.Sorted(maps.Keys(k.held))
}

// Tick does what is due.
func (k *Keeper) Tick(now clock.Instant, s Scene) (actions []Action) {
	out := outbox{}
	for _, g := range slices.Sorted(maps.Keys(s.Groups)) {
		k.note(now, s.Records[g], g)
		actions = append(actions, k.keep(now, s, g, out)...)
		actions = append(actions, k.seek(now, s, g, out)...)
	}
	for _, g := range k.Held() {
		if _, wanted := s.Groups[g]; !wanted {
			actions = append(actions, k.drop(g)...)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(out)) {
		actions = append(actions, Action{Send: &Send{To: vm, Message: *out[vm]}})
	}
	return actions
}

// outbox gathers the messages of one tick, so that each VM gets a single datagram.
type outbox map[id.VM]*Message

func (o outbox) to(vm id.VM) *Message {
	if _, ok := o[vm]; !ok {
		o[vm] = &Message{}
	}
	return o[vm]
}

// note remembers when a term was first seen.
func (k *Keeper) note(now clock.Instant, r lease.Record, g id.Group) {
	if s, ok := k.seen[g]; !ok || s.term != r.Term {
		k.seen[g] = seen{term: r.Term, at: now}
	}
}

// keep renews the lease of a group that this VM holds.
func (k *Keeper) keep(now clock.Instant, s Scene, g id.Group, out outbox) (actions []Action) {
	h, ok := k.held[g]
	if !ok {
		return nil
	}
	if record := s.Records[g]; record.Term > h.current.Record().Term && !record.HeldBy(k.self.VM, k.self.Incarnation) {
		h.current.Resign()
		h.before = nil
	}
	if h.lapsed(now) {
		return k.drop(g)
	}
	if !h.running && h.valid(now) {
		h.running = true
		record := h.current.Record()
		actions = append(actions, Action{Start: &Start{Record: record, First: record.Term == 1}})
	}
	if now.Sub(h.renewed) >= k.options.Timing.Renewal || h.renewed == 0 {
		if r, to, ok := h.current.Renew(now); ok {
			h.renewed = now
			for _, w := range to {
				m := out.to(w)
				m.Renewals = append(m.Renewals, r)
			}
		}
	}
	return append(actions, k.replaceWitnesses(now, s, g, h)...)
}

// drop gives a group up.
func (k *Keeper) drop(g id.Group) (actions []Action) {
	h, ok := k.held[g]
	if !ok {
		return nil
	}
	delete(k.held, g)
	if h.running {
		actions = append(actions, Action{Stop: g})
	}
	return actions
}

// Swapping reports whether a write of a group's record is on its way.
func (k *Keeper) Swapping(g id.Group) bool {
	_, ok := k.swaps[g]
	return ok
}

// Resign gives a group up for a successor and returns the record that it may follow.
//
// It must not be called while a swap is on its way, which would make the record an old one.
func (k *Keeper) Resign(g id.Group) (r lease.Record, ok bool) {
	h, ok := k.held[g]
	if !ok || k.Swapping(g) {
		return r, false
	}
	r = h.current.Record()
	delete(k.held, g)
	return r, true
}

func (k *Keeper) swap(now clock.Instant, r lease.Record) []Action {
	k.swaps[r.Group] = pending{record: r, sentAt: now}
	return []Action{{Swap: &Swap{Record: r}}}
}

// Swapped takes the result of a swap: whether the record is now the store's, and its revision.
func (k *Keeper) Swapped(now clock.Instant, r lease.Record, won bool) {
	p, ok := k.swaps[r.Group]
	if !ok || p.record.Term != r.Term {
		return
	}
	delete(k.swaps, r.Group)
	delete(k.takeovers, r.Group)
	k.notBefore[r.Group] = now.Add(k.options.SwapBackoff)
	if !won || r.Vacant() {
		return
	}
	next := &held{current: lease.NewHolder(r, p.sentAt, lease.WithTiming(k.options.Timing))}
	if old, ok := k.held[r.Group]; ok {
		next.before, next.running = old.current, old.running
	}
	k.held[r.Group] = next
}

// Accept takes a lease over from a holder that has resigned and says so itself.
func (k *Keeper) Accept(now clock.Instant, s Scene, r lease.Record) []Action {
	if k.Swapping(r.Group) || s.Leaving {
		return nil
	}
	delete(k.takeovers, r.Group)
	return k.swap(now, r.Next(k.self.VM, k.self.Incarnation, k.chooseWitnesses(s, r.Group, nil, nil)))
}

// Receive answers a message of another VM.
func (k *Keeper) Receive(now clock.Instant, from id.VM, m Message) (reply Message) {
	for _, r := range m.Renewals {
		if a, ok := k.witness.Renew(now, r); ok {
			reply.RenewalAnswers = append(reply.RenewalAnswers, a)
		}
	}
	for _, r := range m.Refusals {
		reply.RefusalAnswers = append(reply.RefusalAnswers, k.witness.Refuse(now, r))
	}
	for _, a := range m.RenewalAnswers {
		if h, ok := k.held[a.Group]; ok {
			h.current.Answer(now, from, a)
		}
	}
	for _, a := range m.RefusalAnswers {
		if t, ok := k.takeovers[a.Group]; ok {
			t.Answer(now, from, a)
		}
	}
	return reply
}

// since returns how long a group's record has been as it is.
func (k *Keeper) since(now clock.Instant, g id.Group) time.Duration {
	return now.Sub(k.seen[g].at)
}
