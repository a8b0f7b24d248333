package edge

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/gossip"
)

// Times of the messages between VMs.
const (
	coordinateTick = 50 * time.Millisecond
	// followerPeriod is the time between two heartbeats of a VM that doesn't lead.
	followerPeriod = 400 * time.Millisecond
	// loadPeriod is the time between two messages about requests in flight, in a small failure domain.
	loadPeriod = 40 * time.Millisecond
	// loadKeepAlive is the longest time without such a message.
	loadKeepAlive = 250 * time.Millisecond
	// loadPeers is the number of VMs in a failure domain up to which each tells all others at each period.
	loadPeers = 5
	// farPeriod is the time between two messages about load to other failure domains, where each byte is dear.
	farPeriod = 160 * time.Millisecond
	// farPeers bounds the VMs that get each of them.
	farPeers = 8
	// keyPeriod is the time between two reports of requests by key to the leader.
	keyPeriod = 400 * time.Millisecond
	// keysPerMessage bounds the keys in one message.
	keysPerMessage = 300
	fetchTimeout   = time.Second
	// fetchSpread is the time for each VM over which fetches are spread, up to maxFetchSpread.
	fetchSpread    = 3 * time.Millisecond
	maxFetchSpread = 250 * time.Millisecond
)

// coordinate keeps the leadership and the heartbeats until the context ends.
func (e *Edge) coordinate(ctx context.Context) error {
	var kept, beaten clock.Instant
	for {
		now := e.clock.Boot()
		e.mu.Lock()
		vm, term, fresh := e.elector.Leader(now)
		campaign := !e.campaigning && !e.leaving.Load() && e.elector.ShouldCampaign(now, e.rank(term)) && now.Sub(e.storeAt) < outageAfter
		e.campaigning = e.campaigning || campaign
		e.mu.Unlock()
		leading := vm == e.settings.VM
		if campaign {
			e.tasks.Go(ctx, e.campaign)
		}
		if leading && now.Sub(kept) >= leader.RenewPeriod {
			kept = now
			e.tasks.Go(ctx, e.keepLease)
		}
		period := followerPeriod
		if leading {
			period = leader.HeartbeatPeriod
		}
		if now.Sub(beaten) >= period {
			beaten = now
			if leading || !fresh {
				e.broadcast(ctx)
			} else {
				e.tell(vm, e.message())
			}
		}
		select {
		case <-e.clock.After(coordinateTick):
		case <-ctx.Done():
			return nil
		}
	}
}

// rank returns this VM's place among the candidates for the next term: the strongest first, equals in a changing order.
func (e *Edge) rank(term id.Revision) (rank int) {
	peers := e.snapshot.Load().Peers
	chance := func(vm id.VM) uint64 { return xxhash.Sum64String(strconv.FormatUint(uint64(term), 16) + string(vm)) }
	own := chance(e.settings.VM)
	for vm, p := range peers {
		if p.Strength > e.strength() || p.Strength == e.strength() && chance(vm) < own {
			rank++
		}
	}
	return rank
}

// message returns a message with this VM's heartbeat.
func (e *Edge) message() gossip.Message {
	members := e.members()
	position := e.mirror.Position()
	granted := e.keys.grantedMoves()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Boot()
	beat := &gossip.Heartbeat{
		Position: position, StoreAge: now.Sub(e.storeAt), Leading: e.elector.Leads(now, members), Leaving: e.resigned.Load(),
		SettlingTime: max(0, e.settledAt.Sub(now)), StoreUnreachable: e.failedAt > e.answeredAt && now.Sub(e.failedAt) < e.awayMemory(),
	}
	if beat.Leading {
		beat.Term, beat.Granted = e.elector.Term(), granted
	}
	return e.sign(gossip.Message{Heartbeat: beat})
}

// sign adds who sends a message.
func (e *Edge) sign(m gossip.Message) gossip.Message {
	m.From, m.Incarnation, m.Domain = e.settings.VM, e.incarnation, e.settings.FailureDomain
	return m
}

// broadcast tells all registered VMs what this VM knows.
func (e *Edge) broadcast(context.Context) { e.announce(e.message()) }

// tell sends a message to one VM.
func (e *Edge) tell(vm id.VM, m gossip.Message) {
	if p, ok := e.snapshot.Load().Peers[vm]; ok {
		e.sendTo(m, p.Address)
	}
}

