package lease

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// The model checker searches every interleaving of three VMs, one lease and two faults.
//
// Time advances in ticks, and the lease TTL is two ticks. In each step any
// message may be delivered, in any order or never, a witness may restart (a
// fault), a holder may renew, a successor may continue its takeover, and a write
// in flight may reach the store. The invariant is that no two VMs have a valid
// lease at the same time.
//
// Within a tick the VMs act in turn, each in any number of steps. The effect of a
// VM's step on another VM comes in the same tick or in any later one, so that the
// only interleavings left out are those of independent steps. Answers arrive
// immediately: a late answer only makes a lease begin later and a successor wait
// longer, and neither adds a state with two holders.

const (
	modelTick  = time.Millisecond
	modelTicks = 4
	// modelSweeps is the number of turns of each VM within a tick.
	modelSweeps = 2
	modelFaults = 2
	// modelRounds is the number of renewals of each holder.
	modelRounds = 2
	// modelTakeovers is the number of takeovers that the successor may begin.
	modelTakeovers = 1
)

var modelTiming = Timing{TTL: 2 * modelTick, RenewPeriod: modelTick}

// injectedBug disables one rule of the protocol, to check that the model checker finds the violation.
type injectedBug struct {
	skipWait           bool
	skipRefuse         bool
	grantsAfterRestart bool
}

type modelMessage struct {
	from, to id.VM
	renewal  Renewal
	// isRefuse is set for a refuse request; renewal is then empty.
	isRefuse bool
	term     id.Term
}

type modelSwap struct {
	record Record
	sentAt clock.Instant
}

type modelVM struct {
	witness  *Witness
	holder   *Holder
	takeover *Takeover
	renewed  clock.Instant
	rounds   int
	// begunTakeovers is the number of takeovers that the VM has begun.
	begunTakeovers int
	swap           *modelSwap
}

type model struct {
	now      clock.Instant
	vms      map[id.VM]*modelVM
	messages []modelMessage
	store    Record
	faults   int
	// turn is the number of the turn within the tick; it determines the VM that acts.
	turn int
	bug  injectedBug
}

var modelNames = []id.VM{"a", "b", "c"}

func newModel(bug injectedBug) *model {
	m := &model{now: at(0), vms: map[id.VM]*modelVM{}, bug: bug, faults: modelFaults}
	for _, name := range modelNames {
		m.vms[name] = &modelVM{witness: NewWitness(at(-time.Minute), WithTiming(modelTiming))}
	}
	m.store = Record{Group: "g", Term: 1, Holder: "a", Witnesses: others("a"), Revision: 1}
	a := m.vms["a"]
	a.holder = NewHolder(m.store, m.now, WithTiming(modelTiming))
	return m
}

func others(self id.VM) (out []id.VM) {
	for _, name := range modelNames {
		if name != self {
			out = append(out, name)
		}
	}
	return out
}

func (m *model) clone() *model {
	n := *m
	n.messages = slices.Clone(m.messages)
	n.vms = map[id.VM]*modelVM{}
	for name, vm := range m.vms {
		c := *vm
		c.witness = &Witness{options: vm.witness.options, started: vm.witness.started, groups: map[id.Group]*groupState{}}
		for g, s := range vm.witness.groups {
			copied := *s
			c.witness.groups[g] = &copied
		}
		if vm.holder != nil {
			h := *vm.holder
			h.rounds = nil
			for _, r := range vm.holder.rounds {
				r.grants = maps.Clone(r.grants)
				h.rounds = append(h.rounds, r)
			}
			c.holder = &h
		}
		if vm.takeover != nil {
			t := *vm.takeover
			t.grantExpiries = maps.Clone(t.grantExpiries)
			c.takeover = &t
		}
		n.vms[name] = &c
	}
	return &n
}

