package ownership

import (
	"maps"
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
	// WriteTimeout bounds the time from the issue of a grant until it is written.
	WriteTimeout = 150 * time.Millisecond
	// GrantTimeout bounds a grant call.
	GrantTimeout = 250 * time.Millisecond
	// ReleaseTimeout bounds a release call, which is answered once the requests in flight have ended.
	ReleaseTimeout = 2500 * time.Millisecond
	// clockDriftPercent is how much slower than this VM's clock a backend server's clock may run.
	clockDriftPercent = 2
	// deliverySlack covers the time from the issue of a grant to its arrival. The VM that writes it begins within WriteTimeout, which it checks
	// by its own clock right before the write, also for another VM. After that a VM that runs resets the connection when the call is given up;
	// the kernel of one that was killed or stands still sends the bytes again until TCP_USER_TIMEOUT, 200 ms, has passed since the first time
	// that it did, which is at most twice.
	//
	// If the write returns later than that, the hold counts from its return (Command.WriteReturnedAt).
	//
	// Not covered: a former leader, or a VM that makes the call for another one and is lost, that stands still between the check and the write;
	// and a suspended machine with unacknowledged bytes, whose kernel doesn't count that time.
	deliverySlack = 600 * time.Millisecond
	// retryDelay is the time between two attempts of a command that failed.
	retryDelay = 100 * time.Millisecond
)

// MaxHoldTime is the longest time for which a backend server may hold keys after a grant was issued, if it arrives within deliverySlack.
const MaxHoldTime = GrantTTL*(100+clockDriftPercent)/100 + deliverySlack

