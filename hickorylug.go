// Package hickorylug is a router for servers that own keys exclusively.
//
// A VM accepts requests from any caller, finds the route and the owner of the
// key, and relays the request to the lease holder of the owner's group. Only
// the lease holder sends requests to the group's backend servers. All VMs of a
// site have the same role; decisions on which they must agree are made by
// compare-and-swap in the platform's store.
//
// # Usage
//
//	vm, err := hickorylug.NewVM(hickorylug.WithSettings(s))
//	if err != nil {
//		return err
//	}
//	return vm.Run(ctx) // serves until ctx is done, then shuts down gracefully
//
// The folders are layers: transport manages connections, protocol defines the
// messages, coordination makes the decisions and state defines the data.
package hickorylug

import (
	"context"
	"encoding/base64"
	"fmt"
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
	"github.com/hickorylug/hickorylug/transport/http1server"
	"github.com/hickorylug/hickorylug/transport/operator"
	"github.com/hickorylug/hickorylug/transport/peer"
	"github.com/hickorylug/hickorylug/transport/platform"
)

// VM is an entry VM.
type VM struct {
	options     Options
	log         *slog.Logger
	incarnation id.Incarnation

	directory  *directory.Directory
	members    *member.View
	poison     *poison.Tracker
	platform   *platform.Client
	storeCalls platform.CallStats
	client     *peer.Client
	datagrams  *peer.Datagrams
	router     *router.Router
	transport  *group.Transport
	metrics    *operator.Metrics
	// controlBytes counts the bytes of grants to and probes of backend servers.
	controlBytes atomic.Int64

	// receivedClaims are the claims that this VM received as the successor of other lease holders.
	receivedClaims *idempotency.Claims

	tasks       *task.Set
	plannerLoop *plannerLoop
	watcher     *watcher

	mu             sync.Mutex
	leaseManager   *leasemanager.Manager
	groups         map[id.Group]*runningGroup
	handoverStates map[id.Group]handoverState
	claimTargets   map[id.Group]claimTarget
	knownServers   map[id.Server]knownServer
	leaving        bool
	// killed is closed to end Run without a graceful shutdown.
	killed chan struct{}
}

// runningGroup is a group that this VM serves.
type runningGroup struct {
	group  *group.Group
	cancel context.CancelFunc
}

// knownServer is the last reported state of a backend server.
type knownServer struct {
	incarnation id.Incarnation
	limit       int
}

// NewVM returns an entry VM that Run has not started yet. It fails if the settings are invalid.
func NewVM(opts ...Option) (vm *VM, err error) {
	defer func() { err = errors.Wrap(err, "create entry VM") }()
	o := newOptions(opts)
	s := o.Settings
	if err := s.Check().Err(); err != nil {
		return nil, err
	}
	vm = &VM{
		options:        o,
		log:            o.Log.With("vm", string(s.VM)),
		incarnation:    newIncarnation(),
		directory:      directory.New(s.Site),
		poison:         poison.NewTracker(),
		metrics:        operator.NewMetrics(),
		groups:         map[id.Group]*runningGroup{},
		handoverStates: map[id.Group]handoverState{},
		claimTargets:   map[id.Group]claimTarget{},
		receivedClaims: idempotency.NewClaims(o.Clock.Now()),
		knownServers:   map[id.Server]knownServer{},
		killed:         make(chan struct{}),
	}
	vm.tasks = task.NewSet(task.WithOnPanic(vm.observePanic))
	vm.members = member.NewView(vm.self())
	vm.platform = platform.NewClient(s.Store,
		platform.WithReadRate(s.StoreReads), platform.WithWriteRate(s.StoreWrites), platform.WithCallStats(&vm.storeCalls))
	if s.VMList != s.Store && s.VMList != "" {
		vm.platform.VMs = platform.NewClient(s.VMList).VMs
	}
	vm.client = peer.NewClient(vm.members.Address, peer.WithClock(o.Clock), peer.WithObserve(vm.metrics.ObservePeerCall))
	vm.transport = backend.NewTransport(backend.WithTracer(o.Tracer), backend.WithControlBytes(&vm.controlBytes))
	vm.router = router.NewRouter(s.VM, s.FailureDomain, vm.directory, vm.localHandler, vm.client.Relay, router.WithClock(o.Clock))
	vm.leaseManager = leasemanager.NewManager(leasemanager.Member{VM: s.VM, Incarnation: vm.incarnation, FailureDomain: s.FailureDomain}, o.Clock.Boot())
	vm.plannerLoop = newPlannerLoop(vm)
	vm.watcher = newWatcher(vm)
	vm.registerMetrics()
	return vm, nil
}

