package ownership

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// Durations of grants and of the calls that carry them.
const (
	// GrantTTL is how long a grant is valid from its arrival; it is longer than the failover to a new leader.
	GrantTTL = 2500 * time.Millisecond
	// minRenewPeriod is the time between two renewals of a grant if there are few ranges. It allows several renewals to be lost within
	// GrantTTL.
	minRenewPeriod = 500 * time.Millisecond
	// maxRenewPeriod still allows for three more attempts within GrantTTL after a lost renewal.
	maxRenewPeriod = time.Second
	// maxRenewalRate is the number of renewals per second from which the period grows with the number of ranges.
	maxRenewalRate = 700
	// GrantTimeout bounds a grant call.
	GrantTimeout = 250 * time.Millisecond
	// ReleaseTimeout bounds a release call, which is answered once the requests in flight have ended.
	ReleaseTimeout = 2500 * time.Millisecond
	// clockDriftPercent is how much slower than this VM's clock a backend server's clock may run.
	clockDriftPercent = 2
	// deliverySlack covers the time from the issue of a grant to its arrival. The VM that writes it begins within GrantTimeout,
	// which it checks by its own clock right before the write, also for another VM. After that a VM that runs resets the
	// connection when the call is given up; the kernel of one that was killed or stands still sends the bytes again until
	// TCP_USER_TIMEOUT, 200 ms, has passed since the first time that it did, which is at most twice.
	//
	// Not covered: a write late in GrantTimeout whose VM then stands still while segments are lost, a VM that stands still
	// between the check and the write, and a suspended machine with unacknowledged bytes, whose kernel doesn't count that time.
	deliverySlack = 500 * time.Millisecond
	// failoverSlack covers the time that a former leader needs to notice that it was replaced. It keeps leading as long
	// as most VMs have reported to it within 700 ms that they can't reach the store; VMs that receive the heartbeats of
	// the new leader, one each 150 ms, stop reporting to the former one.
	failoverSlack = 1500 * time.Millisecond
	// retryDelay is the time between two attempts of a command that failed.
	retryDelay = 100 * time.Millisecond
)

// maxHoldTime is the longest time for which a backend server may hold keys after a grant was issued, if it arrives within deliverySlack.
const maxHoldTime = GrantTTL*(100+clockDriftPercent)/100 + deliverySlack

// FormerGrantTime is the time after the election of a leader from which no backend server holds keys that a former leader has granted.
const FormerGrantTime = failoverSlack + maxHoldTime

// Command is a grant or release call to a backend server.
type Command struct {
	Service     id.Service
	Incarnation fleet.Incarnation
	From        fleet.Key
	To          fleet.Key
	Fence       fleet.Fence
	// Release says that the keys are to be released rather than granted.
	Release  bool
	Handover string
	// Former is the previous owner of keys that move, and Vacancy why it holds them no more.
	Former  fleet.Incarnation
	Vacancy Vacancy
	// FormerGrantAt is when this leader last issued a grant to the previous owner; 0 means that it issued none.
	FormerGrantAt clock.Instant
	// IssuedAt is when the command was issued; the wait for an unreachable holder is measured from here.
	IssuedAt clock.Instant
}

// Vacancy is why the previous owner of moving keys holds them no more.
type Vacancy string

// Reasons for which a previous owner holds no keys.
const (
	// Released means that it has answered a release.
	Released Vacancy = "released"
	// Expired means that its last grant has run out.
	Expired Vacancy = "expired"
	// Ended means that its incarnation has ended.
	Ended Vacancy = "ended"
)

// IsExpired reports whether a grant was issued so long ago that it must not be sent any more.
//
// A process that is paused between issuing and sending a grant could otherwise
// grant keys for which the next leader has already waited out the hold time.
func (c Command) IsExpired(now clock.Instant) bool {
	return !c.Release && now.Sub(c.IssuedAt) > GrantTimeout
}

// Outcome is the result of a command.
type Outcome int

// Outcomes of commands.
const (
	// Done means that the backend server has carried out the command.
	Done Outcome = iota
	// Refused means that the backend server has seen a higher fence for the keys.
	Refused
	// Unanswered means that the command failed or timed out; the backend server may still carry it out later.
	Unanswered
)

