package edge

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/gossip"
)

// Times of key ownership.
const (
	keysTick = 50 * time.Millisecond
	// balancePeriod is the time between two plans that move keys for the sake of balance.
	balancePeriod = 500 * time.Millisecond
	// gatherTime is how long the first table waits after a backend server has appeared, since they start together.
	gatherTime = 800 * time.Millisecond
	// balanceAfter is the time that a new leader lets the reports come in.
	balanceAfter = 3 * time.Second
	// settleAfter is how long finished moves may stay in the table before they cause a write of their own.
	settleAfter = 3 * time.Second
	// loadMemory is the time over which requests by key are averaged.
	loadMemory = 1500 * time.Millisecond
	// forgetRate is the rate in requests per second below which a key is forgotten.
	forgetRate = 0.02
	// troubledAfter is the number of orders in a row that may fail before a backend server is thought to be lost.
	troubledAfter = 3
	// evictAfter is how long a backend server may be in trouble before it loses its keys.
	evictAfter = 600 * time.Millisecond
	// settledFor is how long a backend server that refused connections is left alone once it takes them again, until its entry shows a new life.
	settledFor = 1500 * time.Millisecond
)

// keys plans key ownership and carries it out while this VM leads.
type keys struct {
	edge *Edge

	mu       sync.Mutex
	granter  *ownership.Granter
	began    clock.Instant
	planned  map[id.Service]clock.Instant
	settled  map[id.Service]clock.Instant
	load     map[id.Service]map[fleet.Key]float64
	faded    clock.Instant
	troubles map[fleet.Incarnation]*trouble
	// addresses holds where backend servers were last reached.
	addresses map[id.Server]fleet.Server
	lives     map[id.Server]fleet.Incarnation
	dead      map[fleet.Incarnation]bool
	// listeners holds the latest life that registered an address.
	listeners map[string]fleet.Incarnation
	writing   bool
	beats     int
	// appeared is when a backend server was last seen for the first time.
	appeared clock.Instant
}

func newKeys(e *Edge) *keys {
	k := &keys{edge: e, addresses: map[id.Server]fleet.Server{}}
	k.begin(e.clock.Boot())
	return k
}

// begin forgets what an earlier leadership of this VM knew.
func (k *keys) begin(now clock.Instant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.granter, k.began, k.faded = ownership.NewGranter(now), now, now
	k.planned, k.settled = map[id.Service]clock.Instant{}, map[id.Service]clock.Instant{}
	if k.load == nil {
		k.load = map[id.Service]map[fleet.Key]float64{}
	}
	k.troubles = map[fleet.Incarnation]*trouble{}
	k.lives, k.dead, k.listeners = map[id.Server]fleet.Incarnation{}, map[fleet.Incarnation]bool{}, map[string]fleet.Incarnation{}
}

// count adds requests for a key to the load.
func (k *keys) count(service id.Service, key fleet.Key, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	load := k.load[service]
	if load == nil {
		load = map[fleet.Key]float64{}
		k.load[service] = load
	}
	load[key] += float64(n) / loadMemory.Seconds()
}

// run plans and carries out until the context ends.
func (k *keys) run(ctx context.Context) error {
	for {
		if k.edge.leads() {
			k.tick(ctx)
		}
		select {
		case <-k.edge.clock.After(keysTick):
		case <-k.edge.replan:
		case <-ctx.Done():
			return nil
		}
	}
}

func (k *keys) tick(ctx context.Context) {
	s := k.edge.snapshot.Load()
	if s.Configuration == nil || s.Leader == nil {
		return
	}
	now := k.edge.clock.Boot()
	k.mu.Lock()
	k.fade(now)
	k.noteLives(s)
	k.mu.Unlock()
	for name, service := range s.Configuration.Services {
		if !service.Keyed {
			continue
		}
		k.plan(ctx, now, s, name)
		if t := s.Tables[name]; t != nil {
			k.order(ctx, now, t)
		}
	}
}

// fade lets old requests count less.
func (k *keys) fade(now clock.Instant) {
	passed := now.Sub(k.faded)
	if passed < balancePeriod/2 {
		return
	}
	k.faded = now
	factor := math.Exp(-passed.Seconds() / loadMemory.Seconds())
	for _, load := range k.load {
		for key, rate := range load {
			if rate *= factor; rate < forgetRate {
				delete(load, key)
			} else {
				load[key] = rate
			}
		}
	}
}

// grantedMoves returns the moves that are done but still stand in the tables as under way.
//
// Those that were told several times are left out of most heartbeats.
func (k *keys) grantedMoves() (out []gossip.Grant) {
	s := k.edge.snapshot.Load()
	k.mu.Lock()
	defer k.mu.Unlock()
	since := k.edge.clock.Boot().Add(-recentGrant)
	if k.beats++; k.beats%allGrantsEvery == 0 {
		since = 0
	}
	for name, t := range s.Tables {
		for _, r := range t.Ranges {
			if r.Moving() && len(out) < maxGrantsInHeartbeat && k.granter.IsGrantedSince(name, r, since) {
				out = append(out, gossip.Grant{Service: name, Fence: r.Fence})
			}
		}
	}
	return out
}

const (
	// recentGrant is how long a finished move is told in every heartbeat.
	recentGrant = 500 * time.Millisecond
	// allGrantsEvery is the number of heartbeats of which one tells all finished moves.
	allGrantsEvery = 6
)

// maxGrantsInHeartbeat bounds the size of a heartbeat.
const maxGrantsInHeartbeat = 150