// newIncarnation returns a random name that distinguishes this process from all others. It encodes only 8 random bytes, since
// every heartbeat carries it.
func newIncarnation() id.Incarnation {
	u := uuid.New()
	return id.Incarnation(base64.RawURLEncoding.EncodeToString(u[:8]))
}

func (vm *VM) self() member.Member {
	s := vm.options.Settings
	return member.Member{VM: s.VM, Incarnation: vm.incarnation, FailureDomain: s.FailureDomain, Address: s.PeerAddress}
}

// Run serves until ctx is done, then hands its leases over and waits for the requests in flight.
func (vm *VM) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "entry VM %s", vm.options.Settings.VM) }()
	sockets, err := vm.listen()
	if err != nil {
		return err
	}
	defer vm.client.Close()
	defer sockets.close()
	// The components keep running after ctx is done, because a graceful shutdown still needs them.
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	supervisor := suture.New("hickorylug", suture.Spec{EventHook: vm.logSupervision, Timeout: vm.options.Settings.DrainTimeout.Std()})
	acceptCtx, stopAccepting := context.WithCancel(serveCtx)
	defer stopAccepting()
	callers, peers := vm.addComponents(acceptCtx, supervisor, sockets)
	supervisorDone := supervisor.ServeBackground(serveCtx)
	vm.log.Info("entry VM started", "incarnation", string(vm.incarnation), "callers", vm.options.Settings.CallerAddress)
	select {
	case <-ctx.Done():
		vm.shutDown(serveCtx, callers, stopAccepting)
	case <-vm.killed:
	case err := <-supervisorDone:
		return err
	}
	callers.Close()
	peers.Stop()
	cancel()
	if err := <-supervisorDone; err != nil && !errors.Is(err, context.Canceled) {
		vm.log.Warn("a component ended with an error", "error", err)
	}
	vm.transport.Close()
	vm.tasks.Wait()
	vm.log.Info("entry VM stopped")
	return nil
}

// Kill ends Run without a graceful shutdown, as a crash of the process would: no lease is handed over.
func (vm *VM) Kill() { close(vm.killed) }

// sockets are the listening sockets of a VM.
type sockets struct {
	callers   net.Listener
	peers     net.Listener
	datagrams *net.UDPConn
	operators net.Listener
}

// close closes all sockets. Errors are ignored, since the servers have already closed most of the sockets.
func (s sockets) close() {
	for _, c := range []io.Closer{s.callers, s.peers, s.datagrams, s.operators} {
		_ = c.Close()
	}
}

// listen opens the sockets; an error names the setting at fault.
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

// component is a long-running task under a supervisor.
type component struct {
	name string
	run  func(ctx context.Context) error
}

// Serve runs the component. The supervisor restarts a component that returns before ctx is done.
func (c component) Serve(ctx context.Context) error { return c.run(ctx) }

// String returns the component's name for the log.
func (c component) String() string { return c.name }

