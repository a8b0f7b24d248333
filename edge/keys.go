package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/gossip"
	"github.com/hickorylug/hickorylug/transport/http1"
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

// trouble is what the leader has seen of a backend server that doesn't carry orders out.
type trouble struct {
	failures int
	since    clock.Instant
	refused  clock.Instant
	// denied says that a process at its address has turned an order down, as one that doesn't know keys does.
	denied bool
}

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
	troubles map[fleet.Life]*trouble
	// addresses holds where backend servers were last reached.
	addresses map[id.Server]fleet.Server
	lives     map[id.Server]fleet.Life
	dead      map[fleet.Life]bool
	// listeners holds the latest life that registered an address.
	listeners map[string]fleet.Life
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
	k.troubles = map[fleet.Life]*trouble{}
	k.lives, k.dead, k.listeners = map[id.Server]fleet.Life{}, map[fleet.Life]bool{}, map[string]fleet.Life{}
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

// noteLives learns which lives are over: an id that shows a later start has lost what it held.
//
// An entry with an earlier start is late news of a former life and proves nothing.
func (k *keys) noteLives(s *fleet.Snapshot) {
	for name, server := range s.Servers {
		was, ok := k.lives[name]
		switch {
		case !ok:
			k.appeared = k.edge.clock.Boot()
		case server.Born < was.Born:
			continue
		case server.Born > was.Born:
			k.dead[was] = true
		}
		k.lives[name] = server.Life
		if server.Born >= k.listeners[server.Address].Born {
			k.listeners[server.Address] = server.Life
		}
	}
}

// over reports whether a life has ended: its id shows a later start, or its address does and denies to be it.
func (k *keys) over(s *fleet.Snapshot, l fleet.Life) bool {
	if server, ok := s.Servers[l.Server]; k.dead[l] || ok && server.Born > l.Born {
		return true
	}
	t, troubled := k.troubles[l]
	last, known := k.addresses[l.Server]
	if !troubled || !t.denied || !known || last.Life != l {
		return false
	}
	next := k.listeners[last.Address]
	return next.Server != l.Server && next.Born > l.Born
}

// order sends the orders that are due for a table.
func (k *keys) order(ctx context.Context, now clock.Instant, t *fleet.Table) {
	s := k.edge.snapshot.Load()
	isolated := k.edge.isolated(now)
	k.mu.Lock()
	orders := k.granter.Due(now, t, ownership.Lives{
		Dead:      func(l fleet.Life) bool { return k.over(s, l) },
		Suspended: func(l fleet.Life) bool { return k.suspended(now, l) },
		Lost:      func(l fleet.Life) bool { return k.lost(now, l) },
		Isolated:  isolated,
	})
	k.mu.Unlock()
	for _, o := range orders {
		k.edge.tasks.Go(ctx, func(ctx context.Context) { k.carryOut(ctx, o) })
	}
}

// suspended reports whether a backend server may have been started anew without its entry showing it yet.
func (k *keys) suspended(now clock.Instant, l fleet.Life) bool {
	t, ok := k.troubles[l]
	return ok && t.refused > 0 && now.Sub(t.refused) < settledFor
}

// lost reports whether a backend server has left so many orders unanswered that it loses its keys.
func (k *keys) lost(now clock.Instant, l fleet.Life) bool {
	t, ok := k.troubles[l]
	return ok && (t.failures >= troubledAfter || t.refused > 0) && now.Sub(t.since) > evictAfter
}

