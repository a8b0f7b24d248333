package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug"
	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/coordination/lease"
	"github.com/hickorylug/hickorylug/protocol/store"
	"github.com/hickorylug/hickorylug/standin/backend"
	"github.com/hickorylug/hickorylug/standin/loopback"
	"github.com/hickorylug/hickorylug/standin/platform"
	"github.com/hickorylug/hickorylug/standin/site"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/settings"
	"github.com/hickorylug/hickorylug/state/unit"
	client "github.com/hickorylug/hickorylug/transport/platform"
)

// entryVM is one entry VM of a deployment. Its process may be started several times.
type entryVM struct {
	name     id.VM
	domain   id.Domain
	settings settings.Settings
	vm       *hickorylug.VM
	stop     context.CancelFunc
	done     chan error
	// stopped is set from the time that the process is killed or has shut down until it is started again.
	stopped atomic.Bool
	// gracefulStop is set as soon as the VM is stopped gracefully, and stays set after a restart.
	gracefulStop atomic.Bool
}

// deployment is a complete site in one process: the stand-ins for the platform and the backend servers, and the entry VMs.
type deployment struct {
	plan           site.Plan
	platform       *platform.Platform
	journal        *backend.Journal
	servers        map[id.Server]*backend.Server
	store          *client.Client
	storeURL       string
	log            *slog.Logger
	platformServer *http.Server

	mu           sync.Mutex
	entryVMs     []*entryVM
	config       config.Site
	observations *observations
}

