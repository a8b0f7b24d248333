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
	"github.com/hickorylug/hickorylug/standin/worker"
)

// Names of the played deployment.
const (
	keyed   = "plans"
	plain   = "billing"
	host    = "soak.example"
	servers = 4
	grace   = 6 * time.Second
)

// vm is one entry VM's process.
type vm struct {
	name  string
	front string
	ready string
	file  string
	store *faultproxy.Proxy
	log   *os.File

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// backend is a backend server with the link through which it is reached.
type backend struct {
	id      string
	service string
	born    int64
	worker  *worker.Worker
	server  *http.Server
	link    *faultproxy.Proxy
}

// world is everything that one seed plays with.
type world struct {
	folder   string
	program  string
	store    *kv.Store
	stop     chan struct{}
	stopped  <-chan struct{}
	server   *http.Server
	journal  *worker.Journal
	vms      []*vm
	backends []*backend
	version  int
	born     int64
	faulty   sync.Mutex
	// taken holds the addresses that were given to VMs, which don't listen there yet.
	taken map[string]bool
}

func newWorld(seed uint64, c command) (w *world, err error) {
	defer func() { err = errors.Wrap(err, "start the world") }()
	folder, err := os.MkdirTemp("", "hickorysoak")
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	w = &world{folder: folder, program: c.Program, journal: worker.NewJournal(), stop: make(chan struct{}), taken: map[string]bool{}, store: kv.NewStore(func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	})}
	w.stopped = w.store.Run(w.stop)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(l) }()
	w.configure(time.Second)
	for i := range 2 * servers {
		service := keyed
		if i >= servers {
			service = plain
		}
		if err := w.addBackend(fmt.Sprintf("i-%d", i), service); err != nil {
			return nil, err
		}
	}
	for i := range c.VMs {
		if err := w.addVM(fmt.Sprintf("vm%d", i), l.Addr().String()); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// configure writes the next configuration.
func (w *world) configure(timeout time.Duration) {
	w.version++
	rule := func(name, kind, prefix, service string) map[string]any {
		return map[string]any{
			"Name": name, "RouteType": kind, "TargetLatencyS": 0.3, "Priority": 1, "Match": map[string]any{"PathPrefix": prefix},
			"Action": map[string]any{"Service": service, "TimeoutS": timeout.Seconds(), "MaxAttempts": 2},
		}
	}
	cluster := func(name string, sharded bool) map[string]any {
		return map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": 100, "WarmupS": 1, "WarmupPerS": 50, "Sharded": sharded}
	}
	document := map[string]any{
		"Version":   fmt.Sprintf("%08x", w.version),
		"Limits":    map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"Listeners": []any{map[string]any{"Host": host, "Rules": []any{rule("r-view", "idempotent", "/view/", keyed), rule("r-renew", "non_idempotent", "/renew/", plain)}}},
		"Clusters":  []any{cluster(keyed, true), cluster(plain, false)},
	}
	data, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	w.store.Put("op/config", data)
}

// addBackend starts a life of a backend server and registers it.
func (w *world) addBackend(id, service string) (err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var opts []worker.Option
	if service == keyed {
		opts = append(opts, worker.WithKeys())
	}
	w.born = max(w.born+1, time.Now().UnixMilli())
	b := &backend{id: id, service: service, born: w.born, worker: worker.New(id, service, w.journal, opts...)}
	b.server = &http.Server{Handler: b.worker, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	if b.link, err = faultproxy.Listen(l.Addr().String()); err != nil {
		return err
	}
	w.backends = append(w.backends, b)
	w.register(b, "ready")
	return nil
}

func (w *world) register(b *backend, state string) {
	data, err := json.Marshal(map[string]any{
		"Service": b.service, "Address": b.link.Address(), "Zone": "east", "Version": "v1", "Slots": worker.Slots,
		"State": state, "WarmupLeftS": 0, "Sequence": 1, "born": b.born,
	})
	if err != nil {
		panic(err)
	}
	w.store.Put("servers/"+b.id, data)
}

// end ends a backend server's life at once.
func (b *backend) end() {
	b.worker.Stop()
	b.link.Close()
	_ = b.server.Close()
}

// Ports of entry VMs, below those that the system gives to outgoing connections.
const (
	lowestPort  = 10000
	highestPort = 30000
)

// freePort returns an address that nobody uses; a VM takes it again after each restart.
func (w *world) freePort() (address string, err error) {
	for range highestPort - lowestPort {
		address = fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(highestPort-lowestPort))
		if w.taken[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err == nil {
			w.taken[address] = true
			return address, l.Close()
		}
	}
	return "", errors.New("no port is free")
}

// addVM writes the settings of an entry VM and starts it.
func (w *world) addVM(name, store string) (err error) {
	v := &vm{name: name, file: filepath.Join(w.folder, name+".json")}
	if v.store, err = faultproxy.Listen(store); err != nil {
		return err
	}
	var addresses [4]string
	for i := range addresses {
		if addresses[i], err = w.freePort(); err != nil {
			return err
		}
	}
	v.front, v.ready = addresses[0], addresses[1]
	data, err := json.Marshal(map[string]any{
		"VM": name, "FailureDomain": "east", "CallerAddress": v.front, "ReadyAddress": v.ready, "PeerAddress": addresses[2], "MetricsAddress": addresses[3],
		"Store": v.store.Address(), "LogLevel": "info", "GraceTime": grace.String(), "ServerHeartbeat": "1s", "RetryShare": 0.2, "RetrySlack": 60,
		"RetryWindow": "10s", "WarmOverage": 1.5, "WarmSlack": 5, "MaxHold": "10s", "Processor": 1, "Link": 1000, "Memory": "200MB",
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(v.file, data, 0o600); err != nil {
		return err
	}
	if v.log, err = os.Create(filepath.Join(w.folder, name+".log")); err != nil {
		return err
	}
	w.vms = append(w.vms, v)
	return v.start(w.program)
}

// start runs the VM's process, unless it runs.
func (v *vm) start(program string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		return nil
	}
	p := exec.Command(program, "edge", "--settings", v.file)
	p.Stdout, p.Stderr = v.log, v.log
	if err := p.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// How it ended is no matter: most ends are by signal.
		_ = p.Wait()
	}()
	v.process, v.ended = p, ended
	return nil
}

// signal sends a signal to the VM's process, if it runs.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		// The process may have ended already.
		_ = v.process.Process.Signal(s)
	}
}

// await waits for the end of the VM's process.
func (v *vm) await() {
	v.mu.Lock()
	ended, process := v.ended, v.process
	v.mu.Unlock()
	if process == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(2 * grace):
		v.signal(syscall.SIGKILL)
		<-ended
	}
	v.mu.Lock()
	if v.process == process {
		v.process = nil
	}
	v.mu.Unlock()
}

// close ends everything that the world has started.
func (w *world) close() {
	for _, v := range w.vms {
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		v.await()
		v.store.Close()
		_ = v.log.Close()
	}
	for _, b := range w.backends {
		b.end()
	}
	_ = w.server.Close()
	close(w.stop)
	<-w.stopped
}