// key returns an encoding of the state that is equal for equal states only.
func (m *model) key() string {
	b := make([]byte, 0, 256)
	add := func(values ...int64) {
		for _, v := range values {
			b = binary.AppendVarint(b, v)
		}
	}
	add(int64(m.now-at(0)), int64(m.turn), int64(m.faults), int64(m.store.Term), int64(m.store.Revision), int64(name(m.store.Holder)))
	for _, n := range modelNames {
		m.vms[n].encode(add)
	}
	sorted := slices.Clone(m.messages)
	slices.SortFunc(sorted, modelMessage.compare)
	for _, x := range sorted {
		add(int64(name(x.from)), int64(name(x.to)), int64(x.renewal.Term), int64(x.renewal.Round), int64(x.term))
	}
	return string(b)
}

// encode passes the VM's state to add.
func (vm *modelVM) encode(add func(...int64)) {
	add(-1, int64(vm.witness.started-at(0)), int64(vm.rounds), int64(vm.begunTakeovers))
	if vm.rounds > 0 {
		add(int64(vm.renewed - at(0)))
	}
	if s := vm.witness.groups["g"]; s != nil {
		add(-2, int64(s.term), int64(s.renewedAt-at(0)), flag(s.renewed), int64(s.refusedTerm), flag(s.hasRefused))
	}
	if h := vm.holder; h != nil {
		add(-3, int64(h.record.Term), int64(h.expiry-at(0)), flag(h.started), flag(h.ended), int64(h.startDeadline-at(0)))
		for _, r := range h.rounds {
			add(int64(r.number), int64(r.sentAt-at(0)), flag(r.grants["a"])+2*flag(r.grants["b"])+4*flag(r.grants["c"]))
		}
	}
	if t := vm.takeover; t != nil {
		add(-4, int64(t.record.Term), flag(t.aborted))
		for _, w := range modelNames {
			if expiry, ok := t.grantExpiries[w]; ok {
				add(int64(name(w)), int64(expiry-at(0)))
			}
		}
	}
	if vm.swap != nil {
		add(-5, int64(vm.swap.record.Term), int64(vm.swap.record.Revision), int64(vm.swap.sentAt-at(0)))
	}
}

func name(vm id.VM) int { return slices.Index(modelNames, vm) }

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (m modelMessage) compare(o modelMessage) int {
	return cmp.Or(
		cmp.Compare(m.from, o.from), cmp.Compare(m.to, o.to), cmp.Compare(m.term, o.term),
		cmp.Compare(m.renewal.Term, o.renewal.Term), cmp.Compare(m.renewal.Round, o.renewal.Round),
	)
}

// validHolders returns the VMs whose lease is valid now.
func (m *model) validHolders() (out []id.VM) {
	for _, name := range modelNames {
		if h := m.vms[name].holder; h != nil && h.IsValid(m.now) {
			out = append(out, name)
		}
	}
	return out
}

func (m *model) send(x modelMessage) { m.messages = append(m.messages, x) }

// deliver removes message n, delivers it to the witness and passes the answer to the sender.
func (m *model) deliver(n int) {
	x := m.messages[n]
	m.messages = slices.Delete(m.messages, n, n+1)
	witness, sender := m.vms[x.to].witness, m.vms[x.from]
	if x.isRefuse {
		a := witness.Refuse(m.now, RefuseRequest{Group: "g", Term: x.term})
		if sender.takeover != nil {
			sender.takeover.HandleAnswer(m.now, x.to, a)
		}
		return
	}
	if a, ok := witness.Renew(m.now, x.renewal); ok && sender.holder != nil {
		sender.holder.HandleAnswer(m.now, x.to, a)
	}
}

// nextStates returns the states that are reachable in one step.
func (m *model) nextStates() (out []*model) {
	step := func(change func(n *model)) {
		n := m.clone()
		change(n)
		out = append(out, n)
	}
	name := modelNames[m.turn%len(modelNames)]
	switch {
	case m.turn+1 < modelSweeps*len(modelNames):
		step(func(n *model) { n.turn++ })
	case m.now < at(modelTicks*modelTick):
		step(func(n *model) { n.advance() })
	}
	for i, x := range m.messages {
		if x.to == name {
			step(func(n *model) { n.deliver(i) })
		}
	}
	m.stepVM(name, step)
	return out
}

