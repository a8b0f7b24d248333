package hickorylug

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/coordination/planner"
	"github.com/hickorylug/hickorylug/protocol/peerpb"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
	"github.com/hickorylug/hickorylug/transport/peer"
)

const (
	// planPeriod is the maximum time between two planning rounds.
	planPeriod = 500 * time.Millisecond
	// rebalancePeriod is the minimum time between two plans of a service that may move slices to balance load.
	rebalancePeriod = 5 * time.Second
	// firstTableWaitLimit bounds the wait for holders of all groups before a service's first table is created.
	firstTableWaitLimit = 3 * time.Second
	// rebalanceDelay is the time after its election from which a planner balances load: two reports with load must have arrived.
	rebalanceDelay = 2 * reportsPerLoadReport * reportPeriod
	// maxReportAge is the age above which a group's report is ignored.
	maxReportAge = 5 * time.Second
	// releaseTimeout bounds the wait for releases. The slices released by then move on without waiting for slow owners.
	releaseTimeout = 300 * time.Millisecond
	// releaseRetryDelay is the delay before pending releases are requested again.
	releaseRetryDelay = 50 * time.Millisecond
	// tableWriteTimeout bounds the write of a slice table.
	tableWriteTimeout = 2 * time.Second
	// removalPropagationTime is the time after which no VM sends requests to a backend server that was removed from the configuration.
	removalPropagationTime = 15 * time.Second
	// loadEWMAWeight is the weight of a new sample in the EWMA of a slice's request rate.
	loadEWMAWeight = 0.5
)

// plannerLoop plans the slice tables while this VM holds the planner's lease. On other VMs it only records reports.
type plannerLoop struct {
	vm        *VM
	wakes     chan struct{}
	reportNow chan struct{}

	mu sync.Mutex
	// electedAt is the time at which this VM last became the planner.
	electedAt    time.Time
	reports      map[id.Group]*groupReportState
	rebalancedAt map[id.Service]time.Time
	// removedAt holds the time at which an owner was first found missing from the configuration.
	removedAt map[id.Owner]time.Time
}

// groupReportState is the last report of a group, with smoothed request rates.
type groupReportState struct {
	receivedAt time.Time
	servers    map[id.Server]serverReportState
	sliceRates map[id.Slice]float64
	keyRates   map[table.Hash]float64
}

// serverReportState is the state of a backend server in the last report of its group.
type serverReportState struct {
	lost         bool
	limit, slots int
	latency      time.Duration
}

func newPlannerLoop(vm *VM) *plannerLoop {
	return &plannerLoop{
		vm:           vm,
		wakes:        make(chan struct{}, 1),
		reportNow:    make(chan struct{}, 1),
		reports:      map[id.Group]*groupReportState{},
		rebalancedAt: map[id.Service]time.Time{},
		removedAt:    map[id.Owner]time.Time{},
	}
}

// wake starts the next planning round immediately.
func (p *plannerLoop) wake() {
	select {
	case p.wakes <- struct{}{}:
	default:
	}
}

// recordReport stores a group's report and wakes the planner if a backend server was lost or recovered.
func (p *plannerLoop) recordReport(m *peerpb.GroupReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := id.Group(m.GetGroup())
	s, ok := p.reports[g]
	if !ok {
		s = &groupReportState{sliceRates: map[id.Slice]float64{}, keyRates: map[table.Hash]float64{}}
		p.reports[g] = s
	}
	s.receivedAt = p.vm.options.Clock.Now()
	previous := s.servers
	s.servers = map[id.Server]serverReportState{}
	for _, r := range m.GetServers() {
		name := id.Server(r.GetServer())
		s.servers[name] = serverReportState{lost: r.GetLost(), limit: int(r.GetLimit()), slots: int(r.GetSlots()), latency: time.Duration(r.GetLatencyNanos())}
		if previous[name].lost != r.GetLost() {
			p.wake()
		}
	}
	if m.GetMeasured() {
		s.updateRates(m)
	}
}

// updateRates adds the request rates of a report to the smoothed rates of the slices, and replaces those of the keys.
func (s *groupReportState) updateRates(m *peerpb.GroupReport) {
	for k, v := range s.sliceRates {
		s.sliceRates[k] = v * (1 - loadEWMAWeight)
	}
	for i, slice := range m.GetSlices() {
		if i < len(m.GetRates()) {
			s.sliceRates[id.Slice(slice)] += loadEWMAWeight * float64(m.GetRates()[i])
		}
	}
	s.keyRates = map[table.Hash]float64{}
	for _, l := range m.GetKeys() {
		s.keyRates[table.Hash(l.GetKey())] = l.GetRate()
	}
}

