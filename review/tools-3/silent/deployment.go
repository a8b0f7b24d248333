//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hickorylug/hickorylug/standin/kv"
	"github.com/hickorylug/hickorylug/standin/loopback"
)

// layout describes a deployment in the terms of a site file.
type layout struct {
	// zones holds the number of entry VMs by zone.
	zones    []zone
	services []service
	classes  []class
	// heartbeat is the period of the backend servers' writes to the store.
	heartbeat time.Duration
	graceTime time.Duration
}

type zone struct {
	name string
	vms  int
}

// service is a service with its backend servers.
type service struct {
	name string
	// servers is the number of backend servers by zone, in the order of the zones.
	servers []int
	slots   int
	// maxConnections limits the connections of a backend server.
	maxConnections int
	warmup         time.Duration
	// warmupRate is the number of requests per second that a cold backend server tolerates.
	warmupRate float64
	// speeds are those of the backend servers, in turn.
	speeds []float64
}

// class is a kind of request.
type class struct {
	name, service, method, prefix string
	isIdempotent                  bool
	// rate is the number of requests per second over all VMs.
	rate    float64
	work    time.Duration
	aim     time.Duration
	timeout time.Duration
	// deadline is how long a caller waits.
	deadline    time.Duration
	bodyBytes   int
	maxAttempts int
}

// sheetdesk is the service of which a backend server turns cold.
const sheetdesk = "sheetdesk"

// host is the host of all routes.
const host = "review.example"

// ardlarach is the small deployment of the rodcheck gateway, with the figures of its sheet, without the service that is divided by key.
func ardlarach() layout {
	return layout{
		zones: []zone{{"scot-a", 3}, {"scot-b", 3}, {"scot-c", 2}, {"scot-d", 2}},
		services: []service{
			{name: sheetdesk, servers: []int{2, 2, 2, 2}, slots: 4, maxConnections: 54, warmup: 3 * time.Second, warmupRate: 7.9, speeds: []float64{0.5, 1, 1, 1.5}},
			{name: "certworks", servers: []int{2, 2, 2, 2}, slots: 4, maxConnections: 54, warmup: 3 * time.Second, warmupRate: 7.9, speeds: []float64{0.7, 0.7, 1.6}},
			{name: "sitelog", servers: []int{2, 3, 1, 2}, slots: 4, maxConnections: 54, warmup: 3 * time.Second, warmupRate: 7.9, speeds: []float64{0.7, 0.7, 1.6}},
		},
		classes: []class{
			{name: "sheet-read", service: sheetdesk, method: http.MethodGet, prefix: "/sheets/", isIdempotent: true, rate: 153, work: 90 * time.Millisecond, aim: 300 * time.Millisecond, timeout: time.Second, deadline: 2 * time.Second, maxAttempts: 2},
			{name: "cert-issue", service: "certworks", method: http.MethodPost, prefix: "/certs/", rate: 74.6, work: 120 * time.Millisecond, aim: 400 * time.Millisecond, timeout: 1200 * time.Millisecond, deadline: 2500 * time.Millisecond, bodyBytes: 4000, maxAttempts: 2},
			{name: "insurer-history", service: "sitelog", method: http.MethodGet, prefix: "/history/", isIdempotent: true, rate: 29.8, work: 360 * time.Millisecond, aim: time.Second, timeout: 3 * time.Second, deadline: 6 * time.Second, maxAttempts: 2},
		},
		heartbeat: 1500 * time.Millisecond, graceTime: 6 * time.Second,
	}
}

// deployment is a running deployment.
type deployment struct {
	layout  layout
	program string
	record  *record
	folder  string
	store   *kv.Store
	address string

	stopStore    chan struct{}
	storeStopped <-chan struct{}
	storeServer  *http.Server

	vms []*vm
	// served is the number of requests that were answered with success.
	served atomic.Int64

	mu       sync.Mutex
	backends []*backend
	lastBorn int64
	lastID   int
	isClosed bool
}

// newDeployment starts the store, the backend servers and the entry VMs, and waits until all VMs are ready. The deployment is never nil.
func newDeployment(ctx context.Context, l layout, program string, r *record) (d *deployment, err error) {
	d = &deployment{layout: l, program: program, record: r, stopStore: make(chan struct{})}
	if d.folder, err = os.MkdirTemp("", "review"); err != nil {
		return d, err
	}
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(1, 2))
	d.store = kv.NewStore(func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	})
	d.storeStopped = d.store.Run(d.stopStore)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return d, err
	}
	d.address = listener.Addr().String()
	d.storeServer = &http.Server{Handler: d.store, ReadHeaderTimeout: time.Second}
	go func() { _ = d.storeServer.Serve(listener) }()
	if err := d.writeConfiguration(1); err != nil {
		return d, err
	}
	for _, s := range l.services {
		started := 0
		for i, n := range s.servers {
			for range n {
				b, err := d.startBackend(s, l.zones[i].name, s.speeds[started%len(s.speeds)])
				if err != nil {
					return d, err
				}
				started++
				d.register(b, 0)
			}
		}
	}
	for _, z := range l.zones {
		for i := range z.vms {
			if err := d.addVM(fmt.Sprintf("edge-%s-%d", z.name, i+1), z.name); err != nil {
				return d, err
			}
		}
	}
	return d, d.awaitReady(ctx, 20*time.Second)
}

