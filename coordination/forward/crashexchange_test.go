package forward_test

import (
	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/state/fleet"
)

// crashExchange is what a VM of a crashFleet tells others of crashes.
type crashExchange struct {
	tracker *poison.Tracker
}

func (e *crashExchange) options(f *crashFleet, v *crashVM) []forward.Option {
	e.tracker = poison.NewTracker()
	return []forward.Option{forward.WithPoison(e.tracker), forward.WithOnCrash(func(p poison.Fingerprint, crashes int) {
		f.deliver(v, func(to *crashVM) { to.tracker.MergeCrashes(f.clock.Boot(), p, crashes) })
	})}
}

// follow tells a VM of a change of the registered backend servers.
func (e *crashExchange) follow(v *crashVM, old, next *fleet.Snapshot) {
	for name, s := range next.Servers {
		if before, ok := old.Servers[name]; ok && before.Born != s.Born {
			v.forwarder.RecordRestart(name)
		}
	}
}
