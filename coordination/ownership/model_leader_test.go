package ownership_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// outcomeUnsent is the outcome of a call that surely didn't reach a server.
const outcomeUnsent = ownership.Undelivered

const (
	// maxFailedCalls, evictionDelay and refusalCooldown are those of the product's leader.
	maxFailedCalls  = 3
	evictionDelay   = 600 * time.Millisecond
	refusalCooldown = 1500 * time.Millisecond
	// settledMoveWriteDelay is how long completed moves stay listed before the table is written for them alone.
	settledMoveWriteDelay = 3 * time.Second
)

// modelFlaw makes leaders wrong on purpose, to show that the model finds it.
type modelFlaw struct {
	// skipsHoldWait lets all waits end after a hundredth of their time.
	skipsHoldWait bool
	// believesEnded takes keys of an ended incarnation as released without a call.
	believesEnded bool
	// believesRelease takes a grant that the previous owner left unanswered as answered.
	believesRelease bool
	// ignoresFormerLeaders assumes that former leaders have gone long before the election.
	ignoresFormerLeaders bool
	// usesAnyConnection writes grants also on connections that were opened after the leadership was last confirmed.
	usesAnyConnection bool
	// countsFromIssue counts holds from the issue of a grant, however late its write returned.
	countsFromIssue bool
	// keepsFences stores the tables of an older copy of the store with their fences.
	keepsFences bool
}

// modelFailures describes the failed calls to an incarnation.
type modelFailures struct {
	count            int
	since, refusedAt clock.Instant
}

// modelLeader is a VM that leads, or a former leader that acts on from what it knows.
type modelLeader struct {
	site   *siteModel
	number int
	// term is the number of the VM's last election.
	term      int
	granter   *ownership.Granter
	electedAt clock.Instant
	// actsUntil is when a former leader stops; 0 means that this VM is the leader.
	actsUntil clock.Instant
	table     *fleet.Table
	// inheritedFence is the highest fence of a former leader.
	inheritedFence fleet.Fence
	// revision is that of the table that the VM last read or wrote.
	revision int
	// entries are the start times in the servers' entries as this VM knows them, and latest the latest ones that it has seen.
	entries, latest map[id.Server]fleet.StartTime
	ended           map[fleet.Incarnation]bool
	failures        map[fleet.Incarnation]*modelFailures
	// pausedFrom and pausedUntil bound the time in which the VM stands still; the grants of the tick in which the pause begins are written after it.
	pausedFrom, pausedUntil clock.Instant
	// connections are those that the VM keeps to processes of servers.
	connections map[id.Server]*modelConnection
	isolated    bool
	// knowsLatest says that the VM knows the latest table: it has read it in its leadership.
	knowsLatest bool
	// ready says that the VM granted keys in its last tick as the leader.
	ready bool
	// continues says that the VM led until the store came back from an older copy, and refenced that it has raised the fences since.
	continues, refenced bool
	writing             bool
	writtenAt           clock.Instant
	load                ownership.Load
}

// elect makes a VM the leader, or a new one if it is nil. The former leader acts on for a while.
func (s *siteModel) elect(vm *modelLeader) {
	for _, l := range s.leaders {
		if l != vm && l.actsUntil == 0 {
			l.actsUntil = s.now.Add(s.drawFormerTime())
		}
	}
	s.elections++
	l := vm
	if l == nil {
		l = &modelLeader{site: s, number: s.elections, entries: map[id.Server]fleet.StartTime{}, connections: map[id.Server]*modelConnection{}}
		l.table = s.drawKnownTable()
	}
	s.leaders = append(slices.DeleteFunc(s.leaders, func(other *modelLeader) bool { return other == l }), l)
	l.lead()
}

func (s *siteModel) drawFormerTime() time.Duration {
	if s.faults.formerTime == 0 {
		return 0
	}
	return s.drawTime(0, s.faults.formerTime)
}

// lead begins a leadership with what the store holds.
func (l *modelLeader) lead() {
	s := l.site
	l.term, l.electedAt, l.actsUntil, l.continues, l.knowsLatest, l.refenced, l.writing, l.ready = s.elections, s.now, 0, false, false, false, false, false
	l.latest, l.ended = map[id.Server]fleet.StartTime{}, map[fleet.Incarnation]bool{}
	l.failures = map[fleet.Incarnation]*modelFailures{}
	for _, server := range s.servers {
		l.entries[server.id] = server.registered
	}
	l.read()
	l.inheritedFence = fenceOf(l.table)
	l.granter = ownership.NewGranter(l.granterStart())
	s.store.term = l.term
	s.note("%s is elected in term %d, table fence %d", l.name(), l.term, fenceOf(l.table))
}

// granterStart returns the time of the election that the granter is told.
func (l *modelLeader) granterStart() clock.Instant {
	now := l.time()
	if l.site.flaw.ignoresFormerLeaders {
		now = now.Add(-time.Minute)
	}
	return now
}

// time returns the time as the granter gets it.
func (l *modelLeader) time() clock.Instant {
	if l.site.flaw.skipsHoldWait {
		return l.site.now * 100
	}
	return l.site.now
}

func (l *modelLeader) name() string { return fmt.Sprintf("leader %d", l.number) }

// confirmedAt returns the latest time at which the VM can know that most VMs followed no later leader.
func (l *modelLeader) confirmedAt() clock.Instant {
	at := l.site.now
	for term, followedAt := range l.site.followed {
		if term > l.term {
			at = min(at, followedAt)
		}
	}
	return at
}