// rangeKey identifies a range of a table; the parts of a split range share its fence but differ in their keys.
type rangeKey struct {
	service id.Service
	from    fleet.Key
	to      fleet.Key
	fence   fleet.Fence
}

// rangeState is the granter's state of a range.
type rangeState struct {
	granted bool
	// abandoned says that the previous owner no longer holds the keys but the new one can't be granted them or does not
	// answer, so that the next plan may assign them to another owner.
	abandoned bool
	// grantedAt is when the owner first confirmed a grant of the keys.
	grantedAt clock.Instant
	refused   bool
	inFlight  bool
	// nextCommandAt is when the next command for the range may be sent.
	nextCommandAt clock.Instant
	// holdExpiry is when the last grant of the previous owner has expired for certain.
	holdExpiry clock.Instant
	released   bool
	handover   string
}

// holder is a backend server that may hold keys of a service.
//
// It has no fence: a range gets a new one when it is merged with its neighbour
// or refused, while its owner still holds the keys under the old one.
type holder struct {
	service     id.Service
	incarnation fleet.Incarnation
}

// Granter turns tables into commands to backend servers; it is not safe for concurrent use.
type Granter struct {
	// electedAt is when this VM became the leader; former leaders may have sent grants until shortly after.
	electedAt clock.Instant
	ranges    map[rangeKey]*rangeState
	// lastGrantAt is when a grant was last sent to a backend server.
	lastGrantAt map[holder]clock.Instant
}

// NewGranter returns the granter of a leader that is elected now.
func NewGranter(now clock.Instant) *Granter {
	return &Granter{electedAt: now, ranges: map[rangeKey]*rangeState{}, lastGrantAt: map[holder]clock.Instant{}}
}

// Liveness holds what the leader knows about the incarnations of backend servers.
type Liveness struct {
	// IsDead reports whether an incarnation has ended, so that it holds no keys.
	IsDead func(i fleet.Incarnation) bool
	// IsSuspended reports whether an incarnation must not be granted keys at the moment.
	IsSuspended func(i fleet.Incarnation) bool
	// IsLost reports whether an incarnation has left so many commands unanswered that its keys are reassigned.
	IsLost func(i fleet.Incarnation) bool
	// IsLeaving reports whether an incarnation has announced that it leaves, so that it gets no further keys; nil means that none has.
	IsLeaving func(i fleet.Incarnation) bool
	// Isolated says that this VM reaches too few others to know that no former leader still renews grants.
	Isolated bool
}

// Due returns the commands to be sent now for a table.
func (g *Granter) Due(now clock.Instant, t *fleet.Table, liveness Liveness) (commands []Command) {
	known := map[rangeKey]bool{}
	for _, r := range t.Ranges {
		key := rangeKey{t.Service, r.From, r.To, r.Fence}
		known[key] = true
		s := g.rangeState(now, key, r)
		if s.inFlight || now < s.nextCommandAt || s.refused {
			continue
		}
		if c, ok := g.nextCommand(now, t.Service, r, s, liveness); ok {
			s.inFlight = true
			commands = append(commands, c)
		}
	}
	for key := range g.ranges {
		if key.service == t.Service && !known[key] {
			delete(g.ranges, key)
		}
	}
	return commands
}

// rangeState returns the state of a range; the next command for a part of a split range is due at once.
func (g *Granter) rangeState(now clock.Instant, key rangeKey, r fleet.Range) *rangeState {
	if s, ok := g.ranges[key]; ok {
		if !r.Moving() {
			s.granted = true
		}
		return s
	}
	s := &rangeState{nextCommandAt: now, granted: !r.Moving()}
	if r.Moving() {
		last := max(g.electedAt.Add(failoverSlack), g.lastGrantAt[holder{key.service, *r.PreviousOwner}])
		s.holdExpiry = last.Add(maxHoldTime)
	}
	g.ranges[key] = s
	return s
}

