package ownership_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickorylug/hickorylug/coordination/keyload"
	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// hotSpell is a time in which some adjacent keys get a share of all requests.
type hotSpell struct {
	from, to time.Duration
	share    float64
	keys     int
	first    fleet.Key
}

// keyLoad is a load on a keyed service of a large fleet, played as a fluid: each key has a rate, and a backend server
// whose keys' rates exceed its capacity serves its share of each.
type keyLoad struct {
	servers int
	// utilization is the rate as a share of the capacity of all backend servers.
	utilization float64
	spells      []hotSpell
	// lost is the share of the backend servers that are lost at lostAt.
	lost   float64
	lostAt time.Duration
}

const (
	playTime       = 16 * time.Second
	playStep       = 50 * time.Millisecond
	serverCapacity = 13.6
	// reportDelay is the mean delay until the leader hears of requests, and moveTime the time for which moving keys have no owner.
	reportDelay = 250 * time.Millisecond
	moveTime    = 350 * time.Millisecond
	planPeriod  = 500 * time.Millisecond
	// firstPlan is when a new leader first balances the load.
	firstPlan = 3 * time.Second
	// holdTime is how long the keys of a lost backend server wait.
	holdTime = 3050 * time.Millisecond
)

// keyResult is what callers got, in requests, and what it took; asked and served don't count the requests for hot keys.
type keyResult struct {
	asked, served, hotAsked, hotServed, hotServable float64
	movedKeys, moves, mostRanges, ranges            int
	worstSecond                                     float64
}

func (r keyResult) String() string {
	return fmt.Sprintf("others served %.3f, hot %.3f of %.3f servable; worst second %.3f; %d moves of %.3f of the keys, %d ranges at most, %d at the end",
		r.served/r.asked, r.hotServed/max(1, r.hotAsked), r.hotServable/max(1, r.hotAsked), r.worstSecond, r.moves, float64(r.movedKeys)/fleet.KeyCount, r.mostRanges, r.ranges)
}

// keyPlayer plays a keyLoad.
type keyPlayer struct {
	load       keyLoad
	random     *rand.Rand
	candidates []ownership.Candidate
	table      *fleet.Table
	// base holds each key's share of the requests that aren't for hot keys, and total the rate of all requests.
	base  []float64
	total float64
	meter *keyload.Meter
	// unreported holds the rates of the last steps, which the leader hasn't heard of yet.
	unreported [][]float64
	// readyAt is when the move under a fence ends.
	readyAt map[fleet.Fence]time.Duration
	dead    map[fleet.Incarnation]bool
	// seconds holds the requests asked and served in each second.
	seconds map[int][2]float64
	result  keyResult
}

func newKeyPlayer(l keyLoad) *keyPlayer {
	p := &keyPlayer{
		load: l, random: rand.New(rand.NewPCG(1, 2)), total: l.utilization * serverCapacity * float64(l.servers), meter: keyload.NewMeter(0),
		readyAt: map[fleet.Fence]time.Duration{}, dead: map[fleet.Incarnation]bool{}, seconds: map[int][2]float64{}, base: make([]float64, fleet.KeyCount),
	}
	for i := range l.servers {
		p.candidates = append(p.candidates, ownership.Candidate{Incarnation: fleet.Incarnation{Server: id.Server(fmt.Sprintf("i-%04d", i)), Born: 1}, Eligible: true, Warm: true, Capacity: serverCapacity})
	}
	p.table, _ = ownership.Plan(service, nil, p.candidates, nil)
	// The rates are skewed, and busy keys lie close to one another.
	sum := 0.0
	for k := range p.base {
		p.base[k] = 1 / (1 + 20*math.Abs(math.Sin(float64(k)/fleet.KeyCount*9*math.Pi))) * p.random.ExpFloat64()
		sum += p.base[k]
	}
	for k := range p.base {
		p.base[k] /= sum
	}
	return p
}

// play runs the load.
func (l keyLoad) play() keyResult {
	p := newKeyPlayer(l)
	for now := time.Duration(0); now < playTime; now += playStep {
		if l.lost > 0 && now == l.lostAt {
			p.loseServers()
		}
		rates, hot := p.rates(now)
		p.serve(now, rates, hot)
		p.report(now, rates)
		if now%planPeriod == 0 && now >= firstPlan {
			p.plan(now)
		}
	}
	p.result.ranges = len(p.table.Ranges)
	p.result.worstSecond = 1
	for second, s := range p.seconds {
		if time.Duration(second)*time.Second >= firstPlan+time.Second {
			p.result.worstSecond = min(p.result.worstSecond, s[1]/s[0])
		}
	}
	return p.result
}

func (p *keyPlayer) loseServers() {
	for i := range p.candidates {
		if p.random.Float64() < p.load.lost {
			p.candidates[i].Eligible = false
			p.dead[p.candidates[i].Incarnation] = true
		}
	}
}

// rates returns the rates of all keys, and those of the hot keys among them.
func (p *keyPlayer) rates(now time.Duration) (rates []float64, hot map[fleet.Key]float64) {
	hot = map[fleet.Key]float64{}
	left := 1.0
	for _, s := range p.load.spells {
		if now >= s.from && now < s.to {
			left -= s.share
			for k := range s.keys {
				hot[s.first+fleet.Key(k)] += s.share * p.total / float64(s.keys)
			}
		}
	}
	rates = make([]float64, fleet.KeyCount)
	for k := range rates {
		rates[k] = p.base[k]*p.total*left + hot[fleet.Key(k)]
	}
	return rates, hot
}

// owns reports whether the owner of a range serves its keys.
func (p *keyPlayer) owns(now time.Duration, r fleet.Range) bool {
	return now >= p.readyAt[r.Fence] && !p.dead[r.Owner]
}

