// Package hickorylug is a router for servers that own keys exclusively.
//
// A VM takes any caller's request, finds its route and the owner of its key,
// and brings it to the lease holder of the owner's group, which alone sends
// work to the group's backend servers. All VMs of a site are equal; what they
// must agree on is decided by compare-and-swap in the platform's store.
//
// # Usage
//
//	vm, err := hickorylug.NewVM(hickorylug.WithSettings(s))
//	if err != nil {
//		return err
//	}
//	return vm.Run(ctx) // until ctx ends, then a graceful shutdown
//
// The folders are layers: transport holds the connections, protocol the
// messages, coordination the decisions and state the data.
package hickorylug

import (
	"context"
	"encoding/base64"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/thejerf/suture/v4"

	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/coordination/group"
	"github.com/hickorylug/hickorylug/coordination/idempotency"
	"github.com/hickorylug/hickorylug/coordination/leasemanager"
	"github.com/hickorylug/hickorylug/coordination/member"
	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/coordination/router"
	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/task"
	"github.com/hickorylug/hickorylug/transport/backend"
	"github.com/hickorylug/hickorylug/transport/caller"
	"github.com/hickorylug/hickorylug/transport/operator"
	"github.com/hickorylug/hickorylug/transport/peer"
	"github.com/hickorylug/hickorylug/transport/platform"
)

// VM is one entry VM.
type VM struct {
	options     Options
	log         *slog.Logger
	incarnation id.Incarnation

	directory *directory.Directory
	members   *member.View
	poison    *poison.Tracker
	platform  *platform.Client
	calls     platform.CallStats
	client    *peer.Client
	datagrams *peer.Datagrams
	router    *router.Router
	link      *group.Transport
	metrics   *operator.Metrics
	// controlBytes counts the bytes of grants, probes and calls between VMs beside callers' requests.
	controlBytes atomic.Int64

	// claimed is what this VM knows as first successor of other holders.
	claimed *idempotency.Claims

	tasks    *task.Set
	planning *planning
	watcher  *watcher

	mu       sync.Mutex
	keeper   *leasemanager.Manager
	groups   map[id.Group]*running
	legacies map[id.Group]legacy
	claims   map[id.Group]claiming
	seen     map[id.Server]sighting
	leaving  bool
	// killed ends Run without a graceful shutdown.
	killed chan struct{}
}

// running is a group whose lease this VM holds.
type running struct {
	group *group.Group
	stop  context.CancelFunc
}

// sighting is what a group's answers have shown of a backend server.
type sighting struct {
	boot  id.Incarnation
	limit int
}

// NewVM returns an entry VM that has not begun to run.
func NewVM(opts ...Option) (vm *VM, err error) {
	defer func() { err = errors.Wrap(err, "make the entry VM") }()
	o := newOptions(opts)
	s := o.Settings
	if err := s.Check().Err(); err != nil {
		return nil, err
	}
	vm = &VM{
		options:     o,
		log:         o.Log.With("vm", string(s.VM)),
		incarnation: newIncarnation(),
		directory:   directory.New(s.Site),
		poison:      poison.NewTracker(),
		metrics:     operator.NewMetrics(),
		tasks:       task.NewSet(),
		groups:      map[id.Group]*running{},
		legacies:    map[id.Group]legacy{},
		claims:      map[id.Group]claiming{},
		claimed:     idempotency.NewClaims(o.Clock.Now()),
		seen:        map[id.Server]sighting{},
		killed:      make(chan struct{}),
	}
	vm.members = member.NewView(vm.self())
	vm.platform = platform.NewClient(s.Store,
		platform.WithReadRate(s.StoreReads), platform.WithWriteRate(s.StoreWrites), platform.WithCallStats(&vm.calls))
	if s.VMList != s.Store && s.VMList != "" {
		vm.platform.VMs = platform.NewClient(s.VMList).VMs
	}
	vm.client = peer.NewClient(vm.members.Address, peer.WithClock(o.Clock), peer.WithObserve(vm.metrics.ObservePeerCall))
	vm.link = backend.NewTransport(backend.WithTracer(o.Tracer), backend.WithControlBytes(&vm.controlBytes))
	vm.router = router.NewRouter(s.VM, s.FailureDomain, vm.directory, vm.local, vm.client.Relay, router.WithClock(o.Clock))
	vm.keeper = leasemanager.NewManager(leasemanager.Member{VM: s.VM, Incarnation: vm.incarnation, FailureDomain: s.FailureDomain}, o.Clock.Boot())
	vm.planning = newPlanning(vm)
	vm.watcher = newWatcher(vm)
	vm.publishMetrics()
	return vm, nil
}

