// Package edge runs one entry VM on the users' platform.
//
// Every VM takes callers' requests and sends them to backend servers itself.
// One VM, which holds the leader's record in the platform's store, watches the
// store for all, and grants keys to the backend servers of services that are
// divided by key. All VMs keep a mirror of the store's items and go on with
// what they know while the store or the leader is out of reach.
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

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/settings"
	"github.com/hickorylug/hickorylug/state/task"
	"github.com/hickorylug/hickorylug/transport/entry"
	"github.com/hickorylug/hickorylug/transport/gossip"
	"github.com/hickorylug/hickorylug/transport/http1"
)

// Edge is one entry VM.
type Edge struct {
	settings    settings.Edge
	options     Options
	log         *slog.Logger
	clock       clock.Clock
	incarnation id.Incarnation

	store      *platform.Client
	mirror     *fleet.Mirror
	socket     *gossip.Socket
	backends   *http1.Client
	dispatcher *dispatch.Dispatcher
	forwarder  *forward.Forwarder
	poison     *poison.Tracker
	splits     *splits
	handler    *entry.Handler
	metrics    *metrics
	keys       *keys
	tasks      *task.Set

	mu      sync.Mutex
	elector *leader.Elector
	lease   platform.Lease
	// campaigning says that this VM is trying to become the leader.
	campaigning bool
	// registered says that the store knows this VM.
	registered bool
	// fetching says that a copy of the items is being read from another VM.
	fetching bool
	// storeAt is the time of the newest news of the store, also by the leader, and settledAt when removed entries count again after an outage.
	storeAt   clock.Instant
	settledAt clock.Instant
	// leaderNews is the time of the newest news of the store that the leader has.
	leaderNews clock.Instant
	// answeredAt and failedAt are when a call of this VM to the store was last answered and last failed.
	answeredAt, failedAt clock.Instant
	// limbo holds the backend servers whose entries were removed during an outage of the store.
	limbo map[id.Server]fleet.Server

	snapshot atomic.Pointer[fleet.Snapshot]
	// leaving says that this VM takes no more connections, and resigned that it doesn't lead any more either.
	leaving  atomic.Bool
	resigned atomic.Bool
	// resync asks the synchronization to look at once.
	resync chan struct{}
	replan chan struct{}
	// pass asks the leader to tell the other VMs what has changed.
	pass chan struct{}
}

// New returns an entry VM that has not begun to run.
func New(s settings.Edge, opts ...Option) (e *Edge, err error) {
	defer func() { err = errors.Wrap(err, "make the entry VM") }()
	if err := s.Check().Err(); err != nil {
		return nil, err
	}
	o := newOptions(opts)
	u := uuid.New()
	e = &Edge{
		settings: s, options: o, log: o.Log.With("vm", string(s.VM)), clock: o.Clock,
		incarnation: id.Incarnation(u.String()[:8]),
		store:       platform.NewClient(s.Store),
		mirror:      fleet.NewMirror(platform.Decode),
		backends:    http1.NewClient(),
		poison:      poison.NewTracker(),
		splits:      newSplits(),
		tasks:       task.NewSet(),
		elector:     leader.NewElector(s.VM, o.Clock.Boot()),
		limbo:       map[id.Server]fleet.Server{},
		resync:      make(chan struct{}, 1),
		replan:      make(chan struct{}, 1),
		pass:        make(chan struct{}, 1),
	}
	e.snapshot.Store(e.mirror.Snapshot())
	e.metrics = newMetrics(e)
	e.store.Observe = e.metrics.observeStore
	e.dispatcher = dispatch.NewDispatcher(s.VM, s.FailureDomain, dispatch.WithClock(o.Clock), dispatch.WithPeers(e.peerCount),
		dispatch.WithWarmBounds(s.WarmOverage, s.WarmSlack), dispatch.WithOnEject(e.observeEjection))
	e.forwarder = forward.NewForwarder(e.dispatcher, forward.WithClock(o.Clock), forward.WithSend(e.send), forward.WithPoison(e.poison),
		forward.WithOnCrash(e.died), forward.WithObserve(e.observeSending), forward.WithRetries(retryPortion*s.RetryShare, e.retrySlack))
	e.handler = entry.NewHandler(entry.Dependencies{
		Clock: o.Clock,
		Headers: entry.HeaderNames{
			RequestID: platform.HeaderRequestID, Deadline: platform.HeaderDeadline, Key: platform.HeaderKey, Reserved: platform.ReservedHeaders(),
		},
		View: e.view, PickService: e.splits.pick, Forward: e.forwarder.Forward, Observe: e.observeRequest,
	})
	e.keys = newKeys(e)
	return e, nil
}

