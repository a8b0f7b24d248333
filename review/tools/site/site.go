//go:build review

// Package site starts a small deployment on loopback: a store, backend servers and entry VMs as separate processes.
//
// The store is the project's own stand-in. Backend servers are HTTP handlers of
// the case; they register as the platform's pages say.
//
// # Usage
//
//	d, err := site.New("target/hickorylug")
//	defer d.Close()
//	d.AddServer("i-1", "billing", false, handler)
//	err = d.AddVM("vm1")
//	err = d.WaitReady(20 * time.Second)
package site

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hickorylug/hickorylug/standin/faultproxy"
	"github.com/hickorylug/hickorylug/standin/kv"
	"github.com/hickorylug/hickorylug/standin/loopback"
)

// Host is the host of all routes.
const Host = "hulo84.example"

// Route is a route of the configuration.
type Route struct {
	Prefix     string
	Service    string
	Idempotent bool
	Timeout    time.Duration
}

// Service is a service of the configuration.
type Service struct {
	Name  string
	Keyed bool
}

// Server is a backend server.
type Server struct {
	ID, Service, Address, Zone string
	Born                       int64

	// Silent is set while the backend server doesn't reach the store.
	Silent   atomic.Bool
	sequence int

	http *http.Server
}

// VM is an entry VM.
type VM struct {
	Name, Zone, Caller, Ready, Metrics string

	settings string
	values   map[string]any
	store    *faultproxy.Proxy
	log      *os.File
	mu       sync.Mutex
	process  *exec.Cmd
	exited   chan struct{}
}

// Deployment is a small deployment on loopback.
type Deployment struct {
	Folder  string
	Store   *kv.Store
	Memory  string
	VMs     []*VM
	Servers []*Server
	// Network connects VMs and backend servers; nil means that they reach each other directly.
	Network *faultproxy.Network

	program      string
	storeHandler http.Handler
	storeServer  *http.Server
	storeAddress string
	storeAgain   *http.Server
	stop         chan struct{}
	stopped      <-chan struct{}
	mu           sync.Mutex
	storeDown    atomic.Bool
	version      int
	lastBorn     int64
}

// Option changes an option of a deployment.
type Option func(*Deployment)

// WithStore sets a function that wraps the store's handler.
func WithStore(wrap func(http.Handler) http.Handler) Option {
	return func(d *Deployment) { d.storeHandler = wrap(d.storeHandler) }
}

// New starts a deployment without VMs and backend servers. The program is the one that the build line of the deploy file makes.
func New(program string, opts ...Option) (d *Deployment, err error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	if program, err = filepath.Abs(program); err != nil {
		return nil, err
	}
	d = &Deployment{Folder: folder, Store: kv.NewStore(rand.Float64), Memory: "284MB", program: program, stop: make(chan struct{})}
	d.stopped, d.storeHandler = d.Store.Run(d.stop), d.Store
	for _, opt := range opts {
		opt(d)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAddress, d.storeServer = l.Addr().String(), &http.Server{Handler: d.storeHandler}
	go func() { _ = d.storeServer.Serve(l) }()
	return d, nil
}

// DefaultMaxBody is the MaxBodyBytes that `fleetbench wire` shows.
const DefaultMaxBody = 67108864

// Configure writes the next version of the configuration, with the other limits that `fleetbench wire` shows.
func (d *Deployment) Configure(services []Service, routes []Route, maxBody int) {
	d.version++
	var rules, clusters []any
	for i, r := range routes {
		kind := "non_idempotent"
		if r.Idempotent {
			kind = "idempotent"
		}
		rules = append(rules, map[string]any{
			"Name": "r-" + strconv.Itoa(i), "RouteType": kind, "TargetLatencyS": 0.4, "Priority": 1, "Match": map[string]any{"PathPrefix": r.Prefix},
			"Action": map[string]any{"Service": r.Service, "TimeoutS": r.Timeout.Seconds(), "MaxAttempts": 2},
		})
	}
	for _, s := range services {
		clusters = append(clusters, map[string]any{
			"Name": s.Name, "HealthPath": "/health", "MaxConnections": 130, "Protocol": "h1", "Tls": false, "WarmupS": 3.0, "WarmupPerS": 6.0, "Sharded": s.Keyed,
		})
	}
	d.put("op/config", map[string]any{
		"Version":   fmt.Sprintf("%08x", d.version),
		"Limits":    map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": maxBody, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"Listeners": []any{map[string]any{"Host": Host, "Rules": rules}},
		"Clusters":  clusters,
	})
}

func (d *Deployment) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	d.Store.Put(key, data)
}