// advance begins the next tick and drops renewals that can't extend a lease any more, to keep the search small.
func (m *model) advance() {
	m.now, m.turn = m.now.Add(modelTick), 0
	m.messages = slices.DeleteFunc(m.messages, func(x modelMessage) bool {
		h := m.vms[x.from].holder
		return !x.isRefuse && (h == nil || h.HasEnded(m.now))
	})
}

// stepVM adds the steps of a VM other than receiving a message.
func (m *model) stepVM(name id.VM, step func(func(*model))) {
	vm := m.vms[name]
	if vm.holder != nil && vm.renewed != m.now && vm.rounds < modelRounds && !vm.holder.HasEnded(m.now) {
		step(func(n *model) { n.renew(name) })
	}
	if m.faults > 0 && vm.holder == nil {
		step(func(n *model) { n.restart(name) })
	}
	m.stepSuccessor(name, step)
}

// stepSuccessor adds the steps of a VM's takeover.
func (m *model) stepSuccessor(name id.VM, step func(func(*model))) {
	vm := m.vms[name]
	// Only b succeeds a, since the other cases are equivalent by symmetry.
	if name == "b" && vm.begunTakeovers < modelTakeovers && m.store.Holder != "b" && vm.takeover == nil && vm.swap == nil {
		step(func(n *model) { n.beginTakeover(name) })
	}
	if vm.takeover != nil && vm.swap == nil && m.canSwap(vm.takeover) {
		step(func(n *model) {
			n.vms[name].swap = &modelSwap{record: n.nextRecord(name), sentAt: n.now}
			n.vms[name].takeover = nil
		})
	}
	if vm.swap != nil {
		step(func(n *model) { n.applySwap(name) })
	}
}

// restart replaces a process, whose state is lost.
func (m *model) restart(name id.VM) {
	m.faults--
	started := m.now
	if m.bug.grantsAfterRestart {
		started = at(-time.Minute)
	}
	m.vms[name] = &modelVM{witness: NewWitness(started, WithTiming(modelTiming)), begunTakeovers: m.vms[name].begunTakeovers}
}

func (m *model) renew(name id.VM) {
	vm := m.vms[name]
	r, to, ok := vm.holder.Renew(m.now)
	if !ok {
		return
	}
	vm.renewed = m.now
	vm.rounds++
	for _, w := range to {
		m.send(modelMessage{from: name, to: w, renewal: r})
	}
}

func (m *model) beginTakeover(name id.VM) {
	vm := m.vms[name]
	vm.begunTakeovers++
	vm.takeover = NewTakeover(m.store, at(-time.Minute), 0, WithTiming(modelTiming))
	if m.bug.skipRefuse {
		return
	}
	for _, w := range m.store.Witnesses {
		m.send(modelMessage{from: name, to: w, isRefuse: true, term: m.store.Term})
	}
}

// canSwap reports whether a takeover may write the next record, under the protocol or the injected bug.
func (m *model) canSwap(t *Takeover) bool {
	switch {
	case m.bug.skipRefuse:
		return true
	case m.bug.skipWait:
		return len(t.grantExpiries) >= t.record.Majority()
	default:
		return t.IsReady(m.now)
	}
}

// nextRecord returns the record that a VM's takeover writes.
func (m *model) nextRecord(name id.VM) Record {
	return m.vms[name].takeover.Record().Next(name, "", others(name))
}

// applySwap applies a VM's compare-and-swap in the store.
func (m *model) applySwap(name id.VM) {
	vm := m.vms[name]
	s := vm.swap
	vm.swap = nil
	if m.store.Revision != s.record.Revision {
		return
	}
	s.record.Revision++
	m.store = s.record
	vm.holder = NewHolder(s.record, s.sentAt, WithTiming(modelTiming))
}

