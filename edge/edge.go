// Package edge runs one entry VM on the users' platform.
//
// Every VM accepts callers' requests and sends them to backend servers itself.
// One VM is the leader: it holds the leader record in the platform's store,
// watches the store on behalf of all VMs, and grants keys to the backend servers
// of keyed services. All VMs keep a mirror of the store's items and continue with
// the last known state while the store or the leader is unreachable.
//
// # Usage
//
//	e, err := edge.New(settings, edge.WithLog(log))
//	if err != nil {
//		return err
//	}
//	return e.Run(ctx) // until ctx ends, then a graceful shutdown
package edge

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/thejerf/suture/v4"
	"golang.org/x/time/rate"

	"github.com/hickorylug/hickorylug/coordination/departure"
	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/drain"
	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/coordination/reach"
	"github.com/hickorylug/hickorylug/coordination/retention"
	"github.com/hickorylug/hickorylug/coordination/staleness"
	"github.com/hickorylug/hickorylug/coordination/warmup"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/settings"
	"github.com/hickorylug/hickorylug/state/task"
	"github.com/hickorylug/hickorylug/transport/entry"
	"github.com/hickorylug/hickorylug/transport/gossip"
	"github.com/hickorylug/hickorylug/transport/http1"
	"github.com/hickorylug/hickorylug/transport/http1server"
	"github.com/hickorylug/hickorylug/transport/relay"
)

// Edge is one entry VM.
type Edge struct {
	settings    settings.Edge
	options     Options
	log         *slog.Logger
	clock       clock.Clock
	incarnation id.Incarnation

	store    *platform.Client
	mirror   *fleet.Mirror
	socket   *gossip.Socket
	backends *http1.Client
	// reach detects that this VM reaches no backend server.
	reach *reach.Detector
	// relays are the VMs through which this VM sends while it is cut off, and relayHandler sends for such VMs.
	relays       *reach.Relays
	relayClient  *relay.Client
	relayHandler *relay.Handler
	// bodies is the quota for the long heads and bodies of requests and responses that are being read.
	bodies *http1.Quota
	// callerHeads is the quota for the long heads of callers' requests.
	callerHeads *http1.Quota
	dispatcher  *dispatch.Dispatcher
	forwarder   *forward.Forwarder
	crashes     *poison.Ledger
	splitter    *trafficSplitter
	handler     *entry.Handler
	callers     *http1server.Server
	metrics     *metrics
	keys        *keyManager
	allotments  *allotments
	tasks       *task.Set

	mu      sync.Mutex
	elector *leader.Elector
	lease   platform.Lease
	// confirming is closed when the renewal of the lease ends for which grants wait; nil while there is none. confirmWanted is the latest time that
	// they want to have confirmed.
	confirming    chan struct{}
	confirmWanted clock.Instant
	// campaigning is set while this VM campaigns for the leadership.
	campaigning bool
	// ledAt is when this VM could last act as the leader, and continuesIn the era of the store in which it may lead on with its key tables.
	ledAt       clock.Instant
	continuesIn id.Era
	// basis is why this VM may act as the leader, and formerGoneIn the last term in which it knew until when former leaders may act; for the log.
	basis        leader.Basis
	formerGoneIn id.Revision
	// registeredAt is the store's revision of this VM's registration, or 0 before it.
	registeredAt id.Revision
	// registerTriedAt is when this VM last tried to register.
	registerTriedAt clock.Instant
	// votersTriedAt is when this VM, as the leader, last tried to record the voters; only the component "coordination" uses it.
	votersTriedAt clock.Instant
	// fetching is set while store items are being fetched from another VM.
	fetching bool
	// storeSyncedAt is when the store last answered this VM or the leader; removalsHeldUntil is when removals of entries take effect again after an outage.
	storeSyncedAt     clock.Instant
	removalsHeldUntil clock.Instant
	// newsAt is when this VM last knew all that the store held.
	newsAt clock.Instant
	// reader bounds the age of this VM's copy of the store while it reads the store itself.
	reader staleness.Reader
	// firstNewsAt is when this VM first knew all that the store held, and firstEra the era in which that was.
	firstNewsAt clock.Instant
	firstEra    id.Era
	// leaderSyncedAt is when the store last answered the leader, according to the leader's latest heartbeat.
	leaderSyncedAt clock.Instant
	// electedAt is when the store had answered this VM's last election, and formerAnsweredAt when this VM last answered a former leader.
	electedAt, formerAnsweredAt clock.Instant
	// leaderGrants says that the other VM that leads grants tokens of allotments, according to its latest heartbeat.
	leaderGrants bool
	// storeAnsweredAt is when the store last answered this VM, and storeFailedAt when a synchronization of this VM with the store last failed.
	storeAnsweredAt, storeFailedAt clock.Instant
	// departures are the backend servers that have announced that they leave.
	departures *departure.Records
	// pauseLogs bounds the log lines of pauses.
	pauseLogs rate.Sometimes
	// unusedLogs bounds the log lines of items of the store that aren't used.
	unusedLogs rate.Sometimes
	// warmups holds the signs that backend servers must be asked whether they are cold, and warmupSign triggers such checks at once.
	warmups    warmup.Watch
	warmupSign chan struct{}
	// oldNewsLogs bounds the log lines of checks since the news of the store were old, and unansweredLogs those of unanswered calls to the store.
	oldNewsLogs, unansweredLogs rate.Sometimes
	// keeper keeps what an outage of the store or an older copy of it would take back.
	keeper *retention.Keeper

	// publishing makes snapshots follow each other in the order of the mirror.
	publishing sync.Mutex
	snapshot   atomic.Pointer[fleet.Snapshot]
	// pacesSentAt is when the paces of owners of keys were last sent to the leader; only the component "load" uses it.
	pacesSentAt clock.Instant
	// stop is the window of the planned stop, or nil before it.
	stop atomic.Pointer[drain.Window]
	// ranAt is when the component "coordination" last ran.
	ranAt atomic.Int64
	// leaving is set when the graceful shutdown begins, and resigned once this VM has also given up the leadership.
	leaving  atomic.Bool
	resigned atomic.Bool
	// resync triggers an immediate synchronization with the store.
	resync chan struct{}
	// replan triggers an immediate run of the key manager.
	replan chan struct{}
	// updatesPending triggers the broadcast of store changes to the other VMs.
	updatesPending chan struct{}
}

