package hickorylug

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/coordination/group"
	"github.com/hickorylug/hickorylug/protocol/peerpb"
	"github.com/hickorylug/hickorylug/state/id"
)

// Constants of the reports to the planner.
const (
	reportPeriod = 2 * time.Second
	// loadEvery is the number of reports of which one carries the loads of slices and keys.
	loadEvery = 5
	// reportedSlices is the number of slices, the most requested ones, whose load is reported.
	reportedSlices = 64
	reportTime     = 500 * time.Millisecond
)

// reportSoon makes the next report come at once.
func (vm *VM) reportSoon() {
	select {
	case vm.planning.reportNow <- struct{}{}:
	default:
	}
}

// report tells the planner and the successors of the groups that this VM holds, until the context ends.
func (vm *VM) report(ctx context.Context) error {
	loads := map[id.Group]*pendingLoad{}
	for turn := 0; ; turn++ {
		vm.mu.Lock()
		groups := make([]*group.Group, 0, len(vm.groups))
		for _, r := range vm.groups {
			groups = append(groups, r.group)
		}
		vm.mu.Unlock()
		for _, g := range groups {
			if loads[g.Name()] == nil {
				loads[g.Name()] = newPendingLoad()
			}
			vm.reportGroup(ctx, g, loads[g.Name()], turn%loadEvery == 0)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-vm.planning.reportNow:
		case <-vm.options.Clock.After(reportPeriod):
		}
	}
}

// pendingLoad gathers counts between two reports that carry them.
type pendingLoad struct {
	slices map[id.Slice]int
	keys   map[uint64]int
	since  time.Time
}

func newPendingLoad() *pendingLoad {
	return &pendingLoad{slices: map[id.Slice]int{}, keys: map[uint64]int{}}
}

func (l *pendingLoad) add(r group.Report) {
	for _, s := range r.Slices {
		l.slices[s.Slice] += s.Count
	}
	for _, k := range r.Keys {
		l.keys[uint64(k.Key)] += k.Count
	}
}

func (vm *VM) reportGroup(ctx context.Context, g *group.Group, l *pendingLoad, withLoad bool) {
	r := g.Report()
	l.add(r)
	m := &peerpb.GroupReport{Group: string(g.Name()), Term: uint64(g.Term())}
	for _, s := range r.Servers {
		m.Servers = append(m.Servers, &peerpb.ServerReport{
			Server: string(s.Server), Lost: s.Lost, Limit: int32(s.Limit), Slots: int32(s.Slots), Boot: string(s.Boot),
		})
	}
	now := vm.options.Clock.Now()
	if withLoad && !l.since.IsZero() && now.After(l.since) {
		fillLoad(m, l, now.Sub(l.since))
	}
	if withLoad {
		*l = *newPendingLoad()
		l.since = now
	}
	record := vm.directory.View().Leases[id.Planner]
	vm.passReport(ctx, record.Holder, m)
	if own := vm.directory.View().Leases[g.Name()]; len(own.Witnesses) > 0 && own.Witnesses[0] != record.Holder {
		vm.passReport(ctx, own.Witnesses[0], m)
	}
}

func fillLoad(m *peerpb.GroupReport, l *pendingLoad, d time.Duration) {
	m.Measured = true
	for slice, n := range l.slices {
		m.Slices = append(m.Slices, &peerpb.SliceLoad{Slice: uint32(slice), Rate: float64(n) / d.Seconds()})
	}
	slices.SortFunc(m.Slices, func(a, b *peerpb.SliceLoad) int { return -cmp.Compare(a.GetRate(), b.GetRate()) })
	m.Slices = m.Slices[:min(len(m.Slices), reportedSlices)]
	for key, n := range l.keys {
		m.Keys = append(m.Keys, &peerpb.KeyLoad{Key: key, Rate: float64(n) / d.Seconds()})
	}
}

func (vm *VM) passReport(ctx context.Context, to id.VM, m *peerpb.GroupReport) {
	if to == vm.options.Settings.VM {
		vm.takeReport(ctx, m)
		return
	}
	if to == "" {
		return
	}
	vm.tasks.Go(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reportTime)
		defer cancel()
		p, err := vm.client.Peer(to)
		if err == nil {
			_, err = p.Report(ctx, m)
		}
		if err != nil {
			vm.log.Debug("a report was not delivered", "to", to, "error", err)
		}
	})
}

// takeReport notes the condition of a group, as planner or as the one who may take the group over.
func (vm *VM) takeReport(_ context.Context, m *peerpb.GroupReport) {
	vm.mu.Lock()
	for _, s := range m.GetServers() {
		vm.seen[id.Server(s.GetServer())] = sighting{boot: id.Incarnation(s.GetBoot()), limit: int(s.GetLimit())}
	}
	vm.mu.Unlock()
	vm.planning.take(m)
}
