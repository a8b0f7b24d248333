package forward_test

import (
	"time"

	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/state/fleet"
)

// crashExchange is what a VM of a crashFleet tells others of crashes.
type crashExchange struct {
	ledger *poison.Ledger
}

// options returns the options of a VM and starts its periodic reports, until the VM is stopped. The fleet's mu is held.
func (e *crashExchange) options(f *crashFleet, v *crashVM, isLeader bool) []forward.Option {
	e.ledger = poison.NewLedger(poison.WithOnReport(func(r poison.Report) {
		f.deliver(v, func(to *crashVM) { to.ledger.Merge(f.clock.Boot(), r) })
	}))
	var repeat func()
	repeat = func() {
		if f.isStopped(v) {
			return
		}
		e.ledger.Repeat(f.clock.Boot(), isLeader)
		time.AfterFunc(100*time.Millisecond, repeat)
	}
	time.AfterFunc(0, repeat)
	return []forward.Option{forward.WithCrashes(e.ledger)}
}

// isStopped reports whether a VM has been stopped.
func (f *crashFleet) isStopped(v *crashVM) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return v.stopped
}

// follow tells a VM of a change of the registered backend servers.
func (e *crashExchange) follow(v *crashVM, old, next *fleet.Snapshot) {
	v.forwarder.FollowServers(old, next)
}
