package ownership_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// heldRange is a range of keys that a modelled backend server holds until a time.
type heldRange struct {
	from, to fleet.Key
	fence    fleet.Fence
	until    clock.Instant
}

// backend is a model of a backend server that checks fences and whose clock is 2 % slow.
type backend struct {
	incarnation fleet.Incarnation
	up          bool
	reachable   bool
	held        []heldRange
	// seenFences are the fences received so far, by range of keys.
	seenFences []heldRange
}

func overlaps(aFrom, aTo, bFrom, bTo fleet.Key) bool { return aFrom <= bTo && bFrom <= aTo }

// applyGrant applies a grant whose hold time starts at its arrival.
func (b *backend) applyGrant(cmd ownership.Command, arrivedAt clock.Instant) ownership.Outcome {
	for _, h := range b.seenFences {
		if overlaps(h.from, h.to, cmd.From, cmd.To) && h.fence > cmd.Fence {
			return ownership.Refused
		}
	}
	b.recordFence(cmd)
	b.endHolds(cmd)
	b.held = append(b.held, heldRange{cmd.From, cmd.To, cmd.Fence, arrivedAt.Add(ownership.GrantTTL * 102 / 100)})
	return ownership.Done
}

func (b *backend) recordFence(cmd ownership.Command) {
	b.seenFences = append(b.seenFences, heldRange{cmd.From, cmd.To, cmd.Fence, 0})
}

// endHolds removes the keys of a command from the held ranges.
func (b *backend) endHolds(cmd ownership.Command) {
	var kept []heldRange
	for _, h := range b.held {
		if !overlaps(h.from, h.to, cmd.From, cmd.To) {
			kept = append(kept, h)
			continue
		}
		if h.from < cmd.From {
			kept = append(kept, heldRange{h.from, cmd.From - 1, h.fence, h.until})
		}
		if h.to > cmd.To {
			kept = append(kept, heldRange{cmd.To + 1, h.to, h.fence, h.until})
		}
	}
	b.held = kept
}

// delayedGrant is a grant that the backend server applies after the call has timed out; its hold time starts at its arrival.
type delayedGrant struct {
	command   ownership.Command
	arrivedAt clock.Instant
	appliedAt clock.Instant
}

// siteModel is a model of one service, its backend servers and its leader.
type siteModel struct {
	t        *rapid.T
	now      clock.Instant
	backends map[id.Server]*backend
	table    *fleet.Table
	granter  *ownership.Granter
	delayed  []delayedGrant
	dead     map[fleet.Incarnation]bool
	eligible map[id.Server]bool
	// suspended holds the backend servers that refused a connection recently.
	suspended map[id.Server]bool
	// skipsHoldWait makes the leader skip the wait for previous holders, to show that the check detects it.
	skipsHoldWait bool
}

func newSiteModel(t *rapid.T, skipsHoldWait bool) *siteModel {
	s := &siteModel{
		t: t, now: clock.Instant(time.Hour), backends: map[id.Server]*backend{}, dead: map[fleet.Incarnation]bool{},
		eligible: map[id.Server]bool{}, suspended: map[id.Server]bool{}, skipsHoldWait: skipsHoldWait,
	}
	for _, n := range []id.Server{"a", "b", "c"} {
		s.backends[n] = &backend{incarnation: fleet.Incarnation{Server: n, Born: 1}, up: true, reachable: true}
		s.eligible[n] = true
	}
	s.granter = ownership.NewGranter(s.now)
	return s
}

func (s *siteModel) drawServer() id.Server {
	return rapid.SampledFrom([]id.Server{"a", "b", "c"}).Draw(s.t, "server")
}

// plan writes the next table in the way the leader does.
func (s *siteModel) plan() {
	var candidates []ownership.Candidate
	for n, b := range s.backends {
		candidates = append(candidates, ownership.Candidate{Incarnation: b.incarnation, Eligible: s.eligible[n], Warm: true, Capacity: 40})
	}
	if s.table == nil {
		s.table, _ = ownership.Plan(service, nil, candidates, ownership.Load{})
		return
	}
	if next, moved, settled := s.granter.Revise(s.table, candidates, ownership.Load{}); moved || settled {
		s.table = next
	}
}