// Command is a grant or release call to a backend server.
type Command struct {
	Service     id.Service
	Incarnation fleet.Incarnation
	From        fleet.Key
	To          fleet.Key
	Fence       fleet.Fence
	// Release says that the keys are to be released rather than granted.
	Release bool
	// Fencing says that the previous owner of moving keys is granted them under a higher fence, so that it refuses all earlier grants.
	Fencing  bool
	Handover string
	// Former is the previous owner of keys that move, and Vacancy why it holds them no more.
	Former  fleet.Incarnation
	Vacancy Vacancy
	// FormerGrantAt is when this leader last issued a grant to the previous owner; 0 means that it issued none.
	FormerGrantAt clock.Instant
	// IssuedAt is when the command was issued; the wait for an unreachable holder is measured from here.
	IssuedAt clock.Instant
	// WriteReturnedAt is a time at which the write of the command had returned; 0 if none is known.
	WriteReturnedAt clock.Instant
	// key identifies the range that the command is for; its fence differs from that of a call to the previous owner.
	key rangeKey
	// inDoubt says that the previous owner may still have taken an earlier grant when the command was issued.
	inDoubt bool
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

// LatestWrite returns until when a command may be written; 0 means at any time.
func (c Command) LatestWrite() clock.Instant {
	if c.Release {
		return 0
	}
	return c.IssuedAt.Add(WriteTimeout)
}

// IsExpired reports whether a grant was issued so long ago that it must not be sent any more.
//
// A process that is paused between issuing and sending a grant could otherwise
// grant keys for which the next leader has already waited out the hold time.
func (c Command) IsExpired(now clock.Instant) bool {
	return !c.Release && now > c.LatestWrite()
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
	// Undelivered means that the command failed and the backend server certainly doesn't carry it out.
	Undelivered
)

// IsAnswered reports whether the backend server has answered the command as its owner or previous owner.
func (o Outcome) IsAnswered() bool { return o == Done || o == Refused }

// rangeKey identifies a range of a table; the parts of a split range share its fence but differ in their keys.
type rangeKey struct {
	service id.Service
	from    fleet.Key
	to      fleet.Key
	fence   fleet.Fence
}

// overlaps reports whether two ranges have a key in common.
func (k rangeKey) overlaps(other rangeKey) bool {
	return k.service == other.service && k.from <= other.to && other.from <= k.to
}

// rangeState is the granter's state of a range.
type rangeState struct {
	granted bool
	// abandoned says that the previous owner no longer holds the keys but the new one can't be granted them or does not
	// answer, so that the next plan may assign them to another owner.
	abandoned bool
	// grantedAt is when the owner first confirmed a grant of the keys.
	grantedAt clock.Instant
	// refusedAt is when a backend server refused a grant, having seen a higher fence; 0 if none was refused.
	refusedAt clock.Instant
	inFlight  bool
	// nextCommandAt is when the next command for the range may be sent.
	nextCommandAt clock.Instant
	// inherited says that a former leader planned the move, so that the new owner may hold the keys already.
	inherited bool
	// fencings counts the fencing grants without answer; fenced says that the previous owner took the latest one.
	fencings int
	fenced   bool
	// released says that the previous owner has answered a release, and outdated that it may take an earlier grant after it.
	released, outdated bool
	// heldFrom is when the latest grant of the keys to the previous owner was issued that it may have taken.
	heldFrom clock.Instant
	// vacancy is why the previous owner holds the keys no more, once that is certain; from then on the new owner may hold them.
	vacancy  Vacancy
	handover string
}

// Granter turns tables into commands to backend servers; it is not safe for concurrent use.
type Granter struct {
	// formerUntil is the time until which former leaders may have issued grants.
	formerUntil clock.Instant
	ranges      map[rangeKey]*rangeState
	holders     map[holder]*grants
	// planned holds the moves that this leader has planned.
	planned map[rangeKey]bool
	// refusals holds when a grant of a range was last refused. They outlast the range, since its keys may get another one.
	refusals map[rangeKey]clock.Instant
}

// NewGranter returns the granter of a leader that is elected now.
func NewGranter(now clock.Instant) *Granter {
	return &Granter{formerUntil: now, ranges: map[rangeKey]*rangeState{}, holders: map[holder]*grants{}, planned: map[rangeKey]bool{}, refusals: map[rangeKey]clock.Instant{}}
}

// Liveness holds what the leader knows about the incarnations of backend servers, and about former leaders.
type Liveness struct {
	// IsDead reports whether an incarnation has ended.
	IsDead func(i fleet.Incarnation) bool
	// Successor returns the incarnation that has started under the id of an ended one; ok is false if there is none. It may have taken
	// grants that were meant for the ended one. Nil means that there are none.
	Successor func(i fleet.Incarnation) (next fleet.Incarnation, ok bool)
	// IsSuspended reports whether an incarnation must not be granted keys at the moment.
	IsSuspended func(i fleet.Incarnation) bool
	// IsLost reports whether an incarnation has left so many commands unanswered that its keys are reassigned.
	IsLost func(i fleet.Incarnation) bool
	// IsLeaving reports whether an incarnation has announced that it leaves, so that it gets no further keys; nil means that none has.
	IsLeaving func(i fleet.Incarnation) bool
	// IsMoved reports whether a former leader has announced that the new owner took the keys of a move; nil means that none was announced.
	IsMoved func(service id.Service, fence fleet.Fence) bool
	// FormerUntil is until when former leaders may issue grants; 0 means until the election.
	FormerUntil clock.Instant
	// Isolated says that this VM reaches too few others to know until when former leaders may issue grants.
	Isolated bool
}

// successor returns the incarnation that has started under the id of an ended one.
func (l Liveness) successor(i fleet.Incarnation) (next fleet.Incarnation, ok bool) {
	if l.Successor == nil {
		return next, false
	}
	return l.Successor(i)
}

// canTakeKeys reports whether an incarnation may be granted keys that it doesn't hold.
func (l Liveness) canTakeKeys(i fleet.Incarnation) bool {
	return !l.IsDead(i) && !l.IsSuspended(i) && (l.IsLeaving == nil || !l.IsLeaving(i))
}

// Due returns the commands to be sent now for a table.
func (g *Granter) Due(now clock.Instant, t *fleet.Table, liveness Liveness) (commands []Command) {
	g.formerUntil = max(g.formerUntil, liveness.FormerUntil)
	known := map[rangeKey]bool{}
	for _, r := range t.Ranges {
		key := rangeKey{t.Service, r.From, r.To, r.Fence}
		known[key] = true
		s := g.rangeState(now, key, r, liveness)
		if s.inFlight || now < s.nextCommandAt || s.refusedAt > 0 {
			continue
		}
		if c, ok := g.nextCommand(now, key, r, s, liveness); ok {
			s.inFlight = true
			commands = append(commands, c)
		}
	}
	g.forget(now, t, known)
	return commands
}

// forget removes the state of ranges that the table no longer has, and of holders and refusals whose time is over.
func (g *Granter) forget(now clock.Instant, t *fleet.Table, known map[rangeKey]bool) {
	isGone := func(key rangeKey) bool { return key.service == t.Service && key.fence <= t.Fence && !known[key] }
	maps.DeleteFunc(g.ranges, func(key rangeKey, _ *rangeState) bool { return isGone(key) })
	maps.DeleteFunc(g.planned, func(key rangeKey, _ bool) bool { return isGone(key) })
	maps.DeleteFunc(g.holders, func(_ holder, sent *grants) bool { return sent.expire(now) })
	maps.DeleteFunc(g.refusals, func(_ rangeKey, at clock.Instant) bool { return now > at.Add(MaxHoldTime) })
}

// refusedUntil returns until when another backend server may hold keys of a range under a fence that this leader doesn't know; 0 if no grant
// of them was refused.
func (g *Granter) refusedUntil(key rangeKey) (until clock.Instant) {
	for refused, at := range g.refusals {
		if refused.overlaps(key) {
			until = max(until, at.Add(MaxHoldTime+1))
		}
	}
	return until
}

// rangeState returns the state of a range; the next command for a part of a split range is due at once, unless a grant of its keys was refused.
func (g *Granter) rangeState(now clock.Instant, key rangeKey, r fleet.Range, liveness Liveness) *rangeState {
	s, ok := g.ranges[key]
	if !ok {
		s = &rangeState{nextCommandAt: max(now, g.refusedUntil(key)), inherited: !g.planned[key]}
		if r.Moving() {
			s.heldFrom = g.holders[holder{key.service, r.PreviousOwner.Server}].latest()
		}
		s.granted = s.inherited && liveness.IsMoved != nil && liveness.IsMoved(key.service, key.fence)
		g.ranges[key] = s
	}
	s.granted = s.granted || !r.Moving()
	return s
}

// nextCommand returns the command that a range needs now; ok is false if it needs none.
//
// Granted keys are granted again, to renew the grant. Moving keys are granted to
// the new owner once the previous one holds them no more.
func (g *Granter) nextCommand(now clock.Instant, key rangeKey, r fleet.Range, s *rangeState, liveness Liveness) (c Command, ok bool) {
	c = Command{Service: key.service, Incarnation: r.Owner, From: r.From, To: r.To, Fence: r.Fence, Handover: s.handover, IssuedAt: now, key: key}
	if s.granted {
		ok = !liveness.IsSuspended(r.Owner) && !liveness.IsDead(r.Owner)
		return g.issue(c, ok), ok
	}
	if s.vacancy == "" {
		s.vacancy = g.vacancy(now, key, *r.PreviousOwner, s, liveness)
	}
	if s.vacancy == "" {
		return g.vacate(now, c, r, s, liveness)
	}
	c.Vacancy, c.Former, c.FormerGrantAt = s.vacancy, *r.PreviousOwner, s.heldFrom
	ok = liveness.canTakeKeys(r.Owner)
	s.abandoned = !ok || liveness.IsLost(r.Owner)
	return g.issue(c, ok), ok
}

// issue records a grant if it is sent.
func (g *Granter) issue(c Command, isSent bool) Command {
	if isSent {
		h := holder{c.Service, c.Incarnation.Server}
		if g.holders[h] == nil {
			g.holders[h] = &grants{open: map[grantID]*openGrant{}}
		}
		g.holders[h].open[c.id()] = &openGrant{inFlight: true, heldFrom: c.IssuedAt}
	}
	return c
}

// vacancy returns why the previous owner of moving keys holds them no more; it is empty while the previous owner may hold them.
func (g *Granter) vacancy(now clock.Instant, key rangeKey, former fleet.Incarnation, s *rangeState, liveness Liveness) Vacancy {
	_, hasSuccessor := liveness.successor(former)
	switch {
	case s.released && !s.outdated:
		return Released
	case now > max(g.formerUntil, s.heldFrom).Add(MaxHoldTime) && !liveness.Isolated && !g.holders[holder{key.service, former.Server}].isInFlight(key):
		return Expired
	case liveness.IsDead(former) && !hasSuccessor:
		return Ended
	default:
		return ""
	}
}

// isInDoubt reports whether the previous owner may still take a grant that was issued before the move, by this leader or a former one.
func (g *Granter) isInDoubt(now clock.Instant, key rangeKey, s *rangeState, server id.Server, liveness Liveness) bool {
	if s.fenced {
		return false
	}
	return liveness.Isolated || now <= g.formerUntil.Add(MaxHoldTime) || g.holders[holder{key.service, server}].isInDoubt(key)
}

// vacate returns the command after which the previous owner of moving keys holds them no more; ok is false if that takes time only.
//
// A release ends what the previous owner holds, but not what it may still take:
// grants that it hasn't answered, or those of a former leader. In such a case it
// is granted the keys again, after the release was answered, under a fence that
// is above all of these, so that it refuses them; then they are released again.
// This must not be done for a move of a former leader, which may have granted the
// keys to the new owner already. It must not be done either before most VMs follow
// this leader: until then a former one may open a connection on which it may write
// (leader.Elector.ConfirmedAt), so that a process that has started since, and
// doesn't know the higher fence, would take a grant of it.
func (g *Granter) vacate(now clock.Instant, c Command, r fleet.Range, s *rangeState, liveness Liveness) (command Command, ok bool) {
	c.Incarnation, c.Handover = *r.PreviousOwner, ""
	if next, hasSuccessor := liveness.successor(c.Incarnation); hasSuccessor {
		c.Incarnation = next
	}
	c.inDoubt = g.isInDoubt(now, c.key, s, c.Incarnation.Server, liveness)
	fence, hasFence := fencingFence(r, s)
	switch {
	case !c.inDoubt || !s.released:
		c.Release = true
		if c.inDoubt && hasFence {
			// A backend server that remembers the fence of the release would refuse the fencing grant.
			c.Fence = r.PreviousFence
		}
		return c, true
	case hasFence && !liveness.Isolated && !liveness.IsLost(c.Incarnation) && !liveness.IsSuspended(c.Incarnation):
		c.Fencing, c.Fence = true, fence
		return g.issue(c, true), true
	default:
		return c, false
	}
}

// reservedFences is the number of fences below that of a move that are reserved for fencing grants to the previous owner. Each of them is used
// for one call, since a call without answer may be carried out after a later one with the same fence.
const reservedFences = 3

// fencingFence returns the next fence that is reserved for a move; ok is false if none is left.
func fencingFence(r fleet.Range, s *rangeState) (fence fleet.Fence, ok bool) {
	fence = r.Fence - reservedFences + fleet.Fence(s.fencings)
	return fence, !s.inherited && s.fencings < reservedFences && fence > r.PreviousFence
}

// heldFrom returns the time from which MaxHoldTime is counted: the issue of a grant, or the end of its write if that took longer than
// WriteTimeout.
func (c Command) heldFrom() clock.Instant {
	if c.WriteReturnedAt.After(c.LatestWrite()) {
		return c.WriteReturnedAt
	}
	return c.IssuedAt
}

// id identifies a grant among those of its holder.
func (c Command) id() grantID { return grantID{c.key, c.Fence, c.IssuedAt} }

// Report records the outcome of a command.
func (g *Granter) Report(now clock.Instant, c Command, outcome Outcome, handover string) {
	sent := g.holders[holder{c.Service, c.Incarnation.Server}]
	if !c.Release && sent != nil {
		sent.ended(c.id(), outcome, c.heldFrom())
		g.extendHolds(c, outcome)
	}
	s, ok := g.ranges[c.key]
	if !ok {
		return
	}
	s.inFlight = false
	if c.Fencing && (outcome == Done || outcome == Unanswered) {
		s.heldFrom = max(s.heldFrom, c.heldFrom())
	}
	switch {
	case !outcome.IsAnswered():
		s.nextCommandAt = now.Add(retryDelay)
		if c.Fencing && outcome == Unanswered {
			s.fencings++
		}
	case outcome == Refused:
		s.refusedAt, g.refusals[c.key] = now, now
	case c.Fencing:
		s.fenced, s.released, s.nextCommandAt = true, false, now
	case c.Release:
		s.released, s.outdated, s.handover, s.nextCommandAt = true, c.inDoubt, handover, now
	default:
		if !s.granted {
			s.grantedAt = now
		}
		// A handover is sent once; a renewal is the same grant without it.
		s.granted, s.handover, s.nextCommandAt = true, "", now.Add(RenewPeriod(len(g.ranges)))
	}
}

// extendHolds records for moving ranges that their previous owner may hold them by a grant whose write returned late, as of a VM that stood still.
func (g *Granter) extendHolds(c Command, outcome Outcome) {
	if outcome != Done && outcome != Unanswered || c.heldFrom() == c.IssuedAt {
		return
	}
	for key, s := range g.ranges {
		if key.overlaps(c.key) {
			s.heldFrom = max(s.heldFrom, c.heldFrom())
		}
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

// renewsFence reports whether a range needs a new fence, since a backend server has seen a higher one.
//
// This leader doesn't know of the higher fence, so another backend server may
// hold the keys under it until its grant expires.
func (g *Granter) renewsFence(now clock.Instant, service id.Service, r fleet.Range) bool {
	s, ok := g.ranges[rangeKey{service, r.From, r.To, r.Fence}]
	return ok && s.refusedAt > 0 && now > s.refusedAt.Add(MaxHoldTime)
}
