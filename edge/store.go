package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// Times of the store's calls.
const (
	// watchWait is how long the store holds a watch; a silent connection is noticed soon after.
	watchWait = 700 * time.Millisecond
	// callTimeout bounds a call; a store that is slow answers within it.
	callTimeout = 800 * time.Millisecond
	readTimeout = 1500 * time.Millisecond
	// outageAfter is the time without an answer of the store that counts as an outage.
	outageAfter = 1500 * time.Millisecond
	// returnTime is how long removed entries may come back after an outage; living backend servers are back within about two seconds.
	returnTime = 2200 * time.Millisecond
	// shortRetry and longRetry bound the pause after a call that failed.
	shortRetry = 60 * time.Millisecond
	longRetry  = 600 * time.Millisecond
	// retryPerPeer is the time for each VM between two looks of one VM while a leader goes on without the store.
	retryPerPeer = 40 * time.Millisecond
	idleLook     = 50 * time.Millisecond
	// leaderLook is the least time between two looks of the leader; changes have to be in force within about 2 s.
	leaderLook = 150 * time.Millisecond
	// lookAlone is the same for a VM that hears no leader; many may be cut off from the others at the same time.
	lookAlone = 700 * time.Millisecond
	// registrationTime is the lease of a VM's registration; it tells addresses, not who is up.
	registrationTime = 2 * time.Minute
	// registrationKeep is the time between two renewals of it.
	registrationKeep = 40 * time.Second
)

// newsAge returns the time since the newest news of the store, by this VM's own calls or by the leader.
func (e *Edge) newsAge() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Boot().Sub(e.storeAt)
}

// watches reports whether this VM has to watch the store itself.
func (e *Edge) watches() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Boot()
	vm, _, fresh := e.elector.Leader(now)
	return vm == e.settings.VM || !fresh || now.Sub(e.storeAt) > outageAfter
}

// synchronize keeps the mirror up to date until the context ends.
func (e *Edge) synchronize(ctx context.Context) error {
	whole, failures := true, 0
	for ctx.Err() == nil {
		began := e.clock.Boot()
		if !e.watches() && e.mirror.Position() > 0 {
			e.pause(ctx, idleLook)
			continue
		}
		u, err := e.readStore(ctx, whole || e.mirror.Position() == 0)
		switch {
		case err == nil:
			first := whole
			whole, failures = false, 0
			e.storeAnswered()
			e.take(u)
			if !e.isRegistered() {
				e.register(ctx)
			}
			if first {
				// A leader tells a VM that has just been registered what it needs.
				e.pause(ctx, leader.FreshFor/2)
				continue
			}
			e.pause(ctx, began.Add(e.lookPeriod()).Sub(e.clock.Boot()))
		case errors.Is(err, platform.ErrCompacted):
			whole = true
		default:
			failures++
			e.pause(ctx, e.retryPause(failures))
		}
	}
	return nil
}

// lookPeriod returns the least time between two looks at the store, so that changes that come together cost one call.
func (e *Edge) lookPeriod() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if vm, _, _ := e.elector.Leader(e.clock.Boot()); vm == e.settings.VM {
		return leaderLook
	}
	return lookAlone
}

// retryPause returns the time until the next try after calls that failed in a row.
//
// Each call is priced, also at a store that is away. While a leader goes on
// without the store, all VMs together look for its return at a bounded rate.
func (e *Edge) retryPause(failures int) time.Duration {
	longest := longRetry
	e.mu.Lock()
	vm, _, fresh := e.elector.Leader(e.clock.Boot())
	e.mu.Unlock()
	if fresh && vm != e.settings.VM {
		longest = max(longest, retryPerPeer*time.Duration(e.peerCount()))
	}
	pause := min(shortRetry<<min(failures, 6), longest)
	return pause/2 + rand.N(pause/2+1)
}

func (e *Edge) readStore(ctx context.Context, whole bool) (u fleet.Update, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if whole {
		return e.store.ReadAll(ctx)
	}
	return e.store.Watch(ctx, e.mirror.Position(), watchWait)
}

// pause waits, or until a change of the leadership asks for a look at the store.
func (e *Edge) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-e.clock.After(d):
	case <-e.resync:
	case <-ctx.Done():
	}
}

// storeAnswered notes that the store answers this VM.
func (e *Edge) storeAnswered() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Boot()
	if away := now.Sub(e.storeAt); away > outageAfter {
		if e.storeAt > 0 {
			e.settledAt = max(e.settledAt, now.Add(returnTime))
		}
		e.log.Info("the store answers", "awayFor", away.String(), "position", uint64(e.mirror.Position()))
	}
	e.storeAt = now
}

// take applies an update and, as the leader, passes it on.
func (e *Edge) take(u fleet.Update) {
	e.mirror.Apply(u)
	if len(u.Items) > 0 && e.leads() {
		e.poke(e.pass)
	}
}