func (e *Edge) sendTo(m gossip.Message, addresses ...string) {
	if len(addresses) == 0 {
		return
	}
	if err := e.socket.Send(m, addresses...); err != nil {
		e.metrics.lostMessages.Add(1)
		e.log.Debug("a message to other VMs was not sent", "error", err)
	}
}

// addresses returns where the other VMs are reached that are to be told.
func (e *Edge) addresses(wanted func(p fleet.Peer) bool) (out []string) {
	for vm, p := range e.snapshot.Load().Peers {
		if vm != e.settings.VM && (wanted == nil || wanted(p)) {
			out = append(out, p.Address)
		}
	}
	return out
}

// passPeriod is the time between two messages about changes, so that changes that come together go together.
const passPeriod = 30 * time.Millisecond

// passOn tells all VMs what has changed in the store, as long as this VM leads.
func (e *Edge) passOn(ctx context.Context) error {
	told := e.mirror.Position()
	for {
		select {
		case <-e.pass:
		case <-ctx.Done():
			return nil
		}
		if !e.leads() {
			told = e.mirror.Position()
			continue
		}
		u := e.mirror.Since(told)
		told = u.To
		if len(u.Items) > 0 {
			m := e.message()
			m.Update = &u
			e.announce(m)
		}
		select {
		case <-e.clock.After(passPeriod):
		case <-ctx.Done():
			return nil
		}
	}
}

// receive takes a message of another VM.
func (e *Edge) receive(m gossip.Message) {
	if m.From == e.settings.VM {
		return
	}
	if m.Relay {
		e.passAlong(m)
	}
	if m.Load != nil {
		loads := make([]dispatch.Load, len(m.Load.Servers))
		for i, l := range m.Load.Servers {
			loads[i] = dispatch.Load{
				Server: l.Server, InFlight: l.InFlight, ServiceTime: time.Duration(l.ServiceTime) * time.Millisecond,
				Reported: l.Reported, ReportAge: time.Duration(l.ReportAge) * time.Millisecond, HasReport: l.HasReport,
				Slowdown: float64(l.Slowdown), EjectedFor: time.Duration(l.EjectedFor) * time.Millisecond,
			}
		}
		e.dispatcher.UpdatePeer(m.From, loads)
	}
	for _, k := range m.Keys {
		e.keys.count(k.Service, k.Key, k.Count)
	}
	for _, d := range m.CrashReports {
		e.poison.MergeCrashes(e.clock.Boot(), poison.Fingerprint(d.Fingerprint), d.Crashes)
	}
	if m.Heartbeat != nil {
		e.heard(m)
	}
}

// heard takes a heartbeat and the change of the store's items that may come with it.
func (e *Edge) heard(m gossip.Message) {
	beat := m.Heartbeat
	e.mu.Lock()
	now := e.clock.Boot()
	led, before, wasFresh := e.elector.Leader(now)
	e.elector.RecordHeartbeat(now, m.From, beat.Leading, beat.Term, beat.StoreUnreachable)
	if beat.Leaving {
		e.elector.Resigned(now, m.From)
	}
	if beat.Leading {
		e.leaderNews = now.Add(-beat.StoreAge)
		e.storeAt = max(e.storeAt, e.leaderNews)
		if beat.SettlingTime > 0 {
			e.settledAt = max(e.settledAt, now.Add(beat.SettlingTime))
		}
	}
	vm, term, fresh := e.elector.Leader(now)
	e.mu.Unlock()
	if fresh && (vm != led || term != before || !wasFresh) {
		e.log.Info("leader is heard", "leader", string(vm), "term", uint64(term), "position", uint64(beat.Position))
	}
	if led == e.settings.VM && vm != led {
		e.log.Warn("this VM no longer leads: another one does", "leader", string(vm), "term", uint64(term))
	}
	complete := true
	if m.Update != nil {
		complete = e.mirror.Apply(*m.Update)
	}
	if beat.Leading && (!complete || beat.Position > e.mirror.Position() && m.Update == nil) {
		e.fetch(m.From)
	}
	for _, g := range beat.Granted {
		e.dispatcher.MarkMoved(g.Service, g.Fence)
	}
}