// New returns an entry VM that is not running yet.
func New(s settings.Edge, opts ...Option) (e *Edge, err error) {
	defer func() { err = errors.Wrap(err, "create the entry VM") }()
	s = s.WithDefaults()
	if err := s.Check().Err(); err != nil {
		return nil, err
	}
	o := newOptions(opts)
	u := uuid.New()
	e = &Edge{
		settings: s, options: o, log: o.Log.With("vm", string(s.VM)), clock: o.Clock,
		incarnation:    id.Incarnation(u.String()[:8]),
		store:          platform.NewClient(s.Store),
		mirror:         fleet.NewMirror(platform.Decode),
		reach:          reach.NewDetector(reach.WithClock(o.Clock)),
		relays:         reach.NewRelays(reach.WithClock(o.Clock)),
		bodies:         http1.NewQuota(s.Memory.Int64() / bodyMemoryDivisor),
		callerHeads:    http1.NewQuota(s.Memory.Int64() / bodyMemoryDivisor),
		splitter:       newTrafficSplitter(),
		elector:        leader.NewElector(s.VM, o.Clock.Boot()),
		departures:     departure.NewRecords(s.DrainTime.Std()),
		pauseLogs:      rate.Sometimes{First: maxPauseLogs, Interval: pauseLogPeriod},
		unusedLogs:     rate.Sometimes{First: maxUnusedLogs, Interval: unusedLogPeriod},
		oldNewsLogs:    rate.Sometimes{First: maxOldNewsLogs, Interval: oldNewsLogPeriod},
		unansweredLogs: rate.Sometimes{First: maxUnansweredLogs, Interval: unansweredLogPeriod},
		keeper:         retention.NewKeeper(),
		basis:          leader.NoBasis,
		warmupSign:     make(chan struct{}, 1),
		resync:         make(chan struct{}, 1),
		replan:         make(chan struct{}, 1),
		updatesPending: make(chan struct{}, 1),
	}
	e.backends = http1.NewClient(http1.WithDial(o.Dial), http1.WithQuota(e.bodies), http1.WithOnDial(func(server string, err error) { e.reach.RecordDial(id.Server(server), err == nil) }))
	e.relayClient, e.relayHandler = relay.NewClient(e.bodies, relay.WithClock(o.Clock)), relay.NewHandler(e.bodies, e.attemptForOther, relay.WithClock(o.Clock))
	e.crashes = e.newLedger()
	e.tasks = task.NewSet(task.WithOnPanic(e.observePanic))
	e.snapshot.Store(e.mirror.Snapshot())
	e.metrics = newMetrics(e)
	e.store.Observe, e.store.OnEra = e.observeStoreCall, e.observeEra
	e.dispatcher = dispatch.NewDispatcher(s.VM, s.FailureDomain, dispatch.WithClock(o.Clock), dispatch.WithPeers(e.peerCount),
		dispatch.WithWarmBounds(s.WarmOverage, s.WarmSlack), dispatch.WithOnEject(e.observeEjection), dispatch.WithOnRequestLimit(e.observeRequestLimit),
		dispatch.WithOnPause(e.observePause), dispatch.WithOnLateWarmup(e.logLateWarmup), dispatch.WithMayWait(e.mayWait))
	e.forwarder = forward.NewForwarder(e.dispatcher, forward.WithClock(o.Clock), forward.WithSend(e.sendAttempt), forward.WithCrashes(e.crashes),
		forward.WithOnSuspect(e.observeSuspect), forward.WithProbe(e.probeServer), forward.WithAccepts(e.accepts), forward.WithObserve(e.observeAttempt), forward.WithRetries(retryBudgetFraction*s.RetryShare, e.retrySlack))
	e.allotments = newAllotments(e)
	e.handler = entry.NewHandler(entry.Dependencies{
		Clock: o.Clock,
		Headers: entry.HeaderNames{
			RequestID: platform.HeaderRequestID, Deadline: platform.HeaderDeadline, Key: platform.HeaderKey, Reserved: platform.ReservedHeaders(),
			APIKey: platform.HeaderAPIKey, Customer: platform.HeaderCustomer,
		},
		Bodies: e.bodies, View: e.view, MayHoldRevokedKeys: e.mayHoldRevokedKeys, PickService: e.splitter.pick, Accepts: e.accepts, Admit: e.allotments.admit,
		Forward: e.forwarder.Forward, Observe: e.observeRequest, HasLeft: http1server.HasLeft, OnPanic: e.observeRequestPanic,
	})
	e.callers = e.newCallerServer()
	e.keys = newKeyManager(e)
	return e, nil
}