// AddServer starts a backend server that was up before the traffic, so that it isn't cold, and registers it.
func (d *Deployment) AddServer(id, service, zone string, h http.Handler) (s *Server, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.lastBorn = max(d.lastBorn+1, time.Now().UnixMilli())
	s = &Server{ID: id, Service: service, Zone: zone, Address: l.Addr().String(), Born: d.lastBorn, http: &http.Server{Handler: h}}
	if d.Network != nil {
		if err := d.Network.Attach(id, s.Address); err != nil {
			return nil, err
		}
		s.Address = d.Network.Address(id)
	}
	go func() { _ = s.http.Serve(l) }()
	d.Servers = append(d.Servers, s)
	d.Register(s, "ready")
	return s, nil
}

// Register writes a backend server's entry, with the next number of its sequence.
func (d *Deployment) Register(s *Server, state string) {
	s.sequence++
	d.put("servers/"+s.ID, map[string]any{
		"Service": s.Service, "Address": s.Address, "Zone": s.Zone, "Version": "v1", "Slots": 4, "State": state, "WarmupLeftS": 0, "Sequence": s.sequence, "born": s.Born,
	})
}

// Heartbeat writes the entries of all backend servers once in each period, spread over it, until stop is closed. A call that fails while the store is
// away is left out.
func (d *Deployment) Heartbeat(period time.Duration, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(period / time.Duration(len(d.Servers))):
		}
		if s := d.Servers[n%len(d.Servers)]; !d.storeDown.Load() && !s.Silent.Load() {
			d.Register(s, "ready")
		}
	}
}

// SetStoreDown makes the store answer each call with 503, or ends that.
func (d *Deployment) SetStoreDown(down bool) {
	d.storeDown.Store(down)
	d.Store.SetFault(kv.Fault{Down: down})
}

// Machine is the size of a VM's machine.
type Machine struct {
	Processor, LinkMbps float64
	Memory              string
}

// AddVM starts an entry VM with settings like those of the deploy file's template.
func (d *Deployment) AddVM(name, zone string) (err error) {
	return d.AddMachine(name, zone, Machine{0.32, 1000, d.Memory})
}

// AddMachine is AddVM for a machine of a given size.
func (d *Deployment) AddMachine(name, zone string, m Machine) (err error) {
	v := &VM{Name: name, Zone: zone, settings: filepath.Join(d.Folder, name+".json")}
	if v.store, err = faultproxy.Listen(d.storeAddress); err != nil {
		return err
	}
	var a [4]string
	for i := range a {
		if a[i], err = loopback.FreeAddress(); err != nil {
			return err
		}
	}
	v.Caller, v.Ready, v.Metrics = a[0], a[1], a[3]
	if d.Network != nil {
		if err := d.Network.Attach(name, a[2]); err != nil {
			return err
		}
	}
	v.values = map[string]any{
		"VM": name, "FailureDomain": zone, "CallerAddress": a[0], "ReadyAddress": a[1], "PeerAddress": a[2], "MetricsAddress": a[3], "Store": v.store.Address(),
		"LogLevel": "info", "GraceTime": "6s", "ServerHeartbeat": "0.87s", "RetryShare": 0.2, "RetrySlack": 62, "RetryWindow": "10s", "WarmOverage": 1.5, "WarmSlack": 5,
		"DrainTime": "2s", "MaxHold": "10s", "Processor": m.Processor, "Link": m.LinkMbps, "Memory": m.Memory,
	}
	if err := v.writeSettings(); err != nil {
		return err
	}
	if v.log, err = os.Create(filepath.Join(d.Folder, name+".log")); err != nil {
		return err
	}
	d.mu.Lock()
	d.VMs = append(d.VMs, v)
	d.mu.Unlock()
	return d.Start(v)
}

