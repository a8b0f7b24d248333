// Package leasemanager decides which leases a VM renews, takes over and resigns.
//
// A Manager is a state machine: its inputs are the time, the directory's lease
// records, messages of other VMs and the results of writes to the store, and its
// outputs are actions. It has no sockets, clocks or goroutines, so that tests can
// run it in virtual time through any interleaving.
//
// # Usage
//
//	manager := leasemanager.NewManager(self, now)
//	for _, action := range manager.Tick(now, snapshot) {
//		perform(action)
//	}
//	reply := manager.Receive(now, from, message)
package leasemanager

import (
	"maps"
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/coordination/lease"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// Message holds the lease messages that one VM sends to another in one datagram.
type Message struct {
	Renewals       []lease.Renewal
	RenewalAnswers []lease.RenewalAnswer
	RefuseRequests []lease.RefuseRequest
	RefuseAnswers  []lease.RefuseAnswer
}

// IsEmpty reports whether the message contains nothing.
func (m Message) IsEmpty() bool {
	return len(m.Renewals)+len(m.RenewalAnswers)+len(m.RefuseRequests)+len(m.RefuseAnswers) == 0
}

// Member is a VM that can hold leases or be a witness of them.
type Member struct {
	VM            id.VM
	Incarnation   id.Incarnation
	FailureDomain id.Domain
	// CanWitness is set once the process has been up long enough to answer as a witness.
	CanWitness bool
}

// Snapshot is the state of the site that the manager needs.
type Snapshot struct {
	// Groups maps each group to its failure domain; that of the planner's group is empty.
	Groups  map[id.Group]id.Domain
	Records map[id.Group]lease.Record
	// Live lists the VMs that can hold leases, this one included.
	Live []Member
	// Retired holds the VMs that have stopped permanently.
	Retired map[id.VM]bool
	// Leaving is set once this VM resigns its leases and acquires no new ones.
	Leaving bool
}

// Action is an operation that the manager's caller has to perform; exactly one field is set.
type Action struct {
	Send *Send
	Swap *Swap
	// Start begins a group whose lease this VM holds from now on.
	Start *Start
	// Stop is a group whose lease this VM no longer holds.
	Stop id.Group
}

// Send sends a message to a VM.
type Send struct {
	To      id.VM
	Message Message
}

// Swap writes a record with a compare-and-swap on the revision of the record before it.
type Swap struct {
	Record lease.Record
}

// Start begins to send requests to a group under its lease.
type Start struct {
	Record lease.Record
	// FirstTerm is set if no VM has held the lease before.
	FirstTerm bool
}

// observedTerm is the term of a group's record and the time at which it was first seen.
type observedTerm struct {
	term      id.Term
	firstSeen clock.Instant
}

// pendingSwap is a compare-and-swap whose result is not known yet.
type pendingSwap struct {
	record lease.Record
	sentAt clock.Instant
}

// heldLease is a lease that this VM holds or is about to begin.
type heldLease struct {
	current *lease.Holder
	// previous is the holder of this VM's previous term, which stays valid while the current one begins.
	previous  *lease.Holder
	running   bool
	renewedAt clock.Instant
}

func (h *heldLease) isValid(now clock.Instant) bool {
	return h.current.IsValid(now) || h.previous != nil && h.previous.IsValid(now)
}

func (h *heldLease) hasEnded(now clock.Instant) bool {
	return h.current.HasEnded(now) && (h.previous == nil || h.previous.HasEnded(now))
}

func (h *heldLease) expiry() clock.Instant {
	if h.previous != nil {
		return max(h.current.Expiry(), h.previous.Expiry())
	}
	return h.current.Expiry()
}

// Manager manages the leases of one VM as holder, successor and witness; it is not safe for concurrent use.
type Manager struct {
	options   Options
	self      Member
	started   clock.Instant
	witness   *lease.Witness
	held      map[id.Group]*heldLease
	takeovers map[id.Group]*lease.Takeover
	swaps     map[id.Group]pendingSwap
	observed  map[id.Group]observedTerm
	// retryAt is the earliest time of the next compare-and-swap or takeover.
	retryAt map[id.Group]clock.Instant
	// nextMissingTakeover is the earliest time of the next takeover whose only reason is that the holder is missing from the
	// membership.
	nextMissingTakeover map[id.Group]clock.Instant
}

// NewManager returns the lease manager of a VM that has just started.
func NewManager(self Member, now clock.Instant, opts ...Option) *Manager {
	o := newOptions(opts)
	return &Manager{
		options:             o,
		self:                self,
		started:             now,
		witness:             lease.NewWitness(now, lease.WithTiming(o.Timing)),
		held:                map[id.Group]*heldLease{},
		takeovers:           map[id.Group]*lease.Takeover{},
		swaps:               map[id.Group]pendingSwap{},
		observed:            map[id.Group]observedTerm{},
		retryAt:             map[id.Group]clock.Instant{},
		nextMissingTakeover: map[id.Group]clock.Instant{},
	}
}

// HoldsLease reports whether this VM may act under a group's lease now.
func (mgr *Manager) HoldsLease(now clock.Instant, g id.Group) bool {
	h, ok := mgr.held[g]
	return ok && h.running && h.isValid(now)
}

// Expiry returns the end of this VM's lease of a group according to the granted renewals, or 0 without a lease.
func (mgr *Manager) Expiry(g id.Group) clock.Instant {
	if h, ok := mgr.held[g]; ok {
		return h.expiry()
	}
	return 0
}

// Term returns the term of this VM's lease of a group, or 0 without a lease.
func (mgr *Manager) Term(g id.Group) id.Term {
	if h, ok := mgr.held[g]; ok {
		return h.current.Record().Term
	}
	return 0
}

// Record returns the newest record of this VM's lease of a group.
func (mgr *Manager) Record(g id.Group) (r lease.Record, ok bool) {
	h, ok := mgr.held[g]
	if !ok {
		return r, false
	}
	return h.current.Record(), true
}

// Held returns the groups whose lease this VM holds or is about to begin, in ascending order.
func (mgr *Manager) Held() []id.Group {
	return slices.Sorted(maps.Keys(mgr.held))
}

// Tick renews and acquires the leases that are due, and returns the actions to perform.
func (mgr *Manager) Tick(now clock.Instant, s Snapshot) (actions []Action) {
	out := outbox{}
	for _, g := range slices.Sorted(maps.Keys(s.Groups)) {
		mgr.observeTerm(now, s.Records[g], g)
		actions = append(actions, mgr.renewLease(now, s, g, out)...)
		actions = append(actions, mgr.acquireLease(now, s, g, out)...)
	}
	for _, g := range mgr.Held() {
		if _, configured := s.Groups[g]; !configured {
			actions = append(actions, mgr.dropLease(g)...)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(out)) {
		actions = append(actions, Action{Send: &Send{To: vm, Message: *out[vm]}})
	}
	return actions
}

// outbox collects the messages of one tick, so that each VM gets a single datagram.
type outbox map[id.VM]*Message

// messageTo returns the message to a VM and creates it if there is none.
func (o outbox) messageTo(vm id.VM) *Message {
	if _, ok := o[vm]; !ok {
		o[vm] = &Message{}
	}
	return o[vm]
}

// observeTerm records the time at which a term was first seen.
func (mgr *Manager) observeTerm(now clock.Instant, r lease.Record, g id.Group) {
	if s, ok := mgr.observed[g]; !ok || s.term != r.Term {
		mgr.observed[g] = observedTerm{term: r.Term, firstSeen: now}
	}
}

// renewLease renews this VM's lease of a group and starts the group once the lease is valid.
func (mgr *Manager) renewLease(now clock.Instant, s Snapshot, g id.Group, out outbox) (actions []Action) {
	h, ok := mgr.held[g]
	if !ok {
		return nil
	}
	if record := s.Records[g]; record.Term > h.current.Record().Term && !record.IsHeldBy(mgr.self.VM, mgr.self.Incarnation) {
		h.current.Resign()
		h.previous = nil
	}
	if h.hasEnded(now) {
		return mgr.dropLease(g)
	}
	if !h.running && h.isValid(now) {
		h.running = true
		record := h.current.Record()
		actions = append(actions, Action{Start: &Start{Record: record, FirstTerm: record.Term == 1}})
	}
	if now.Sub(h.renewedAt) >= mgr.options.Timing.RenewPeriod || h.renewedAt == 0 {
		if r, to, ok := h.current.Renew(now); ok {
			h.renewedAt = now
			for _, w := range to {
				m := out.messageTo(w)
				m.Renewals = append(m.Renewals, r)
			}
		}
	}
	return append(actions, mgr.replaceWitnesses(now, s, g, h)...)
}

// dropLease removes this VM's lease of a group and stops the group if it runs.
func (mgr *Manager) dropLease(g id.Group) (actions []Action) {
	h, ok := mgr.held[g]
	if !ok {
		return nil
	}
	delete(mgr.held, g)
	if h.running {
		actions = append(actions, Action{Stop: g})
	}
	return actions
}

// HasPendingSwap reports whether a write of a group's record is in flight.
func (mgr *Manager) HasPendingSwap(g id.Group) bool {
	_, ok := mgr.swaps[g]
	return ok
}

// Resign ends this VM's lease of a group for a successor and returns the record that the successor replaces.
//
// It returns false if this VM doesn't hold the lease, and while a write of the
// group's record is in flight, since that write would make the returned record
// outdated.
func (mgr *Manager) Resign(g id.Group) (r lease.Record, ok bool) {
	h, ok := mgr.held[g]
	if !ok || mgr.HasPendingSwap(g) {
		return r, false
	}
	r = h.current.Record()
	delete(mgr.held, g)
	return r, true
}

// swap returns the action that writes a record, and tracks it until its result is known.
func (mgr *Manager) swap(now clock.Instant, r lease.Record) []Action {
	mgr.swaps[r.Group] = pendingSwap{record: r, sentAt: now}
	return []Action{{Swap: &Swap{Record: r}}}
}

// HandleSwapResult processes the result of a write: won reports whether the store has accepted the record, and r then has
// its new revision.
func (mgr *Manager) HandleSwapResult(now clock.Instant, r lease.Record, won bool) {
	p, ok := mgr.swaps[r.Group]
	if !ok || p.record.Term != r.Term {
		return
	}
	delete(mgr.swaps, r.Group)
	delete(mgr.takeovers, r.Group)
	mgr.retryAt[r.Group] = now.Add(mgr.options.SwapBackoff)
	if !won || r.IsVacant() {
		return
	}
	next := &heldLease{current: lease.NewHolder(r, p.sentAt, lease.WithTiming(mgr.options.Timing))}
	if old, ok := mgr.held[r.Group]; ok {
		next.previous, next.running = old.current, old.running
	}
	mgr.held[r.Group] = next
}

// AcceptHandover acquires a lease whose holder has resigned it and handed over its record.
//
// There is no need to ask the witnesses, since the holder itself has ended the lease.
func (mgr *Manager) AcceptHandover(now clock.Instant, s Snapshot, r lease.Record) []Action {
	if mgr.HasPendingSwap(r.Group) || s.Leaving {
		return nil
	}
	delete(mgr.takeovers, r.Group)
	return mgr.swap(now, r.Next(mgr.self.VM, mgr.self.Incarnation, mgr.chooseWitnesses(s, r.Group, nil, nil)))
}

// Receive processes a message of another VM and returns the reply.
func (mgr *Manager) Receive(now clock.Instant, from id.VM, m Message) (reply Message) {
	for _, r := range m.Renewals {
		if a, ok := mgr.witness.Renew(now, r); ok {
			reply.RenewalAnswers = append(reply.RenewalAnswers, a)
		}
	}
	for _, r := range m.RefuseRequests {
		reply.RefuseAnswers = append(reply.RefuseAnswers, mgr.witness.Refuse(now, r))
	}
	for _, a := range m.RenewalAnswers {
		if h, ok := mgr.held[a.Group]; ok {
			h.current.HandleAnswer(now, from, a)
		}
	}
	for _, a := range m.RefuseAnswers {
		if t, ok := mgr.takeovers[a.Group]; ok {
			t.HandleAnswer(now, from, a)
		}
	}
	return reply
}

// recordAge returns the time since the term of a group's record was first seen.
func (mgr *Manager) recordAge(now clock.Instant, g id.Group) time.Duration {
	return now.Sub(mgr.observed[g].firstSeen)
}
