package ownership

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// Times of grants.
const (
	// GrantTTL is how long a grant lasts from its arrival; it outlasts the replacement of a lost leader.
	GrantTTL = 2500 * time.Millisecond
	// renewPeriod leaves room for several lost renewals within the hold time.
	renewPeriod = 500 * time.Millisecond
	// GrantTimeout bounds a grant.
	GrantTimeout = 250 * time.Millisecond
	// ReleaseTimeout bounds a release, which is answered when the running work has ended.
	ReleaseTimeout = 2500 * time.Millisecond
	// clockDrift is how much slower a backend server's clock may run, in percent.
	clockDrift = 2
	// arrivalSlack covers the way of a grant and a sender that was stopped right after it.
	arrivalSlack = 500 * time.Millisecond
	// successionSlack covers the time that a former leader needs to notice that it was replaced. It goes on as long as
	// most VMs have told it within 700 ms that they don't reach the store; those that hear the new leader, which sends
	// a heartbeat each 150 ms, tell the former one nothing any more.
	successionSlack = 1500 * time.Millisecond
	// retryPause is the time between two tries of an order that failed.
	retryPause = 100 * time.Millisecond
)

// exposure is how long keys may be held after a grant was sent.
const exposure = GrantTTL*(100+clockDrift)/100 + arrivalSlack

// Command is a call to a backend server.
type Command struct {
	Service     id.Service
	Incarnation fleet.Incarnation
	From        fleet.Key
	To          fleet.Key
	Fence       fleet.Fence
	// Release says that the keys are taken back rather than given.
	Release  bool
	Handover string
	// IssuedAt is when the order was decided; the wait for a lost holder counts from here.
	IssuedAt clock.Instant
}

// IsExpired reports whether an order was decided so long ago that it must not be sent any more.
//
// A process that stands still between decision and sending would otherwise
// grant keys for which another one no longer waits.
func (o Command) IsExpired(now clock.Instant) bool {
	return !o.Release && now.Sub(o.IssuedAt) > GrantTimeout
}

// Outcome is what became of an order.
type Outcome int

// The outcomes of orders.
const (
	// Done means that the backend server has carried the order out.
	Done Outcome = iota
	// Refused means that the backend server has seen a higher fence.
	Refused
	// Unanswered means that the order may be carried out now or later.
	Unanswered
)

// run identifies a range of a table by its fence and first key, which a split keeps apart.
type run struct {
	service id.Service
	from    fleet.Key
	to      fleet.Key
	fence   fleet.Fence
}

// state is what the granter knows of a range.
type state struct {
	granted bool
	// abandoned says that the keys are free but their new owner doesn't take them, so that the plan may give them to another one.
	abandoned bool
	// grantedAt is when the owner took the keys first.
	grantedAt clock.Instant
	refused   bool
	busy      bool
	// due is when the next order for the range may be sent.
	due clock.Instant
	// exposed is when the former owner can't hold the keys any more.
	exposed  clock.Instant
	released bool
	handover string
}

// holder is a backend server that may hold keys of a service.
//
// It has no fence: a range gets a new one when it is joined with its
// neighbour or refused, while its owner still holds the keys under the old one.
type holder struct {
	service id.Service
	life    fleet.Incarnation
}

// Granter carries tables out; it is not safe for concurrent use.
type Granter struct {
	// began is when this VM became the leader; grants of leaders before it were sent until shortly after.
	began  clock.Instant
	ranges map[run]*state
	// sent is when a backend server was last sent a grant.
	sent map[holder]clock.Instant
}

// NewGranter returns the granter of a leader that begins now.
func NewGranter(now clock.Instant) *Granter {
	return &Granter{began: now, ranges: map[run]*state{}, sent: map[holder]clock.Instant{}}
}

// Liveness tells what is known of a backend server.
type Liveness struct {
	// IsDead reports whether a life is over, so that it holds nothing.
	IsDead func(l fleet.Incarnation) bool
	// IsSuspended reports whether a life must not be granted keys at the moment.
	IsSuspended func(l fleet.Incarnation) bool
	// IsLost reports whether a life has left so many orders unanswered that it is to lose its keys.
	IsLost func(l fleet.Incarnation) bool
	// Isolated says that this VM hears too few others to know that no former leader still renews grants.
	Isolated bool
}

