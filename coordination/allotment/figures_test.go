package allotment

import (
	"math"
	"os"
	"testing"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
)

// scheme is another way to divide an allotment among VMs. It decides on one customer's requests in the order of their arrival.
type scheme interface {
	admit(now clock.Instant, vm int) bool
}

// localBucket is a token bucket of one VM.
type localBucket struct {
	level float64
	at    clock.Instant
}

func (b *localBucket) take(now clock.Instant, rate, size float64) bool {
	b.level = min(max(1, size), b.level+rate*elapsed(b.at, now))
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

func newLocalBuckets(vms int) []localBucket {
	out := make([]localBucket, vms)
	for i := range out {
		out[i].at = playStart
	}
	return out
}

// evenShares gives each VM the same part of the allotment.
type evenShares struct {
	limit fleet.Allotment
	vms   []localBucket
}

func (s *evenShares) admit(now clock.Instant, vm int) bool {
	n := float64(len(s.vms))
	return s.vms[vm].take(now, s.limit.Rate/n, s.limit.Burst/n)
}

// lentShares divides the allotment each second by the demand of the second before. A VM without contact gets no new share.
type lentShares struct {
	limit  fleet.Allotment
	vms    []localBucket
	counts []float64
	shares []float64
	lentAt clock.Instant
	cutOff func(now clock.Instant, vm int) bool
}

const lendTime = time.Second

func (s *lentShares) admit(now clock.Instant, vm int) bool {
	if now.Sub(s.lentAt) >= lendTime {
		var total float64
		for i, c := range s.counts {
			if !s.cutOff(now, i) {
				total += c
			}
		}
		for i, c := range s.counts {
			s.shares[i] = 0
			if !s.cutOff(now, i) && total > 0 {
				s.shares[i] = c / total
			}
		}
		clear(s.counts)
		s.lentAt = now
	}
	s.counts[vm]++
	return s.vms[vm].take(now, s.limit.Rate*s.shares[vm], s.limit.Burst*s.shares[vm])
}

// estimates lets each VM admit by the level of a common bucket that it last heard of, less what it has admitted since. VMs hear only those
// of their own half in a cut.
type estimates struct {
	limit   fleet.Allotment
	vms     int
	levels  [2]localBucket
	known   []float64
	own     []float64
	heardAt clock.Instant
	cutOff  func(now clock.Instant, vm int) bool
}

const reportPeriod = 200 * time.Millisecond

func (s *estimates) admit(now clock.Instant, vm int) bool {
	if now.Sub(s.heardAt) >= reportPeriod {
		s.hear(now)
	}
	if s.known[vm]-s.own[vm]+s.limit.Rate/float64(s.vms)*elapsed(s.heardAt, now) < 1 {
		return false
	}
	s.own[vm]++
	return true
}

func (s *estimates) hear(now clock.Instant) {
	isCut := s.cutOff(now, s.vms-1)
	for side := range s.levels {
		b := &s.levels[side]
		b.level = min(s.limit.Burst, b.level+s.limit.Rate*elapsed(b.at, now))
		b.at = now
	}
	for i, n := range s.own {
		side := 0
		if isCut && !s.cutOff(now, i) {
			side = 1
		}
		s.levels[side].level -= n
		if !isCut {
			s.levels[1].level = s.levels[0].level
		}
		s.own[i] = 0
	}
	for i := range s.known {
		side := 0
		if isCut && !s.cutOff(now, i) {
			side = 1
		}
		s.known[i] = s.levels[side].level
	}
	s.heardAt = now
}

// replay decides on the arrivals of a play by another scheme. It returns the most that got through in a window, as a fraction of the
// allotment, and the used fraction of what a single bucket would have admitted.
func replay(p *player, newScheme func(limit fleet.Allotment) scheme) (most, used float64) {
	var admittedAll, ideal float64
	for _, c := range p.customers() {
		l := p.logs[c]
		limit := l.limits[0].Allotment
		s, central := newScheme(limit), localBucket{level: limit.Burst, at: playStart}
		var admitted []clock.Instant
		for i, t := range l.arrived {
			counts := t.Sub(playStart) > playWarmup
			if s.admit(t, l.arrivedAt[i]) {
				admitted = append(admitted, t)
				if counts {
					admittedAll++
				}
			}
			if central.take(t, limit.Rate, limit.Burst) && counts {
				ideal++
			}
		}
		most = max(most, mostInWindow(admitted, limit))
	}
	return most, admittedAll / ideal
}

// mostInWindow returns the most requests in a window, as a fraction of its allotment.
func mostInWindow(admitted []clock.Instant, limit fleet.Allotment) (most float64) {
	const window = 5 * time.Second
	for i, j := 0, 0; i < len(admitted); i++ {
		for j < len(admitted) && admitted[j].Sub(admitted[i]) < window {
			j++
		}
		most = max(most, float64(j-i)/(limit.Rate*window.Seconds()+limit.Burst))
	}
	return most
}

// TestFigures measures the figures of docs/design/0008-allotments.md. It takes about a minute and runs only if ALLOTMENT_FIGURES is set.
func TestFigures(t *testing.T) {
	if os.Getenv("ALLOTMENT_FIGURES") == "" {
		t.Skip("ALLOTMENT_FIGURES is not set")
	}
	for _, usage := range []float64{1 / 1.6, 4} {
		for _, cutHalf := range []bool{false, true} {
			o := usual(1, 0)
			o.usage, o.surge, o.halvesAt = usage, 0.2, math.MaxInt64
			if cutHalf {
				o.halvesAt = 10 * time.Second
			}
			p := newPlayer(o).play()
			isCut := func(now clock.Instant, vm int) bool {
				since := now.Sub(playStart)
				return since >= o.halvesAt && since < o.halvesAt+halvesTime && vm*2 >= len(p.vms)
			}
			report := func(name string, most, used float64) {
				t.Logf("usage %.2f, two halves for 10 s %v: %-34s most %.3f of the allotment, used %.4f", usage, cutHalf, name, most, used)
			}
			n := len(p.vms)
			most, used := replay(p, func(a fleet.Allotment) scheme { return &evenShares{limit: a, vms: newLocalBuckets(n)} })
			report("even shares", most, used)
			most, used = replay(p, func(a fleet.Allotment) scheme {
				return &lentShares{limit: a, vms: newLocalBuckets(n), counts: make([]float64, n), shares: make([]float64, n), cutOff: isCut}
			})
			report("shares by demand, lent for 1 s", most, used)
			most, used = replay(p, func(a fleet.Allotment) scheme {
				return &estimates{limit: a, vms: n, known: make([]float64, n), own: make([]float64, n), cutOff: isCut, levels: [2]localBucket{{level: a.Burst, at: playStart}, {level: a.Burst, at: playStart}}}
			})
			report("estimates, corrected each 200 ms", most, used)
			most = 0
			for _, c := range p.customers() {
				most = max(most, mostInWindow(p.logs[c].admitted, p.logs[c].limits[0].Allotment))
			}
			report("tokens ahead of need", most, 1-p.refusedBelow())
		}
	}
	t.Run("messages", measureMessages)
}

// measureMessages measures messages and bytes of the chosen design. Every VM has 38 requests per second, as 66 VMs with 2,500.
func measureMessages(t *testing.T) {
	const perVM = 38.0
	for _, vms := range []int{60, 300, 560} {
		for _, customers := range []int{75, 10000} {
			rate := perVM * float64(vms) / float64(customers)
			o := playOptions{seed: 1, vms: vms, length: 6 * time.Second, usage: 1 / 1.6, spread: min(vms, max(2, 13*vms/66)), settled: true, counted: true}
			for range customers {
				o.limits = append(o.limits, fleet.Allotment{Rate: 1.6 * rate, Burst: max(1, rate)})
			}
			p := newPlayer(o).play()
			seconds := o.length.Seconds()
			t.Logf("%d VMs, %5d customers: per VM and second %.1f messages, %.2f KB; leader %.0f messages; refused %.4f, waited %.3f",
				vms, customers, float64(p.messages)/float64(vms)/seconds, float64(p.bytes)/float64(vms)/seconds/1000, float64(p.messages)/seconds, p.refusedBelow(), p.waitedFraction())
		}
	}
}
