package edge

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/coordination/allotment"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/entry"
	"github.com/hickorylug/hickorylug/transport/gossip"
)

const (
	// leadsTTL is how long the check whether this VM leads is reused for asks, since it goes through all VMs. It is far below the age at
	// which VMs drop answers.
	leadsTTL = 5 * time.Millisecond
	// membersPeriod is the time between two checks whether all VMs have reported their shares to a new granter.
	membersPeriod = 50 * time.Millisecond
)

// allotments charges requests to the allotments of their customers, and gives tokens to all VMs while this VM leads.
type allotments struct {
	edge *Edge

	mu      sync.Mutex
	holder  *allotment.Holder
	granter *allotment.Granter
	// stopTimer stops the timer of the next ask, which is due at timerAt; nil if there is none.
	stopTimer func()
	timerAt   clock.Instant
	ended     bool
	// leading is the latest check whether this VM leads, made at leadingAt; membersAt is when the registered VMs were last passed on.
	leading              bool
	leadingAt, membersAt clock.Instant
	// configuration is the configuration of hasLimits, which says that a customer has a limited allotment.
	configuration *fleet.Configuration
	hasLimits     bool
}

func newAllotments(e *Edge) *allotments {
	m := &allotments{edge: e}
	m.holder = allotment.NewHolder(m.settings(), m.lookup)
	return m
}

func (m *allotments) settings() allotment.Settings {
	s := m.edge.settings
	return allotment.Settings{Window: s.AllotmentWindow.Std(), Overage: s.AllotmentOverage, Slack: s.AllotmentSlack}
}

// lookup returns the allotment of a customer; ok is false if it has no limit.
func (m *allotments) lookup(c id.Customer) (a fleet.Allotment, ok bool) {
	configuration := m.edge.snapshot.Load().Configuration
	if configuration == nil || configuration.Customers == nil {
		return a, false
	}
	customer, found := configuration.Customers.ByName(c)
	if !found {
		return a, false
	}
	return customer.Allotment, customer.Allotment.IsLimited()
}

// ticket is the charge of one request. It implements entry.Ticket.
type ticket struct {
	allotments *allotments
	customer   id.Customer
}

// ChargeAttempt charges one more attempt without a wait, and reports whether there was a token for it.
func (t ticket) ChargeAttempt() bool {
	m := t.allotments
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.edge.clock.Boot()
	m.follow(now)
	allowed := m.holder.Charge(now, t.customer)
	m.schedule(now)
	return allowed
}

// Release gives the charge back.
func (t ticket) Release() {
	m := t.allotments
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.edge.clock.Boot()
	m.holder.Release(now, t.customer)
	m.schedule(now)
}

// unlimited is the ticket of a request without a limited allotment.
type unlimited struct{}

// ChargeAttempt allows every attempt.
func (unlimited) ChargeAttempt() bool { return true }

// Release does nothing.
func (unlimited) Release() {}

// admit charges a request to its customer's allotment. It waits for at most allotment.MaxWait and not beyond the deadline.
func (m *allotments) admit(ctx context.Context, c *fleet.Customer, deadline clock.Instant) (t entry.Ticket, err error) {
	if c == nil || !c.Allotment.IsLimited() {
		return unlimited{}, nil
	}
	decided := make(chan allotment.Verdict, 1)
	w := &allotment.Waiter{Settle: func(v allotment.Verdict) { decided <- v }}
	v := m.take(c, w)
	if v.Waits {
		v = m.await(ctx, c, deadline, w, decided)
	}
	switch {
	case v.Granted && ctx.Err() != nil:
		ticket{m, c.Name}.Release()
		return nil, outcome.NotRun(outcome.CallerDisconnected, "the caller left before the request was sent")
	case v.Granted:
		return ticket{m, c.Name}, nil
	}
	return nil, m.refusal(c, v)
}

