package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/gossip"
	"github.com/hickorylug/hickorylug/transport/http1"
)

// Periods of the records of crashes.
const (
	// crashTick is the time between two looks at what has to be recorded.
	crashTick = 100 * time.Millisecond
	// minRecordPause is the minimum time between two writes, so that crashes close together share one; maxRecordPause limits the pause after
	// failed ones.
	minRecordPause = 250 * time.Millisecond
	maxRecordPause = 4 * time.Second
	// recordCleanupPeriod is the time between two checks for outdated records.
	recordCleanupPeriod = 30 * time.Second
	// unrecordedDelay and unrecordedJitter are how long a VM waits for the leader to record its evidence: several VMs may have seen the
	// same crash.
	unrecordedDelay  = time.Second
	unrecordedJitter = 300 * time.Millisecond
	// probeTimeout limits the probe of a port that may be closed.
	probeTimeout = 300 * time.Millisecond
)

// newLedger returns the ledger of crashes of this VM.
func (e *Edge) newLedger() *poison.Ledger {
	return poison.NewLedger(poison.WithOnReport(e.reportCrash), poison.WithOnDrop(e.observeDroppedSuspects),
		poison.WithUnrecordedDelay(unrecordedDelay+rand.N(unrecordedJitter)))
}

// recordCrashes writes crashes of backend servers to the store, and removes outdated records, until the context ends.
func (e *Edge) recordCrashes(ctx context.Context) error {
	pause, cleanedAt := crashTick, e.clock.Boot()
	for {
		select {
		case <-e.clock.After(pause):
		case <-ctx.Done():
			return nil
		}
		if e.storeStaleness() > outageThreshold {
			pause = crashTick
			continue
		}
		leads := e.leads()
		due := e.crashes.Unrecorded(e.clock.Boot(), e.clock.Now(), leads)
		var err error
		switch {
		case len(due) > 0:
			err = e.writeCrashes(ctx, due)
		case leads && e.clock.Boot().Sub(cleanedAt) >= recordCleanupPeriod:
			cleanedAt = e.clock.Boot()
			err = e.removeCrashes(ctx, e.crashes.Outdated(e.clock.Now()))
		default:
			pause = crashTick
			continue
		}
		if err == nil {
			pause = minRecordPause
			continue
		}
		pause = min(max(2*pause, minRecordPause), maxRecordPause)
		e.log.Warn("recording crashes in the store failed", "crashes", len(due), "error", err)
	}
}

// writeCrashes writes records of crashes, unless one of them has changed since this VM last heard of it.
func (e *Edge) writeCrashes(ctx context.Context, records []fleet.Crash) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conditions, puts, items := make([]platform.Condition, len(records)), make([]platform.Put, len(records)), make([]fleet.Item, len(records))
	for i, r := range records {
		value, err := fleet.EncodeCrash(r)
		if err != nil {
			return err
		}
		key := platform.KeyCrash(r.Process)
		conditions[i] = platform.Condition{Key: key, Revision: r.Revision}
		puts[i], items[i] = platform.Put{Key: key, Value: value}, fleet.Item{Key: key, Value: value}
	}
	written, err := e.store.Write(ctx, conditions, puts...)
	if err != nil {
		return err
	}
	e.applyWritten(written, items...)
	for _, r := range records {
		e.log.Info("the crash of a backend server is recorded", "server", string(r.Process.Server), "born", int64(r.Process.Born), "version", string(r.Version), "revision", written.Number(), "fingerprints", r.Suspects, "acquitted", r.Acquitted, "runsOn", r.RunsOn)
	}
	return nil
}

// removeCrashes removes records from the store.
func (e *Edge) removeCrashes(ctx context.Context, records []fleet.Crash) error {
	if len(records) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	keys := make([]string, len(records))
	for i, r := range records {
		keys[i] = platform.KeyCrash(r.Process)
	}
	if err := e.store.Remove(ctx, nil, keys...); err != nil {
		return err
	}
	e.log.Info("outdated records of crashes are removed", "count", len(keys))
	e.notify(e.resync)
	return nil
}

// probeServer finds out whether a backend server that broke a connection off has crashed: its port is closed then.
func (e *Edge) probeServer(s fleet.Server) {
	if e.reach.IsSuspected() {
		return
	}
	e.tasks.Go(context.Background(), func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		err := e.backends.Probe(ctx, s.Address, string(s.Server))
		isClosed := errors.Is(err, http1.ErrRefused) && !e.reach.IsSuspected()
		e.metrics.attempts.Add("probed", 1)
		e.log.Info("a backend server that broke a connection off was probed", "server", string(s.Server), "closed", isClosed)
		if isClosed {
			e.forwarder.RecordCrash(s)
		}
	})
}

// reportCrash tells the other VMs, or the leader, which requests were in flight at a backend server that has crashed.
func (e *Edge) reportCrash(r poison.Report) {
	if r.Process.Server != "" && !r.IsRepeated {
		e.log.Warn("a backend server crashed while it had these requests", "server", string(r.Process.Server), "born", int64(r.Process.Born), "ageMs", r.Age.Milliseconds(), "fingerprints", r.Suspects)
	}
	m := e.withSender(gossip.Message{Crashes: []gossip.Crash{gossip.CrashOf(r)}})
	e.mu.Lock()
	vm, _, isHeard := e.elector.Leader(e.clock.Boot())
	e.mu.Unlock()
	switch {
	case !r.IsForLeader || !isHeard:
		e.announce(m)
	case vm != e.settings.VM:
		e.sendToVM(vm, m)
	}
}

// receiveCrashes merges what another VM reports of crashes.
func (e *Edge) receiveCrashes(from id.VM, crashes []gossip.Crash) {
	for _, r := range crashes {
		if added := e.crashes.Merge(e.clock.Boot(), r.ToReport()); len(added) > 0 {
			e.log.Info("another VM reports requests that a crashed backend server had", "from", string(from), "server", string(r.Server), "born", int64(r.Born), "ageMs", r.Age, "fingerprints", added)
		}
	}
}
