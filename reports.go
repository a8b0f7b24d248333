package hickorylug

import (
	"context"
	"maps"
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
	loadEvery = 3
	// successorEvery is the number of reports of which one goes to the successor, too.
	successorEvery = 2
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
		vm.reportOnce(ctx, loads, turn)
		select {
		case <-ctx.Done():
			return nil
		case <-vm.planning.reportNow:
		case <-vm.options.Clock.After(reportPeriod):
		}
	}
}

// reportOnce sends one message to each VM that has to know.
func (vm *VM) reportOnce(ctx context.Context, loads map[id.Group]*pendingLoad, turn int) {
	vm.mu.Lock()
	groups := make([]*group.Group, 0, len(vm.groups))
	for _, r := range vm.groups {
		groups = append(groups, r.group)
	}
	vm.mu.Unlock()
	view := vm.directory.View()
	messages := map[id.VM]*peerpb.Reports{}
	add := func(to id.VM, r *peerpb.GroupReport) {
		if messages[to] == nil {
			messages[to] = &peerpb.Reports{}
		}
		messages[to].Groups = append(messages[to].Groups, r)
	}
	plannerVM := view.Leases[id.Planner].Holder
	for _, g := range groups {
		if loads[g.Name()] == nil {
			loads[g.Name()] = newPendingLoad()
		}
		condition, load := vm.groupReport(g, loads[g.Name()], turn%loadEvery == 0)
		add(plannerVM, load)
		if w := view.Leases[g.Name()].Witnesses; turn%successorEvery == 0 && len(w) > 0 && w[0] != plannerVM {
			add(w[0], condition)
		}
	}
	for to, m := range messages {
		vm.passReports(ctx, to, m)
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

// groupReport returns a group's condition, without and with its load.
func (vm *VM) groupReport(g *group.Group, l *pendingLoad, withLoad bool) (condition, load *peerpb.GroupReport) {
	r := g.Report()
	l.add(r)
	condition = &peerpb.GroupReport{Group: string(g.Name()), Term: uint64(g.Term())}
	for _, s := range r.Servers {
		condition.Servers = append(condition.Servers, &peerpb.ServerReport{
			Server: string(s.Server), Lost: s.Lost, Limit: int32(s.Limit), Slots: int32(s.Slots), Boot: string(s.Boot), LatencyNanos: int64(s.Latency),
		})
	}
	load = &peerpb.GroupReport{Group: condition.Group, Term: condition.Term, Servers: condition.Servers}
	if !withLoad {
		return condition, load
	}
	now := vm.options.Clock.Now()
	if !l.since.IsZero() && now.After(l.since) {
		fillLoad(load, l, now.Sub(l.since))
	}
	*l = *newPendingLoad()
	l.since = now
	return condition, load
}

func fillLoad(m *peerpb.GroupReport, l *pendingLoad, d time.Duration) {
	m.Measured = true
	for _, slice := range slices.Sorted(maps.Keys(l.slices)) {
		m.Slices = append(m.Slices, uint32(slice))
		m.Rates = append(m.Rates, float32(float64(l.slices[slice])/d.Seconds()))
	}
	for key, n := range l.keys {
		m.Keys = append(m.Keys, &peerpb.KeyLoad{Key: key, Rate: float64(n) / d.Seconds()})
	}
}

func (vm *VM) passReports(ctx context.Context, to id.VM, m *peerpb.Reports) {
	if to == vm.options.Settings.VM {
		vm.takeReports(ctx, m)
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

// takeReports notes the condition of groups, as planner or as the one who may take them over.
func (vm *VM) takeReports(_ context.Context, m *peerpb.Reports) {
	for _, r := range m.GetGroups() {
		vm.mu.Lock()
		for _, s := range r.GetServers() {
			vm.seen[id.Server(s.GetServer())] = sighting{boot: id.Incarnation(s.GetBoot()), limit: int(s.GetLimit())}
		}
		vm.mu.Unlock()
		vm.planning.take(r)
	}
}
