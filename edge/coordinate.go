package edge

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/gossip"
)

// Periods and limits of the messages between VMs.
const (
	coordinateTick = 50 * time.Millisecond
	// followerHeartbeatPeriod is the time between two heartbeats of a VM that isn't the leader.
	followerHeartbeatPeriod = 400 * time.Millisecond
	fetchTimeout            = time.Second
	// fetchDelay is how long a VM waits for a missing update before it fetches it. A heartbeat of the leader may overtake the update, which
	// is sent with those of the next updateBatchPeriod.
	fetchDelay = 3 * updateBatchPeriod
	// fetchJitterPerVM, multiplied by the number of registered VMs, is the maximum random delay of a fetch; maxFetchJitter limits it.
	fetchJitterPerVM = 3 * time.Millisecond
	maxFetchJitter   = 250 * time.Millisecond
)

// coordinate renews the leadership, campaigns for it and sends heartbeats until the context ends.
func (e *Edge) coordinate(ctx context.Context) error {
	var renewedAt, heartbeatAt clock.Instant
	for {
		now := e.clock.Boot()
		e.ranAt.Store(int64(now))
		e.endEarlierEra(now)
		e.endReplaced(now)
		e.learnRecordedTerm(now)
		e.observeLeadership(now)
		vm, fresh, campaign := e.beginCampaign(now)
		leading := vm == e.settings.VM
		if campaign {
			e.tasks.Go(ctx, e.campaign)
		}
		period := followerHeartbeatPeriod
		if leading {
			period = leader.HeartbeatPeriod
			if now.Sub(renewedAt) >= leader.RenewPeriod || e.mustConfirmCopy(now) {
				// The answer to a renewal also says that this VM's copy of the store is up to date, at a fraction of the price of a read.
				renewedAt = now
				e.tasks.Go(ctx, e.renewLease)
			}
			e.observeFormerLeaders(now)
			e.proposeVoters(ctx, now)
		}
		if now.Sub(heartbeatAt) >= period {
			heartbeatAt = now
			if leading || !fresh {
				e.broadcastHeartbeat()
			} else {
				e.sendToVM(vm, e.heartbeatMessage())
			}
		}
		e.crashes.Repeat(now, leading)
		select {
		case <-e.clock.After(coordinateTick):
		case <-ctx.Done():
			return nil
		}
	}
}

// beginCampaign returns the leader, whether it is fresh, and whether this VM is to campaign now.
func (e *Edge) beginCampaign(now clock.Instant) (vm id.VM, fresh, campaign bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	vm, term, fresh := e.elector.Leader(now)
	campaign = !fresh && !e.campaigning && !e.leaving.Load() && e.elector.ShouldCampaign(now, e.campaignRank(term)) && now.Sub(e.storeSyncedAt) < outageThreshold
	e.campaigning = e.campaigning || campaign
	return vm, fresh, campaign
}

// campaignRank returns this VM's position among the candidates for the next term: strongest first, ties in an order that differs by term.
func (e *Edge) campaignRank(term id.Revision) (rank int) {
	peers := e.snapshot.Load().Peers
	tieBreak := func(vm id.VM) uint64 { return xxhash.Sum64String(strconv.FormatUint(uint64(term), 16) + string(vm)) }
	own := tieBreak(e.settings.VM)
	for vm, p := range peers {
		if p.Strength > e.strength() || p.Strength == e.strength() && tieBreak(vm) < own {
			rank++
		}
	}
	return rank
}

// heartbeatMessage returns a message with this VM's heartbeat.
func (e *Edge) heartbeatMessage() gossip.Message {
	position := e.mirror.Position()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Boot()
	stamp := e.elector.Stamp(now)
	heartbeat := &gossip.Heartbeat{
		Position: position, StoreStaleness: now.Sub(e.storeSyncedAt), Leading: e.elector.Leads(now), Leaving: e.resigned.Load(),
		SettlingTime: max(0, e.removalsHeldUntil.Sub(now)), StoreUnreachable: e.missesStore(now),
		KnownTerm: e.elector.KnownTerm(), Stamp: &stamp,
	}
	if heartbeat.Leading {
		heartbeat.Term, heartbeat.GivesTokens = e.elector.Term(), true
		heartbeat.StoreStaleness = e.reader.Age(now)
	}
	return e.withSender(gossip.Message{Heartbeat: heartbeat})
}

// missesStore reports whether the store answered this VM before and doesn't now. A VM that has just started may have forgotten the term of a
// leader that it knew, so that it must have read the store before its report may let a former leader act. The caller holds mu.
func (e *Edge) missesStore(now clock.Instant) bool {
	return e.storeAnsweredAt > 0 && e.storeFailedAt > e.storeAnsweredAt && now.Sub(e.storeFailedAt) < e.storeFailureTTL()
}

