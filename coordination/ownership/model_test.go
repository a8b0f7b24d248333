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

// holding is a run of keys that a modelled backend server holds.
type holding struct {
	from, to fleet.Key
	fence    fleet.Fence
	until    clock.Instant
}

// backend is a modelled backend server that checks fences and whose clock is 2 % slow.
type backend struct {
	life  fleet.Incarnation
	up    bool
	reach bool
	holds []holding
	// seen are the fences seen, by run of keys.
	seen []holding
}

func overlaps(aFrom, aTo, bFrom, bTo fleet.Key) bool { return aFrom <= bTo && bFrom <= aTo }

// take applies a grant that arrived at a time.
func (b *backend) take(o ownership.Command, arrived clock.Instant) ownership.Outcome {
	for _, h := range b.seen {
		if overlaps(h.from, h.to, o.From, o.To) && h.fence > o.Fence {
			return ownership.Refused
		}
	}
	b.see(o)
	b.drop(o)
	b.holds = append(b.holds, holding{o.From, o.To, o.Fence, arrived.Add(ownership.GrantTTL * 102 / 100)})
	return ownership.Done
}

func (b *backend) see(o ownership.Command) {
	b.seen = append(b.seen, holding{o.From, o.To, o.Fence, 0})
}

// drop ends what is held of an order's keys.
func (b *backend) drop(o ownership.Command) {
	var kept []holding
	for _, h := range b.holds {
		if !overlaps(h.from, h.to, o.From, o.To) {
			kept = append(kept, h)
			continue
		}
		if h.from < o.From {
			kept = append(kept, holding{h.from, o.From - 1, h.fence, h.until})
		}
		if h.to > o.To {
			kept = append(kept, holding{o.To + 1, h.to, h.fence, h.until})
		}
	}
	b.holds = kept
}

// late is a grant that takes effect after its answer was given up; its time counts from its arrival.
type late struct {
	order   ownership.Command
	arrived clock.Instant
	at      clock.Instant
}

// site is a modelled service with its leader.
type site struct {
	t        *rapid.T
	now      clock.Instant
	backends map[id.Server]*backend
	table    *fleet.Table
	granter  *ownership.Granter
	late     []late
	dead     map[fleet.Incarnation]bool
	eligible map[id.Server]bool
	// suspended holds the backend servers that refused a connection lately.
	suspended map[id.Server]bool
	// trusting skips the wait for former holders, to show that the check finds it.
	trusting bool
}

func newSite(t *rapid.T, trusting bool) *site {
	s := &site{
		t: t, now: clock.Instant(time.Hour), backends: map[id.Server]*backend{}, dead: map[fleet.Incarnation]bool{},
		eligible: map[id.Server]bool{}, suspended: map[id.Server]bool{}, trusting: trusting,
	}
	for _, n := range []id.Server{"a", "b", "c"} {
		s.backends[n] = &backend{life: fleet.Incarnation{Server: n, Born: 1}, up: true, reach: true}
		s.eligible[n] = true
	}
	s.granter = ownership.NewGranter(s.now)
	return s
}

func (s *site) name() id.Server {
	return rapid.SampledFrom([]id.Server{"a", "b", "c"}).Draw(s.t, "server")
}

// plan writes a new table, as the leader would.
func (s *site) plan() {
	var candidates []ownership.Candidate
	for n, b := range s.backends {
		candidates = append(candidates, ownership.Candidate{Incarnation: b.life, Eligible: s.eligible[n], Warm: true, Capacity: 40})
	}
	if s.table == nil {
		s.table, _ = ownership.Plan(service, nil, candidates, ownership.Load{})
		return
	}
	if next, moved, settled := s.granter.Revise(s.table, candidates, ownership.Load{}); moved || settled {
		s.table = next
	}
}

