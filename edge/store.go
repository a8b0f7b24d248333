package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// Periods and limits of the store's calls.
const (
	// watchWait is the maximum time for which the store holds a watch call; an unresponsive connection is detected soon after it.
	watchWait = 700 * time.Millisecond
	// callTimeout limits a call; a slow store still answers within it.
	callTimeout = 800 * time.Millisecond
	readTimeout = 1500 * time.Millisecond
	// maxAnswerTime is the time after which a renewal without an answer is a sign that the store carries writes out late.
	maxAnswerTime = 250 * time.Millisecond
	// maxLeaderStaleness is the store staleness of the leader above which the other VMs poll the store themselves; the leader renews its lease every 0.3 s.
	maxLeaderStaleness = 900 * time.Millisecond
	// minStoreFailureTTL is the minimum time for which a failed call is evidence that the store is unreachable: the longest call, the pause after it and some delay.
	minStoreFailureTTL = 2500 * time.Millisecond
	// outageThreshold is the time without a response of the store that counts as an outage.
	outageThreshold = 1500 * time.Millisecond
	// reappearanceTime is how long removed entries may reappear after an outage; running backend servers register again within about two seconds.
	reappearanceTime = 2200 * time.Millisecond
	// minRetryPause and maxRetryPause limit the pause after a failed call.
	minRetryPause = 60 * time.Millisecond
	maxRetryPause = 600 * time.Millisecond
	// retryPausePerVM, multiplied by the number of registered VMs, is the maximum pause after a failed call while a leader continues without the store, if it exceeds maxRetryPause.
	retryPausePerVM = 40 * time.Millisecond
	idlePollPeriod  = 50 * time.Millisecond
	// leaderSyncPeriod is the minimum time between two polls of the store by the leader; changes must take effect within about 2 s.
	leaderSyncPeriod = 150 * time.Millisecond
	// followerSyncPeriod is the same for a VM that isn't the leader but must watch the store; many VMs may be partitioned from the leader at the same time.
	followerSyncPeriod = 700 * time.Millisecond
	// registrationTTL is the time after which the registration of a VM that the leader doesn't hear of is removed. The registration holds
	// the VM's address and isn't a liveness signal.
	registrationTTL = 2 * time.Minute
	// registerRetryPeriod is the least time between two attempts at registering; each call is priced, also at an unreachable store.
	registerRetryPeriod = time.Second
	// registrationCheckPeriod is the time between two checks for such VMs.
	registrationCheckPeriod = 20 * time.Second
	// maxRemovedRegistrations is the number of registrations that one call removes; the store limits the keys of a transaction.
	maxRemovedRegistrations = 30
)

// storeStaleness returns the time since the store last answered this VM or the leader.
func (e *Edge) storeStaleness() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Boot().Sub(e.storeSyncedAt)
}

// mustWatchStore reports whether this VM must watch the store itself: it is the leader, has none, or has one that can't reach the store.
func (e *Edge) mustWatchStore() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Boot()
	vm, _, fresh := e.elector.Leader(now)
	return vm == e.settings.VM || !fresh || now.Sub(e.leaderSyncedAt) > maxLeaderStaleness
}

// synchronize keeps the mirror in sync with the store until the context ends.
func (e *Edge) synchronize(ctx context.Context) error {
	full, failures := true, 0
	for ctx.Err() == nil {
		startedAt := e.clock.Boot()
		if !e.mustWatchStore() && e.mirror.Position() > 0 {
			if !e.isRegistered() {
				e.register(ctx)
			}
			e.pause(ctx, idlePollPeriod)
			continue
		}
		u, err := e.readStore(ctx, full || e.mirror.Position() == 0)
		switch {
		case err == nil:
			initial := full
			full, failures = false, 0
			e.recordStoreSuccess()
			e.applyUpdate(u)
			e.recordNews(0, 0)
			if !e.isRegistered() {
				e.register(ctx)
			}
			if initial {
				// The pause lets the heartbeats of a leader arrive, which now include this VM; it needn't watch the store then.
				e.pause(ctx, leader.LeaderTimeout/2)
				continue
			}
			e.pause(ctx, startedAt.Add(e.syncPeriod()).Sub(e.clock.Boot()))
		case errors.Is(err, platform.ErrCompacted):
			full = true
			if e.followsLeader() {
				// The leader reads the store as well, and hundreds of VMs that read all of it at once would exceed its rate.
				e.pause(ctx, leader.LeaderTimeout/2+rand.N(leader.LeaderTimeout/2))
			}
		default:
			failures++
			e.recordStoreFailure()
			e.pause(ctx, e.retryPause(failures))
		}
	}
	return nil
}

