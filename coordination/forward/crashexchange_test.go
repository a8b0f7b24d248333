package forward_test

import (
	"maps"
	"time"

	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// exchangePeriod is the time between two looks of a VM at what it has to tell others, and storeLatency that of a call of the store.
	exchangePeriod = 100 * time.Millisecond
	storeLatency   = 5 * time.Millisecond
)

// crashExchange is what a VM of a crashFleet tells others of crashes, by messages and by records in the store.
type crashExchange struct {
	ledger *poison.Ledger
}

// options returns the options of a VM and starts its periodic reports, until the VM is stopped. The fleet's mu is held.
func (e *crashExchange) options(f *crashFleet, v *crashVM, isLeader bool) []forward.Option {
	e.ledger = poison.NewLedger(poison.WithOnReport(func(r poison.Report) {
		f.deliver(v, r.IsForLeader && !f.test.withoutLeader, func(to *crashVM) { to.ledger.Merge(f.clock.Boot(), r) })
	}))
	leads := isLeader && !f.test.withoutLeader
	e.ledger.Restore(f.clock.Boot(), f.clock.Now(), f.snapshot.Crashes)
	var exchange func()
	exchange = func() {
		if f.isStopped(v) {
			return
		}
		e.ledger.Repeat(f.clock.Boot(), leads)
		f.write(v, e.ledger.Unrecorded(f.clock.Boot(), f.clock.Now(), leads))
		time.AfterFunc(exchangePeriod, exchange)
	}
	time.AfterFunc(0, exchange)
	return []forward.Option{forward.WithCrashes(e.ledger), forward.WithProbe(func(s fleet.Server) { go f.probe(v, s) })}
}

// isStopped reports whether a VM has been stopped.
func (f *crashFleet) isStopped(v *crashVM) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return v.stopped
}

// follow tells a VM of a change of what the store holds.
func (e *crashExchange) follow(v *crashVM, old, next *fleet.Snapshot) {
	v.ledger.Restore(v.clock.Boot(), v.clock.Now(), next.Crashes)
	v.forwarder.FollowServers(old, next)
}

// probe finds out whether the port of a backend server is closed.
func (f *crashFleet) probe(v *crashVM, s fleet.Server) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	known := f.servers[s.Server]
	f.mu.Unlock()
	if isSame := known != nil && known.Incarnation == s.Incarnation; !f.test.silent && (!isSame || known.isDown()) {
		v.forwarder.RecordCrash(s)
	}
}

// write makes a VM write records to the store, unless one of them has been changed meanwhile or the VM is cut off.
func (f *crashFleet) write(v *crashVM, records []fleet.Crash) {
	if len(records) == 0 {
		return
	}
	time.Sleep(storeLatency)
	f.mu.Lock()
	isLost := v.stopped || f.test.refusesOthers && v != f.vms[0] || f.test.isStoreCut && f.clock.Boot() < f.cutUntil
	for _, r := range records {
		isLost = isLost || f.records[r.Process].Revision != r.Revision
	}
	if !isLost {
		f.records = maps.Clone(f.records)
		for _, r := range records {
			f.revision++
			r.Revision = f.revision
			f.records[r.Process] = r
		}
	}
	f.mu.Unlock()
	if !isLost {
		f.publish()
	}
}

// crashStore is what the store of a crashFleet holds.
type crashStore struct {
	records  map[fleet.Incarnation]fleet.Crash
	revision id.Revision
}
