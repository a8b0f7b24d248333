package edge

import (
	"context"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/coordination/keyload"
	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/gossip"
)

// Periods and limits of key ownership.
const (
	// paceWeight is the weight of a report in the average pace of a backend server, which gets some ten reports per second. Neighbours on
	// its machine make it three times slower for less than a second, which must not move keys.
	paceWeight     = 0.06
	keyManagerTick = 50 * time.Millisecond
	// rebalancePeriod is the time between two plans that move keys to balance the load.
	rebalancePeriod = 500 * time.Millisecond
	// admissionPeriod is the time between two computations of the limits of requests for hot keys.
	admissionPeriod = 250 * time.Millisecond
	// firstTableDelay is how long the first table waits after a backend server has appeared, since backend servers start together.
	firstTableDelay = 800 * time.Millisecond
	// firstRebalanceDelay is how long a new leader collects load reports before it balances.
	firstRebalanceDelay = 3 * time.Second
	// settledMoveWriteDelay is how long completed moves may stay listed as moving in the table before the table is written for them alone.
	settledMoveWriteDelay = 3 * time.Second
	// maxFailedCalls is the number of consecutive failed calls from which a backend server may count as lost.
	maxFailedCalls = 3
	// evictionDelay is how long calls to a backend server must keep failing before it loses its keys.
	evictionDelay = 600 * time.Millisecond
	// refusalCooldown is how long grants and renewals to a backend server are suspended after a refused connection: it may have restarted, and its entry may not show the new incarnation yet.
	refusalCooldown = 1500 * time.Millisecond
)

// keyManager plans key ownership and makes the grant and release calls while this VM is the leader.
type keyManager struct {
	edge *Edge

	mu           sync.Mutex
	granter      *ownership.Granter
	leadingSince clock.Instant
	// continues is set if this VM led in the era of the store before this one, so that it knows the latest tables.
	continues bool
	// settled is set once the store has the latest tables in this leadership.
	settled bool
	// latest holds the services whose latest table this VM knows.
	latest map[id.Service]bool
	// refenced holds the services whose tables got new fences in this leadership, since the latest ones may be lost.
	refenced map[id.Service]bool
	// settleTriedAt is when settle last wrote to the store.
	settleTriedAt  clock.Instant
	rebalancedAt   map[id.Service]clock.Instant
	tableChangedAt map[id.Service]clock.Instant
	load           map[id.Service]*keyload.Meter
	failureStates  map[fleet.Incarnation]*failureState
	// lastEntries holds the last known entry of each backend server.
	lastEntries  map[id.Server]fleet.Server
	incarnations map[id.Server]fleet.Incarnation
	ended        map[fleet.Incarnation]bool
	// latestAtAddress holds the latest incarnation that registered an address.
	latestAtAddress map[string]fleet.Incarnation
	writeInFlight   bool
	heartbeats      int
	// newGrants are the completed moves that the next broadcast announces.
	newGrants []gossip.Grant
	// admissions limit the requests for keys whose owners are overloaded.
	admissions map[id.Service][]ownership.Admission
	limitedAt  map[id.Service]clock.Instant
	// paces are the average slowdowns of owners of keys, in percent, as all VMs report them.
	paces map[id.Server]float64
	// lastAppearedAt is when a previously unknown backend server last appeared.
	lastAppearedAt clock.Instant
}

func newKeyManager(e *Edge) *keyManager {
	k := &keyManager{edge: e, lastEntries: map[id.Server]fleet.Server{}}
	k.reset(e.clock.Boot(), false)
	return k
}

// reset drops the state of an earlier leadership of this VM, except the load and the last known entries. continues says that this VM led in
// the era of the store before this one.
func (k *keyManager) reset(now clock.Instant, continues bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.continues, k.settled, k.refenced, k.settleTriedAt = continues, false, map[id.Service]bool{}, 0
	if !continues {
		k.latest = map[id.Service]bool{}
	}
	k.granter, k.leadingSince, k.newGrants = ownership.NewGranter(now), now, nil
	k.rebalancedAt, k.tableChangedAt = map[id.Service]clock.Instant{}, map[id.Service]clock.Instant{}
	if k.paces == nil {
		k.paces = map[id.Server]float64{}
	}
	if k.load == nil {
		k.load = map[id.Service]*keyload.Meter{}
	}
	k.admissions, k.limitedAt = map[id.Service][]ownership.Admission{}, map[id.Service]clock.Instant{}
	k.failureStates = map[fleet.Incarnation]*failureState{}
	k.incarnations, k.ended, k.latestAtAddress = map[id.Server]fleet.Incarnation{}, map[fleet.Incarnation]bool{}, map[string]fleet.Incarnation{}
}