// syncPeriod returns the minimum time between two polls of the store, so that changes close together cost one call.
func (e *Edge) syncPeriod() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if vm, _, _ := e.elector.Leader(e.clock.Boot()); vm == e.settings.VM {
		return leaderSyncPeriod
	}
	return followerSyncPeriod
}

// retryPause returns the pause before the next call after a number of consecutive failures.
//
// Each call is priced, also at an unreachable store. While a leader continues
// without the store, all VMs together poll it at a bounded rate.
func (e *Edge) retryPause(failures int) time.Duration {
	longest := maxRetryPause
	if e.followsLeader() {
		longest = max(longest, retryPausePerVM*time.Duration(e.peerCount()))
	}
	pause := min(minRetryPause<<min(failures, 6), longest)
	return pause/2 + rand.N(pause/2+1)
}

// readStore reads the whole store, or waits for the changes after the position of the mirror.
func (e *Edge) readStore(ctx context.Context, full bool) (u fleet.Update, err error) {
	wait, timeout := watchWait, readTimeout
	if e.followsLeader() {
		// The poll distinguishes an unreachable store from a leader that is partitioned from it.
		wait, timeout = 0, callTimeout
	}
	if full {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	e.mu.Lock()
	e.reader.BeginRead(e.clock.Boot(), wait)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.reader.EndRead(e.clock.Boot(), err == nil)
	}()
	if full {
		return e.readWhole(ctx)
	}
	return e.store.Watch(ctx, e.mirror.Position(), wait)
}

// mustConfirmCopy reports whether this VM, which reads the store, must make a call that confirms its copy.
func (e *Edge) mustConfirmCopy(now clock.Instant) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reader.MustConfirm(now)
}

// followsLeader reports whether another VM leads and its heartbeats are fresh.
func (e *Edge) followsLeader() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	vm, _, fresh := e.elector.Leader(e.clock.Boot())
	return fresh && vm != e.settings.VM
}

// pause waits for a duration, or until a change of leadership requests a synchronization.
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

// recordStoreSuccess records that the store answered this VM.
func (e *Edge) recordStoreSuccess() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Boot()
	if outage := now.Sub(e.storeSyncedAt); outage > outageThreshold {
		if e.storeSyncedAt > 0 {
			e.removalsHeldUntil = max(e.removalsHeldUntil, now.Add(reappearanceTime))
		}
		e.log.Info("the store answers", "awayFor", outage.String(), "position", e.mirror.Position().Number())
	}
	e.storeSyncedAt, e.storeAnsweredAt = now, now
}

// recordStoreFailure records that a synchronization with the store failed.
func (e *Edge) recordStoreFailure() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeFailedAt = e.clock.Boot()
}

// storeFailureTTL returns how long a failed call is evidence that the store is unreachable; the retry pause grows with the number of VMs.
func (e *Edge) storeFailureTTL() time.Duration {
	return minStoreFailureTTL + retryPausePerVM*time.Duration(e.peerCount())
}

// applyUpdate applies an update and, on the leader, triggers its broadcast.
func (e *Edge) applyUpdate(u fleet.Update) {
	e.mirror.Apply(u)
	if len(u.Items) > 0 && e.leads() {
		e.notify(e.updatesPending)
	}
}

// applyWritten applies items that this VM has just written to the store, at the revision of the write, without waiting for the watch.
func (e *Edge) applyWritten(written id.Revision, items ...fleet.Item) {
	e.recordStoreSuccess()
	for i := range items {
		items[i].Revision = written
	}
	e.mirror.Apply(fleet.Update{From: written - 1, To: written, Items: items})
	e.publishSnapshot()
	e.notify(e.updatesPending)
}

// publishSnapshots publishes a snapshot after each change of the mirror, and when what is retained expires.
func (e *Edge) publishSnapshots(ctx context.Context) error {
	for {
		changed := e.mirror.Changed()
		e.publishSnapshot()
		select {
		case <-changed:
		case <-e.clock.After(e.retentionLeft()):
		case <-ctx.Done():
			return nil
		}
	}
}