// newIncarnation returns a name that no process has had; it is short, since every heartbeat carries it.
func newIncarnation() id.Incarnation {
	u := uuid.New()
	return id.Incarnation(base64.RawURLEncoding.EncodeToString(u[:8]))
}

func (vm *VM) self() member.Member {
	s := vm.options.Settings
	return member.Member{VM: s.VM, Incarnation: vm.incarnation, FailureDomain: s.FailureDomain, Address: s.PeerAddress}
}

// Run serves until the context ends, then hands its leases over and lets what is in flight finish.
func (vm *VM) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "entry VM %s", vm.options.Settings.VM) }()
	sockets, err := vm.listen()
	if err != nil {
		return err
	}
	defer vm.client.Close()
	defer sockets.close()
	// The parts outlive the context's end, because a graceful shutdown still needs them.
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	supervisor := suture.New("hickorylug", suture.Spec{EventHook: vm.logSupervision, Timeout: vm.options.Settings.DrainTimeout.Std()})
	accepting, stopAccepting := context.WithCancel(inner)
	defer stopAccepting()
	callers, peers := vm.addParts(accepting, supervisor, sockets)
	ended := supervisor.ServeBackground(inner)
	vm.log.Info("entry VM is running", "incarnation", string(vm.incarnation), "callers", vm.options.Settings.CallerAddress)
	select {
	case <-ctx.Done():
		vm.leave(inner, callers, stopAccepting)
	case <-vm.killed:
	case err := <-ended:
		return err
	}
	callers.Close()
	peers.Stop()
	cancel()
	if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
		vm.log.Warn("a part ended with an error", "error", err)
	}
	vm.link.Close()
	vm.tasks.Wait()
	vm.log.Info("entry VM has stopped")
	return nil
}

// Kill ends the VM at once, as the death of its process would: nothing is handed over.
func (vm *VM) Kill() { close(vm.killed) }

// sockets are what a VM listens on.
type sockets struct {
	callers   net.Listener
	peers     net.Listener
	datagrams *net.UDPConn
	operators net.Listener
}

// close frees the addresses; most are closed by their servers before.
func (s sockets) close() {
	for _, c := range []io.Closer{s.callers, s.peers, s.datagrams, s.operators} {
		_ = c.Close()
	}
}

func (vm *VM) listen() (s sockets, err error) {
	set := vm.options.Settings
	if s.callers, err = net.Listen("tcp", set.CallerAddress); err != nil {
		return s, errors.Wrap(err, "CallerAddress")
	}
	if s.peers, err = net.Listen("tcp", set.PeerAddress); err != nil {
		return s, errors.Wrap(err, "PeerAddress")
	}
	address, err := net.ResolveUDPAddr("udp", set.PeerAddress)
	if err != nil {
		return s, errors.Wrap(err, "PeerAddress")
	}
	if s.datagrams, err = net.ListenUDP("udp", address); err != nil {
		return s, errors.Wrap(err, "PeerAddress")
	}
	if s.operators, err = net.Listen("tcp", set.OperatorAddress); err != nil {
		return s, errors.Wrap(err, "OperatorAddress")
	}
	return s, nil
}