// follow hands new snapshots to those who decide by them.
func (e *Edge) follow(ctx context.Context) error {
	for {
		changed := e.mirror.Changed()
		e.publish()
		select {
		case <-changed:
		case <-e.clock.After(e.limboLeft()):
		case <-ctx.Done():
			return nil
		}
	}
}

// limboLeft returns the time after which removed entries have to be looked at again.
func (e *Edge) limboLeft() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.limbo) == 0 {
		return time.Hour
	}
	return max(time.Millisecond, e.settledAt.Sub(e.clock.Boot()))
}

// publish makes the newest state of the mirror the one that counts.
func (e *Edge) publish() {
	old := e.snapshot.Load()
	s := e.withLimbo(old, e.mirror.Snapshot())
	e.snapshot.Store(s)
	e.dispatcher.Update(s)
	e.logChanges(old, s)
	select {
	case e.replan <- struct{}{}:
	default:
	}
}

// withLimbo keeps the backend servers whose entries were removed while the store was away.
//
// Entries lapse during an outage although their backend servers live; those
// that are not back some time after it are gone.
func (e *Edge) withLimbo(old, next *fleet.Snapshot) *fleet.Snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Boot()
	unsettled := now < e.settledAt || e.storeAt > 0 && now.Sub(e.storeAt) > outageAfter
	for name, server := range old.Servers {
		if _, ok := next.Servers[name]; !ok && unsettled && !server.Draining {
			e.limbo[name] = server
		}
	}
	for name := range e.limbo {
		if _, back := next.Servers[name]; back || !unsettled {
			delete(e.limbo, name)
		}
	}
	if len(e.limbo) == 0 {
		return next
	}
	return next.With(e.limbo)
}

// maxLoggedServers is the number of backend servers that may appear at once with a line each.
const maxLoggedServers = 10

// logChanges writes a line for each change of what this VM believes.
func (e *Edge) logChanges(old, next *fleet.Snapshot) {
	position := uint64(next.Position)
	if appeared := len(next.Servers) - len(old.Servers); appeared > maxLoggedServers {
		e.log.Info("backend servers appeared", "count", appeared, "servers", len(next.Servers), "position", position)
		return
	}
	if next.Configuration != nil && (old.Configuration == nil || old.Configuration.Version != next.Configuration.Version) {
		e.log.Info("configuration in force", "version", next.Configuration.Version, "routes", next.Configuration.Routes(), "position", position)
	}
	for name, s := range next.Servers {
		was, known := old.Servers[name]
		switch {
		case !known:
			e.log.Info("backend server appeared", "server", string(name), "service", string(s.Service), "born", int64(s.Born), "warmLeft", s.WarmLeft.String(), "position", position)
		case was.Born != s.Born:
			e.log.Info("backend server restarted", "server", string(name), "born", int64(s.Born), "position", position)
			e.forwarder.Crashed(name)
		case s.Draining && !was.Draining:
			e.log.Info("backend server drains", "server", string(name), "position", position)
		}
	}
	for name, s := range old.Servers {
		if _, still := next.Servers[name]; !still {
			e.log.Info("backend server is gone", "server", string(name), "position", position)
			e.backends.Drop(s.Address, string(name))
		}
	}
	for domain := range next.Evacuated {
		if !old.Evacuated[domain] {
			e.log.Info("failure domain is taken out", "domain", string(domain), "position", position)
		}
	}
	for domain := range old.Evacuated {
		if !next.Evacuated[domain] {
			e.log.Info("failure domain is back", "domain", string(domain), "position", position)
		}
	}
}

func (e *Edge) isRegistered() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registered
}

// register tells the store this VM's address, so that other VMs find it.
func (e *Edge) register(ctx context.Context) {
	if e.leaving.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := e.store.OpenLease(ctx, registrationTime)
	if err != nil {
		e.log.Warn("this VM could not be registered", "error", err)
		return
	}
	value, err := json.Marshal(fleet.Peer{VM: e.settings.VM, Domain: e.settings.FailureDomain, Address: e.settings.PeerAddress, Incarnation: e.incarnation, Strength: e.strength()})
	if err != nil {
		e.log.Error("the registration can't be encoded", "error", err)
		return
	}
	if _, err := e.store.Write(ctx, nil, platform.Put{Key: platform.KeyPeer(e.settings.VM), Value: value, Lease: lease}); err != nil {
		e.log.Warn("this VM could not be registered", "error", err)
		return
	}
	e.mu.Lock()
	e.registered = true
	e.mu.Unlock()
	e.log.Info("this VM is registered", "address", e.settings.PeerAddress)
	e.tasks.Go(context.WithoutCancel(ctx), func(ctx context.Context) { e.keepRegistration(ctx, lease) })
}

// linkPerProcessor is the rate of a link, in Mbit/s, that counts as much as a whole core when a leader is chosen.
const linkPerProcessor = 200.0

