package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/fleet"
)

// Times of the store's calls.
const (
	// watchWait is how long the store holds a watch; a silent connection is noticed soon after.
	watchWait = 700 * time.Millisecond
	// callTimeout bounds a call; a store that is slow answers within it.
	callTimeout = 800 * time.Millisecond
	readTimeout = 1500 * time.Millisecond
	// doubtAfter is the age of the leader's news from which a VM looks itself; the leader renews its lease each 0.3 s.
	doubtAfter = 900 * time.Millisecond
	// awayTime is how long a call that failed shows that the store is away: the longest call, the pause after it and some delay.
	awayTime = 2500 * time.Millisecond
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

// watches reports whether this VM has to watch the store itself: it leads, hears no leader, or one that is cut off from the store.
func (e *Edge) watches() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Boot()
	vm, _, fresh := e.elector.Leader(now)
	return vm == e.settings.VM || !fresh || now.Sub(e.leaderNews) > doubtAfter
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
				e.pause(ctx, leader.LeaderTimeout/2)
				continue
			}
			e.pause(ctx, began.Add(e.lookPeriod()).Sub(e.clock.Boot()))
		case errors.Is(err, platform.ErrCompacted):
			whole = true
		default:
			failures++
			e.storeFailed()
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
	if e.followsLeader() {
		longest = max(longest, retryPerPeer*time.Duration(e.peerCount()))
	}
	pause := min(shortRetry<<min(failures, 6), longest)
	return pause/2 + rand.N(pause/2+1)
}

func (e *Edge) readStore(ctx context.Context, whole bool) (u fleet.Update, err error) {
	wait, timeout := watchWait, readTimeout
	if e.followsLeader() {
		// The look is to tell whether the store is away or only the leader is cut off from it.
		wait, timeout = 0, callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if whole {
		return e.store.ReadAll(ctx)
	}
	return e.store.Watch(ctx, e.mirror.Position(), wait)
}

// followsLeader reports whether another VM leads and is heard.
func (e *Edge) followsLeader() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	vm, _, fresh := e.elector.Leader(e.clock.Boot())
	return fresh && vm != e.settings.VM
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
	e.storeAt, e.answeredAt = now, now
}

// storeFailed notes that a call to the store was not answered.
func (e *Edge) storeFailed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failedAt = e.clock.Boot()
}

// awayMemory returns how long a failed call counts; the time between two tries grows with the number of VMs.
func (e *Edge) awayMemory() time.Duration {
	return awayTime + retryPerPeer*time.Duration(e.peerCount())
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
	return next.WithServers(e.limbo)
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
		e.log.Info("configuration in force", "version", next.Configuration.Version, "routes", next.Configuration.RouteCount(), "position", position)
	}
	for name, s := range next.Servers {
		was, known := old.Servers[name]
		switch {
		case !known:
			e.log.Info("backend server appeared", "server", string(name), "service", string(s.Service), "born", int64(s.Born), "warmLeft", s.WarmupLeft.String(), "position", position)
		case was.Born != s.Born:
			e.log.Info("backend server restarted", "server", string(name), "born", int64(s.Born), "position", position)
			e.forwarder.RecordRestart(name)
		case s.Draining && !was.Draining:
			e.log.Info("backend server drains", "server", string(name), "position", position)
		}
	}
	for name, s := range old.Servers {
		if _, still := next.Servers[name]; !still {
			e.log.Info("backend server is gone", "server", string(name), "position", position)
			e.backends.CloseIdle(s.Address, string(name))
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

func (e *Edge) poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