// writeConfiguration writes a version of the operator's configuration.
func (d *deployment) writeConfiguration(version int) error {
	var rules, clusters []any
	for _, c := range d.layout.classes {
		kind := "non_idempotent"
		if c.isIdempotent {
			kind = "idempotent"
		}
		rules = append(rules, map[string]any{
			"Name": "r-" + c.name, "RouteType": kind, "TargetLatencyS": c.aim.Seconds(), "Priority": 1, "Match": map[string]any{"PathPrefix": c.prefix},
			"Action": map[string]any{"Service": c.service, "TimeoutS": c.timeout.Seconds(), "MaxAttempts": c.maxAttempts},
		})
	}
	for _, s := range d.layout.services {
		clusters = append(clusters, map[string]any{
			"Name": s.name, "HealthPath": "/health", "MaxConnections": s.maxConnections, "Protocol": "h1", "Tls": false, "WarmupS": s.warmup.Seconds(), "WarmupPerS": s.warmupRate,
		})
	}
	data, err := json.Marshal(map[string]any{
		"Version": fmt.Sprintf("%08x", version), "Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"Listeners": []any{map[string]any{"Host": host, "Rules": rules}}, "Clusters": clusters,
	})
	if err != nil {
		return err
	}
	d.store.Put("op/config", data)
	return nil
}

// vm is an entry VM, a process of the project's program.
type vm struct {
	name, zone, caller, ready, settings string
	log                                 *os.File
	// storeLink is the VM's way to the store.
	storeLink *link

	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
}

// addVM writes the settings of an entry VM, as the template in the deploy folder gives them for this deployment, and starts it.
func (d *deployment) addVM(name, zone string) error {
	v := &vm{name: name, zone: zone, settings: filepath.Join(d.folder, name+".json")}
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = loopback.FreeAddress(); err != nil {
			return err
		}
	}
	v.caller, v.ready = addresses[0], addresses[1]
	var err error
	if v.storeLink, err = listenLink(d.address); err != nil {
		return err
	}
	data, err := json.Marshal(map[string]any{
		"VM": name, "FailureDomain": zone, "CallerAddress": v.caller, "ReadyAddress": v.ready, "PeerAddress": addresses[2], "MetricsAddress": addresses[3],
		"Store": v.storeLink.Address(), "LogLevel": "info", "GraceTime": d.layout.graceTime.String(), "ServerHeartbeat": d.layout.heartbeat.String(), "RetryShare": 0.2, "RetrySlack": 60,
		"RetryWindow": "10s", "WarmOverage": 1.5, "WarmSlack": 5, "DrainTime": "2s", "MaxHold": "10s", "Processor": 0.32, "Link": 1000.0, "Memory": "284MB",
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(v.settings, data, 0o600); err != nil {
		return err
	}
	if v.log, err = os.Create(filepath.Join(d.folder, name+".log")); err != nil {
		return err
	}
	d.vms = append(d.vms, v)
	return v.start(d.program)
}

// start starts the process of the VM with the command of the deploy file.
func (v *vm) start(program string) error {
	p := exec.Command(program, "edge")
	p.Env = append(os.Environ(), "HICKORYLUG_BOOT="+v.settings)
	p.Stdout, p.Stderr = v.log, v.log
	// The process ends with this one, however that ends.
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.process, v.exited = p.Process, exited
	v.mu.Unlock()
	go func() {
		defer close(exited)
		_ = p.Wait()
	}()
	return nil
}

// signal sends a signal to the process of the VM.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Signal(s)
	}
}

// kill ends the process of the VM and waits for its end.
func (v *vm) kill() {
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// isReady asks the VM whether it is ready, as the platform does.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + v.ready + "/hickorylug/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all VMs are ready.
func (d *deployment) awaitReady(ctx context.Context, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, v := range d.vms {
		for !v.isReady() {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errors.New(v.name + " isn't ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// leader returns the VM whose record of the leader is in the store; nil if there is none.
func (d *deployment) leader() *vm {
	for _, value := range d.store.Values("hickorylug/leader") {
		var l struct{ VM string }
		if json.Unmarshal(value, &l) != nil {
			continue
		}
		for _, v := range d.vms {
			if v.name == l.VM {
				return v
			}
		}
	}
	return nil
}

// close ends all that the deployment has started.
func (d *deployment) close() {
	d.mu.Lock()
	d.isClosed = true
	d.mu.Unlock()
	for _, v := range d.vms {
		v.kill()
		v.storeLink.Close()
		_ = v.log.Close()
	}
	d.mu.Lock()
	backends := d.backends
	d.mu.Unlock()
	for _, b := range backends {
		b.end()
	}
	if d.storeServer != nil {
		_ = d.storeServer.Close()
		close(d.stopStore)
		<-d.storeStopped
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(d.folder, keep)
		return
	}
	if d.folder != "" {
		_ = os.RemoveAll(d.folder)
	}
}