// carryOut makes the call of an order.
func (k *keys) carryOut(ctx context.Context, o ownership.Order) {
	e := k.edge
	timeout := ownership.CallTimeout
	call := platform.GrantCall(o.From, o.To, o.Fence, k.holdTime().Seconds(), o.Handover)
	if o.Release {
		timeout = ownership.ReleaseTimeout
		call = platform.ReleaseCall(o.From, o.To, o.Fence)
	}
	server, known := k.address(o.Life)
	if !known || o.Expired(e.clock.Boot()) {
		k.report(o, ownership.Unanswered, "", false)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(call.Body)
	if err != nil {
		e.log.Error("an order can't be encoded", "error", err)
		return
	}
	header := http.Header{"Content-Type": {"application/json"}, platform.HeaderExpect: {string(o.Life.Server)}}
	got, err := e.backends.Do(ctx, http1.Request{
		Address: server.Address, Owner: string(o.Life.Server), Method: http.MethodPost, Target: call.Path, Host: server.Address, Header: header, Body: body,
	})
	if err != nil {
		k.report(o, ownership.Unanswered, "", errors.Is(err, http1.ErrRefused))
		return
	}
	_, err = io.Copy(io.Discard, got.Body)
	_ = got.Body.Close()
	switch {
	case err != nil:
		k.report(o, ownership.Unanswered, "", false)
	case got.Status == http.StatusOK:
		k.report(o, ownership.Done, got.Header.Get(platform.HeaderHandover), false)
	case got.Status == http.StatusConflict:
		k.report(o, ownership.Refused, "", false)
	default:
		e.log.Warn("an order was turned down", "server", string(o.Life.Server), "release", o.Release, "status", got.Status)
		k.report(o, ownership.Unanswered, "", false)
		k.deny(o.Life)
	}
}

func (k *keys) holdTime() time.Duration {
	return min(ownership.HoldTime, k.edge.settings.MaxHold.Std())
}

// address returns where a life of a backend server is reached, also once its entry is gone.
func (k *keys) address(l fleet.Life) (s fleet.Server, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s, known = k.edge.snapshot.Load().Servers[l.Server]; known {
		k.addresses[l.Server] = s
	} else {
		s, known = k.addresses[l.Server]
	}
	return s, known && s.Life == l
}

// report takes what became of an order.
func (k *keys) report(o ownership.Order, outcome ownership.Outcome, handover string, refused bool) {
	e := k.edge
	now := e.clock.Boot()
	k.mu.Lock()
	moved := !o.Release && !k.granter.Granted(o.Service, fleet.Range{From: o.From, To: o.To, Fence: o.Fence})
	k.granter.Report(now, o, outcome, handover)
	moved = moved && outcome == ownership.Done
	was := k.lost(now, o.Life)
	k.noteTrouble(now, o.Life, outcome, refused)
	loses := !was && k.lost(now, o.Life)
	k.mu.Unlock()
	if loses {
		e.log.Warn("backend server loses its keys: it leaves orders unanswered", "service", string(o.Service), "server", string(o.Life.Server), "refused", refused)
	}
	switch {
	case moved:
		e.dispatcher.Moved(o.Service, o.Fence)
		m := e.message()
		m.Heartbeat.Granted = append(m.Heartbeat.Granted, gossip.Grant{Service: o.Service, Fence: o.Fence})
		e.announce(m)
		e.log.Info("keys have a new owner", "service", string(o.Service), "from", int(o.From), "to", int(o.To), "server", string(o.Life.Server), "fence", int64(o.Fence), "warm", o.Handover != "")
	case outcome == ownership.Done && o.Release:
		e.log.Info("keys were released", "service", string(o.Service), "from", int(o.From), "to", int(o.To), "server", string(o.Life.Server), "fence", int64(o.Fence), "handover", handover != "")
		e.poke(e.replan)
	case outcome == ownership.Refused:
		e.log.Warn("a grant was refused: a higher fence was seen", "service", string(o.Service), "server", string(o.Life.Server), "fence", int64(o.Fence))
	case outcome == ownership.Unanswered:
		e.log.Warn("an order was not answered", "service", string(o.Service), "server", string(o.Life.Server), "release", o.Release, "fence", int64(o.Fence), "refused", refused)
	}
}

// deny notes that a process at the address of a backend server has turned an order down.
func (k *keys) deny(l fleet.Life) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t, ok := k.troubles[l]; ok {
		t.denied = true
	}
}

