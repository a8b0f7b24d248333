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

// Times of planning.
const (
	planPeriod = 500 * time.Millisecond
	// balancePeriod is the time between two moves for the sake of balance.
	balancePeriod = 5 * time.Second
	// firstPatience is the time for which the first table waits until all groups are held.
	firstPatience = 3 * time.Second
	// balanceAfter is the time after which a new planner knows the load: two reports that carry it.
	balanceAfter = 2 * loadEvery * reportPeriod
	// reportFresh is the time for which a report is believed.
	reportFresh = 5 * time.Second
	// releaseTime is the time after which what has been let go is given on, without those that are slow.
	releaseTime = 300 * time.Millisecond
	// releaseAgain is the time after which the slow ones are asked again.
	releaseAgain = 50 * time.Millisecond
	writeTime    = 2 * time.Second
	// removedWait is the time after which nobody uses a backend server that was taken out of the configuration.
	removedWait = 15 * time.Second
	// loadSmoothing is the weight of a new measurement of a slice's load.
	loadSmoothing = 0.5
)

// planning is the work of the planner's lease holder; elsewhere it only waits.
type planning struct {
	vm        *VM
	wakes     chan struct{}
	reportNow chan struct{}

	mu       sync.Mutex
	since    time.Time
	reports  map[id.Group]*groupState
	balanced map[id.Service]time.Time
	// removed holds the time at which an owner was first missed in the configuration.
	removed map[id.Owner]time.Time
}

type groupState struct {
	at      time.Time
	servers map[id.Server]serverState
	slices  map[id.Slice]float64
	keys    map[table.Hash]float64
}

type serverState struct {
	lost         bool
	limit, slots int
	latency      time.Duration
}

func newPlanning(vm *VM) *planning {
	return &planning{
		vm:        vm,
		wakes:     make(chan struct{}, 1),
		reportNow: make(chan struct{}, 1),
		reports:   map[id.Group]*groupState{},
		balanced:  map[id.Service]time.Time{},
		removed:   map[id.Owner]time.Time{},
	}
}

// wake makes the planner look again at once.
func (p *planning) wake() {
	select {
	case p.wakes <- struct{}{}:
	default:
	}
}

// take notes a group's report.
func (p *planning) take(m *peerpb.GroupReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := id.Group(m.GetGroup())
	s, ok := p.reports[g]
	if !ok {
		s = &groupState{slices: map[id.Slice]float64{}, keys: map[table.Hash]float64{}}
		p.reports[g] = s
	}
	s.at = p.vm.options.Clock.Now()
	before := s.servers
	s.servers = map[id.Server]serverState{}
	for _, r := range m.GetServers() {
		name := id.Server(r.GetServer())
		s.servers[name] = serverState{lost: r.GetLost(), limit: int(r.GetLimit()), slots: int(r.GetSlots()), latency: time.Duration(r.GetLatencyNanos())}
		if before[name].lost != r.GetLost() {
			p.wake()
		}
	}
	if m.GetMeasured() {
		s.measure(m)
	}
}

func (s *groupState) measure(m *peerpb.GroupReport) {
	for k, v := range s.slices {
		s.slices[k] = v * (1 - loadSmoothing)
	}
	for i, slice := range m.GetSlices() {
		if i < len(m.GetRates()) {
			s.slices[id.Slice(slice)] += loadSmoothing * float64(m.GetRates()[i])
		}
	}
	s.keys = map[table.Hash]float64{}
	for _, l := range m.GetKeys() {
		s.keys[table.Hash(l.GetKey())] = l.GetRate()
	}
}

