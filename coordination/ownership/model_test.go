package ownership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	modelStart = clock.Instant(time.Hour)
	// modelTick is the period of the leader's plans and calls.
	modelTick = 50 * time.Millisecond
	// modelTime is the length of a history.
	modelTime = 20 * time.Second
)

// siteModel is a model of one keyed service in virtual time: its backend servers, the calls to them, the store and the leaders.
//
// It promises what the pages promise and no more. Leaders act every modelTick;
// between these times the calls arrive, are carried out and are answered.
type siteModel struct {
	random *rand.Rand
	faults modelFaults
	flaw   modelFlaw
	now    clock.Instant
	// queue holds the events to come, and sequence numbers them.
	queue    eventQueue
	sequence int
	servers  []*modelServer
	store    modelStore
	// leaders are those that still act; the last one is the current one.
	leaders   []*modelLeader
	elections int
	// followed holds since when leaders know that most VMs follow them, by term.
	followed map[int]clock.Instant
	// announced holds the fences of the moves that leaders have announced as done.
	announced map[fleet.Fence]bool
	// problem is the first broken promise.
	problem string
	// moveStarts are the times at which leaders first saw moves, and slowestMove is the longest time until a grant.
	moveStarts  map[modelMove]clock.Instant
	slowestMove time.Duration
	// slowestInheritedMove is the same for moves that a former leader planned.
	slowestInheritedMove time.Duration
	// trace holds what happened if tracing is set.
	tracing bool
	trace   []string
}

func newSiteModel(seed uint64, faults modelFaults, flaw modelFlaw) *siteModel {
	s := &siteModel{random: rand.New(rand.NewPCG(seed, 44)), faults: faults, flaw: flaw, now: modelStart, moveStarts: map[modelMove]clock.Instant{}, announced: map[fleet.Fence]bool{}, followed: map[int]clock.Instant{}}
	for _, name := range []id.Server{"a", "b", "c"} {
		server := &modelServer{id: name}
		server.start()
		server.registered = server.born
		s.servers = append(s.servers, server)
	}
	s.elect(nil)
	return s
}

func (s *siteModel) server(name id.Server) *modelServer {
	at := slices.IndexFunc(s.servers, func(server *modelServer) bool { return server.id == name })
	return s.servers[at]
}

func (s *siteModel) drawServer() *modelServer { return s.servers[s.random.IntN(len(s.servers))] }

func (s *siteModel) chance(share float64) bool { return share > 0 && s.random.Float64() < share }

// happens reports whether an event with a rate per second happens in this tick.
func (s *siteModel) happens(rate float64) bool { return s.chance(rate * modelTick.Seconds()) }

// drawTime returns a time between two bounds; more than half of the times are in the lowest eighth.
func (s *siteModel) drawTime(least, most time.Duration) time.Duration {
	if s.random.IntN(2) == 0 {
		most = least + (most-least)/8
	}
	return least + time.Duration(s.random.Int64N(int64(most-least)+1))
}

func (s *siteModel) current() *modelLeader { return s.leaders[len(s.leaders)-1] }

// run plays a history until its end or the first broken promise.
func (s *siteModel) run() { s.play(modelTime) }

// play plays a part of a history, unless a promise is broken.
func (s *siteModel) play(length time.Duration) {
	for end := s.now.Add(length); s.now < end && s.problem == ""; {
		s.tick()
	}
}

func (s *siteModel) tick() {
	s.disrupt()
	s.leaders = slices.DeleteFunc(s.leaders, func(l *modelLeader) bool { return l.actsUntil > 0 && s.now >= l.actsUntil })
	for _, l := range s.leaders {
		l.tick()
	}
	s.advance(modelTick)
}