// retentionLeft returns the time until what is retained must be checked again.
func (e *Edge) retentionLeft() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.keeper.IsEmpty() {
		return time.Hour
	}
	return max(time.Millisecond, e.removalsHeldUntil.Sub(e.clock.Boot()))
}

// publishSnapshot makes the latest state of the mirror the current snapshot.
func (e *Edge) publishSnapshot() {
	e.publishing.Lock()
	defer e.publishing.Unlock()
	old := e.snapshot.Load()
	s := e.departures.Apply(e.clock.Boot(), e.withRetained(old, e.mirror.Snapshot()))
	e.snapshot.Store(s)
	e.observeReturns(old, s)
	e.dispatcher.Update(s)
	if !fleet.IsSameMap(old.Peers, s.Peers) {
		e.recordMembers(s)
	}
	if old.Voters != s.Voters {
		e.recordVoters(s.Voters)
	}
	if !fleet.IsSameMap(old.Crashes, s.Crashes) {
		e.crashes.Restore(e.clock.Boot(), e.clock.Now(), s.Crashes)
	}
	e.forwarder.FollowServers(old, s)
	if len(s.Servers) != len(old.Servers) {
		e.options.OnScale(len(s.Servers))
	}
	e.logChanges(old, s)
	e.logUnused(old, s)
	e.logFindings(old.Configuration, s.Configuration)
	select {
	case e.replan <- struct{}{}:
	default:
	}
}

// withRetained returns the next snapshot with what an outage of the store, or an older copy of it, would take back for a moment.
func (e *Edge) withRetained(old, next *fleet.Snapshot) *fleet.Snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Boot()
	if old.Position > 0 && next.Position.Era() > old.Position.Era() {
		// Backend servers and the operator write again what an older copy lacks.
		e.removalsHeldUntil = max(e.removalsHeldUntil, now.Add(reappearanceTime))
	}
	return e.keeper.Keep(now, old, next, now < e.removalsHeldUntil || e.storeSyncedAt > 0 && now.Sub(e.storeSyncedAt) > outageThreshold)
}

// maxLoggedServers is the number of backend servers that may appear at once with a log line each.
const maxLoggedServers = 10

// logChanges logs the differences between two snapshots, and closes the idle connections to removed backend servers. If many backend
// servers appear at once, it logs only their number.
func (e *Edge) logChanges(old, next *fleet.Snapshot) {
	position := next.Position.Number()
	if next.Configuration != nil && (old.Configuration == nil || old.Configuration.Version != next.Configuration.Version) {
		e.logConfiguration(next.Configuration, position)
	}
	if appeared := len(next.Servers) - len(old.Servers); appeared > maxLoggedServers {
		e.log.Info("backend servers appeared", "count", appeared, "servers", len(next.Servers), "position", position)
		return
	}
	for name, s := range next.Servers {
		if previous, known := old.Servers[name]; known {
			e.logServerChange(previous, s, position)
			continue
		}
		e.log.Info("backend server appeared", "server", string(name), "service", string(s.Service), "born", int64(s.Born), "warmLeft", s.WarmupLeft.String(), "position", position)
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

// logServerChange logs the differences between two entries of a backend server.
func (e *Edge) logServerChange(old, next fleet.Server, position uint64) {
	switch {
	case old.Born != next.Born:
		e.log.Info("backend server restarted", "server", string(next.Server), "born", int64(next.Born), "position", position)
	case next.Draining && !old.Draining:
		e.log.Info("backend server drains", "server", string(next.Server), "position", position)
	}
	if next.Revision != old.Revision && next.WarmupLeft > 0 {
		e.log.Info("backend server is cold", "server", string(next.Server), "born", int64(next.Born), "warmLeft", next.WarmupLeft.String(), "seenBy", "store", "position", position)
	}
}

// maxUnusedLogs is the number of items that aren't used that are logged each; of later ones, one per unusedLogPeriod is.
const (
	maxUnusedLogs   = 100
	unusedLogPeriod = time.Second
)

// logUnused logs the items of the store that aren't used any more, or for another reason than before.
func (e *Edge) logUnused(old, next *fleet.Snapshot) {
	if fleet.IsSameMap(old.Unused, next.Unused) {
		return
	}
	for key, problem := range next.Unused {
		if old.Unused[key] != problem {
			e.unusedLogs.Do(func() {
				e.log.Warn("an item of the store is not used", "key", key, "problem", problem, "position", next.Position.Number())
			})
		}
	}
}

func (e *Edge) notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
