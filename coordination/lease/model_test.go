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

// The model searches every interleaving of three VMs, one lease and two faults.
//
// Time advances in ticks; a lease lasts two. At each step any message may be
// delivered, in any order or never, a witness may be restarted (a fault), a
// holder renew, a successor go on with its takeover, and a write that was sent
// reach the store. The property is that no two VMs are valid at once.
//
// Within a tick the VMs act one after another, each as often as it can. What
// one does for another takes effect in the same tick or in any later one, so
// that nothing is lost but the orders of steps that don't depend on each other.
// Answers arrive at once: one that comes later makes a lease begin later and a
// successor wait longer, and neither adds a state with two holders.

const (
	modelTick  = time.Millisecond
	modelTicks = 4
	// modelSweeps is the number of times that each VM acts within a tick.
	modelSweeps = 2
	modelFaults = 2
	// modelRounds is the number of renewals of each holder.
	modelRounds = 2
	// modelTakeovers is the number of takeovers that the successor begins.
	modelTakeovers = 1
)

var modelTiming = Timing{TTL: 2 * modelTick, RenewPeriod: modelTick}

// sabotage breaks one rule on purpose.
type sabotage struct {
	skipWait   bool
	skipRefuse bool
	forgetful  bool
}

type modelMessage struct {
	from, to id.VM
	renewal  Renewal
	// refusal is set for a refusal; the renewal is then empty.
	refusal bool
	term    id.Term
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
	// begun counts the takeovers.
	begun int
	swap  *modelSwap
}

type model struct {
	now      clock.Instant
	vms      map[id.VM]*modelVM
	messages []modelMessage
	store    Record
	faults   int
	// turn is the index of the VM that acts.
	turn     int
	sabotage sabotage
}

var modelNames = []id.VM{"a", "b", "c"}

func newModel(s sabotage) *model {
	m := &model{now: at(0), vms: map[id.VM]*modelVM{}, sabotage: s, faults: modelFaults}
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
		c.witness = &Witness{options: vm.witness.options, started: vm.witness.started, promises: map[id.Group]*promise{}}
		for g, p := range vm.witness.promises {
			q := *p
			c.witness.promises[g] = &q
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
			t.freeAt = maps.Clone(t.freeAt)
			c.takeover = &t
		}
		n.vms[name] = &c
	}
	return &n
}

// key returns a text that tells states apart.
func (m *model) key() string {
	b := make([]byte, 0, 256)
	add := func(values ...int64) {
		for _, v := range values {
			b = binary.AppendVarint(b, v)
		}
	}
	add(int64(m.now-at(0)), int64(m.turn), int64(m.faults), int64(m.store.Term), int64(m.store.Revision), int64(name(m.store.Holder)))
	for _, n := range modelNames {
		m.vms[n].addTo(add)
	}
	sorted := slices.Clone(m.messages)
	slices.SortFunc(sorted, modelMessage.compare)
	for _, x := range sorted {
		add(int64(name(x.from)), int64(name(x.to)), int64(x.renewal.Term), int64(x.renewal.Round), int64(x.term))
	}
	return string(b)
}