// newDeployment starts the stand-ins and the entry VMs of a site.
//
// serviceTime is the mean service time of a request at a backend server.
func newDeployment(ctx context.Context, plan site.Plan, serviceTime time.Duration, log io.Writer) (d *deployment, err error) {
	defer func() { err = errors.Wrapf(err, "start site %s", plan.Site) }()
	d = &deployment{
		plan: plan, journal: backend.NewJournal(nil), servers: map[id.Server]*backend.Server{},
		observations: newObservations(plan),
		log:          slog.New(slog.NewJSONHandler(log, &slog.HandlerOptions{Level: slog.LevelInfo})),
	}
	d.platform = platform.NewPlatform(platform.WithOnWrite(d.observations.recordWrite))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.platformServer = &http.Server{Handler: d.platform, ReadHeaderTimeout: time.Second}
	served := make(chan error, 1)
	go func() { served <- d.platformServer.Serve(listener) }()
	d.storeURL = "http://" + listener.Addr().String()
	d.store = client.NewClient(d.storeURL, client.WithReadRate(100), client.WithWriteRate(100))
	if err := d.startServers(serviceTime); err != nil {
		return nil, err
	}
	d.config = plan.Config(func(n id.Server) string { return d.servers[n].Address() })
	if err := d.applyConfig(ctx, "first"); err != nil {
		return nil, err
	}
	for n := range plan.VMs {
		if err := d.addVM(ctx, n); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) startServers(serviceTime time.Duration) error {
	for _, s := range d.plan.Services {
		for n := range s.Servers {
			name := site.ServerName(s.Name, n)
			server := backend.NewServer(name, d.journal,
				backend.WithService(s.Name, d.plan.DomainOf(n)), backend.WithFenced(s.Fenced),
				backend.WithConnections(d.plan.Connections), backend.WithProbeTime(d.plan.ProbeTime),
				backend.WithServiceTime(serviceTime))
			if _, err := server.Start("127.0.0.1:0"); err != nil {
				return err
			}
			d.servers[name] = server
		}
	}
	return nil
}

// applyConfig writes the configuration of the deployment to the store, under the given change ID.
func (d *deployment) applyConfig(ctx context.Context, change string) error {
	d.mu.Lock()
	value, err := site.EncodeAccepted(d.config, change, time.Now())
	d.mu.Unlock()
	if err != nil {
		return err
	}
	item, err := d.store.Get(ctx, directory.KeyConfiguration)
	if err != nil {
		return err
	}
	_, err = d.store.SwapAndVerify(ctx, directory.KeyConfiguration, item.Revision, value)
	return err
}

func (d *deployment) addVM(ctx context.Context, n int) error {
	e := &entryVM{name: id.VM(fmt.Sprintf("vm%d", n+1)), domain: d.plan.DomainOf(n)}
	e.settings = settings.Defaults()
	e.settings.VM, e.settings.Site, e.settings.FailureDomain = e.name, d.plan.Site, e.domain
	e.settings.Store, e.settings.VMList = d.storeURL, d.storeURL
	e.settings.DrainDelay = unit.Duration(500 * time.Millisecond)
	for _, field := range []*string{&e.settings.CallerAddress, &e.settings.PeerAddress, &e.settings.OperatorAddress} {
		address, err := loopback.FreeAddress()
		if err != nil {
			return err
		}
		*field = address
	}
	if err := d.startVM(ctx, e); err != nil {
		return err
	}
	d.platform.AddVM(store.VM{Name: e.name, FailureDomain: e.domain, PeerAddress: e.settings.PeerAddress, State: store.VMLive})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entryVMs = append(d.entryVMs, e)
	return nil
}

// startVM starts or restarts the process of an entry VM.
func (d *deployment) startVM(ctx context.Context, e *entryVM) (err error) {
	e.vm, err = hickorylug.NewVM(hickorylug.WithSettings(e.settings), hickorylug.WithLog(d.log))
	if err != nil {
		return err
	}
	ctx, e.stop = context.WithCancel(ctx)
	e.done = make(chan error, 1)
	vm, done := e.vm, e.done
	go func() { done <- vm.Run(ctx) }()
	e.stopped.Store(false)
	return nil
}

// kill ends an entry VM like a process crash: it notifies no peer and hands no lease over.
func (d *deployment) kill(e *entryVM) {
	e.stopped.Store(true)
	e.vm.Kill()
	if err := <-e.done; err != nil {
		d.log.Error("killed entry VM returned an error", "vm", e.name, "error", err)
	}
}

// readyVMs returns the entry VMs to which the platform's load balancer would route callers.
func (d *deployment) readyVMs() (out []*entryVM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.entryVMs {
		if !e.stopped.Load() && e.vm.Ready() == nil {
			out = append(out, e)
		}
	}
	return out
}

// waitReady waits until every entry VM is ready, every group has a lease holder with its witnesses, and no slice
// is vacant or moving.
//
// If ctx ends first, the error names what is missing.
func (d *deployment) waitReady(ctx context.Context) error {
	for {
		if reason := d.notReadyReason(); reason == "" {
			return nil
		} else if ctx.Err() != nil {
			return errors.Newf("the site did not become ready: %s", reason)
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// notReadyReason describes the first part of the site that is not ready, or returns "".
func (d *deployment) notReadyReason() string {
	for _, e := range d.entryVMs {
		s := e.vm.Status()
		if !s.Ready || len(s.Tables) < len(d.plan.Services) {
			return "VM " + string(e.name) + " is not ready or lacks slice tables"
		}
		for _, g := range s.Groups {
			if g.Holder == "" || len(g.Witnesses) < min(lease.MaxWitnesses, len(d.entryVMs)-1) {
				return "group " + string(g.Group) + " has no lease holder with all its witnesses"
			}
		}
		for _, t := range s.Tables {
			if t.Vacant+t.Moving > 0 {
				return "service " + string(t.Service) + " has vacant or moving slices"
			}
		}
	}
	return ""
}

// stop kills the entry VMs that still run and the backend servers, and closes the platform.
func (d *deployment) stop() {
	for _, e := range d.entryVMs {
		if !e.stopped.Load() {
			d.kill(e)
		}
	}
	for _, s := range d.servers {
		s.Kill()
	}
	d.platformServer.Close()
}