// take charges a request, or queues it for a decision.
func (m *allotments) take(c *fleet.Customer, w *allotment.Waiter) allotment.Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.edge.clock.Boot()
	m.follow(now)
	defer m.schedule(now)
	return m.holder.Take(now, c.Name, w)
}

// giveUp ends the wait of a request; given is false if it has a decision.
func (m *allotments) giveUp(c *fleet.Customer, w *allotment.Waiter) (v allotment.Verdict, given bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder.GiveUp(m.edge.clock.Boot(), c.Name, w)
}

// await waits for the decision on a request.
func (m *allotments) await(ctx context.Context, c *fleet.Customer, deadline clock.Instant, w *allotment.Waiter, decided <-chan allotment.Verdict) allotment.Verdict {
	timeout := make(chan struct{})
	stop := m.edge.clock.AfterFunc(max(0, min(allotment.MaxWait, deadline.Sub(m.edge.clock.Boot()))), func() { close(timeout) })
	defer stop()
	select {
	case v := <-decided:
		return v
	case <-timeout:
	case <-ctx.Done():
	}
	v, given := m.giveUp(c, w)
	if !given {
		return <-decided
	}
	return v
}

// answerAge returns the age of the latest answer; ok is false if there was none.
func (m *allotments) answerAge() (age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder.AnswerAge(m.edge.clock.Boot())
}

// refusal returns the error of a request beyond its customer's allotment.
func (m *allotments) refusal(c *fleet.Customer, v allotment.Verdict) error {
	age, ok := m.answerAge()
	latest := "there was no answer yet"
	if ok {
		latest = "the latest answer is " + age.Round(time.Millisecond).String() + " old"
	}
	return outcome.NotRun(outcome.AllotmentExhausted, "customer %s may send %g requests per second and %g at once: %s; %s",
		c.Name, c.Allotment.Rate, c.Allotment.Burst, v.Reason, latest).WithRetryAfter(v.RetryAfter)
}

// follow makes the holder ask the present leader. The caller holds mu.
func (m *allotments) follow(now clock.Instant) (leader id.VM) {
	e := m.edge
	e.mu.Lock()
	leader, term, fresh := e.elector.Leader(now)
	grants := leader == e.settings.VM || e.leaderGrants
	e.mu.Unlock()
	if leader != "" && fresh {
		m.holder.SetGranter(term, grants)
	}
	m.holder.SetFleet(e.peerCount())
	return leader
}

// followLeader makes the holder report its shares to the present leader if a customer has a limited allotment.
func (m *allotments) followLeader() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isLimiting() {
		return
	}
	now := m.edge.clock.Boot()
	m.follow(now)
	m.schedule(now)
}

// isLimiting reports whether a customer has a limited allotment. The caller holds mu.
func (m *allotments) isLimiting() bool {
	configuration := m.edge.snapshot.Load().Configuration
	if configuration == m.configuration {
		return m.hasLimits
	}
	m.configuration, m.hasLimits = configuration, false
	if configuration != nil && configuration.Customers != nil {
		for i := range configuration.Customers.All() {
			m.hasLimits = m.hasLimits || configuration.Customers.All()[i].Allotment.IsLimited()
		}
	}
	return m.hasLimits
}

// schedule sets the timer of the next ask. The caller holds mu.
func (m *allotments) schedule(now clock.Instant) {
	d, due := m.holder.NextAskIn(now)
	if !due || m.ended || m.stopTimer != nil && m.timerAt <= now.Add(d) {
		return
	}
	if m.stopTimer != nil {
		m.stopTimer()
	}
	m.timerAt = now.Add(d)
	at := m.timerAt
	m.stopTimer = m.edge.clock.AfterFunc(d, func() { m.edge.tasks.Go(context.Background(), func(context.Context) { m.ask(at) }) })
}

// ask sends the asks that are due. The timer that was set for the given time has fired.
func (m *allotments) ask(timer clock.Instant) {
	if leader, ask, ok := m.nextAsk(timer); ok {
		m.edge.sendToVM(leader, m.edge.withSender(gossip.Message{Ask: &ask}))
	}
}