// tick sends the orders that are due; each is carried out, lost, or carried out late.
func (s *site) tick() {
	if s.table == nil {
		return
	}
	isDead := func(l fleet.Incarnation) bool { return s.dead[l] }
	if s.trusting {
		isDead = func(l fleet.Incarnation) bool { return !s.eligible[l.Server] || s.dead[l] }
	}
	for _, o := range s.granter.Due(s.now, s.table, ownership.Liveness{IsDead: isDead, IsSuspended: func(l fleet.Incarnation) bool { return s.suspended[l.Server] }, IsLost: func(l fleet.Incarnation) bool { return !s.eligible[l.Server] }}) {
		b := s.backends[o.Incarnation.Server]
		if !b.up || !b.reach || b.life != o.Incarnation {
			s.granter.Report(s.now, o, ownership.Unanswered, "")
			continue
		}
		switch rapid.IntRange(0, 5).Draw(s.t, "fate") {
		case 0:
			s.granter.Report(s.now, o, ownership.Unanswered, "")
		case 1:
			if !o.Release {
				delay := time.Duration(rapid.IntRange(1, 12).Draw(s.t, "delay")) * time.Second
				s.late = append(s.late, late{o, s.now, s.now.Add(delay)})
			}
			s.granter.Report(s.now, o, ownership.Unanswered, "")
		default:
			s.granter.Report(s.now, o, s.carryOut(b, o), "")
		}
	}
}

func (s *site) carryOut(b *backend, o ownership.Command) ownership.Outcome {
	if o.Release {
		b.see(o)
		b.drop(o)
		return ownership.Done
	}
	return b.take(o, s.now)
}

// pass lets time go by, and late grants take effect.
func (s *site) pass(d time.Duration) {
	s.now = s.now.Add(d)
	var waiting []late
	for _, l := range s.late {
		b := s.backends[l.order.Incarnation.Server]
		switch {
		case l.at > s.now:
			waiting = append(waiting, l)
		case b.up && b.life == l.order.Incarnation:
			b.take(l.order, l.arrived)
		}
	}
	s.late = waiting
	for _, b := range s.backends {
		var kept []holding
		for _, h := range b.holds {
			if h.until > s.now {
				kept = append(kept, h)
			}
		}
		b.holds = kept
	}
}

// restart ends a life; the next one knows nothing.
func (s *site) restart(n id.Server) {
	b := s.backends[n]
	s.dead[b.life] = true
	s.backends[n] = &backend{life: fleet.Incarnation{Server: n, Born: b.life.Born + 1}, up: true, reach: true}
}

// conflict returns two backend servers that hold the same keys.
func (s *site) conflict() (a, b id.Server, found bool) {
	for n, one := range s.backends {
		for m, other := range s.backends {
			if n >= m || !one.up || !other.up {
				continue
			}
			for _, h := range one.holds {
				for _, g := range other.holds {
					if overlaps(h.from, h.to, g.from, g.to) {
						return n, m, true
					}
				}
			}
		}
	}
	return "", "", false
}

// step does one thing that may happen.
func (s *site) step() {
	switch rapid.IntRange(0, 8).Draw(s.t, "event") {
	case 0:
		n := s.name()
		s.eligible[n] = !s.eligible[n]
	case 1:
		n := s.name()
		s.backends[n].reach = !s.backends[n].reach
	case 2:
		s.restart(s.name())
	case 3:
		// Another VM takes the leadership over; it knows the table and nothing else.
		s.granter = ownership.NewGranter(s.now)
	case 4:
		n := s.name()
		s.suspended[n] = !s.suspended[n]
	default:
		s.pass(time.Duration(rapid.IntRange(50, 1500).Draw(s.t, "ms")) * time.Millisecond)
	}
	s.plan()
	s.tick()
}

const steps = 120

func TestKeysNeverHaveTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(t, false)
		s.plan()
		for range steps {
			s.step()
			if a, b, found := s.conflict(); found {
				t.Fatalf("%s and %s hold the same keys", a, b)
			}
		}
	})
}

// The model must find a leader that doesn't wait for former holders.
func TestModelFindsImpatientLeader(t *testing.T) {
	found := false
	for seed := range 200 {
		rapid.Custom(func(t *rapid.T) bool {
			s := newSite(t, true)
			s.plan()
			for range steps {
				s.step()
				if _, _, conflict := s.conflict(); conflict {
					found = true
				}
			}
			return true
		}).Example(seed)
		if found {
			return
		}
	}
	t.Fatal("no two holders were found although the leader does not wait")
}