// part is a long-running activity under supervision.
type part struct {
	name string
	run  func(ctx context.Context) error
}

// Serve runs the part; one that ends by itself is started again by the supervisor.
func (p part) Serve(ctx context.Context) error { return p.run(ctx) }

// String returns the part's name for the log.
func (p part) String() string { return p.name }

func (vm *VM) addParts(accepting context.Context, s *suture.Supervisor, sockets sockets) (*caller.Server, *peer.Server) {
	set := vm.options.Settings
	handler := caller.NewHandler(vm.directory, vm.router.Serve,
		caller.WithClock(vm.options.Clock), caller.WithTracer(vm.options.Tracer), caller.WithObserve(vm.metrics.Observe))
	callers := caller.NewServer(vm.metrics.TrackInFlight(handler), caller.WithIdleTimeout(set.IdleTimeout.Std()),
		caller.WithMaxHeaderBytes(int(set.MaxHeader)), caller.WithDrainTimeout(set.DrainTimeout.Std()))
	peers := peer.NewServer(vm.handlers(), peer.WithClock(vm.options.Clock))
	vm.datagrams = peer.NewDatagrams(sockets.datagrams)
	if vm.options.Drop != nil {
		vm.datagrams.Drop = vm.options.Drop
	}
	operators := operator.NewServer(operator.Views{
		Ready: vm.Ready, Status: vm.Status, Fleet: vm.Fleet, Explain: vm.Explain, Metrics: vm.metrics,
	})
	s.Add(part{"callers", func(context.Context) error {
		err := callers.Serve(accepting, sockets.callers)
		if accepting.Err() != nil || errors.Is(err, http.ErrServerClosed) {
			return suture.ErrDoNotRestart
		}
		return err
	}})
	s.Add(part{"peers", func(ctx context.Context) error { return peers.Serve(ctx, sockets.peers) }})
	s.Add(part{"datagrams", func(ctx context.Context) error { return vm.datagrams.Serve(ctx, vm.receive) }})
	s.Add(part{"operators", func(ctx context.Context) error { return operators.Serve(ctx, sockets.operators) }})
	s.Add(part{"leases", vm.keepLeases})
	s.Add(part{"heartbeats", vm.heartbeat})
	s.Add(part{"watch", vm.watcher.run})
	s.Add(part{"members", vm.watcher.listMembers})
	s.Add(part{"planner", vm.planning.run})
	s.Add(part{"reports", vm.report})
	s.Add(part{"spread", vm.spreadLeases})
	return callers, peers
}

func (vm *VM) logSupervision(e suture.Event) {
	vm.log.Warn("supervision", "event", e.String())
}

// local returns the handler of a group whose lease this VM holds.
func (vm *VM) local(g id.Group) (h exchange.Handler, ok bool) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	r, ok := vm.groups[g]
	if !ok {
		return nil, false
	}
	return r.group.Serve, true
}

// leave hands all leases over and lets what is in flight finish.
func (vm *VM) leave(ctx context.Context, callers *caller.Server, stopAccepting context.CancelFunc) {
	set := vm.options.Settings
	vm.log.Info("graceful shutdown begins", "drainDelay", set.DrainDelay.String())
	vm.mu.Lock()
	vm.leaving = true
	vm.mu.Unlock()
	callers.DisableKeepAlives()
	vm.heartbeatOnce(ctx)
	vm.handOver(ctx)
	select {
	case <-vm.options.Clock.After(set.DrainDelay.Std()):
	case <-ctx.Done():
	}
	stopAccepting()
	vm.awaitIdle(ctx, set.DrainTimeout.Std())
}

// awaitIdle waits until no caller's request is in flight here, or the time is over.
func (vm *VM) awaitIdle(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for vm.metrics.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-vm.options.Clock.After(idlePoll):
		}
	}
}

// idlePoll is the time between two looks at requests in flight during a shutdown.
const idlePoll = 20 * time.Millisecond