// addComponents adds all components to the supervisor. Callers' connections are accepted until acceptCtx is done.
func (vm *VM) addComponents(acceptCtx context.Context, s *suture.Supervisor, sockets sockets) (*caller.Server, *peer.Server) {
	set := vm.options.Settings
	handler := caller.NewHandler(vm.directory, vm.router.Serve,
		caller.WithClock(vm.options.Clock), caller.WithTracer(vm.options.Tracer), caller.WithObserve(vm.metrics.Observe))
	callers := caller.NewServer(vm.metrics.TrackInFlight(handler), caller.WithIdleTimeout(set.IdleTimeout.Std()),
		caller.WithMaxHeaderBytes(int(set.MaxHeader)), caller.WithDrainTimeout(set.DrainTimeout.Std()),
		caller.WithOnLost(vm.observeLost), caller.WithOnPanic(vm.observePanic))
	peers := peer.NewServer(vm.handlers(), peer.WithClock(vm.options.Clock))
	vm.datagrams = peer.NewDatagrams(sockets.datagrams)
	if vm.options.Drop != nil {
		vm.datagrams.Drop = vm.options.Drop
	}
	operators := operator.NewServer(operator.Views{
		Ready: vm.Ready, Status: vm.Status, Fleet: vm.Fleet, Explain: vm.Explain, Metrics: vm.metrics,
	})
	s.Add(component{"callers", func(context.Context) error {
		err := callers.Serve(acceptCtx, sockets.callers)
		if acceptCtx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
			return suture.ErrDoNotRestart
		}
		return err
	}})
	s.Add(component{"peers", func(ctx context.Context) error { return peers.Serve(ctx, sockets.peers) }})
	s.Add(component{"datagrams", func(ctx context.Context) error { return vm.datagrams.Serve(ctx, vm.handleDatagram) }})
	s.Add(component{"operators", func(ctx context.Context) error { return operators.Serve(ctx, sockets.operators) }})
	s.Add(component{"leases", vm.runLeaseManager})
	s.Add(component{"heartbeats", vm.sendHeartbeats})
	s.Add(component{"watch", vm.watcher.run})
	s.Add(component{"members", vm.watcher.listMembers})
	s.Add(component{"planner", vm.plannerLoop.run})
	s.Add(component{"reports", vm.sendReports})
	s.Add(component{"lease balance", vm.balanceLeases})
	return callers, peers
}

func (vm *VM) logSupervision(e suture.Event) {
	vm.log.Warn("supervision", "event", e.String())
}

// observeLost logs a request whose connection ended before its response was written, unless its caller ended it.
func (vm *VM) observeLost(l http1server.Lost) {
	if errors.Is(l.Cause, http1server.ErrClosedHere) || errors.Is(l.Cause, http1server.ErrAborted) {
		vm.log.Error("a connection ended without the response", "request", l.Request, "age", l.Age.String(), "cause", l.Cause.Error())
	}
}

// observePanic logs a panic in the handling of a request or in one task.
func (vm *VM) observePanic(value any, stack []byte) {
	vm.log.Error("a panic ended the handling of one request or task", "value", fmt.Sprint(value), "stack", string(stack))
}

// localHandler returns the handler of a group that this VM serves; ok is false for other groups.
func (vm *VM) localHandler(g id.Group) (h exchange.Handler, ok bool) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	r, ok := vm.groups[g]
	if !ok {
		return nil, false
	}
	return r.group.Serve, true
}

// shutDown hands all leases over, still accepts callers' connections for DrainDelay, and then waits at most DrainTimeout
// for the requests in flight.
func (vm *VM) shutDown(ctx context.Context, callers *caller.Server, stopAccepting context.CancelFunc) {
	set := vm.options.Settings
	vm.log.Info("graceful shutdown started", "drainDelay", set.DrainDelay.String())
	vm.mu.Lock()
	vm.leaving = true
	vm.mu.Unlock()
	callers.DisableKeepAlives()
	vm.sendHeartbeat(ctx)
	vm.handOverAll(ctx)
	select {
	case <-vm.options.Clock.After(set.DrainDelay.Std()):
	case <-ctx.Done():
	}
	stopAccepting()
	vm.awaitIdle(ctx, set.DrainTimeout.Std())
	callers.CloseUnused()
	// The ends of the last responses may not be written yet.
	lastCtx, cancel := context.WithTimeout(ctx, lastResponseTime)
	defer cancel()
	_ = callers.AwaitClosed(lastCtx)
}

// lastResponseTime limits the wait for the ends of responses whose handling has ended.
const lastResponseTime = time.Second

// awaitIdle waits until no caller's request is in flight, at most for timeout.
func (vm *VM) awaitIdle(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for vm.metrics.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-vm.options.Clock.After(idlePollPeriod):
		}
	}
}

// idlePollPeriod is the interval at which awaitIdle checks for requests in flight.
const idlePollPeriod = 20 * time.Millisecond
