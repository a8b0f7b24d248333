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

const (
	// reportPeriod is the interval between two reports to the planner.
	reportPeriod = 2 * time.Second
	// reportsPerLoadReport is the number of reports of which one carries the load of slices and keys.
	reportsPerLoadReport = 3
	// reportsPerSuccessorReport is the number of reports of which one is also sent to the successor.
	reportsPerSuccessorReport = 2
	// reportTimeout bounds one report call.
	reportTimeout = 500 * time.Millisecond
)

// triggerReport triggers the next report immediately.
func (vm *VM) triggerReport() {
	select {
	case vm.plannerLoop.reportNow <- struct{}{}:
	default:
	}
}

// sendReports periodically reports the groups that this VM serves to the planner and to the groups' successors, until ctx is done.
func (vm *VM) sendReports(ctx context.Context) error {
	loads := map[id.Group]*pendingLoad{}
	for round := 0; ; round++ {
		vm.sendReportRound(ctx, loads, round)
		select {
		case <-ctx.Done():
			return nil
		case <-vm.plannerLoop.reportNow:
		case <-vm.options.Clock.After(reportPeriod):
		}
	}
}

// sendReportRound sends one message to each VM that receives reports in this round.
func (vm *VM) sendReportRound(ctx context.Context, loads map[id.Group]*pendingLoad, round int) {
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
		status, statusAndLoad := vm.groupReports(g, loads[g.Name()], round%reportsPerLoadReport == 0)
		add(plannerVM, statusAndLoad)
		if w := view.Leases[g.Name()].Witnesses; round%reportsPerSuccessorReport == 0 && len(w) > 0 && w[0] != plannerVM {
			add(w[0], status)
		}
	}
	for to, m := range messages {
		vm.sendReportsTo(ctx, to, m)
	}
}

// pendingLoad counts requests between two reports that carry load.
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

// groupReports returns the status of a group's backend servers, without and, if withLoad is set, with the group's load.
func (vm *VM) groupReports(g *group.Group, l *pendingLoad, withLoad bool) (status, statusAndLoad *peerpb.GroupReport) {
	r := g.Report()
	l.add(r)
	status = &peerpb.GroupReport{Group: string(g.Name()), Term: uint64(g.Term())}
	for _, s := range r.Servers {
		status.Servers = append(status.Servers, &peerpb.ServerReport{
			Server: string(s.Server), Lost: s.Lost, Limit: int32(s.Limit), Slots: int32(s.Slots), Boot: string(s.Incarnation), LatencyNanos: int64(s.Latency),
		})
	}
	statusAndLoad = &peerpb.GroupReport{Group: status.Group, Term: status.Term, Servers: status.Servers}
	if !withLoad {
		return status, statusAndLoad
	}
	now := vm.options.Clock.Now()
	if !l.since.IsZero() && now.After(l.since) {
		fillLoad(statusAndLoad, l, now.Sub(l.since))
	}
	*l = *newPendingLoad()
	l.since = now
	return status, statusAndLoad
}

// fillLoad adds the request rates over d, in requests per second, to a report.
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

// sendReportsTo sends reports to a VM in the background; reports to this VM are handled directly.
func (vm *VM) sendReportsTo(ctx context.Context, to id.VM, m *peerpb.Reports) {
	if to == vm.options.Settings.VM {
		vm.handleReports(ctx, m)
		return
	}
	if to == "" {
		return
	}
	vm.tasks.Go(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		p, err := vm.client.Peer(to)
		if err == nil {
			_, err = p.Report(ctx, m)
		}
		if err != nil {
			vm.log.Debug("failed to send a report", "to", to, "error", err)
		}
	})
}

// handleReports records the reports of groups, which this VM uses as planner or as a successor.
func (vm *VM) handleReports(_ context.Context, m *peerpb.Reports) {
	for _, r := range m.GetGroups() {
		vm.mu.Lock()
		for _, s := range r.GetServers() {
			vm.knownServers[id.Server(s.GetServer())] = knownServer{incarnation: id.Incarnation(s.GetBoot()), limit: int(s.GetLimit())}
		}
		vm.mu.Unlock()
		vm.plannerLoop.recordReport(r)
	}
}