// addLoad adds n requests for a key to the load of a keyed service; other services are ignored.
func (k *keyManager) addLoad(service id.Service, key fleet.Key, n int) {
	c := k.edge.snapshot.Load().Configuration
	if c == nil || !c.Services[service].Keyed {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	meter := k.load[service]
	if meter == nil {
		meter = keyload.NewMeter(k.edge.clock.Boot())
		k.load[service] = meter
	}
	meter.Add(key, n)
}

// addPaces adds reported slowdowns to the averages of known backend servers.
func (k *keyManager) addPaces(paces []gossip.Pace) {
	servers := k.edge.snapshot.Load().Servers
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range paces {
		if _, known := servers[p.Server]; !known || p.Slowdown <= 0 {
			continue
		}
		average, ok := k.paces[p.Server]
		if !ok {
			average = float64(p.Slowdown)
		}
		k.paces[p.Server] = average + paceWeight*(float64(p.Slowdown)-average)
	}
	if len(k.paces) > 2*len(servers) {
		maps.DeleteFunc(k.paces, func(server id.Server, _ float64) bool {
			_, known := servers[server]
			return !known
		})
	}
}

// run plans key ownership and makes the due calls until the context ends.
func (k *keyManager) run(ctx context.Context) error {
	for {
		// A pause after this reading makes the commands of the tick older, rather than this leadership longer.
		now := k.edge.clock.Boot()
		if k.edge.leads() {
			k.tick(ctx, now)
		}
		select {
		case <-k.edge.clock.After(keyManagerTick):
		case <-k.edge.replan:
		case <-ctx.Done():
			return nil
		}
	}
}

func (k *keyManager) tick(ctx context.Context, now clock.Instant) {
	s := k.edge.snapshot.Load()
	if s.Configuration == nil || s.Leader == nil || s.Leader.Term != k.edge.ownTerm() {
		// A record of another term is in the copy from which the store came back: this VM has yet to be elected in the new era.
		return
	}
	k.mu.Lock()
	for _, meter := range k.load {
		meter.Decay(now)
	}
	k.recordIncarnations(s)
	k.recordTables(s)
	k.mu.Unlock()
	if !k.settle(ctx, now, s) {
		return
	}
	for name, service := range s.Configuration.Services {
		if !service.Keyed {
			continue
		}
		k.plan(ctx, now, s, name)
		k.limitRequests(now, s, name)
		if t := s.Tables[name]; t != nil && k.knowsLatest(name) {
			k.sendDueCalls(ctx, now, t)
		}
	}
}

// knowsLatest reports whether this VM knows the latest table of a service.
func (k *keyManager) knowsLatest(name id.Service) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.latest[name]
}

// completedMoves returns the moves that are granted but still listed as moving in the tables.
//
// Most heartbeats carry recent moves only, since older ones were already sent several times.
func (k *keyManager) completedMoves() (out []gossip.Grant) {
	s := k.edge.snapshot.Load()
	k.mu.Lock()
	defer k.mu.Unlock()
	since := k.edge.clock.Boot().Add(-recentMoveTime)
	if k.heartbeats++; k.heartbeats%allMovesEvery == 0 {
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

// currentAdmissions returns the limits of the requests for keys, as they are sent to the other VMs.
func (k *keyManager) currentAdmissions() (out []gossip.Admission) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for service, list := range k.admissions {
		for _, a := range list {
			out = append(out, gossip.Admission{Service: service, From: a.From, To: a.To, Fence: a.Fence, PerMille: int(math.Ceil(1000 * a.Share))})
		}
	}
	return out
}

// queueGrant adds a completed move to the next broadcast.
func (k *keyManager) queueGrant(g gossip.Grant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.newGrants = append(k.newGrants, g)
}

// takeNewGrants returns the completed moves that were not broadcast yet.
func (k *keyManager) takeNewGrants() (out []gossip.Grant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	out, k.newGrants = k.newGrants, nil
	return out
}

const (
	// recentMoveTime is how long a completed move is sent in every heartbeat.
	recentMoveTime = 500 * time.Millisecond
	// allMovesEvery is the number of heartbeats of which one carries all completed moves.
	allMovesEvery = 6
)

// maxGrantsInHeartbeat limits the size of a heartbeat.
const maxGrantsInHeartbeat = 150