// withSender fills in the sender fields of a message.
func (e *Edge) withSender(m gossip.Message) gossip.Message {
	m.From, m.Incarnation, m.Domain = e.settings.VM, e.incarnation, e.settings.FailureDomain
	return m
}

// broadcastHeartbeat sends this VM's heartbeat to all registered VMs, the leader's with the completed moves of keys.
func (e *Edge) broadcastHeartbeat() {
	m := e.heartbeatMessage()
	if m.Heartbeat.Leading {
		e.allotments.followLeader()
		m.Heartbeat.Granted = e.keys.completedMoves()
		m.Heartbeat.Admissions, m.Heartbeat.HasAdmissions = e.keys.currentAdmissions(), true
		e.setAdmissions(m.Heartbeat.Admissions)
	}
	e.announce(m)
}

// setAdmissions applies the leader's limits of the requests for keys.
func (e *Edge) setAdmissions(list []gossip.Admission) {
	limits := map[id.Service][]ownership.Admission{}
	for _, a := range list {
		limits[a.Service] = append(limits[a.Service], ownership.Admission{From: a.From, To: a.To, Fence: a.Fence, Share: float64(a.PerMille) / 1000})
	}
	e.dispatcher.SetAdmissions(limits)
}

// sendToVM sends a message to one registered VM.
func (e *Edge) sendToVM(vm id.VM, m gossip.Message) {
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
		e.log.Debug("sending a message to other VMs failed", "error", err)
	}
}

// peerAddresses returns the addresses of the other registered VMs that a filter selects; a nil filter selects all.
func (e *Edge) peerAddresses(filter func(p fleet.Peer) bool) (out []string) {
	for vm, p := range e.snapshot.Load().Peers {
		if vm != e.settings.VM && (filter == nil || filter(p)) {
			out = append(out, p.Address)
		}
	}
	return out
}

// updateBatchPeriod is the time between two messages with news of the leader, so that changes close together share one.
// Hundreds of key ranges may move at the same time, and each message goes to every VM.
const updateBatchPeriod = 30 * time.Millisecond

// broadcastUpdates sends changes of the store and completed moves of keys to all VMs while this VM is the leader.
func (e *Edge) broadcastUpdates(ctx context.Context) error {
	announced := e.mirror.Position()
	for {
		select {
		case <-e.updatesPending:
		case <-ctx.Done():
			return nil
		}
		granted := e.keys.takeNewGrants()
		if !e.leads() {
			announced = e.mirror.Position()
			continue
		}
		u := e.mirror.Since(announced)
		announced = u.To
		if len(u.Items) > 0 || len(granted) > 0 {
			m := e.heartbeatMessage()
			m.Heartbeat.Granted = granted
			if len(u.Items) > 0 {
				m.Update = &u
			}
			e.announce(m)
		}
		select {
		case <-e.clock.After(updateBatchPeriod):
		case <-ctx.Done():
			return nil
		}
	}
}

// receive handles a message from another VM.
func (e *Edge) receive(m gossip.Message) {
	if m.From == e.settings.VM {
		return
	}
	if m.Relay {
		e.relayWithinDomain(m)
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
		e.keys.addLoad(k.Service, k.Key, k.Count)
	}
	e.keys.addPaces(m.Paces)
	e.applyRequestLimits(m.RequestLimits)
	e.applyDepartures(m.From, m.Leaving)
	e.applyWarmups(m.From, m.Warmups)
	e.applyLateEntries(m.From, m.LateEntries)
	e.receiveCrashes(m.From, m.Crashes)
	if m.Heartbeat != nil {
		e.handleHeartbeat(m)
	}
	e.allotments.receive(m)
}

// handleHeartbeat handles a heartbeat and the store update that may come with it.
func (e *Edge) handleHeartbeat(m gossip.Message) {
	heartbeat := m.Heartbeat
	leads, answers := e.recordHeartbeat(m)
	if answers {
		e.sendToVM(m.From, e.answerTo(leads))
	}
	complete := true
	if m.Update != nil {
		complete = e.mirror.Apply(platform.WithoutKeys(*m.Update))
	}
	if heartbeat.Leading {
		e.recordNews(heartbeat.Position, heartbeat.StoreStaleness)
	}
	if heartbeat.Leading && (!complete || heartbeat.Position > e.mirror.Position() && m.Update == nil) {
		e.fetchUpdate(m.From, heartbeat.Position)
	}
	if heartbeat.HasAdmissions && leads {
		e.setAdmissions(heartbeat.Admissions)
	}
	for _, g := range heartbeat.Granted {
		e.dispatcher.MarkMoved(g.Service, g.Fence)
	}
}