func (vm *modelVM) addTo(add func(...int64)) {
	add(-1, int64(vm.witness.started-at(0)), int64(vm.rounds), int64(vm.begun))
	if vm.rounds > 0 {
		add(int64(vm.renewed - at(0)))
	}
	if p := vm.witness.promises["g"]; p != nil {
		add(-2, int64(p.term), int64(p.last-at(0)), flag(p.heard), int64(p.refused), flag(p.refusing))
	}
	if h := vm.holder; h != nil {
		add(-3, int64(h.record.Term), int64(h.until-at(0)), flag(h.started), flag(h.lapsed), int64(h.startBy-at(0)))
		for _, r := range h.rounds {
			add(int64(r.number), int64(r.sentAt-at(0)), flag(r.grants["a"])+2*flag(r.grants["b"])+4*flag(r.grants["c"]))
		}
	}
	if t := vm.takeover; t != nil {
		add(-4, int64(t.record.Term), flag(t.over))
		for _, w := range modelNames {
			if free, ok := t.freeAt[w]; ok {
				add(int64(name(w)), int64(free-at(0)))
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

// valid returns the VMs that may act on the lease now.
func (m *model) valid() (out []id.VM) {
	for _, name := range modelNames {
		if h := m.vms[name].holder; h != nil && h.IsValid(m.now) {
			out = append(out, name)
		}
	}
	return out
}

func (m *model) send(x modelMessage) { m.messages = append(m.messages, x) }

// deliver takes message n out, lets the witness act and passes its answer back.
func (m *model) deliver(n int) {
	x := m.messages[n]
	m.messages = slices.Delete(m.messages, n, n+1)
	witness, sender := m.vms[x.to].witness, m.vms[x.from]
	if x.refusal {
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

// successors returns every state that can follow.
func (m *model) successors() (out []*model) {
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

// advance lets a tick pass; renewals that can't count any more are dropped, to keep the search small.
func (m *model) advance() {
	m.now, m.turn = m.now.Add(modelTick), 0
	m.messages = slices.DeleteFunc(m.messages, func(x modelMessage) bool {
		h := m.vms[x.from].holder
		return !x.refusal && (h == nil || h.HasEnded(m.now))
	})
}

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

// stepSuccessor lets a VM go on with a takeover.
func (m *model) stepSuccessor(name id.VM, step func(func(*model))) {
	vm := m.vms[name]
	// Only b succeeds a; the other directions are the same by symmetry.
	if name == "b" && vm.begun < modelTakeovers && m.store.Holder != "b" && vm.takeover == nil && vm.swap == nil {
		step(func(n *model) { n.begin(name) })
	}
	if vm.takeover != nil && vm.swap == nil && m.maySwap(vm.takeover) {
		step(func(n *model) {
			n.vms[name].swap = &modelSwap{record: n.next(name), sentAt: n.now}
			n.vms[name].takeover = nil
		})
	}
	if vm.swap != nil {
		step(func(n *model) { n.land(name) })
	}
}

// restart replaces a process, which forgets everything.
func (m *model) restart(name id.VM) {
	m.faults--
	started := m.now
	if m.sabotage.forgetful {
		started = at(-time.Minute)
	}
	m.vms[name] = &modelVM{witness: NewWitness(started, WithTiming(modelTiming)), begun: m.vms[name].begun}
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

func (m *model) begin(name id.VM) {
	vm := m.vms[name]
	vm.begun++
	vm.takeover = NewTakeover(m.store, at(-time.Minute), 0, WithTiming(modelTiming))
	if m.sabotage.skipRefuse {
		return
	}
	for _, w := range m.store.Witnesses {
		m.send(modelMessage{from: name, to: w, refusal: true, term: m.store.Term})
	}
}

// maySwap reports whether a takeover may swap, by the rules or by the sabotaged ones.
func (m *model) maySwap(t *Takeover) bool {
	switch {
	case m.sabotage.skipRefuse:
		return true
	case m.sabotage.skipWait:
		return len(t.freeAt) >= t.record.Majority()
	default:
		return t.IsReady(m.now)
	}
}

func (m *model) next(name id.VM) Record {
	return m.vms[name].takeover.Record().Next(name, "", others(name))
}

// land lets a write reach the store.
func (m *model) land(name id.VM) {
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

// search visits every reachable state and returns their number, and a state with two valid holders.
func search(m *model, limit int) (states int, broken *model) {
	visited := map[string]bool{m.key(): true}
	queue := []*model{m}
	for len(queue) > 0 && states < limit {
		s := queue[0]
		queue = queue[1:]
		states++
		if len(s.valid()) > 1 {
			return states, s
		}
		for _, n := range s.successors() {
			if k := n.key(); !visited[k] {
				visited[k] = true
				queue = append(queue, n)
			}
		}
	}
	return states, nil
}

// modelLimit bounds the search; TestModelIsExhausted fails where it is reached.
const modelLimit = 4_000_000

func TestModelIsExhausted(t *testing.T) {
	states, broken := search(newModel(sabotage{}), modelLimit)
	if broken != nil {
		t.Fatalf("two holders %v after %d states: %s", broken.valid(), states, fmt.Sprintf("%+v", broken))
	}
	if states >= modelLimit {
		t.Fatalf("the search was cut off after %d states", states)
	}
	t.Logf("%d states, none with two holders", states)
}

// TestLapsedHolderMustNotGoOn shows the case for which a holder never resumes a term.
func TestLapsedHolderMustNotGoOn(t *testing.T) {
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
		witnesses[w] = NewWitness(at(wait)) // both forget what they have refused
	}
	later := 2*wait + 1
	successor := r.Next("b", "", []id.VM{"e"})
	b := NewHolder(successor, at(later-1))
	renewWith(b, later, "e")
	i.True(b.IsValid(at(later)))
	renewWith(a, later, "b", "c", "d")
	i.True(!a.IsValid(at(later)))
	broken := NewHolder(r, at(later)) // what a holder that resumed its term would be
	renewWith(broken, later, "b", "c", "d")
	i.True(broken.IsValid(at(later))) // two holders, were it not for the rule
}

func TestModelFindsSabotage(t *testing.T) {
	tests := map[string]sabotage{
		"swap without waiting for the promises": {skipWait: true},
		"swap without a refusal":                {skipRefuse: true},
		"restarted witness answers at once":     {forgetful: true},
	}
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			if states, broken := search(newModel(s), modelLimit); broken == nil {
				t.Fatalf("not found in %d states", states)
			}
		})
	}
}