// SetStore changes the address of the store, of the form host:port, while the VM runs.
func (e *Edge) SetStore(address string) {
	e.store.SetAddress(address)
	e.notify(e.resync)
}

const (
	// bodyMemoryDivisor is the part of the process's memory that long heads and bodies may use while they are read: one eighth.
	bodyMemoryDivisor = 8
	// retryBudgetFraction is the fraction of the retry budget that is used, since the windows of the VMs are not aligned.
	retryBudgetFraction = 0.8
	// maxViewStaleness is the age of the news from which the snapshot may be out of date, so that a route or API key missing from it may exist.
	maxViewStaleness = 1500 * time.Millisecond
)

// retrySlack returns this VM's share of the additional attempts that all VMs may make beyond the retry share.
func (e *Edge) retrySlack() float64 {
	return retryBudgetFraction * e.settings.RetrySlack / float64(e.peerCount())
}

// peerCount returns the number of registered VMs.
func (e *Edge) peerCount() int { return max(1, len(e.snapshot.Load().Peers)) }

// view returns the latest snapshot; current is false if the snapshot may be out of date.
func (e *Edge) view() (s *fleet.Snapshot, current bool) {
	return e.snapshot.Load(), e.newsAge() < maxViewStaleness
}

// isReady reports whether the VM can serve callers.
func (e *Edge) isReady() bool {
	s := e.snapshot.Load()
	c := s.Configuration
	return !e.leaving.Load() && c != nil && len(s.Servers) > 0 && (c.Customers == nil || !e.mayKnowOlderCopy())
}