// recordFollowed records since when the leader knows that most VMs follow it.
func (l *modelLeader) recordFollowed() {
	if _, known := l.site.followed[l.term]; !known && !l.isolated {
		l.site.followed[l.term] = l.site.now
	}
}

func (l *modelLeader) tick() {
	if l.site.now > l.pausedFrom && l.site.now < l.pausedUntil {
		return
	}
	l.recordIncarnations()
	if l.actsUntil == 0 {
		l.recordFollowed()
		if l.ready = l.settle(); l.ready {
			l.plan()
		}
	}
	if !l.ready || l.table == nil || !l.knowsLatest {
		return
	}
	l.site.measureMoves(l)
	for _, cmd := range l.granter.Due(l.time(), l.table, l.liveness()) {
		l.site.send(l, cmd)
	}
}

func (l *modelLeader) recordIncarnations() {
	for _, server := range l.site.servers {
		born, latest := l.entries[server.id], l.latest[server.id]
		if born <= latest {
			continue
		}
		if latest > 0 {
			l.ended[fleet.Incarnation{Server: server.id, Born: latest}] = true
		}
		l.latest[server.id] = born
	}
}

func (l *modelLeader) hasEnded(i fleet.Incarnation) bool {
	return l.ended[i] || l.entries[i.Server] > i.Born
}

func (l *modelLeader) isSuspended(i fleet.Incarnation) bool {
	f, ok := l.failures[i]
	return ok && f.refusedAt > 0 && l.site.now.Sub(f.refusedAt) < refusalCooldown
}

func (l *modelLeader) isLost(i fleet.Incarnation) bool {
	f, ok := l.failures[i]
	return ok && (f.count >= maxFailedCalls || f.refusedAt > 0) && l.site.now.Sub(f.since) > evictionDelay
}

func (l *modelLeader) liveness() ownership.Liveness {
	return ownership.Liveness{
		IsDead:      l.hasEnded,
		IsSuspended: l.isSuspended,
		IsLost:      l.isLost,
		IsLeaving:   func(i fleet.Incarnation) bool { return l.site.server(i.Server).leaving },
		Successor:   l.successor,
		IsMoved:     func(_ id.Service, fence fleet.Fence) bool { return l.site.announced[fence] },
		FormerUntil: l.formerUntil(),
		Isolated:    l.isolated,
	}
}

// successor returns the latest incarnation that has started under the id of an ended one.
func (l *modelLeader) successor(i fleet.Incarnation) (next fleet.Incarnation, ok bool) {
	born := max(l.entries[i.Server], l.latest[i.Server])
	return fleet.Incarnation{Server: i.Server, Born: born}, born > i.Born
}

// formerUntil returns until when former leaders may act on.
func (l *modelLeader) formerUntil() clock.Instant {
	if l.site.flaw.ignoresFormerLeaders {
		return 0
	}
	until := l.electedAt.Add(l.site.faults.formerTime)
	if l.site.flaw.skipsHoldWait {
		until *= 100
	}
	return until
}

func (l *modelLeader) candidates() (out []ownership.Candidate) {
	for _, server := range l.site.servers {
		i := fleet.Incarnation{Server: server.id, Born: l.entries[server.id]}
		out = append(out, ownership.Candidate{Incarnation: i, Eligible: !server.leaving && !l.isLost(i), Warm: true, Capacity: 40})
	}
	return out
}

// recordOutcome reports a call to the granter of the VM, which may be that of a later leadership than the one in which the call was made.
func (l *modelLeader) recordOutcome(cmd ownership.Command, outcome ownership.Outcome, connectionRefused bool) {
	l.site.note("%s takes %s as %s", l.name(), describe(cmd), map[ownership.Outcome]string{ownership.Done: "done", ownership.Refused: "refused"}[outcome])
	if l.site.flaw.believesRelease && outcome == ownership.Unanswered && !cmd.Release && l.isFormerOwner(cmd) {
		outcome = ownership.Done
	}
	l.granter.Report(l.time(), cmd, outcome, "")
	if outcome == ownership.Done && !cmd.Release && !cmd.Fencing && l.actsUntil == 0 {
		l.site.announced[cmd.Fence] = true
	}
	if outcome.IsAnswered() {
		delete(l.failures, cmd.Incarnation)
		return
	}
	f, ok := l.failures[cmd.Incarnation]
	if !ok {
		f = &modelFailures{since: l.site.now}
		l.failures[cmd.Incarnation] = f
	}
	f.count++
	if connectionRefused {
		f.refusedAt = l.site.now
	}
}

// isFormerOwner reports whether a call goes to the previous owner of moving keys.
func (l *modelLeader) isFormerOwner(cmd ownership.Command) bool {
	r, ok := l.table.Find(cmd.From)
	return ok && r.Moving() && r.PreviousOwner.Server == cmd.Incarnation.Server && (r.Owner != cmd.Incarnation || cmd.Release)
}

// answersItself reports whether a leader that is wrong on purpose takes a call as done without making it.
func (l *modelLeader) answersItself(cmd ownership.Command) bool {
	if !l.site.flaw.believesEnded || !l.isFormerOwner(cmd) {
		return false
	}
	r, _ := l.table.Find(cmd.From)
	return l.hasEnded(*r.PreviousOwner)
}
