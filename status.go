package hickorylug

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/coordination/member"
	"github.com/hickorylug/hickorylug/coordination/route"
	"github.com/hickorylug/hickorylug/protocol/peerpb"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
	"github.com/hickorylug/hickorylug/transport/operator"
)

// Ready returns an error while the VM can't accept callers' requests.
func (vm *VM) Ready() error {
	vm.mu.Lock()
	leaving := vm.leaving
	vm.mu.Unlock()
	switch {
	case leaving:
		return errors.New("the VM is leaving")
	case vm.directory.View().Revision == 0:
		return errors.New("the VM has no configuration yet")
	default:
		return nil
	}
}

// Status returns the VM's state, its leases, and the groups, members and slice tables that it knows.
func (vm *VM) Status() operator.Status {
	view := vm.directory.View()
	set := vm.options.Settings
	s := operator.Status{
		VM:            set.VM,
		Incarnation:   vm.incarnation,
		Site:          set.Site,
		FailureDomain: set.FailureDomain,
		Ready:         vm.Ready() == nil,
		Revision:      view.Revision,
	}
	if accepted, err := config.DecodeAccepted(view.Accepted); err == nil {
		s.Change = accepted.Change
	}
	vm.mu.Lock()
	s.Leaving, s.Holds = vm.leaving, vm.keeper.Held()
	vm.mu.Unlock()
	for _, name := range view.SortedGroups() {
		s.Groups = append(s.Groups, vm.groupStatus(view, name))
	}
	for _, m := range vm.members.Live(vm.options.Clock.Boot())[1:] {
		s.Members = append(s.Members, operator.MemberStatus{VM: m.VM, FailureDomain: m.FailureDomain, Leaving: m.Leaving})
	}
	for _, t := range view.Tables {
		s.Tables = append(s.Tables, tableStatus(t))
	}
	slices.SortFunc(s.Tables, func(a, b operator.TableStatus) int { return cmp.Compare(a.Service, b.Service) })
	return s
}

// Revision returns the revision of the configuration that this VM uses.
func (vm *VM) Revision() id.Revision { return vm.directory.View().Revision }

// inventory returns the configuration revision, the incarnation and the shutdown state of this VM.
func (vm *VM) inventory(context.Context) *peerpb.InventoryAnswer {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return &peerpb.InventoryAnswer{
		ConfigurationRevision: uint64(vm.directory.View().Revision),
		Incarnation:           string(vm.incarnation),
		Leaving:               vm.leaving,
	}
}

// fleetTimeout bounds the call to each VM in Fleet.
const fleetTimeout = time.Second