// component is a long-running activity under supervision.
type component struct {
	name string
	run  func(ctx context.Context) error
}

// Serve runs the component; the supervisor restarts it if it returns unexpectedly.
func (c component) Serve(ctx context.Context) error { return c.run(ctx) }

// String returns the component's name for the log.
func (c component) String() string { return c.name }

// Run serves until the context ends, then drains the requests in flight.
func (e *Edge) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "entry VM %s", e.settings.VM) }()
	e.ranAt.Store(int64(e.clock.Boot()))
	if e.socket, err = gossip.Listen(e.settings.PeerAddress, e.mirror.Since, gossip.WithOnPanic(e.observePanic), gossip.WithOnLost(e.observeLostByVM), gossip.WithHandler(relay.Path, e.relayHandler)); err != nil {
		return err
	}
	callers, err := net.Listen("tcp", e.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "CallerAddress")
	}
	ready, err := net.Listen("tcp", e.settings.ReadyAddress)
	if err != nil {
		return errors.Wrap(err, "ReadyAddress")
	}
	metricsListener, err := net.Listen("tcp", e.settings.MetricsAddress)
	if err != nil {
		return errors.Wrap(err, "MetricsAddress")
	}
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	supervisor := suture.New("edge", suture.Spec{EventHook: func(s suture.Event) { e.log.Warn("supervisor event", "event", s.String()) }})
	for _, c := range []component{
		{"gossip", func(ctx context.Context) error { return <-e.socket.Serve(ctx, e.receive) }},
		{"callers", func(ctx context.Context) error { return serve(ctx, e.callers, callers) }},
		{"readiness", func(ctx context.Context) error { return serve(ctx, e.readinessServer(), ready) }},
		{"metrics", func(ctx context.Context) error { return serve(ctx, e.metrics.server(), metricsListener) }},
		{"store", e.synchronize},
		{"snapshots", e.publishSnapshots},
		{"coordination", e.coordinate},
		{"changes", e.broadcastUpdates},
		{"load", e.reportLoad},
		{"reach", e.watchReach},
		{"warmups", e.watchWarmups},
		{"keys", e.keys.run},
		{"registrations", e.removeLostRegistrations},
		{"crashes", e.recordCrashes},
	} {
		supervisor.Add(c)
	}
	ended := supervisor.ServeBackground(serveCtx)
	e.log.Info("entry VM started", "incarnation", string(e.incarnation), "callers", e.settings.CallerAddress, "store", e.settings.Store)
	select {
	case <-ctx.Done():
		e.drain(serveCtx, callers)
	case err := <-ended:
		return err
	}
	cancel()
	if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
		e.log.Warn("a component ended with an error", "error", err)
	}
	e.allotments.stop()
	e.log.Info("entry VM stopped", "inFlight", e.handler.InFlight())
	return nil
}

func (e *Edge) readinessServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if !e.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ErrorLog: discardLogger()}
}

// httpServer is a server of HTTP connections.
type httpServer interface {
	Serve(l net.Listener) error
	Close() error
}

// serve runs a server until the context ends or the server is shut down.
func serve(ctx context.Context, s httpServer, l net.Listener) error {
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	select {
	case <-ctx.Done():
		_ = s.Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	case err := <-done:
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			return suture.ErrDoNotRestart
		}
		return err
	}
}
