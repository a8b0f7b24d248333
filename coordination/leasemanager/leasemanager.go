// Package leasemanager decides which leases a VM renews, takes over and gives up.
//
// A Keeper is a state machine: the time, the directory's records, messages of
// other VMs and the results of swaps go in, actions come out. It has no
// sockets, clocks or goroutines, so that its interleavings can be searched.
//
// # Usage
//
//	k := leasemanager.NewManager("vm1", "boot-7", "east", now)
//	for _, action := range k.Tick(now, scene) {
//		perform(action)
//	}
//	reply := k.Receive(now, from, message)
package leasemanager

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
	RefuseRequests []lease.RefuseRequest
	RefuseAnswers  []lease.RefuseAnswer
}

// IsEmpty reports whether there is nothing to send.
func (m Message) IsEmpty() bool {
	return len(m.Renewals)+len(m.RenewalAnswers)+len(m.RefuseRequests)+len(m.RefuseAnswers) == 0
}

// Member is a VM as a candidate for leases and as a witness.
type Member struct {
	VM            id.VM
	Incarnation   id.Incarnation
	FailureDomain id.Domain
	// CanWitness says that the process has been up long enough to answer as a witness.
	CanWitness bool
}

// Snapshot is what the keeper needs to know of the site.
type Snapshot struct {
	// Groups maps each group to its failure domain; the planner's is empty.
	Groups  map[id.Group]id.Domain
	Records map[id.Group]lease.Record
	// Live lists the VMs that can hold leases, this one included.
	Live []Member
	// Retired lists the VMs that are known to have stopped for good.
	Retired map[id.VM]bool
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
	// FirstTerm says that no VM has held the lease before.
	FirstTerm bool
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
	return h.current.IsValid(now) || h.before != nil && h.before.IsValid(now)
}

func (h *held) lapsed(now clock.Instant) bool {
	return h.current.HasEnded(now) && (h.before == nil || h.before.HasEnded(now))
}

func (h *held) until() clock.Instant {
	if h.before != nil {
		return max(h.current.Expiry(), h.before.Expiry())
	}
	return h.current.Expiry()
}

// Manager is the lease side of one VM; it is not safe for concurrent use.
type Manager struct {
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

// NewManager returns the keeper of a VM that has just started.
func NewManager(self Member, now clock.Instant, opts ...Option) *Manager {
	o := newOptions(opts)
	return &Manager{
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

// HoldsLease reports whether this VM may act for a group now.
func (k *Manager) HoldsLease(now clock.Instant, g id.Group) bool {
	h, ok := k.held[g]
	return ok && h.running && h.valid(now)
}

// Expiry returns the end of this VM's lease of a group as far as it is known.
func (k *Manager) Expiry(g id.Group) clock.Instant {
	if h, ok := k.held[g]; ok {
		return h.until()
	}
	return 0
}

// Term returns the term in which this VM holds a group, or 0.
func (k *Manager) Term(g id.Group) id.Term {
	if h, ok := k.held[g]; ok {
		return h.current.Record().Term
	}
	return 0
}

// Record returns the newest record by which this VM holds a group.
func (k *Manager) Record(g id.Group) (r lease.Record, ok bool) {
	h, ok := k.held[g]
	if !ok {
		return r, false
	}
	return h.current.Record(), true
}

// Held returns the groups whose lease this VM holds or is about to begin, in order.
func (k *Manager) Held() []id.Group {
	return slices.Sorted(maps.Keys(k.held))
}

// Tick does what is due.
func (k *Manager) Tick(now clock.Instant, s Snapshot) (actions []Action) {
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
func (k *Manager) note(now clock.Instant, r lease.Record, g id.Group) {
	if s, ok := k.seen[g]; !ok || s.term != r.Term {
		k.seen[g] = seen{term: r.Term, at: now}
	}
}

// keep renews the lease of a group that this VM holds.
func (k *Manager) keep(now clock.Instant, s Snapshot, g id.Group, out outbox) (actions []Action) {
	h, ok := k.held[g]
	if !ok {
		return nil
	}
	if record := s.Records[g]; record.Term > h.current.Record().Term && !record.IsHeldBy(k.self.VM, k.self.Incarnation) {
		h.current.Resign()
		h.before = nil
	}
	if h.lapsed(now) {
		return k.drop(g)
	}
	if !h.running && h.valid(now) {
		h.running = true
		record := h.current.Record()
		actions = append(actions, Action{Start: &Start{Record: record, FirstTerm: record.Term == 1}})
	}
	if now.Sub(h.renewed) >= k.options.Timing.RenewPeriod || h.renewed == 0 {
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
func (k *Manager) drop(g id.Group) (actions []Action) {
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

// HasPendingSwap reports whether a write of a group's record is on its way.
func (k *Manager) HasPendingSwap(g id.Group) bool {
	_, ok := k.swaps[g]
	return ok
}

// Resign gives a group up for a successor and returns the record that it may follow.
//
// It must not be called while a swap is on its way, which would make the record an old one.
func (k *Manager) Resign(g id.Group) (r lease.Record, ok bool) {
	h, ok := k.held[g]
	if !ok || k.HasPendingSwap(g) {
		return r, false
	}
	r = h.current.Record()
	delete(k.held, g)
	return r, true
}

func (k *Manager) swap(now clock.Instant, r lease.Record) []Action {
	k.swaps[r.Group] = pending{record: r, sentAt: now}
	return []Action{{Swap: &Swap{Record: r}}}
}

// HandleSwapResult takes the result of a swap: whether the record is now the store's, and its revision.
func (k *Manager) HandleSwapResult(now clock.Instant, r lease.Record, won bool) {
	p, ok := k.swaps[r.Group]
	if !ok || p.record.Term != r.Term {
		return
	}
	delete(k.swaps, r.Group)
	delete(k.takeovers, r.Group)
	k.notBefore[r.Group] = now.Add(k.options.SwapBackoff)
	if !won || r.IsVacant() {
		return
	}
	next := &held{current: lease.NewHolder(r, p.sentAt, lease.WithTiming(k.options.Timing))}
	if old, ok := k.held[r.Group]; ok {
		next.before, next.running = old.current, old.running
	}
	k.held[r.Group] = next
}

// AcceptHandover takes a lease over from a holder that has resigned and says so itself.
func (k *Manager) AcceptHandover(now clock.Instant, s Snapshot, r lease.Record) []Action {
	if k.HasPendingSwap(r.Group) || s.Leaving {
		return nil
	}
	delete(k.takeovers, r.Group)
	return k.swap(now, r.Next(k.self.VM, k.self.Incarnation, k.chooseWitnesses(s, r.Group, nil, nil)))
}

// Receive answers a message of another VM.
func (k *Manager) Receive(now clock.Instant, from id.VM, m Message) (reply Message) {
	for _, r := range m.Renewals {
		if a, ok := k.witness.Renew(now, r); ok {
			reply.RenewalAnswers = append(reply.RenewalAnswers, a)
		}
	}
	for _, r := range m.RefuseRequests {
		reply.RefuseAnswers = append(reply.RefuseAnswers, k.witness.Refuse(now, r))
	}
	for _, a := range m.RenewalAnswers {
		if h, ok := k.held[a.Group]; ok {
			h.current.HandleAnswer(now, from, a)
		}
	}
	for _, a := range m.RefuseAnswers {
		if t, ok := k.takeovers[a.Group]; ok {
			t.HandleAnswer(now, from, a)
		}
	}
	return reply
}

// since returns how long a group's record has been as it is.
func (k *Manager) since(now clock.Instant, g id.Group) time.Duration {
	return now.Sub(k.seen[g].at)
}