// fetch reads a copy of the store's items from another VM, once at a time.
func (e *Edge) fetch(from id.VM) {
	p, ok := e.snapshot.Load().Peers[from]
	e.mu.Lock()
	busy := e.fetching
	e.fetching = e.fetching || ok
	e.mu.Unlock()
	if !ok || busy {
		return
	}
	e.tasks.Go(context.Background(), func(ctx context.Context) {
		// All VMs may have missed the same message, and the one that is to answer may be small.
		spread := min(fetchSpread*time.Duration(e.peerCount()), maxFetchSpread)
		<-e.clock.After(rand.N(spread))
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		u, err := e.socket.Fetch(ctx, p.Address, e.mirror.Position())
		if err != nil {
			e.log.Warn("the items of the store could not be fetched", "from", string(from), "error", err)
		} else {
			e.mirror.Apply(u)
		}
		e.mu.Lock()
		e.fetching = false
		e.mu.Unlock()
	})
}

// shareLoad tells the VMs near by what this VM has in flight, and the leader which keys are requested.
func (e *Edge) shareLoad(ctx context.Context) error {
	var told, farTold, keysTold clock.Instant
	empty := true
	for {
		e.dispatcher.ExpirePeers()
		e.dispatcher.Tick()
		near := e.addresses(func(p fleet.Peer) bool { return p.Domain == e.settings.FailureDomain })
		now := e.clock.Boot()
		loads := e.dispatcher.Loads()
		if len(loads) > 0 || !empty || now.Sub(told) >= loadKeepAlive {
			told, empty = now, len(loads) == 0
			m := e.sign(gossip.Message{Load: loadMessage(loads)})
			e.sendTo(m, near...)
			if now.Sub(farTold) >= farPeriod {
				farTold = now
				if far := e.farLoads(loads); len(far) > 0 {
					e.sendTo(e.sign(gossip.Message{Load: loadMessage(far)}), e.farSample()...)
				}
			}
		}
		if now.Sub(keysTold) >= keyPeriod {
			keysTold = now
			e.reportKeys(now)
		}
		period := loadPeriod * time.Duration(max(loadPeers, len(near))) / loadPeers
		select {
		case <-e.clock.After(period - rand.N(period/8)):
		case <-ctx.Done():
			return nil
		}
	}
}

// farLoads returns what VMs of other failure domains need to know: of backend servers that are far from this VM, or own keys.
func (e *Edge) farLoads(loads []dispatch.Load) (out []dispatch.Load) {
	s := e.snapshot.Load()
	for _, l := range loads {
		server := s.Servers[l.Server]
		if server.Domain != e.settings.FailureDomain || s.Tables[server.Service] != nil || l.EjectedFor > 0 {
			out = append(out, l)
		}
	}
	return out
}

// farSample returns some VMs of other failure domains, others each time.
func (e *Edge) farSample() []string {
	far := e.addresses(func(p fleet.Peer) bool { return p.Domain != e.settings.FailureDomain })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return far[:min(len(far), farPeers)]
}

func loadMessage(loads []dispatch.Load) *gossip.Load {
	m := &gossip.Load{Servers: make([]gossip.ServerLoad, len(loads))}
	for i, l := range loads {
		m.Servers[i] = gossip.ServerLoad{Server: l.Server, InFlight: l.InFlight, ServiceTime: int(l.ServiceTime.Milliseconds()), Slowdown: int(l.Slowdown), HasReport: l.HasReport, EjectedFor: int(l.EjectedFor.Milliseconds())}
		if l.HasReport {
			m.Servers[i].Reported, m.Servers[i].ReportAge = l.Reported, int(l.ReportAge.Milliseconds())
		}
	}
	return m
}

// reportKeys tells the leader how often keys were requested.
func (e *Edge) reportKeys(now clock.Instant) {
	counts := e.dispatcher.KeyLoads()
	if len(counts) == 0 {
		return
	}
	e.mu.Lock()
	vm, _, fresh := e.elector.Leader(now)
	e.mu.Unlock()
	if !fresh {
		return
	}
	m := e.sign(gossip.Message{})
	for _, c := range counts[:min(len(counts), keysPerMessage)] {
		if vm == e.settings.VM {
			e.keys.count(c.Service, c.Key, c.Count)
			continue
		}
		m.Keys = append(m.Keys, gossip.KeyCount{Service: c.Service, Key: c.Key, Count: c.Count})
	}
	if vm != e.settings.VM {
		e.tell(vm, m)
	}
}

// died warns the other VMs of a request that crashes backend servers.
func (e *Edge) died(f poison.Fingerprint, deaths int) {
	e.log.Warn("a backend server crashed while it had this request", "fingerprint", uint64(f), "deaths", deaths)
	e.announce(e.sign(gossip.Message{CrashReports: []gossip.CrashReport{{Fingerprint: uint64(f), Crashes: deaths}}}))
}
