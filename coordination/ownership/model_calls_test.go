package ownership_test

import (
	"time"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/clock"
)

// maxTransit is the latest arrival of a grant after it was issued: what its sender's deadline and a pause after it allow.
const maxTransit = 600 * time.Millisecond

// callFate is what happens to a call on its way.
type callFate struct {
	// transit is the time to the server, and back that of the answer.
	transit, back time.Duration
	// work is the time until the requests in flight of a release have ended.
	work time.Duration
	// late is the time from the arrival of a grant until it is carried out; a late one gets no answer.
	late time.Duration
	// lost says that the answer is lost, and giveUp when the leader gives the call up.
	lost   bool
	giveUp time.Duration
}

func drawFate(s *siteModel, release bool) (f callFate) {
	f = callFate{transit: s.drawTime(time.Millisecond, 15*time.Millisecond), back: s.drawTime(time.Millisecond, 15*time.Millisecond), giveUp: ownership.GrantTimeout}
	if release {
		f.giveUp = ownership.ReleaseTimeout
		f.work = s.drawTime(0, 50*time.Millisecond)
	}
	if s.chance(s.faults.lostAnswers) {
		f.lost = true
	}
	if !release && s.chance(s.faults.lateGrants) {
		f.late = s.drawTime(time.Second, 12*time.Second)
	}
	if s.chance(s.faults.heldUpCalls) {
		f.holdUp(s, release)
	}
	return f
}

// holdUp delays a call, its answer or both, or lets the connection break before the answer.
func (f *callFate) holdUp(s *siteModel, release bool) {
	switch s.random.IntN(3) {
	case 0:
		f.transit = s.drawTime(0, maxTransit)
	case 1:
		f.transit, f.back = s.drawTime(0, ownership.GrantTimeout), s.drawTime(0, ownership.GrantTimeout)
	default:
		f.transit, f.giveUp = s.drawTime(0, maxTransit), s.drawTime(0, f.giveUp)
	}
	if release {
		f.work = s.drawTime(0, ownership.ReleaseTimeout)
	}
}

// modelConnection is a connection of a leader to a process.
type modelConnection struct {
	process  *modelProcess
	openedAt clock.Instant
	// used says that it has carried a call. Fencing grants need one that hasn't.
	used bool
}

// modelCall is a call on its way.
type modelCall struct {
	ownership.Command
	site       *siteModel
	leader     *modelLeader
	connection *modelConnection
	fate       callFate
	// writtenAt is when the write returns.
	writtenAt clock.Instant
	reported  bool
}

func (s *siteModel) send(l *modelLeader, cmd ownership.Command) {
	c := &modelCall{Command: cmd, site: s, leader: l}
	if l.answersItself(cmd) {
		c.report(ownership.Done, false)
		return
	}
	if l.entries[cmd.Incarnation.Server] != cmd.Incarnation.Born {
		// The leader has no address for another incarnation than the registered one.
		c.report(outcomeUnsent, false)
		return
	}
	c.fate = drawFate(s, cmd.Release)
	s.note("%s sends %s", l.name(), describe(cmd))
	s.after(c.fate.giveUp, func() { c.report(ownership.Unanswered, false) })
	server := s.server(cmd.Incarnation.Server)
	if known := l.connections[cmd.Incarnation.Server]; known != nil && known.process == server.process && !cmd.Release && (!cmd.Fencing || !known.used) {
		c.connection = known
		c.write(c.fate.transit)
		return
	}
	dialed := s.drawTime(0, c.fate.transit)
	s.after(dialed, func() { c.dial(server, c.fate.transit-dialed) })
}

// dial opens a connection to the process that runs under the id, which may be another than the one that is meant, and writes the call if that
// is allowed on it.
func (c *modelCall) dial(server *modelServer, transit time.Duration) {
	s := c.site
	switch {
	case server.cut:
		return
	case server.process == nil:
		c.report(ownership.Unanswered, true)
		return
	}
	c.connection = &modelConnection{process: server.process, openedAt: s.now}
	c.leader.connections[server.id] = c.connection
	c.write(transit)
}

// write writes the call, unless a grant isn't allowed on its connection.
func (c *modelCall) write(transit time.Duration) {
	s := c.site
	if !c.Release && !s.flaw.usesAnyConnection && c.connection.openedAt > c.leader.confirmedAt() {
		s.note("%s doesn't write %s: its leadership isn't confirmed", c.leader.name(), describe(c.Command))
		c.report(ownership.Undelivered, false)
		return
	}
	c.connection.used = true
	c.writtenAt = s.now
	if s.now < c.leader.pausedUntil {
		c.writtenAt = c.leader.pausedUntil.Add(s.drawTime(0, maxWriteDelay))
	}
	s.after(c.writtenAt.Sub(s.now)+transit, c.arrive)
}

// arrive hands the call to the process of its connection.
func (c *modelCall) arrive() {
	s := c.site
	server := s.server(c.Incarnation.Server)
	process := c.connection.process
	switch {
	case server.cut:
	case process != server.process:
		c.report(ownership.Unanswered, false)
	case c.Release:
		finishedAt := s.now.Add(c.fate.work)
		process.release(c.Command, finishedAt)
		s.after(c.fate.work, func() { c.answer(server, process, ownership.Done) })
	case c.fate.late > 0:
		arrivedAt := s.now
		s.after(c.fate.late, func() { s.applyGrant(server, process, c.Command, arrivedAt) })
	default:
		c.answer(server, process, s.applyGrant(server, process, c.Command, s.now))
	}
}

// answer sends the answer back, if the process still runs.
func (c *modelCall) answer(server *modelServer, process *modelProcess, outcome ownership.Outcome) {
	if c.fate.lost || server.process != process || server.cut {
		return
	}
	c.site.after(c.fate.back, func() { c.report(outcome, false) })
}

func (c *modelCall) report(outcome ownership.Outcome, connectionRefused bool) {
	if c.reported {
		return
	}
	if readAt := max(c.leader.pausedUntil, c.writtenAt); c.site.now < readAt {
		c.site.after(readAt.Sub(c.site.now), func() { c.report(outcome, connectionRefused) })
		return
	}
	c.reported = true
	if !c.site.flaw.countsFromIssue {
		c.WriteReturnedAt = c.writtenAt
	}
	c.leader.recordOutcome(c.Command, outcome, connectionRefused)
}

// applyGrant lets a process carry out a grant and checks that no other one holds its keys or had them with a higher fence.
func (s *siteModel) applyGrant(server *modelServer, process *modelProcess, cmd ownership.Command, arrivedAt clock.Instant) ownership.Outcome {
	if server.process != process {
		return ownership.Unanswered
	}
	outcome := process.grant(cmd, arrivedAt)
	span := spanOf(cmd)
	hold, holds := process.holding(s.now, span)
	s.note("%s born %d carries out %s, arrived %v ago: %v, until %v", server.id, process.incarnation.Born, describe(cmd), s.now.Sub(arrivedAt), outcome == ownership.Done, hold.until.Sub(modelStart))
	if outcome != ownership.Done || !holds {
		return outcome
	}
	s.checkHolders(server, span)
	s.checkFences(server, span)
	server.had = addSpan(server.had, span)
	return outcome
}