func (k *keys) noteTrouble(now clock.Instant, l fleet.Life, outcome ownership.Outcome, refused bool) {
	if outcome != ownership.Unanswered {
		delete(k.troubles, l)
		return
	}
	t, ok := k.troubles[l]
	if !ok {
		t = &trouble{since: now}
		k.troubles[l] = t
	}
	t.failures++
	if refused {
		t.refused = now
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
			if r.Moving() && len(out) < maxGrantsInHeartbeat && k.granter.GrantedSince(name, r, since) {
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

// plan changes the table of a service where that is needed, by one write at a time.
func (k *keys) plan(ctx context.Context, now clock.Instant, s *fleet.Snapshot, name id.Service) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.writing || k.edge.newsAge() > outageAfter {
		return
	}
	t := s.Tables[name]
	if t == nil && now.Sub(k.appeared) < gatherTime {
		return
	}
	next, changed := k.next(now, t, name, k.candidates(now, s, name))
	if !changed {
		return
	}
	k.settled[name] = now
	k.writing = true
	k.edge.tasks.Go(ctx, func(ctx context.Context) { k.write(ctx, s.Leader.Term, t, next) })
}

// loadOf returns the load of a service where it is time to balance it, or nil.
func (k *keys) loadOf(now clock.Instant, name id.Service) ownership.Load {
	if now.Sub(k.began) <= balanceAfter || now.Sub(k.planned[name]) < balancePeriod {
		return nil
	}
	k.planned[name] = now
	if load := k.load[name]; load != nil {
		return load
	}
	return ownership.Load{}
}

// next returns the next table of a service; changed is false where there is no need to write it now.
func (k *keys) next(now clock.Instant, t *fleet.Table, name id.Service, candidates []ownership.Candidate) (next *fleet.Table, changed bool) {
	load := k.loadOf(now, name)
	if t == nil {
		return ownership.Plan(name, nil, candidates, load)
	}
	next, moved, settled := k.granter.Revise(t, candidates, load)
	return next, moved || settled && now.Sub(k.settled[name]) > settleAfter
}

const (
	// fastest and slowest bound what is believed of a backend server's work time, as a part and a multiple of the median.
	fastest = 2
	slowest = 16
	// unknownWork stands for the work time while none is known.
	unknownWork = 100 * time.Millisecond
)

func medianOf(works map[id.Server]time.Duration) time.Duration {
	if len(works) == 0 {
		return unknownWork
	}
	sorted := slices.Sorted(maps.Values(works))
	return max(sorted[len(sorted)/2], time.Millisecond)
}

// candidates returns the backend servers of a service with what they bear.
func (k *keys) candidates(now clock.Instant, s *fleet.Snapshot, name id.Service) (out []ownership.Candidate) {
	cold := map[id.Server]bool{}
	works := map[id.Server]time.Duration{}
	for _, st := range k.edge.dispatcher.States() {
		if st.Service == name {
			cold[st.Life.Server], works[st.Life.Server] = st.Cold, st.Work
		}
	}
	median := medianOf(works)
	for _, n := range s.ByService[name] {
		server := s.Servers[n]
		work := min(max(works[n], median/fastest), slowest*median)
		out = append(out, ownership.Candidate{
			Life: server.Life, Eligible: s.Usable(server) && !k.lost(now, server.Life), Warm: !cold[n],
			Capacity: float64(server.Slots) / work.Seconds(),
		})
	}
	return out
}

// write makes a table the store's, as long as nobody else leads.
func (k *keys) write(ctx context.Context, term id.Revision, before, next *fleet.Table) {
	e := k.edge
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer func() {
		k.mu.Lock()
		k.writing = false
		k.mu.Unlock()
		e.poke(e.replan)
	}()
	value, err := fleet.EncodeTable(next)
	if err != nil {
		e.log.Error("a key table can't be encoded", "service", string(next.Service), "error", err)
		return
	}
	revision := id.Revision(0)
	if before != nil {
		revision = before.Revision
	}
	key := platform.KeyTable(next.Service)
	written, err := e.store.Write(ctx, []platform.Condition{{Key: key, Revision: revision}, {Key: platform.KeyLeader(), Revision: term}}, platform.Put{Key: key, Value: value})
	if err != nil {
		e.log.Warn("a key table was not written", "service", string(next.Service), "fence", int64(next.Fence), "error", err)
		<-e.clock.After(shortRetry)
		return
	}
	e.storeAnswered()
	item := fleet.Item{Key: key, Value: bytes.Clone(value), Revision: written}
	u := fleet.Update{From: written - 1, To: written, Items: []fleet.Item{item}}
	e.mirror.Apply(u)
	e.publish()
	e.poke(e.pass)
	e.log.Info("key table written", "service", string(next.Service), "ranges", len(next.Ranges), "fence", int64(next.Fence), "revision", uint64(written))
}