// writeSettings replaces the VM's settings file at once, as a whole.
func (v *VM) writeSettings() error {
	data, err := json.MarshalIndent(v.values, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(v.settings+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(v.settings+".new", v.settings)
}

// ServeStoreAgain serves the store at a second address as well, and returns it.
func (d *Deployment) ServeStoreAgain() (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	d.storeAgain = &http.Server{Handler: d.storeHandler}
	go func() { _ = d.storeAgain.Serve(l) }()
	return l.Addr().String(), nil
}

// ChangeStore writes another address of the store into a VM's settings file.
func (d *Deployment) ChangeStore(v *VM, address string) error {
	v.values["Store"] = address
	return v.writeSettings()
}

// EndFirstStoreAddress ends the first address of the store; connections to it are refused from then on.
func (d *Deployment) EndFirstStoreAddress() {
	for _, v := range d.VMs {
		v.store.Close()
	}
	_ = d.storeServer.Close()
}

// Start starts a VM's process with the command of the deploy file.
func (d *Deployment) Start(v *VM) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := exec.Command(d.program, "edge")
	p.Env = append(os.Environ(), "HICKORYLUG_BOOT="+v.settings)
	p.Stdout, p.Stderr = v.log, v.log
	// The VM ends with this process, whatever happens.
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { defer close(exited); _ = p.Wait() }()
	v.process, v.exited = p, exited
	return nil
}

// pid returns the id of the VM's process, or 0 before its start.
func (v *VM) pid() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return 0
	}
	return v.process.Process.Pid
}

// Signal sends a signal to a VM's process.
func (v *VM) Signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Process.Signal(s)
	}
}

// HasExited reports whether the VM's process has ended.
func (v *VM) HasExited() bool {
	select {
	case <-v.exited:
		return true
	default:
		return false
	}
}

// StoreMode sets what the proxy between a VM and the store does.
func (v *VM) StoreMode(m faultproxy.Mode) { v.store.SetMode(m) }

// ResidentMB returns the resident memory of the VM's process, in MB of 10^6 bytes, or 0 if it has ended.
func (v *VM) ResidentMB() float64 {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(v.pid()) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb * 1024 / 1e6
		}
	}
	return 0
}

// LimitDescriptors sets the number of descriptors that the VM's process may have, as the platform does.
func (v *VM) LimitDescriptors(n uint64) error {
	return unix.Prlimit(v.pid(), unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil)
}

// Descriptors returns the number of descriptors that the VM's process has.
func (v *VM) Descriptors() int {
	entries, _ := os.ReadDir("/proc/" + strconv.Itoa(v.pid()) + "/fd")
	return len(entries)
}

// WaitReady waits until all VMs say that they are ready.
func (d *Deployment) WaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, v := range d.VMs {
		for {
			resp, err := http.Get("http://" + v.Ready + "/hickorylug/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s isn't ready after %s", v.Name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all that the deployment has started, and removes its folder unless KEEP is set in the environment.
func (d *Deployment) Close() {
	for _, v := range d.VMs {
		v.Signal(syscall.SIGCONT)
		v.Signal(syscall.SIGKILL)
		<-v.exited
		v.store.Close()
		_ = v.log.Close()
	}
	for _, s := range d.Servers {
		_ = s.http.Close()
	}
	if d.Network != nil {
		d.Network.Close()
	}
	_ = d.storeServer.Close()
	if d.storeAgain != nil {
		_ = d.storeAgain.Close()
	}
	close(d.stop)
	<-d.stopped
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.Folder)
	}
}
