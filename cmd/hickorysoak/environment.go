package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/standin/faultproxy"
	"github.com/hickorylug/hickorylug/standin/kv"
	"github.com/hickorylug/hickorylug/standin/loopback"
	"github.com/hickorylug/hickorylug/standin/worker"
)

// Names, size and drain time of the deployment under test.
const (
	keyedService      = "plans"
	unkeyedService    = "billing"
	host              = "soak.example"
	serversPerService = 4
	graceTime         = 6 * time.Second
	// The fraction of grants that backend servers carry out late is drawn for each seed.
	minLateGrants = 0.15
	maxLateGrants = 0.7
)

// vm is an entry VM, which runs as a separate process.
type vm struct {
	name          string
	callerAddress string
	readyAddress  string
	settingsFile  string
	storeProxy    *faultproxy.Proxy
	// peerAddress is the address at which the VM listens for others.
	peerAddress string
	log         *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// backend is a backend server and the proxy through which the VMs reach it.
type backend struct {
	id        string
	service   string
	startTime int64
	// address is the address of the proxy, which listens as long as the process runs.
	address string
	worker  *worker.Worker
	server  *http.Server
	proxy   *faultproxy.Proxy
}

// environment is the deployment that one seed runs against: store, backend servers and entry VMs.
type environment struct {
	folder        string
	program       string
	store         *kv.Store
	stopStore     chan struct{}
	storeStopped  <-chan struct{}
	storeServer   *http.Server
	network       *faultproxy.Network
	journal       *worker.Journal
	vms           []*vm
	backends      []*backend
	configVersion int
	// configuration is the latest version of the configuration.
	configuration []byte
	// lastStartTime is the start time of the newest incarnation of any backend server, in Unix milliseconds.
	lastStartTime int64
	// startCount is the number of incarnations that were started.
	startCount uint64
	// mu guards configVersion, configuration, backends, lastStartTime and startCount while faults are injected, and vms while they are added.
	mu sync.Mutex
	// lateGrants is the fraction of grants that backend servers carry out late.
	lateGrants float64
	seed       uint64
	notes      notes
	// crashes records the crashes that requests cause, and crashed waits for the next incarnations.
	crashes crashLog
	crashed sync.WaitGroup
	// departures records the callers that left, and measuresDepartures says that backend servers drop requests whose connections end.
	departures         departures
	measuresDepartures bool
	// customers is nil if the configuration has no customers.
	customers *customerBook
	// strictRevocation is the setting of the VMs.
	strictRevocation bool
	// storeUse is held for reading by faults of the store, and for writing while a change of customers must take effect.
	storeUse sync.RWMutex
}

// newEnvironment starts the store, the backend servers and the entry VMs.
func newEnvironment(seed uint64, c command, injected []fault) (e *environment, err error) {
	defer func() { err = errors.Wrap(err, "start environment") }()
	folder, err := os.MkdirTemp("", "hickorysoak")
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	e = &environment{folder: folder, program: c.Program, seed: seed, lateGrants: minLateGrants + random.Float64()*(maxLateGrants-minLateGrants), journal: worker.NewJournal(), stopStore: make(chan struct{}), store: kv.NewStore(func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	})}
	e.measuresDepartures = measuresDepartures(injected)
	if seed%2 == 0 {
		e.customers, e.strictRevocation = newCustomerBook(), seed%4 == 0
	}
	e.storeStopped = e.store.Run(e.stopStore)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.network = faultproxy.NewNetwork(e.vmOf)
	e.storeServer = &http.Server{Handler: e.registerAtNetwork(e.store), ReadHeaderTimeout: time.Second}
	go func() { _ = e.storeServer.Serve(l) }()
	e.writeConfiguration(time.Second)
	for i := range 2 * serversPerService {
		service := keyedService
		if i >= serversPerService {
			service = unkeyedService
		}
		b, err := e.startBackend(fmt.Sprintf("i-%d", i), service, "")
		if err != nil {
			return nil, err
		}
		e.registerBackend(b, "ready")
	}
	for i := range c.VMs {
		if err := e.addVM(fmt.Sprintf("vm%d", i), l.Addr().String()); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// writeConfiguration writes the next version of the configuration to the store.
func (e *environment) writeConfiguration(timeout time.Duration) {
	e.configVersion++
	rule := func(name, kind, prefix, service string) map[string]any {
		return map[string]any{
			"Name": name, "RouteType": kind, "TargetLatencyS": 0.3, "Priority": 1, "Match": map[string]any{"PathPrefix": prefix},
			"Action": map[string]any{"Service": service, "TimeoutS": timeout.Seconds(), "MaxAttempts": 2},
		}
	}
	cluster := func(name string, sharded bool) map[string]any {
		return map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": 100, "WarmupS": 1, "WarmupPerS": 50, "Sharded": sharded}
	}
	rules := []any{rule("r-view", "idempotent", "/view/", keyedService), rule("r-renew", "non_idempotent", "/renew/", unkeyedService)}
	if e.customers != nil {
		public := rule("r-open", "idempotent", "/open/", unkeyedService)
		public["Public"] = true
		rules = append(rules, public)
	}
	document := map[string]any{
		"Version":   fmt.Sprintf("%08x", e.configVersion),
		"Limits":    map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"Listeners": []any{map[string]any{"Host": host, "Rules": rules}},
		"Clusters":  []any{cluster(keyedService, true), cluster(unkeyedService, false)},
	}
	if e.customers != nil {
		document["Tenants"] = e.customers.tenants()
	}
	data, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	e.configuration = data
	e.store.Put("op/config", data)
}

// startBackend starts an incarnation of a backend server, at a new address if none is given. Its entry isn't written yet.
func (e *environment) startBackend(id, service, address string) (b *backend, err error) {
	defer func() { err = errors.Wrapf(err, "start backend server %s", id) }()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if address == "" {
		if address, err = loopback.FreeAddress(); err != nil {
			return nil, err
		}
	}
	// Start times increase strictly, so that two incarnations never have the same one.
	e.lastStartTime = max(e.lastStartTime+1, time.Now().UnixMilli())
	b = &backend{id: id, service: service, startTime: e.lastStartTime, address: address}
	e.startCount++
	opts := []worker.Option{
		worker.WithLateOrders(e.lateGrants, e.seed<<16+e.startCount),
		worker.WithOnRequest(func(r *http.Request) { e.crashBackend(b, r) }),
		worker.WithServiceTimes(serviceTime),
	}
	if e.measuresDepartures {
		opts = append(opts, worker.WithDroppedRequests())
	}
	if service == keyedService {
		opts = append(opts, worker.WithKeys())
	}
	b.worker = worker.New(id, service, e.journal, opts...)
	b.server = &http.Server{Handler: b.worker, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	if b.proxy, err = faultproxy.ListenAt(address, l.Addr().String()); err != nil {
		return nil, err
	}
	e.backends = append(e.backends, b)
	return b, nil
}

// registerBackend writes a backend server's entry with the given state to the store.
func (e *environment) registerBackend(b *backend, state string) {
	data, err := json.Marshal(map[string]any{
		"Service": b.service, "Address": b.address, "Zone": "east", "Version": "v1", "Slots": worker.Slots,
		"State": state, "WarmupLeftS": 0, "Sequence": 1, "born": b.startTime,
	})
	if err != nil {
		panic(err)
	}
	e.store.Put("servers/"+b.id, data)
}

// kill simulates a crash of the backend server.
func (b *backend) kill() {
	b.worker.Stop()
	b.proxy.Close()
	_ = b.server.Close()
}

// addVM writes the settings file of an entry VM and starts the VM.
func (e *environment) addVM(name, store string) (err error) {
	v := &vm{name: name, settingsFile: filepath.Join(e.folder, name+".json")}
	if v.storeProxy, err = faultproxy.Listen(store); err != nil {
		return err
	}
	var addresses [4]string
	for i := range addresses {
		if addresses[i], err = loopback.FreeAddress(); err != nil {
			return err
		}
	}
	v.callerAddress, v.readyAddress, v.peerAddress = addresses[0], addresses[1], addresses[2]
	if err := e.network.Attach(name, v.peerAddress); err != nil {
		return err
	}
	data, err := json.Marshal(map[string]any{
		"VM": name, "FailureDomain": "east", "CallerAddress": v.callerAddress, "ReadyAddress": v.readyAddress, "PeerAddress": v.peerAddress, "MetricsAddress": addresses[3],
		"Store": v.storeProxy.Address(), "LogLevel": "debug", "GraceTime": graceTime.String(), "ServerHeartbeat": "1s", "RetryShare": 0.2, "RetrySlack": 60,
		"RetryWindow": "10s", "WarmOverage": 1.5, "WarmSlack": 5, "MaxHold": "10s", "StrictRevocation": e.strictRevocation,
		"AllotmentWindow": allotmentWindow.String(), "AllotmentOverage": allotmentExcess, "AllotmentSlack": allotmentSlack, "Processor": 1, "Link": 1000, "Memory": "200MB",
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(v.settingsFile, data, 0o600); err != nil {
		return err
	}
	if v.log, err = os.Create(filepath.Join(e.folder, name+".log")); err != nil {
		return err
	}
	e.mu.Lock()
	e.vms = append(e.vms, v)
	e.mu.Unlock()
	return v.start(e.program)
}

// start starts the VM's process, unless it is running.
func (v *vm) start(program string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		return nil
	}
	p := exec.Command(program, "edge", "--settings", v.settingsFile)
	p.Stdout, p.Stderr = v.log, v.log
	if err := p.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		// The exit status is ignored: most processes are ended by a signal.
		_ = p.Wait()
	}()
	v.process, v.exited = p, exited
	return nil
}

// signal sends a signal to the VM's process, if it is running.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		// Fails if the process has already exited.
		_ = v.process.Process.Signal(s)
	}
}

// waitForExit waits until the VM's process has exited, and kills it after twice the grace time.
func (v *vm) waitForExit() {
	v.mu.Lock()
	exited, process := v.exited, v.process
	v.mu.Unlock()
	if process == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(2 * graceTime):
		v.signal(syscall.SIGKILL)
		<-exited
	}
	v.mu.Lock()
	if v.process == process {
		v.process = nil
	}
	v.mu.Unlock()
}

// close ends everything that the environment has started.
func (e *environment) close() {
	for _, v := range e.vms {
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		v.waitForExit()
		v.storeProxy.Close()
		_ = v.log.Close()
	}
	for _, b := range e.backends {
		b.kill()
	}
	e.network.Close()
	_ = e.storeServer.Close()
	close(e.stopStore)
	<-e.storeStopped
}