// nextAsk returns the ask that is due to another VM.
func (m *allotments) nextAsk(timer clock.Instant) (leader id.VM, ask allotment.Ask, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.edge.clock.Boot()
	if m.timerAt == timer {
		m.stopTimer = nil
	}
	leader = m.follow(now)
	ask, ok = m.holder.NextAsk(now)
	if ok && leader == m.edge.settings.VM {
		if answer, answered := m.answerAsk(now, leader, m.edge.incarnation, ask); answered {
			m.holder.Receive(now, answer)
		}
		ok = false
	}
	m.schedule(now)
	return leader, ask, ok
}

// stop ends all asks.
func (m *allotments) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	if m.stopTimer != nil {
		m.stopTimer()
	}
}

// receive handles the ask and the answer in a message, and follows the leader whose heartbeat it is.
func (m *allotments) receive(msg gossip.Message) {
	if msg.Heartbeat != nil && msg.Heartbeat.Leading {
		m.followLeader()
	}
	if msg.Ask == nil && msg.Answer == nil {
		return
	}
	if answer, answered := m.handle(msg); answered {
		m.edge.sendToVM(msg.From, m.edge.withSender(gossip.Message{Answer: &answer}))
	}
}

// handle handles the ask and the answer in a message, and returns the answer to the ask.
func (m *allotments) handle(msg gossip.Message) (answer allotment.Answer, answered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.edge.clock.Boot()
	if msg.Answer != nil {
		m.holder.Receive(now, *msg.Answer)
		m.schedule(now)
	}
	if msg.Ask != nil {
		return m.answerAsk(now, msg.From, msg.Incarnation, *msg.Ask)
	}
	return answer, false
}

// answerAsk answers an ask if this VM leads. The caller holds mu.
func (m *allotments) answerAsk(now clock.Instant, from id.VM, incarnation id.Incarnation, ask allotment.Ask) (answer allotment.Answer, ok bool) {
	e := m.edge
	if now.Sub(m.leadingAt) >= leadsTTL || m.leadingAt == 0 {
		m.leading, m.leadingAt = e.leads(), now
	}
	if !m.leading {
		return answer, false
	}
	if term := e.ownTerm(); m.granter == nil || m.granter.Term() != term {
		m.granter = allotment.NewGranter(m.settings(), m.lookup, term, now)
		m.membersAt = 0
	}
	answer, ok = m.granter.Answer(now, from, incarnation, ask)
	if m.granter.NeedsMembers() && now.Sub(m.membersAt) >= membersPeriod {
		m.membersAt = now
		m.granter.SetMembers(now, slices.Collect(maps.Keys(e.members())))
	}
	return answer, ok
}

// AllotmentView is what a VM knows of the allotments of customers.
type AllotmentView struct {
	// InContact says that the VM has a recent answer of the leader, and AnswerAgeMs the age of the latest one; -1 if there is none.
	InContact   bool
	AnswerAgeMs int64
	// Held is this VM's state.
	Held []allotment.HolderView
	// Granted is the state of all VMs; it is empty unless this VM leads.
	Granted []allotment.GranterView
}

// Allotments returns what this VM knows of the allotments of at most limit customers, those with the most requests first.
func (e *Edge) Allotments(limit int) AllotmentView {
	m := e.allotments
	leads := e.leads()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := e.clock.Boot()
	v := AllotmentView{InContact: m.holder.InContact(now), AnswerAgeMs: -1, Held: m.holder.View(limit)}
	if age, ok := m.holder.AnswerAge(now); ok {
		v.AnswerAgeMs = age.Milliseconds()
	}
	if leads && m.granter != nil && m.granter.Term() == e.ownTerm() {
		v.Granted = m.granter.View(now, limit)
	}
	return v
}
