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

// options returns the options of a VM and starts its periodic reports. The fleet's mu is held.
func (e *crashExchange) options(f *crashFleet, v *crashVM) []forward.Option {
	e.ledger = poison.NewLedger(poison.WithOnReport(func(r poison.Report) {
		f.deliver(v, func(to *crashVM) { to.ledger.Merge(f.clock.Boot(), r) })
	}))
	isLeader := len(f.vms) == 0
	var repeat func()
	repeat = func() {
		e.ledger.Repeat(f.clock.Boot(), isLeader)
		time.AfterFunc(100*time.Millisecond, repeat)
	}
	repeat()
	return []forward.Option{forward.WithCrashes(e.ledger)}
}

// follow tells a VM of a change of the registered backend servers.
func (e *crashExchange) follow(v *crashVM, old, next *fleet.Snapshot) {
	v.forwarder.FollowServers(old, next)
}