// nextCommand returns the command that a range needs now; ok is false if it needs none.
//
// Granted keys are granted again, to renew the grant. Moving keys are released by
// their previous owner, and granted to the new one once the previous owner has
// released them, has ended, or can't hold them any more.
func (g *Granter) nextCommand(now clock.Instant, service id.Service, r fleet.Range, s *rangeState, liveness Liveness) (c Command, ok bool) {
	c = Command{Service: service, Incarnation: r.Owner, From: r.From, To: r.To, Fence: r.Fence, Handover: s.handover, IssuedAt: now}
	vacancy := Vacancy("")
	if !s.granted {
		vacancy = s.vacancy(now, *r.PreviousOwner, liveness)
	}
	switch {
	case s.granted:
		if liveness.IsSuspended(r.Owner) || liveness.IsDead(r.Owner) {
			return c, false
		}
	case vacancy != "":
		c.Former, c.Vacancy, c.FormerGrantAt = *r.PreviousOwner, vacancy, g.lastGrantAt[holder{service, *r.PreviousOwner}]
		unavailable := liveness.IsDead(r.Owner) || liveness.IsSuspended(r.Owner) || liveness.IsLeaving != nil && liveness.IsLeaving(r.Owner)
		s.abandoned = unavailable || liveness.IsLost(r.Owner)
		if unavailable {
			return c, false
		}
	default:
		c.Incarnation, c.Release, c.Handover = *r.PreviousOwner, true, ""
		return c, true
	}
	h := holder{service, r.Owner}
	g.lastGrantAt[h] = max(g.lastGrantAt[h], now)
	return c, true
}

// vacancy returns why the previous owner of moving keys holds them no more; it is empty while the previous owner may hold them.
func (s *rangeState) vacancy(now clock.Instant, former fleet.Incarnation, liveness Liveness) Vacancy {
	switch {
	case s.released:
		return Released
	case now > s.holdExpiry && !liveness.Isolated:
		return Expired
	case liveness.IsDead(former):
		return Ended
	default:
		return ""
	}
}

// Report records the outcome of a command.
func (g *Granter) Report(now clock.Instant, c Command, outcome Outcome, handover string) {
	s, ok := g.ranges[rangeKey{c.Service, c.From, c.To, c.Fence}]
	if !ok {
		return
	}
	s.inFlight = false
	switch {
	case outcome == Unanswered:
		s.nextCommandAt = now.Add(retryDelay)
	case outcome == Refused:
		s.refused = true
	case c.Release:
		s.released, s.handover, s.nextCommandAt = true, handover, now
	default:
		if !s.granted {
			s.grantedAt = now
		}
		// A handover is sent once; a renewal is the same grant without it.
		s.granted, s.handover, s.nextCommandAt = true, "", now.Add(RenewPeriod(len(g.ranges)))
	}
}

// RenewPeriod returns the time between two renewals of a grant if there are so many ranges.
//
// It answers the load on the leader of a large fleet: each range is renewed by a
// call of its own, so the calls would take all of its processor time after some
// hundred ranges were split off for hot keys.
func RenewPeriod(ranges int) time.Duration {
	return min(max(minRenewPeriod, time.Duration(ranges)*time.Second/maxRenewalRate), maxRenewPeriod)
}

// IsGranted reports whether the owner of a moving range has confirmed its grant.
func (g *Granter) IsGranted(service id.Service, r fleet.Range) bool {
	s, ok := g.ranges[rangeKey{service, r.From, r.To, r.Fence}]
	return ok && s.granted
}

// IsSettled reports whether the move of a range has ended: its owner has confirmed the grant, or the move is abandoned.
func (g *Granter) IsSettled(service id.Service, r fleet.Range) bool {
	s, ok := g.ranges[rangeKey{service, r.From, r.To, r.Fence}]
	return ok && (s.granted || s.abandoned)
}

// IsGrantedSince reports whether the owner of a moving range first confirmed its grant at or after a time.
func (g *Granter) IsGrantedSince(service id.Service, r fleet.Range, since clock.Instant) bool {
	s, ok := g.ranges[rangeKey{service, r.From, r.To, r.Fence}]
	return ok && s.granted && s.grantedAt >= since
}

// refusedFences returns the fences of ranges that their owner refused because it has seen a higher one.
func (g *Granter) refusedFences(service id.Service) (out []fleet.Fence) {
	for key, s := range g.ranges {
		if key.service == service && s.refused {
			out = append(out, key.fence)
		}
	}
	return out
}