// run plans while this VM holds the planner's lease, until ctx is done.
func (p *plannerLoop) run(ctx context.Context) error {
	for {
		changed := p.vm.directory.Changed()
		if p.vm.holdsLease(id.Planner) {
			p.planServices(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-p.wakes:
		case <-changed:
		case <-p.vm.options.Clock.After(planPeriod):
		}
	}
}

// planServices plans every service once, all concurrently.
func (p *plannerLoop) planServices(ctx context.Context) {
	view := p.vm.directory.View()
	done := make(chan struct{}, len(view.Site.Services))
	for service := range view.Site.Services {
		p.vm.tasks.Go(ctx, func(ctx context.Context) {
			p.planService(ctx, service)
			done <- struct{}{}
		})
	}
	for range view.Site.Services {
		<-done
	}
}

// planService completes pending moves of a service's slice table and starts new ones.
func (p *plannerLoop) planService(ctx context.Context, service id.Service) {
	view := p.vm.directory.View()
	t, ok := view.Tables[service]
	if !ok {
		t = p.loadOrCreateTable(ctx, service)
		if t == nil {
			return
		}
	}
	if t, ok = p.completeMoves(ctx, service, t); !ok {
		return
	}
	owners, load := p.owners(view, service, t)
	next, changed := planner.Plan(t, owners, load, p.planOptions(service)...)
	if changed {
		if t, ok = p.writeTable(ctx, service, next); !ok {
			return
		}
		if t, ok = p.completeMoves(ctx, service, t); !ok {
			return
		}
	}
	if t.MovingCount() > 0 {
		p.vm.options.Clock.AfterFunc(releaseRetryDelay, p.wake)
	}
}

// completeMoves assigns released slices to their new owners. ok is false if the table could not be written.
func (p *plannerLoop) completeMoves(ctx context.Context, service id.Service, t *table.Table) (next *table.Table, ok bool) {
	next, changed := planner.Complete(t, p.releasedOwners(ctx, service, t))
	if !changed {
		return t, true
	}
	return p.writeTable(ctx, service, next)
}

// loadOrCreateTable reads a service's table from the store into the directory, or returns a new one if the store has none.
func (p *plannerLoop) loadOrCreateTable(ctx context.Context, service id.Service) *table.Table {
	if !p.allGroupsHeld(service) && p.timeSinceElection() < firstTableWaitLimit {
		// A table created now would exclude groups whose lease has not begun yet.
		return nil
	}
	item, err := p.vm.platform.Get(ctx, directory.KeyTable(service))
	if err != nil {
		return nil
	}
	if item.Revision != 0 {
		if err := p.vm.directory.Apply(item); err != nil {
			p.vm.log.Error("invalid slice table in the store", "service", service, "error", err)
		}
		return nil
	}
	return table.New(service, p.vm.directory.View().Site.Services[service].Slices)
}

// allGroupsHeld reports whether each of a service's groups that accept requests has a lease holder.
func (p *plannerLoop) allGroupsHeld(service id.Service) bool {
	view := p.vm.directory.View()
	for _, g := range view.ByService[service] {
		if record, ok := view.Leases[g]; view.Groups[g].AcceptsRequests() && (!ok || record.IsVacant()) {
			return false
		}
	}
	return true
}

// recordElection records the time at which this VM became the planner and starts a planning round.
func (p *plannerLoop) recordElection() {
	p.mu.Lock()
	p.electedAt = p.vm.options.Clock.Now()
	clear(p.rebalancedAt)
	p.mu.Unlock()
	p.wake()
}

// timeSinceElection returns how long this VM has been the planner.
func (p *plannerLoop) timeSinceElection() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vm.options.Clock.Now().Sub(p.electedAt)
}

// planOptions permits balancing moves in only one plan per rebalancePeriod.
func (p *plannerLoop) planOptions(service id.Service) []planner.Option {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.vm.options.Clock.Now()
	// A new planner waits for load reports before it balances.
	if now.Sub(p.electedAt) < rebalanceDelay || now.Sub(p.rebalancedAt[service]) < rebalancePeriod {
		return []planner.Option{planner.WithoutBalance()}
	}
	p.rebalancedAt[service] = now
	return nil
}

// owners returns the possible owners of a service's slices and the load of the slices and keys.
func (p *plannerLoop) owners(view *directory.View, service id.Service, t *table.Table) (owners []planner.Owner, load planner.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.vm.options.Clock.Now()
	load.Slices = make([]float64, len(t.Slices))
	var latencies []time.Duration
	for _, name := range view.ByService[service] {
		g := view.Groups[name]
		record, known := view.Leases[name]
		held := known && !record.IsVacant()
		state := p.reports[name]
		if state != nil && now.Sub(state.receivedAt) > maxReportAge {
			state = nil
		}
		addLoad(&load, state)
		if !view.Site.Services[service].Keyed {
			owners = append(owners, planner.Owner{Name: id.Owner(name), Eligible: held && g.AcceptsRequests() && state.hasAvailableServer(), MaxNewSlices: -1})
			latencies = append(latencies, 0)
			continue
		}
		for server, c := range g.Servers {
			s := serverReportState{}
			if state != nil {
				s = state.servers[server]
			}
			latencies = append(latencies, s.latency)
			owners = append(owners, planner.Owner{
				Name:         id.Owner(server),
				Eligible:     held && !g.Out && !c.Out && !s.lost,
				MaxNewSlices: maxNewSlices(s, len(t.Slices), len(view.Site.Services[service].Servers)),
			})
		}
	}
	planner.SetLatencyWeights(owners, latencies)
	return owners, load
}