// Fleet returns the configuration revision of every known VM, sorted by name. VMs that don't answer have an error.
func (vm *VM) Fleet(ctx context.Context) []operator.FleetStatus {
	known := vm.members.Known()
	answers := make(chan operator.FleetStatus, len(known))
	for _, m := range known {
		vm.tasks.Go(ctx, func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
			defer cancel()
			answers <- vm.queryFleetStatus(ctx, m)
		})
	}
	own := vm.inventory(ctx)
	out := []operator.FleetStatus{{
		VM: vm.options.Settings.VM, FailureDomain: vm.options.Settings.FailureDomain,
		Revision: id.Revision(own.GetConfigurationRevision()), Leaving: own.GetLeaving(),
	}}
	for range known {
		out = append(out, <-answers)
	}
	slices.SortFunc(out, func(a, b operator.FleetStatus) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

func (vm *VM) queryFleetStatus(ctx context.Context, m member.Member) operator.FleetStatus {
	s := operator.FleetStatus{VM: m.VM, FailureDomain: m.FailureDomain}
	p, err := vm.client.Peer(m.VM)
	if err == nil {
		var a *peerpb.InventoryAnswer
		if a, err = p.Inventory(ctx, &peerpb.InventoryRequest{}); err == nil {
			s.Revision, s.Leaving = id.Revision(a.GetConfigurationRevision()), a.GetLeaving()
		}
	}
	if err != nil {
		s.Error = err.Error()
	}
	return s
}

func (vm *VM) groupStatus(view *directory.View, name id.Group) operator.GroupStatus {
	g, record := view.Groups[name], view.Leases[name]
	s := operator.GroupStatus{
		Group: name, Service: g.Service, FailureDomain: g.FailureDomain, Out: g.Out,
		Holder: record.Holder, Term: record.Term, Witnesses: record.Witnesses,
	}
	vm.mu.Lock()
	held, ok := vm.groups[name]
	vm.mu.Unlock()
	if ok {
		for _, r := range held.group.ServerReports() {
			s.Servers = append(s.Servers, operator.ServerStatus{Server: r.Server, Lost: r.Lost, Limit: r.Limit, Slots: r.Slots})
		}
	}
	return s
}

func tableStatus(t *table.Table) operator.TableStatus {
	s := operator.TableStatus{Service: t.Service, Version: t.Version, Slices: len(t.Slices), Owned: map[id.Owner]int{}, Keys: len(t.Keys)}
	for _, e := range t.Slices {
		switch {
		case e.IsMoving():
			s.Moving++
		case e.Owner < 0:
			s.Vacant++
		default:
			s.Owned[t.OwnerAt(e.Owner)]++
		}
	}
	return s
}

// Explain returns the owner and the lease holder to which a request would be sent, and the reasons.
func (vm *VM) Explain(r *http.Request) (e operator.Explanation, err error) {
	view := vm.directory.View()
	m, err := view.Routes.Match(r)
	if err != nil {
		return e, err
	}
	service := view.Site.Services[m.Route.Service]
	e = operator.Explanation{Route: m.Name, Service: m.Route.Service, Keyed: service.Keyed}
	e.Why = append(e.Why, "route "+string(m.Name)+" is the most specific match for "+r.Method+" "+r.URL.Path)
	if !service.Keyed {
		e.Why = append(e.Why, "the service is not sharded by key: any group may serve the request; the least loaded group is preferred, then the one in the same failure domain")
		return e, nil
	}
	if e.Key, err = m.Key(r); err != nil {
		return e, err
	}
	e.Hash = table.HashKey(e.Key)
	explainOwner(&e, view, m)
	return e, nil
}

func explainOwner(e *operator.Explanation, view *directory.View, m route.Match) {
	t, ok := view.Tables[m.Route.Service]
	if !ok {
		e.Why = append(e.Why, "the service has no slice table yet")
		return
	}
	slice := t.SliceOf(e.Hash)
	entry := t.Lookup(e.Hash)
	e.Slice, e.Moving = &slice, entry.IsMoving()
	e.Server = id.Server(t.OwnerAt(entry.Owner))
	if _, single := t.Keys[e.Hash]; single {
		e.Why = append(e.Why, "the key is a hot key with a separate owner")
	}
	if e.Moving {
		e.Why = append(e.Why, "the slice is moving to "+string(t.OwnerAt(entry.Next)))
	}
	if g, ok := view.GroupOfServer(m.Route.Service, e.Server); ok {
		e.Group, e.Holder = g, view.Leases[g].Holder
		e.Why = append(e.Why, "the owner is in group "+string(g)+", and VM "+string(e.Holder)+" holds the group's lease")
	}
}

// registerMetrics registers the VM's own metrics.
func (vm *VM) registerMetrics() {
	vm.metrics.Set("StoreReads", func() any { return vm.storeCalls.Reads.Load() })
	vm.metrics.Set("StoreWrites", func() any { return vm.storeCalls.Writes.Load() })
	vm.metrics.Set("ControlBytes", func() any { return vm.ControlBytes() })
	vm.metrics.Set("ClaimBytes", func() any { return vm.client.ClaimBytes() })
	vm.metrics.Set("ConfigurationRevision", func() any { return vm.directory.View().Revision })
	vm.metrics.Set("LeasesHeld", func() any {
		vm.mu.Lock()
		defer vm.mu.Unlock()
		return len(vm.keeper.Held())
	})
}

// ControlBytes is a VM's control traffic since its start, in bytes.
//
// Traffic between two VMs is counted only at the VM that initiated the call, so
// that the sum over all VMs equals the traffic on the wire.
type ControlBytes struct {
	// Datagrams counts lease renewals, refusals and heartbeats.
	Datagrams int64
	// Grants counts grants to and probes of backend servers.
	Grants int64
	// Store counts calls to the platform's store.
	Store int64
	// Peers counts calls to other VMs, except relayed requests and claims.
	Peers int64
	// ByCall breaks down the calls to other VMs, including claims, by method.
	ByCall map[string]int64
}

// Total returns the sum over all purposes.
func (c ControlBytes) Total() int64 { return c.Datagrams + c.Grants + c.Store + c.Peers }

// ControlBytes returns the VM's control traffic since its start.
func (vm *VM) ControlBytes() (c ControlBytes) {
	c = ControlBytes{Grants: vm.controlBytes.Load(), Store: vm.storeCalls.Bytes.Load(), Peers: vm.client.ControlBytes(), ByCall: vm.metrics.PeerBytesByCall()}
	if vm.datagrams != nil {
		c.Datagrams = vm.datagrams.SentBytes.Load()
	}
	return c
}