// serve counts the requests of a step. Each backend server serves its share of all requests for its keys.
func (p *keyPlayer) serve(now time.Duration, rates []float64, hot map[fleet.Key]float64) {
	arrived := map[fleet.Incarnation]float64{}
	for _, r := range p.table.Ranges {
		for k := int(r.From); p.owns(now, r) && k <= int(r.To); k++ {
			arrived[r.Owner] += rates[k]
		}
	}
	second := p.seconds[int(now.Seconds())]
	for _, r := range p.table.Ranges {
		share := 0.0
		if p.owns(now, r) {
			share = min(1, serverCapacity/arrived[r.Owner])
		}
		for k := int(r.From); k <= int(r.To); k++ {
			n := rates[k] * playStep.Seconds()
			second[0] += n
			second[1] += n * share
			if rate, ok := hot[fleet.Key(k)]; ok {
				p.result.hotAsked += n
				p.result.hotServed += n * share
				p.result.hotServable += n * min(1, serverCapacity/rate)
			} else if now >= firstPlan+time.Second {
				p.result.asked += n
				p.result.served += n * share
			}
		}
	}
	p.seconds[int(now.Seconds())] = second
}

// report tells the leader of the requests of an earlier step; each request is one sample.
func (p *keyPlayer) report(now time.Duration, rates []float64) {
	p.unreported = append(p.unreported, rates)
	if len(p.unreported) > int(reportDelay/playStep) {
		for k, rate := range p.unreported[0] {
			p.meter.Add(fleet.Key(k), poisson(p.random, rate*playStep.Seconds()))
		}
		p.unreported = p.unreported[1:]
	}
	p.meter.Decay(clock.Instant(now))
}

// plan makes the next table and begins its moves.
func (p *keyPlayer) plan(now time.Duration) {
	settled, _ := ownership.CompleteMoves(p.table, func(r fleet.Range) bool { return now >= p.readyAt[r.Fence] })
	p.table, _ = ownership.Plan(service, settled, p.candidates, p.meter.Rates())
	for _, r := range p.table.Ranges {
		if _, known := p.readyAt[r.Fence]; known || !r.Moving() {
			continue
		}
		p.readyAt[r.Fence] = now + moveTime
		if p.dead[*r.PreviousOwner] {
			p.readyAt[r.Fence] = max(now+moveTime, p.load.lostAt+holdTime)
		}
		p.result.moves++
		p.result.movedKeys += r.Size()
	}
	p.result.mostRanges = max(p.result.mostRanges, len(p.table.Ranges))
}

// poisson draws from a Poisson distribution with a small mean.
func poisson(random *rand.Rand, mean float64) (n int) {
	limit, p := math.Exp(-mean), random.Float64()
	for p > limit {
		n++
		p *= random.Float64()
	}
	return n
}

// Hot keys must be spread over many backend servers within a second or two, and the requests for other keys must not
// suffer from them. A steady load must not move keys: by rates over the last 1.5 s alone, 1199 moves moved 0.87 of all keys
// in 24 s and left 1422 ranges, each of which takes a call of the leader twice a second.
func TestKeyLoads(t *testing.T) {
	const (
		// leastOthers is the share of requests for other keys that must be served, apart from those for keys of lost servers
		// which have to wait for the hold time.
		leastOthers = 0.9
		// leastHot is the share of the servable requests for hot keys. They can't be served in the first second of five.
		leastHot = 0.7
		// mostRanges bounds the ranges per backend server, and mostMoved the keys moved, in key spaces.
		mostRanges, mostMoved = 4.0, 0.6
	)
	hot := func(share float64, keys int) []hotSpell {
		return []hotSpell{{from: 4 * time.Second, to: 9 * time.Second, share: share, keys: keys, first: 30011}}
	}
	tests := map[string]keyLoad{
		"steady":                    {servers: 274, utilization: 0.7},
		"one hot key":               {servers: 274, utilization: 0.7, spells: hot(0.16, 1)},
		"60 hot keys":               {servers: 274, utilization: 0.7, spells: hot(0.42, 60)},
		"200 hot keys, small fleet": {servers: 10, utilization: 0.7, spells: hot(0.35, 200)},
		"a third is lost":           {servers: 274, utilization: 0.6, lost: 0.33, lostAt: 5 * time.Second},
		"two kinds of hot keys": {servers: 274, utilization: 0.7, spells: []hotSpell{
			{from: 3 * time.Second, to: 8 * time.Second, share: 0.16, keys: 1, first: 1234},
			{from: 4 * time.Second, to: 9 * time.Second, share: 0.33, keys: 200, first: 20000},
		}},
	}
	for name, load := range tests {
		t.Run(name, func(t *testing.T) {
			r := load.play()
			t.Log(r)
			most := 1 - load.lost*float64(holdTime)/float64(playTime-firstPlan-time.Second)
			if got := r.served / r.asked; got < leastOthers*most {
				t.Errorf("%.3f of the requests for other keys were served, want at least %.3f", got, leastOthers*most)
			}
			if got := r.hotServed / max(1, r.hotServable); r.hotAsked > 0 && got < leastHot {
				t.Errorf("%.3f of the servable requests for hot keys were served, want at least %.3f", got, leastHot)
			}
			if got := float64(r.mostRanges) / float64(load.servers); got > mostRanges {
				t.Errorf("%.1f ranges per backend server, want at most %.1f", got, mostRanges)
			}
			if got := float64(r.movedKeys) / fleet.KeyCount; got > mostMoved {
				t.Errorf("%.3f of all keys were moved, want at most %.3f", got, mostMoved)
			}
		})
	}
}