const (
	// retryPortion is the part of the retry budget that is used, since windows of other VMs overlap differently.
	retryPortion = 0.8
	// readyStore is the age of the last news from the store up to which a missing route is believed.
	readyStore = 1500 * time.Millisecond
)

// retrySlack returns this VM's part of the further sendings that all VMs may make beyond the share.
func (e *Edge) retrySlack() float64 {
	return retryPortion * e.settings.RetrySlack / float64(e.peerCount())
}

// peerCount returns the number of registered VMs.
func (e *Edge) peerCount() int { return max(1, len(e.snapshot.Load().Peers)) }

// view returns the newest state; current is false where it may be out of date.
func (e *Edge) view() (s *fleet.Snapshot, current bool) {
	return e.snapshot.Load(), e.newsAge() < readyStore
}

// ready reports whether the VM can serve callers.
func (e *Edge) ready() bool {
	s := e.snapshot.Load()
	return !e.leaving.Load() && s.Configuration != nil && len(s.Servers) > 0
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

// Run serves until the context ends, then finishes what is in flight.
func (e *Edge) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "entry VM %s", e.settings.VM) }()
	if e.socket, err = gossip.Listen(e.settings.PeerAddress, e.mirror.Since); err != nil {
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
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	server := newCallerServer(e.handler)
	supervisor := suture.New("edge", suture.Spec{EventHook: func(s suture.Event) { e.log.Warn("supervision", "event", s.String()) }})
	for _, p := range []part{
		{"gossip", func(ctx context.Context) error { return <-e.socket.Serve(ctx, e.receive) }},
		{"callers", func(ctx context.Context) error { return serve(ctx, server, callers) }},
		{"readiness", func(ctx context.Context) error { return serve(ctx, e.readyServer(), ready) }},
		{"metrics", func(ctx context.Context) error { return serve(ctx, e.metrics.server(), metricsListener) }},
		{"store", e.synchronize},
		{"snapshots", e.follow},
		{"coordination", e.coordinate},
		{"changes", e.passOn},
		{"load", e.shareLoad},
		{"keys", e.keys.run},
	} {
		supervisor.Add(p)
	}
	ended := supervisor.ServeBackground(inner)
	e.log.Info("entry VM started", "incarnation", string(e.incarnation), "callers", e.settings.CallerAddress, "store", e.settings.Store)
	select {
	case <-ctx.Done():
		e.leave(inner, server)
	case err := <-ended:
		return err
	}
	cancel()
	if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
		e.log.Warn("a part ended with an error", "error", err)
	}
	e.log.Info("entry VM stopped", "inFlight", e.handler.InFlight())
	return nil
}

// Times of a graceful shutdown.
const (
	// unlistedAfter is the time that the balancer needs to send new connections elsewhere: two missed checks a second apart.
	unlistedAfter = 3 * time.Second
	// graceMargin is kept at the end of the grace time.
	graceMargin = 400 * time.Millisecond
	idlePoll    = 20 * time.Millisecond
	// resignRetry is the time between two tries to hand the leadership over at a store that is away; each call is priced.
	resignRetry = 400 * time.Millisecond
)

// leave finishes what is in flight within the grace time.
func (e *Edge) leave(ctx context.Context, server *http.Server) {
	began := e.clock.Boot()
	e.leaving.Store(true)
	e.handler.Drain()
	e.log.Info("graceful shutdown began", "inFlight", e.handler.InFlight())
	resigned := e.resign(ctx)
	grace := e.settings.GraceTime.Std() - graceMargin
	<-e.clock.After(min(unlistedAfter, grace/2))
	closing, cancel := context.WithTimeout(ctx, max(0, grace-e.clock.Boot().Sub(began)))
	defer cancel()
	if err := server.Shutdown(closing); err != nil {
		e.log.Warn("requests were in flight at the end of the grace time", "inFlight", e.handler.InFlight(), "error", err)
	}
	for e.handler.InFlight() > 0 && closing.Err() == nil {
		<-e.clock.After(idlePoll)
	}
	// Keys lapse without a leader, so one that nobody can replace stays to the end of the grace time.
	for !resigned && closing.Err() == nil {
		<-e.clock.After(resignRetry)
		resigned = e.resign(ctx)
	}
}

// Limits of callers' connections; the configuration's own limits are checked for each request.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 90 * time.Second
	maxHeader     = 256 << 10
)

func newCallerServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader, ErrorLog: silent()}
}

func (e *Edge) readyServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ErrorLog: silent()}
}

// serve runs a server until the context ends or the server is shut down.
func serve(ctx context.Context, s *http.Server, l net.Listener) error {
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
		if errors.Is(err, http.ErrServerClosed) {
			return suture.ErrDoNotRestart
		}
		return err
	}
}