// Due returns the orders to be sent now for a table.
func (g *Granter) Due(now clock.Instant, t *fleet.Table, lives Liveness) (orders []Command) {
	known := map[run]bool{}
	for _, r := range t.Ranges {
		key := run{t.Service, r.From, r.To, r.Fence}
		known[key] = true
		s := g.state(now, key, r)
		if s.busy || now < s.due || s.refused {
			continue
		}
		if o, ok := g.next(now, t.Service, r, s, lives); ok {
			s.busy = true
			orders = append(orders, o)
		}
	}
	for key := range g.ranges {
		if key.service == t.Service && !known[key] {
			delete(g.ranges, key)
		}
	}
	return orders
}

// state returns what is known of a range; a part of a range that was split is due at once.
func (g *Granter) state(now clock.Instant, key run, r fleet.Range) *state {
	if s, ok := g.ranges[key]; ok {
		if !r.Moving() {
			s.granted = true
		}
		return s
	}
	s := &state{due: now, granted: !r.Moving()}
	if r.Moving() {
		last := max(g.began.Add(successionSlack), g.sent[holder{key.service, *r.PreviousOwner}])
		s.exposed = last.Add(exposure)
	}
	g.ranges[key] = s
	return s
}

func (g *Granter) next(now clock.Instant, service id.Service, r fleet.Range, s *state, lives Liveness) (o Command, ok bool) {
	o = Command{Service: service, Incarnation: r.Owner, From: r.From, To: r.To, Fence: r.Fence, Handover: s.handover, IssuedAt: now}
	switch {
	case s.granted:
		if lives.IsSuspended(r.Owner) || lives.IsDead(r.Owner) {
			return o, false
		}
	case s.released || now > s.exposed && !lives.Isolated || lives.IsDead(*r.PreviousOwner):
		unable := lives.IsDead(r.Owner) || lives.IsSuspended(r.Owner)
		s.abandoned = unable || lives.IsLost(r.Owner)
		if unable {
			return o, false
		}
	default:
		o.Incarnation, o.Release, o.Handover = *r.PreviousOwner, true, ""
		return o, true
	}
	h := holder{service, r.Owner}
	g.sent[h] = max(g.sent[h], now)
	return o, true
}

// Report takes what became of an order.
func (g *Granter) Report(now clock.Instant, o Command, outcome Outcome, handover string) {
	s, ok := g.ranges[run{o.Service, o.From, o.To, o.Fence}]
	if !ok {
		return
	}
	s.busy = false
	switch {
	case outcome == Unanswered:
		s.due = now.Add(retryPause)
	case outcome == Refused:
		s.refused = true
	case o.Release:
		s.released, s.handover, s.due = true, handover, now
	default:
		if !s.granted {
			s.grantedAt = now
		}
		// A handover is used once: a renewal is the same grant without it.
		s.granted, s.handover, s.due = true, "", now.Add(renewPeriod)
	}
}

// IsGranted reports whether the owner of a moving range has taken it.
func (g *Granter) IsGranted(service id.Service, r fleet.Range) bool {
	s, ok := g.ranges[run{service, r.From, r.To, r.Fence}]
	return ok && s.granted
}

// IsSettled reports whether a moving range needs no orders any more: its owner has taken it, or is given up.
func (g *Granter) IsSettled(service id.Service, r fleet.Range) bool {
	s, ok := g.ranges[run{service, r.From, r.To, r.Fence}]
	return ok && (s.granted || s.abandoned)
}

// IsGrantedSince reports whether the owner of a moving range has taken it at or after a time.
func (g *Granter) IsGrantedSince(service id.Service, r fleet.Range, since clock.Instant) bool {
	s, ok := g.ranges[run{service, r.From, r.To, r.Fence}]
	return ok && s.granted && s.grantedAt >= since
}

// refused returns the fences of ranges whose owner has seen a higher one.
func (g *Granter) refused(service id.Service) (out []fleet.Fence) {
	for key, s := range g.ranges {
		if key.service == service && s.refused {
			out = append(out, key.fence)
		}
	}
	return out
}