// advance carries out the events of a time.
func (s *siteModel) advance(elapsed time.Duration) {
	until := s.now.Add(elapsed)
	for len(s.queue) > 0 && s.queue[0].at <= until && s.problem == "" {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// event is something that happens at a time; events of the same time happen in the order in which they were made.
type event struct {
	at       clock.Instant
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

func (s *siteModel) after(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{s.now.Add(delay), s.sequence, run})
}

// checkHolders checks that no other process holds keys that a server has just been granted.
func (s *siteModel) checkHolders(server *modelServer, span keySpan) {
	for _, other := range s.servers {
		if other == server || other.process == nil {
			continue
		}
		if h, found := other.process.holding(s.now, span); found && s.problem == "" {
			s.problem = fmt.Sprintf("%s and %s hold keys %d to %d at the same time, with fences %d and %d", other.id, server.id, max(h.from, span.from), min(h.to, span.to), h.fence, span.fence)
			s.note("%s", s.problem)
		}
	}
}

// checkFences checks that keys have come with a fence above all with which other servers had them; the same grant may come again.
func (s *siteModel) checkFences(server *modelServer, span keySpan) {
	for _, had := range server.had {
		if had.fence == span.fence && had.covers(span) {
			return
		}
	}
	for _, other := range s.servers {
		if other == server {
			continue
		}
		for _, had := range other.had {
			if had.overlaps(span) && had.fence >= span.fence && s.problem == "" {
				s.problem = fmt.Sprintf("%s is granted keys %d to %d with fence %d, and %s had them with fence %d", server.id, max(had.from, span.from), min(had.to, span.to), span.fence, other.id, had.fence)
				s.note("%s", s.problem)
			}
		}
	}
}

// modelMove is a move as the leader of a term sees it.
type modelMove struct {
	term  int
	fence fleet.Fence
}

// measureMoves measures how long the moves of a leader's table take.
func (s *siteModel) measureMoves(l *modelLeader) {
	for _, r := range l.table.Ranges {
		move := modelMove{l.term, r.Fence}
		start, known := s.moveStarts[move]
		switch {
		case !r.Moving() || l.actsUntil > 0:
		case !known:
			s.moveStarts[move] = s.now
		case !l.granter.IsGranted(service, r) && r.Fence <= l.inheritedFence:
			s.slowestInheritedMove = max(s.slowestInheritedMove, s.now.Sub(start))
		case !l.granter.IsGranted(service, r):
			s.slowestMove = max(s.slowestMove, s.now.Sub(start))
		}
	}
}

// note adds a line to the trace.
func (s *siteModel) note(format string, args ...any) {
	if s.tracing {
		s.trace = append(s.trace, fmt.Sprintf("%8.3f ", s.now.Sub(modelStart).Seconds())+fmt.Sprintf(format, args...))
	}
}

func describe(cmd ownership.Command) string {
	what := "grant"
	switch {
	case cmd.Release:
		what = "release"
	case cmd.Fencing:
		what = "fencing grant"
	}
	return fmt.Sprintf("%s of %d to %d with fence %d for %s born %d", what, cmd.From, cmd.To, cmd.Fence, cmd.Incarnation.Server, cmd.Incarnation.Born)
}

// findProblem plays histories and returns the first seed whose history breaks a promise.
func findProblem(histories uint64, faults modelFaults, flaw modelFlaw) (seed uint64, problem string) {
	for seed := range histories {
		s := newSiteModel(seed, faults, flaw)
		if s.run(); s.problem != "" {
			return seed, s.problem
		}
	}
	return 0, ""
}

// shownTrace is the number of lines of a broken history that a failing test prints.
const shownTrace = 60

func checkHistories(t *testing.T, histories uint64, faults modelFaults) {
	t.Helper()
	seed, problem := findProblem(histories, faults, modelFlaw{})
	if problem == "" {
		return
	}
	s := newSiteModel(seed, faults, modelFlaw{})
	s.tracing = true
	s.run()
	t.Fatalf("seed %d: %s\n%s", seed, problem, strings.Join(s.trace[max(0, len(s.trace)-shownTrace):], "\n"))
}