// hasAvailableServer reports whether a group has a backend server that isn't lost. A group without a report is assumed to have one.
func (s *groupReportState) hasAvailableServer() bool {
	if s == nil || len(s.servers) == 0 {
		return true
	}
	for _, server := range s.servers {
		if !server.lost {
			return true
		}
	}
	return false
}

// addLoad adds the rates of a group to load; slices beyond the table's end are ignored.
func addLoad(load *planner.Load, s *groupReportState) {
	if s == nil {
		return
	}
	for slice, rate := range s.sliceRates {
		if int(slice) < len(load.Slices) {
			load.Slices[slice] += rate
		}
	}
	for key, rate := range s.keyRates {
		load.Keys = append(load.Keys, planner.KeyLoad{Key: key, Rate: rate})
	}
}

// warmupSteps is the number of plans over which a cold backend server receives its share of the slices.
const warmupSteps = 8

// maxNewSlices returns the number of slices that a backend server may gain in one plan during its warm-up, or -1 for no limit.
func maxNewSlices(s serverReportState, slices, servers int) int {
	if s.slots == 0 || s.limit >= s.slots {
		return -1
	}
	return max(1, slices/max(servers, 1)/warmupSteps)
}

// writeTable writes a table to the store by compare-and-swap.
//
// If another planner was faster, or the write fails otherwise, it reloads the
// store's table and ok is false.
func (p *plannerLoop) writeTable(ctx context.Context, service id.Service, next *table.Table) (t *table.Table, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, tableWriteTimeout)
	defer cancel()
	if !p.vm.holdsLease(id.Planner) {
		return nil, false
	}
	value, err := json.Marshal(next)
	if err != nil {
		p.vm.log.Error("failed to encode a slice table", "service", service, "error", err)
		return nil, false
	}
	view := p.vm.directory.View()
	item, err := p.vm.platform.SwapAndVerify(ctx, directory.KeyTable(service), view.TableRevisions[service], value)
	if err != nil {
		p.vm.log.Warn("failed to write a slice table", "service", service, "version", next.Version, "error", err)
		p.reloadTable(ctx, service)
		return nil, false
	}
	p.vm.directory.SetTable(item.Revision, next)
	p.vm.log.Info("slice table written", "service", service, "version", next.Version, "moving", next.MovingCount())
	p.announceTable(ctx, view.Tables[service], item.Revision, next)
	return next, true
}

// reloadTable reads a service's table from the store into the directory.
func (p *plannerLoop) reloadTable(ctx context.Context, service id.Service) {
	if item, err := p.vm.platform.Get(ctx, directory.KeyTable(service)); err == nil {
		if err := p.vm.directory.Apply(item); err != nil {
			p.vm.log.Error("invalid slice table in the store", "service", service, "error", err)
		}
	}
}

// announceTable sends a table to the lease holders of groups that gained slices or keys, which is faster than the store watch.
//
// Holders of groups that lose slices receive the table with the release request.
func (p *plannerLoop) announceTable(ctx context.Context, previous *table.Table, revision id.Revision, t *table.Table) {
	service := t.Service
	gaining := gainingOwners(previous, t)
	if len(gaining) == 0 {
		return
	}
	m, err := peer.EncodeTable(revision, t)
	if err != nil {
		p.vm.log.Error("failed to encode a slice table", "service", service, "error", err)
		return
	}
	view := p.vm.directory.View()
	notified := map[id.VM]bool{p.vm.options.Settings.VM: true, "": true}
	for owner := range gaining {
		g, ok := view.GroupOfServer(service, id.Server(owner))
		if !ok {
			g = id.Group(owner)
		}
		if holder := view.Leases[g].Holder; !notified[holder] {
			notified[holder] = true
			p.vm.sendState(ctx, holder, &peerpb.State{Tables: []*peerpb.Table{m}})
		}
	}
}

// gainingOwners returns the owners of slices or keys in after that they don't own in before.
func gainingOwners(before, after *table.Table) map[id.Owner]bool {
	out := map[id.Owner]bool{}
	for i, e := range after.Slices {
		same := before != nil && i < len(before.Slices) && before.Slices[i] == e
		if !same && !e.IsMoving() && e.Owner >= 0 {
			out[after.OwnerAt(e.Owner)] = true
		}
	}
	for h, e := range after.Keys {
		if before != nil && before.Keys[h] == e || e.IsMoving() {
			continue
		}
		out[after.OwnerAt(e.Owner)] = true
	}
	return out
}
