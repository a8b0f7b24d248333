// Package keyload estimates the request rate of each key of a service from counts that arrive late and in small numbers.
//
// It answers two loads that need opposite answers. A steady load gives a backend
// server some ten requests per second, so a rate over the last second or two is
// mostly noise, and keys that are moved by it are moved for nothing. A key that
// becomes hot must be found within a second. So there are two averages: a slow
// one, and a fast one that replaces it where the two differ by more than chance,
// in blocks of adjacent keys.
//
// # Usage
//
//	m := keyload.NewMeter(now)
//	m.Add(4711, 3)
//	m.Decay(now)
//	rates := m.Rates()
package keyload

import (
	"math"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
)

const (
	// fastTime and slowTime are the time constants of the two averages.
	fastTime = time.Second
	slowTime = 8 * time.Second
	// minWindow is the least time over which the averages of a new meter are taken.
	minWindow = time.Second
	// blockKeys is the number of adjacent keys whose averages are compared together, as hot keys are close to each other.
	blockKeys = 64
	// significance is the difference of the averages, in standard deviations of a Poisson distribution, that isn't chance.
	significance = 3.5
	// changeTime is how long the fast average is used for a block after a change, until it has followed the change.
	changeTime = 3 * time.Second
	// decayPeriod is the least time between two decays.
	decayPeriod = 100 * time.Millisecond
	// minRate is the rate, in requests per second, below which a key counts as idle.
	minRate = 0.02
)

// Meter estimates the rates of one service's keys. It is not safe for concurrent use.
type Meter struct {
	// fast and slow are the exponentially decayed counts of requests by key.
	fast, slow [fleet.KeyCount]float32
	// fastWindow and slowWindow are the exponentially decayed times of observation.
	fastWindow, slowWindow time.Duration
	decayedAt              clock.Instant
	// changedUntil is until when the fast average is used for each block.
	changedUntil [fleet.KeyCount / blockKeys]clock.Instant
}

// NewMeter returns a meter that starts at now.
func NewMeter(now clock.Instant) *Meter { return &Meter{decayedAt: now} }

// Add counts n requests for a key.
func (m *Meter) Add(key fleet.Key, n int) {
	m.fast[key] += float32(n)
	m.slow[key] += float32(n)
}

// Decay reduces the weight of earlier requests, and lets the fast average replace the slow one where they differ.
func (m *Meter) Decay(now clock.Instant) {
	elapsed := now.Sub(m.decayedAt)
	if elapsed < decayPeriod {
		return
	}
	m.decayedAt = now
	fast := decay(&m.fast, &m.fastWindow, elapsed, fastTime)
	slow := decay(&m.slow, &m.slowWindow, elapsed, slowTime)
	for block := range m.changedUntil {
		m.compare(now, block, fast, slow)
	}
}

// decay decays counts and their window, and returns the window.
func decay(counts *[fleet.KeyCount]float32, window *time.Duration, elapsed, constant time.Duration) time.Duration {
	factor := math.Exp(-elapsed.Seconds() / constant.Seconds())
	for k := range counts {
		counts[k] *= float32(factor)
	}
	*window = time.Duration(float64(*window)*factor) + elapsed
	return max(*window, minWindow)
}

// compare replaces the slow averages of a block of keys by the fast ones if the fast one differs by more than chance from the
// average over the time before it, and for some time after that.
func (m *Meter) compare(now clock.Instant, block int, fastWindow, slowWindow time.Duration) {
	var fast, slow float64
	from := block * blockKeys
	for k := from; k < from+blockKeys; k++ {
		fast += float64(m.fast[k])
		slow += float64(m.slow[k])
	}
	// The slow count contains the fast one with nearly its whole weight, so their difference stands for the time before.
	expected := (slow - fast) / max(slowWindow-fastWindow, minWindow).Seconds() * fastWindow.Seconds()
	// The variance of an exponentially decayed count is half of its mean.
	if math.Abs(fast-expected) > significance*math.Sqrt((expected+1)/2) {
		m.changedUntil[block] = now.Add(changeTime)
	}
	if now >= m.changedUntil[block] {
		return
	}
	ratio := float32(slowWindow.Seconds() / fastWindow.Seconds())
	for k := from; k < from+blockKeys; k++ {
		m.slow[k] = m.fast[k] * ratio
	}
}

// Rates returns the rates of the keys that aren't idle, in requests per second.
func (m *Meter) Rates() (rates map[fleet.Key]float64) {
	window := max(m.slowWindow, minWindow).Seconds()
	rates = map[fleet.Key]float64{}
	for k, n := range m.slow {
		if rate := float64(n) / window; rate >= minRate {
			rates[fleet.Key(k)] = rate
		}
	}
	return rates
}
