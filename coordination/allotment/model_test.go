package allotment

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/fleet"
)

// modelSeeds is the number of seeds for each case; the environment variable ALLOTMENT_SEEDS sets another one for a longer hunt.
func modelSeeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("ALLOTMENT_SEEDS"), 10, 32); err == nil {
		return n
	}
	return 2
}

// troubled returns a play with several faults.
func troubled(seed uint64, m mutation, kinds ...fault) playOptions {
	return playOptions{
		seed: seed, vms: 18, length: 40 * time.Second, faults: 8, kinds: kinds, mutation: m, usage: 0.9, surge: 0.5, spread: 8, loss: 0.02,
		limits: []fleet.Allotment{{Rate: 60, Burst: 40}, {Rate: 10, Burst: 10}, {Rate: 40, Burst: 1}},
	}
}

// A VM that has the whole allotment as its share may not hear that it is lowered, while callers appear at another VM. The share must not be
// given to that one then.
func TestShareIsNotGivenTwice(t *testing.T) {
	for m, want := range map[mutation]bool{intact: true, earlyHandover: false} {
		t.Run(string(m), func(t *testing.T) {
			is := is.New(t)
			o := troubled(1, m)
			o.faults, o.vms, o.length, o.deafFrom = 0, 3, 20*time.Second, 8*time.Second
			o.limits = []fleet.Allotment{{Rate: 60, Burst: 40}}
			o.script = func(since time.Duration) []float64 {
				if since < 8*time.Second {
					return []float64{0, 0, 60}
				}
				return []float64{0, 600, 60}
			}
			excess, _, text := newPlayer(o).play().worst()
			t.Log(text)
			is.Equal(excess <= 0, want)
		})
	}
}

// usual returns a play of a fleet with the usual load: the allotment is 1.6 times the demand.
func usual(seed uint64, faults int, kinds ...fault) playOptions {
	return playOptions{
		seed: seed, vms: 66, length: 30 * time.Second, faults: faults, kinds: kinds, usage: 1 / 1.6, spread: 13, loss: 0.005, settled: true,
		limits: []fleet.Allotment{{Rate: 53, Burst: 33}, {Rate: 53, Burst: 33}, {Rate: 300, Burst: 200}},
	}
}

// No fault may let a customer have more than its allotment and the allowed excess in any window.
func TestUpperBound(t *testing.T) {
	tests := map[string][]fault{"all faults": allFaults}
	for _, f := range allFaults {
		tests[string(f)] = []fault{f}
	}
	for name, kinds := range tests {
		t.Run(name, func(t *testing.T) {
			var most, refused, waited float64
			for seed := range modelSeeds() {
				p := newPlayer(troubled(seed, intact, kinds...)).play()
				excess, fraction, text := p.worst()
				most, refused, waited = max(most, fraction), refused+p.refusedBelow(), waited+p.waitedFraction()
				if excess > 0 {
					t.Errorf("seed %d: %s\n%s", seed, text, strings.Join(p.journal, "\n"))
				}
			}
			n := float64(modelSeeds())
			t.Logf("most of the allowed excess %.2f, refused below the allotment %.4f, waited %.3f", most, refused/n, waited/n)
		})
	}
}

// The check must find faults in the protocol: each one put into it on purpose must break the bound within a few seeds.
func TestUpperBoundCatches(t *testing.T) {
	// A large burst and too much demand make what is given twice large beside the excess that is allowed.
	tests := map[mutation]struct {
		faults []fault
		usage  float64
		burst  float64
	}{
		noReservation:   {faults: []fault{halves, domainCut}, usage: 1.5, burst: 40},
		fullBucket:      {faults: []fault{leaderKilled, leaderCut}, usage: 1.5, burst: 200},
		unlimitedAhead:  {faults: []fault{vmCut}, usage: 0.4, burst: 40},
		forgottenShares: {faults: []fault{leaderCut, leaderDouble}, usage: 1.5, burst: 200},
	}
	for m, test := range tests {
		t.Run(string(m), func(t *testing.T) {
			const maxSeeds = 10
			for seed := range uint64(maxSeeds) {
				o := troubled(seed, m, test.faults...)
				o.usage, o.limits = test.usage, []fleet.Allotment{{Rate: 60, Burst: test.burst}}
				if excess, _, text := newPlayer(o).play().worst(); excess > 0 {
					t.Logf("seed %d: %s", seed, text)
					return
				}
			}
			t.Errorf("not caught in %d seeds", maxSeeds)
		})
	}
}

// Little may be refused below the allotment under the usual load, and most requests must not wait, also around a fault.
func TestLittleIsRefusedBelowTheAllotment(t *testing.T) {
	type limits struct{ refused, waited float64 }
	tests := map[fault]limits{
		"":           {refused: 0.002, waited: 0.1},
		leaderKilled: {refused: 0.03, waited: 0.15},
		vmCut:        {refused: 0.005, waited: 0.1},
		vmRestarted:  {refused: 0.005, waited: 0.1},
		halves:       {refused: 0.05, waited: 0.15},
	}
	for f, limit := range tests {
		t.Run("fault: "+string(f), func(t *testing.T) {
			is := is.New(t)
			o := usual(1, 1, f)
			if f == "" {
				o.faults = 0
			}
			p := newPlayer(o).play()
			_, fraction, _ := p.worst()
			t.Logf("refused below the allotment %.4f, waited %.3f, most of the allowed excess %.2f", p.refusedBelow(), p.waitedFraction(), fraction)
			is.True(p.refusedBelow() <= limit.refused)
			is.True(p.waitedFraction() <= limit.waited)
		})
	}
}

// A customer that always sends too much must get all of its allotment, and its refused callers must not come back all together.
func TestOverload(t *testing.T) {
	is := is.New(t)
	o := usual(1, 0)
	o.usage, o.length = 4, 12*time.Second
	p := newPlayer(o).play()
	is.True(p.refusedBelow() <= 0.01)
	for _, c := range p.customers() {
		perTenth := map[time.Duration]int{}
		for _, d := range p.logs[c].refusals {
			is.True(d > 0)
			perTenth[d/(400*time.Millisecond)]++
		}
		for at, n := range perTenth {
			t.Logf("%s: %v: %d of %d", c, at*400*time.Millisecond, n, len(p.logs[c].refusals))
			is.True(n < len(p.logs[c].refusals)/2)
		}
	}
}

// A play must come out the same each time, so that a seed that fails can be looked into.
func TestPlayIsRepeatable(t *testing.T) {
	is := is.New(t)
	first := newPlayer(troubled(5, intact, allFaults...)).play()
	second := newPlayer(troubled(5, intact, allFaults...)).play()
	is.Equal(first.journal, second.journal)
	is.Equal(first.messages, second.messages)
	for _, c := range first.customers() {
		is.Equal(len(first.logs[c].admitted), len(second.logs[c].admitted))
	}
}