// run plans while this VM holds the planner's lease, until the context ends.
func (p *planning) run(ctx context.Context) error {
	for {
		changed := p.vm.directory.Changed()
		if p.vm.holds(id.Planner) {
			p.round(ctx)
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

// round looks at every service once, all of them at the same time.
func (p *planning) round(ctx context.Context) {
	view := p.vm.directory.View()
	done := make(chan struct{}, len(view.Site.Services))
	for service := range view.Site.Services {
		p.vm.tasks.Go(ctx, func(ctx context.Context) {
			p.service(ctx, service)
			done <- struct{}{}
		})
	}
	for range view.Site.Services {
		<-done
	}
}

// service completes the moves of a service's table and begins others.
func (p *planning) service(ctx context.Context, service id.Service) {
	view := p.vm.directory.View()
	t, ok := view.Tables[service]
	if !ok {
		t = p.first(ctx, service)
		if t == nil {
			return
		}
	}
	if t, ok = p.complete(ctx, service, t); !ok {
		return
	}
	owners, load := p.owners(view, service, t)
	next, changed := planner.Plan(t, owners, load, p.planOptions(service)...)
	if changed {
		if t, ok = p.write(ctx, service, next); !ok {
			return
		}
		if t, ok = p.complete(ctx, service, t); !ok {
			return
		}
	}
	if t.MovingCount() > 0 {
		p.vm.options.Clock.AfterFunc(releaseAgain, p.wake)
	}
}

// complete gives on what its old owners have let go; ok is false where the table could not be written.
func (p *planning) complete(ctx context.Context, service id.Service, t *table.Table) (next *table.Table, ok bool) {
	next, changed := planner.Complete(t, p.released(ctx, service, t))
	if !changed {
		return t, true
	}
	return p.write(ctx, service, next)
}

// first reads a service's table from the store, or makes one where there is none.
func (p *planning) first(ctx context.Context, service id.Service) *table.Table {
	if !p.groupsHeld(service) && p.age() < firstPatience {
		// A table that is made now would leave out groups that are just about to begin.
		return nil
	}
	item, err := p.vm.platform.Get(ctx, directory.KeyTable(service))
	if err != nil {
		return nil
	}
	if item.Revision != 0 {
		if err := p.vm.directory.Apply(item); err != nil {
			p.vm.log.Error("a slice table can't be used", "service", service, "error", err)
		}
		return nil
	}
	return table.New(service, p.vm.directory.View().Site.Services[service].Slices)
}

// groupsHeld reports whether every group of a service that is in service has a lease holder.
func (p *planning) groupsHeld(service id.Service) bool {
	view := p.vm.directory.View()
	for _, g := range view.ByService[service] {
		if record, ok := view.Leases[g]; view.Groups[g].AcceptsRequests() && (!ok || record.IsVacant()) {
			return false
		}
	}
	return true
}

// begin notes the time at which this VM became the planner.
func (p *planning) begin() {
	p.mu.Lock()
	p.since = p.vm.options.Clock.Now()
	clear(p.balanced)
	p.mu.Unlock()
	p.wake()
}

// age returns how long this VM has been the planner.
func (p *planning) age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vm.options.Clock.Now().Sub(p.since)
}

// planOptions holds back moves for the sake of balance between two periods.
func (p *planning) planOptions(service id.Service) []planner.Option {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.vm.options.Clock.Now()
	// A new planner lets the reports come in before it judges the load.
	if now.Sub(p.since) < balanceAfter || now.Sub(p.balanced[service]) < balancePeriod {
		return []planner.Option{planner.WithoutBalance()}
	}
	p.balanced[service] = now
	return nil
}

// owners returns the possible owners of a service's slices and what they bear.
func (p *planning) owners(view *directory.View, service id.Service, t *table.Table) (owners []planner.Owner, load planner.Load) {
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
		if state != nil && now.Sub(state.at) > reportFresh {
			state = nil
		}
		addLoad(&load, state)
		if !view.Site.Services[service].Keyed {
			owners = append(owners, planner.Owner{Name: id.Owner(name), Eligible: held && g.AcceptsRequests() && state.serves(), MaxNewSlices: -1})
			latencies = append(latencies, 0)
			continue
		}
		for server, c := range g.Servers {
			s := serverState{}
			if state != nil {
				s = state.servers[server]
			}
			latencies = append(latencies, s.latency)
			owners = append(owners, planner.Owner{
				Name:         id.Owner(server),
				Eligible:     held && !g.Out && !c.Out && !s.lost,
				MaxNewSlices: warming(s, len(t.Slices), len(view.Site.Services[service].Servers)),
			})
		}
	}
	planner.SetLatencyWeights(owners, latencies)
	return owners, load
}

// serves reports whether a group has a backend server that isn't lost, or has not reported.
func (s *groupState) serves() bool {
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

func addLoad(load *planner.Load, s *groupState) {
	if s == nil {
		return
	}
	for slice, rate := range s.slices {
		if int(slice) < len(load.Slices) {
			load.Slices[slice] += rate
		}
	}
	for key, rate := range s.keys {
		load.Keys = append(load.Keys, planner.KeyLoad{Key: key, Rate: rate})
	}
}

// warmingSteps is the number of steps in which a cold backend server gets its share.
const warmingSteps = 8

// warming bounds what a backend server that isn't warm yet may gain in one plan.
func warming(s serverState, slices, servers int) int {
	if s.slots == 0 || s.limit >= s.slots {
		return -1
	}
	return max(1, slices/max(servers, 1)/warmingSteps)
}

// write makes a table the store's; the directory refuses it where another planner was faster.
func (p *planning) write(ctx context.Context, service id.Service, next *table.Table) (t *table.Table, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	if !p.vm.holds(id.Planner) {
		return nil, false
	}
	value, err := json.Marshal(next)
	if err != nil {
		p.vm.log.Error("a slice table can't be encoded", "service", service, "error", err)
		return nil, false
	}
	view := p.vm.directory.View()
	item, err := p.vm.platform.SwapAndVerify(ctx, directory.KeyTable(service), view.TableRevisions[service], value)
	if err != nil {
		p.vm.log.Warn("a slice table was not written", "service", service, "version", next.Version, "error", err)
		p.reread(ctx, service)
		return nil, false
	}
	p.vm.directory.SetTable(item.Revision, next)
	p.vm.log.Info("slice table is written", "service", service, "version", next.Version, "moving", next.MovingCount())
	p.publish(ctx, view.Tables[service], item.Revision, next)
	return next, true
}

func (p *planning) reread(ctx context.Context, service id.Service) {
	if item, err := p.vm.platform.Get(ctx, directory.KeyTable(service)); err == nil {
		if err := p.vm.directory.Apply(item); err != nil {
			p.vm.log.Error("a slice table can't be used", "service", service, "error", err)
		}
	}
}

// publish tells the lease holders of groups that have gained something, before they learn by the watch.
//
// Those that lose something are told by the request to release it.
func (p *planning) publish(ctx context.Context, before *table.Table, revision id.Revision, t *table.Table) {
	service := t.Service
	gained := gainers(before, t)
	if len(gained) == 0 {
		return
	}
	m, err := peer.EncodeTable(revision, t)
	if err != nil {
		p.vm.log.Error("a slice table can't be encoded", "service", service, "error", err)
		return
	}
	view := p.vm.directory.View()
	told := map[id.VM]bool{p.vm.options.Settings.VM: true, "": true}
	for owner := range gained {
		g, ok := view.GroupOfServer(service, id.Server(owner))
		if !ok {
			g = id.Group(owner)
		}
		if holder := view.Leases[g].Holder; !told[holder] {
			told[holder] = true
			p.vm.offer(ctx, holder, &peerpb.State{Tables: []*peerpb.Table{m}})
		}
	}
}

// gainers returns the owners that serve something in a table that they didn't serve before.
func gainers(before, after *table.Table) map[id.Owner]bool {
	out := map[id.Owner]bool{}
	for i, e := range after.Slices {
		same := before != nil && i < len(before.Slices) && before.Slices[i] == e
		if !same && !e.Moving() && e.Owner >= 0 {
			out[after.OwnerAt(e.Owner)] = true
		}
	}
	for h, e := range after.Keys {
		if before != nil && before.Keys[h] == e || e.Moving() {
			continue
		}
		out[after.OwnerAt(e.Owner)] = true
	}
	return out
}