// strength returns how well this VM can lead, by what it has least of: processor or link.
func (e *Edge) strength() float64 {
	return min(e.settings.Processor, e.settings.Link/linkPerProcessor)
}

// keepRegistration renews the registration until the VM leaves or the lease is lost.
func (e *Edge) keepRegistration(ctx context.Context, lease platform.Lease) {
	for !e.leaving.Load() {
		<-e.clock.After(registrationKeep)
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := e.store.KeepLease(call, lease)
		cancel()
		if errors.Is(err, platform.ErrNoLease) {
			e.mu.Lock()
			e.registered = false
			e.mu.Unlock()
			return
		}
	}
}

// members returns the registered VMs with this one.
func (e *Edge) members() (out []id.VM) {
	s := e.snapshot.Load()
	self := false
	for vm := range s.Peers {
		out = append(out, vm)
		self = self || vm == e.settings.VM
	}
	if !self {
		out = append(out, e.settings.VM)
	}
	return out
}

// leads reports whether this VM may act as the leader now.
func (e *Edge) leads() bool {
	members := e.members()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.elector.Leads(e.clock.Boot(), members)
}

// isolated reports whether this VM hears less than half of the others.
func (e *Edge) isolated(now clock.Instant) bool {
	members := e.members()
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.elector.HearsMost(now, members)
}

// campaign tries to become the leader.
func (e *Edge) campaign(ctx context.Context) {
	won, begun, term, lease := e.writeLeader(ctx)
	if won {
		e.keys.begin(e.clock.Boot())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.campaigning = false
	now := e.clock.Boot()
	if !won {
		e.elector.Failed(now)
		return
	}
	e.lease = lease
	e.elector.Won(begun, term)
	e.log.Info("this VM leads", "term", uint64(term))
	e.poke(e.resync)
}

func (e *Edge) poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// writeLeader writes the leader's record where there is none, and reads the store once more under it.
func (e *Edge) writeLeader(ctx context.Context) (won bool, begun clock.Instant, term id.Revision, lease platform.Lease) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	begun = e.clock.Boot()
	lease, err := e.store.OpenLease(ctx, leader.LeaseTime)
	if err != nil {
		return false, begun, 0, 0
	}
	value, err := json.Marshal(fleet.Leader{VM: e.settings.VM, Incarnation: e.incarnation})
	if err == nil {
		term, err = e.store.Write(ctx, []platform.Condition{{Key: platform.KeyLeader()}}, platform.Put{Key: platform.KeyLeader(), Value: value, Lease: lease})
	}
	var u fleet.Update
	if err == nil {
		u, err = e.store.ReadAll(ctx)
	}
	if err != nil {
		if endErr := e.endLease(lease); endErr != nil {
			e.log.Debug("a lease could not be ended; it runs out by itself", "error", endErr)
		}
		return false, begun, 0, 0
	}
	e.storeAnswered()
	e.mirror.Apply(u)
	e.publish()
	return true, begun, term, lease
}

// endLease ends a lease, so that a write that was not answered can't take effect under it later.
func (e *Edge) endLease(lease platform.Lease) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return e.store.EndLease(ctx, lease)
}

// keepLease renews the leader's lease.
func (e *Edge) keepLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.mu.Lock()
	lease, term := e.lease, e.elector.Term()
	e.mu.Unlock()
	sent := e.clock.Boot()
	err := e.store.KeepLease(ctx, lease)
	if err == nil {
		e.storeAnswered()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.elector.Term() != term {
		return
	}
	switch {
	case err == nil:
		e.elector.Kept(sent)
	case errors.Is(err, platform.ErrNoLease):
		e.log.Warn("this VM no longer leads: its lease has ended", "term", uint64(term))
		e.elector.Lost(e.clock.Boot())
	default:
		e.log.Warn("the leader's lease could not be renewed", "error", err)
	}
}

// resign gives the leadership up and says that this VM leaves.
//
// Where the store doesn't take the lease back, no other VM can lead yet. This
// one then goes on as long as most VMs don't reach the store either, and done
// is false.
func (e *Edge) resign(ctx context.Context) (done bool) {
	e.mu.Lock()
	vm, _, _ := e.elector.Leader(e.clock.Boot())
	leading, lease := vm == e.settings.VM, e.lease
	e.mu.Unlock()
	if leading {
		if err := e.endLease(lease); err != nil && !errors.Is(err, platform.ErrNoLease) {
			e.log.Warn("the leadership could not be handed over: the store does not answer", "error", err)
			e.mu.Lock()
			e.elector.Doubt()
			e.mu.Unlock()
			return false
		}
	}
	e.mu.Lock()
	e.elector.Lost(e.clock.Boot())
	e.mu.Unlock()
	e.resigned.Store(true)
	e.broadcast(ctx)
	return true
}