// sendDueCommands sends the commands that are due; each is carried out, lost, or carried out after the timeout.
func (s *siteModel) sendDueCommands() {
	if s.table == nil {
		return
	}
	isDead := func(i fleet.Incarnation) bool { return s.dead[i] }
	if s.skipsHoldWait {
		isDead = func(i fleet.Incarnation) bool { return !s.eligible[i.Server] || s.dead[i] }
	}
	for _, cmd := range s.granter.Due(s.now, s.table, ownership.Liveness{IsDead: isDead, IsSuspended: func(i fleet.Incarnation) bool { return s.suspended[i.Server] }, IsLost: func(i fleet.Incarnation) bool { return !s.eligible[i.Server] }}) {
		b := s.backends[cmd.Incarnation.Server]
		if !b.up || !b.reachable || b.incarnation != cmd.Incarnation {
			s.granter.Report(s.now, cmd, ownership.Unanswered, "")
			continue
		}
		switch rapid.IntRange(0, 5).Draw(s.t, "result") {
		case 0:
			s.granter.Report(s.now, cmd, ownership.Unanswered, "")
		case 1:
			if !cmd.Release {
				delay := time.Duration(rapid.IntRange(1, 12).Draw(s.t, "delay")) * time.Second
				s.delayed = append(s.delayed, delayedGrant{cmd, s.now, s.now.Add(delay)})
			}
			s.granter.Report(s.now, cmd, ownership.Unanswered, "")
		default:
			s.granter.Report(s.now, cmd, s.apply(b, cmd), "")
		}
	}
}

func (s *siteModel) apply(b *backend, cmd ownership.Command) ownership.Outcome {
	if cmd.Release {
		b.recordFence(cmd)
		b.endHolds(cmd)
		return ownership.Done
	}
	return b.applyGrant(cmd, s.now)
}

// advance moves the clock forward, applies the delayed grants that are due and removes the holds that have expired.
func (s *siteModel) advance(elapsed time.Duration) {
	s.now = s.now.Add(elapsed)
	var pending []delayedGrant
	for _, d := range s.delayed {
		b := s.backends[d.command.Incarnation.Server]
		switch {
		case d.appliedAt > s.now:
			pending = append(pending, d)
		case b.up && b.incarnation == d.command.Incarnation:
			b.applyGrant(d.command, d.arrivedAt)
		}
	}
	s.delayed = pending
	for _, b := range s.backends {
		var kept []heldRange
		for _, h := range b.held {
			if h.until > s.now {
				kept = append(kept, h)
			}
		}
		b.held = kept
	}
}

// restart ends the incarnation of a backend server; the next one starts without state.
func (s *siteModel) restart(n id.Server) {
	b := s.backends[n]
	s.dead[b.incarnation] = true
	s.backends[n] = &backend{incarnation: fleet.Incarnation{Server: n, Born: b.incarnation.Born + 1}, up: true, reachable: true}
}

// findConflict returns two backend servers that hold the same keys.
func (s *siteModel) findConflict() (a, b id.Server, found bool) {
	for n, one := range s.backends {
		for m, other := range s.backends {
			if n >= m || !one.up || !other.up {
				continue
			}
			for _, h := range one.held {
				for _, g := range other.held {
					if overlaps(h.from, h.to, g.from, g.to) {
						return n, m, true
					}
				}
			}
		}
	}
	return "", "", false
}

// step applies one random event, then plans and sends the due commands.
func (s *siteModel) step() {
	switch rapid.IntRange(0, 8).Draw(s.t, "event") {
	case 0:
		n := s.drawServer()
		s.eligible[n] = !s.eligible[n]
	case 1:
		n := s.drawServer()
		s.backends[n].reachable = !s.backends[n].reachable
	case 2:
		s.restart(s.drawServer())
	case 3:
		// Another VM becomes the leader; it knows only the table.
		s.granter = ownership.NewGranter(s.now)
	case 4:
		n := s.drawServer()
		s.suspended[n] = !s.suspended[n]
	default:
		s.advance(time.Duration(rapid.IntRange(50, 1500).Draw(s.t, "ms")) * time.Millisecond)
	}
	s.plan()
	s.sendDueCommands()
}

const steps = 120

func TestKeysNeverHaveTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSiteModel(t, false)
		s.plan()
		for range steps {
			s.step()
			if a, b, found := s.findConflict(); found {
				t.Fatalf("%s and %s hold the same keys", a, b)
			}
		}
	})
}

// Guards against a model that can't detect two holders: a leader that doesn't wait for previous holders must be found.
func TestModelFindsLeaderThatSkipsHoldWait(t *testing.T) {
	found := false
	for seed := range 200 {
		rapid.Custom(func(t *rapid.T) bool {
			s := newSiteModel(t, true)
			s.plan()
			for range steps {
				s.step()
				if _, _, conflict := s.findConflict(); conflict {
					found = true
				}
			}
			return true
		}).Example(seed)
		if found {
			return
		}
	}
	t.Fatal("no conflict was found although the leader does not wait for previous holders")
}