// answerTo returns the heartbeat that answers the present leader or, if leads is false, a former one. A former leader whose build doesn't know
// of later terms would count a report that the store is unreachable, and act on.
func (e *Edge) answerTo(leads bool) gossip.Message {
	m := e.heartbeatMessage()
	m.Heartbeat.StoreUnreachable = m.Heartbeat.StoreUnreachable && leads
	return m
}

// recordHeartbeat records a heartbeat for the election and reports whether its sender is the present leader, and whether it is to be answered
// at once.
func (e *Edge) recordHeartbeat(m gossip.Message) (leads, answers bool) {
	heartbeat := m.Heartbeat
	e.mu.Lock()
	now := e.clock.Boot()
	oldLeader, oldTerm, wasFresh := e.elector.Leader(now)
	e.elector.RecordHeartbeat(now, m.From, leader.Heartbeat{
		Leading: heartbeat.Leading, Term: heartbeat.Term, Position: heartbeat.Position, StoreUnreachable: heartbeat.StoreUnreachable, KnownTerm: heartbeat.KnownTerm,
		Stamp: heartbeat.Stamp,
	})
	if heartbeat.Leaving {
		e.elector.Resigned(now, m.From)
	}
	if heartbeat.Leading {
		e.leaderSyncedAt = now.Add(-heartbeat.StoreStaleness)
		e.storeSyncedAt = max(e.storeSyncedAt, e.leaderSyncedAt)
		if heartbeat.SettlingTime > 0 {
			e.removalsHeldUntil = max(e.removalsHeldUntil, now.Add(heartbeat.SettlingTime))
		}
	}
	vm, term, fresh := e.elector.Leader(now)
	if fresh && vm == m.From {
		e.leaderGrants = heartbeat.GivesTokens
	}
	known := e.elector.KnownTerm()
	answers = e.mustAnswer(now, heartbeat, vm == m.From && (vm != oldLeader || term != oldTerm))
	e.mu.Unlock()
	if fresh && (vm != oldLeader || term != oldTerm || !wasFresh) {
		e.log.Info("leader is heard", "leader", string(vm), "term", term.Number(), "position", heartbeat.Position.Number())
	}
	if oldLeader == e.settings.VM && vm != oldLeader {
		e.log.Warn("this VM no longer leads: there is a later leader", "leader", string(vm), "term", term.Number(), "knownTerm", known.Number(), "from", string(m.From))
	}
	return fresh && vm == m.From, answers
}

// mustAnswer reports whether a heartbeat is to be answered at once: that of a new leader, which waits until most VMs follow it, and that of a
// former one, which acts until it learns of the later term. The caller holds mu.
func (e *Edge) mustAnswer(now clock.Instant, heartbeat *gossip.Heartbeat, isNewLeader bool) bool {
	isFormerLeader := heartbeat.Leading && heartbeat.Term < e.elector.KnownTerm()
	if !isNewLeader && (!isFormerLeader || now.Sub(e.formerAnsweredAt) < followerHeartbeatPeriod) {
		return false
	}
	if isFormerLeader {
		e.formerAnsweredAt = now
	}
	return true
}

// fetchUpdate fetches the missing store items up to a position from another VM, unless they arrive meanwhile. Only one fetch runs at a
// time.
func (e *Edge) fetchUpdate(from id.VM, wanted id.Revision) {
	p, ok := e.snapshot.Load().Peers[from]
	e.mu.Lock()
	inProgress := e.fetching
	e.fetching = e.fetching || ok
	e.mu.Unlock()
	if !ok || inProgress {
		return
	}
	e.tasks.Go(context.Background(), func(ctx context.Context) {
		defer func() {
			e.mu.Lock()
			e.fetching = false
			e.mu.Unlock()
		}()
		// All VMs may have missed the same message, and the VM that answers may be small: the jitter spreads their fetches.
		jitter := min(fetchJitterPerVM*time.Duration(e.peerCount()), maxFetchJitter)
		<-e.clock.After(fetchDelay + rand.N(jitter))
		if e.mirror.Position() >= wanted {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		u, err := e.socket.Fetch(ctx, p.Address, e.mirror.Position())
		if err != nil {
			e.log.Warn("fetching a store update from another VM failed", "from", string(from), "error", err)
			return
		}
		e.mirror.Apply(platform.WithoutKeys(u))
	})
}