// search visits the reachable states, at most limit of them, and returns their number and a state with two valid
// holders, if there is one.
func search(m *model, limit int) (states int, violation *model) {
	visited := map[string]bool{m.key(): true}
	queue := []*model{m}
	for len(queue) > 0 && states < limit {
		s := queue[0]
		queue = queue[1:]
		states++
		if len(s.validHolders()) > 1 {
			return states, s
		}
		for _, n := range s.nextStates() {
			if k := n.key(); !visited[k] {
				visited[k] = true
				queue = append(queue, n)
			}
		}
	}
	return states, nil
}

// modelLimit is the largest number of states in a search; TestModelIsExhausted fails if it is reached.
const modelLimit = 4_000_000

func TestModelIsExhausted(t *testing.T) {
	states, violation := search(newModel(injectedBug{}), modelLimit)
	if violation != nil {
		t.Fatalf("two valid holders %v after %d states: %s", violation.validHolders(), states, fmt.Sprintf("%+v", violation))
	}
	if states >= modelLimit {
		t.Fatalf("the search stopped at its limit of %d states", states)
	}
	t.Logf("%d states, none with two valid holders", states)
}

// TestHolderDoesNotResumeEndedTerm shows why a holder never resumes a term that has ended.
//
// Witnesses refuse the term for a successor and then restart, which loses the
// refusals. They would grant the old term again, beside the successor's lease.
func TestHolderDoesNotResumeEndedTerm(t *testing.T) {
	i := is.New(t)
	r := record() // held by a, witnessed by b, c and d
	witnesses := map[id.VM]*Witness{}
	for _, w := range []id.VM{"b", "c", "d", "e"} {
		witnesses[w] = NewWitness(at(-time.Hour))
	}
	renewWith := func(h *Holder, now time.Duration, names ...id.VM) {
		renewal, _, ok := h.Renew(at(now))
		for _, w := range names {
			if a, answers := witnesses[w].Renew(at(now), renewal); ok && answers {
				h.HandleAnswer(at(now), w, a)
			}
		}
	}
	a := NewHolder(r, at(0))
	renewWith(a, 0, "b", "c", "d")
	i.True(a.IsValid(at(1)))
	takeover := NewTakeover(r, at(-time.Hour), 0)
	for _, w := range []id.VM{"c", "d"} {
		takeover.HandleAnswer(at(2), w, witnesses[w].Refuse(at(2), takeover.RefuseRequest()))
	}
	wait := DefaultTiming.WitnessTTL()
	i.True(takeover.IsReady(at(wait)))
	for _, w := range []id.VM{"c", "d"} {
		witnesses[w] = NewWitness(at(wait)) // both lose their record of the refusal
	}
	later := 2*wait + 1
	successor := r.Next("b", "", []id.VM{"e"})
	b := NewHolder(successor, at(later-1))
	renewWith(b, later, "e")
	i.True(b.IsValid(at(later)))
	renewWith(a, later, "b", "c", "d")
	i.True(!a.IsValid(at(later)))
	resumed := NewHolder(r, at(later)) // stands for a holder that resumes its ended term
	renewWith(resumed, later, "b", "c", "d")
	i.True(resumed.IsValid(at(later))) // beside b, so the rule prevents two holders
}

func TestModelFindsInjectedBugs(t *testing.T) {
	tests := map[string]injectedBug{
		"swap without waiting for the grants to expire": {skipWait: true},
		"swap without refusals":                         {skipRefuse: true},
		"restarted witness grants immediately":          {grantsAfterRestart: true},
	}
	for name, bug := range tests {
		t.Run(name, func(t *testing.T) {
			if states, violation := search(newModel(bug), modelLimit); violation == nil {
				t.Fatalf("no violation found in %d states", states)
			}
		})
	}
}
