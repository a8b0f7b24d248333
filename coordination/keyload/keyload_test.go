package keyload_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/keyload"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
)

// player adds requests at a rate and reads the meter.
type player struct {
	meter  *keyload.Meter
	now    clock.Instant
	random *rand.Rand
}

func newPlayer() *player {
	return &player{meter: keyload.NewMeter(0), random: rand.New(rand.NewPCG(1, 2))}
}

// play adds requests for the keys from first to last at a rate over all of them, for a duration.
func (p *player) play(d time.Duration, rate float64, first, last int) {
	const step = 50 * time.Millisecond
	due := 0.0
	for end := p.now.Add(d); p.now < end; p.now = p.now.Add(step) {
		for due += rate * step.Seconds() * 2 * p.random.Float64(); due >= 1; due-- {
			p.meter.Add(fleet.Key(first+p.random.IntN(last-first+1)), 1)
		}
		p.meter.Decay(p.now)
	}
}

// rate returns the sum of the rates of some keys.
func (p *player) rate(first, last int) (sum float64) {
	rates := p.meter.Rates()
	for k := first; k <= last; k++ {
		sum += rates[fleet.Key(k)]
	}
	return sum
}

// The rate of a backend server's keys under a steady load must be known well enough that the planner doesn't act on noise.
func TestSteadyRates(t *testing.T) {
	is := is.New(t)
	p := newPlayer()
	p.play(20*time.Second, 2600, 0, fleet.KeyCount-1)
	const servers, keys = 256, fleet.KeyCount / 256
	variance := 0.0
	for i := range servers {
		difference := p.rate(i*keys, (i+1)*keys-1)/(2600.0/servers) - 1
		variance += difference * difference / servers
	}
	is.True(math.Sqrt(variance) < 0.15)
}

// Hot keys must be found within a second, and be forgotten soon after.
func TestHotKeys(t *testing.T) {
	tests := map[string]struct {
		first, last int
		rate        float64
		// within is the time until the keys must be found, and after the time until they must be forgotten.
		within, after time.Duration
	}{
		"one key":               {first: 30011, last: 30011, rate: 400, within: time.Second, after: 4 * time.Second},
		"60 keys":               {first: 30011, last: 30070, rate: 1000, within: time.Second, after: 4 * time.Second},
		"200 keys":              {first: 30011, last: 30210, rate: 900, within: time.Second, after: 4 * time.Second},
		"200 keys, small fleet": {first: 30011, last: 30210, rate: 30, within: 2 * time.Second, after: 12 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPlayer()
			p.play(5*time.Second, 100, 0, fleet.KeyCount-1)
			p.play(test.within, test.rate, test.first, test.last)
			is.True(p.rate(test.first, test.last) > test.rate/2)
			p.play(3*time.Second-test.within, test.rate, test.first, test.last)
			is.True(p.rate(test.first, test.last) > 0.7*test.rate)
			is.True(p.rate(test.first, test.last) < 1.3*test.rate)
			p.play(test.after, 100, 0, fleet.KeyCount-1)
			is.True(p.rate(test.first, test.last) < test.rate/5)
		})
	}
}
