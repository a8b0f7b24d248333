package dispatch

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// loadFresh is how long what another VM has in flight counts.
	loadFresh = 400 * time.Millisecond
	// ownAnswer is how long an answer of a backend server to this VM counts more than the failures that others got.
	ownAnswer = time.Second
)

// peer is what another VM has said.
type peer struct {
	at       clock.Instant
	inFlight map[id.Server]int
}

// Load is what a VM has in flight at one backend server.
type Load struct {
	Server      id.Server
	InFlight    int
	ServiceTime time.Duration
	// Reported is the number of requests that the backend server last said it had; it counts where HasReport is set.
	Reported  int
	ReportAge time.Duration
	HasReport bool
	// Slowdown is how long work takes on the backend server's machine, in percent of the usual; 0 means unknown.
	Slowdown float64
	// EjectedFor is how much longer the backend server is ejected, since most of its answers are failures.
	EjectedFor time.Duration
}

// UpdatePeer takes over what another VM has in flight.
func (d *Dispatcher) UpdatePeer(vm id.VM, loads []Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Boot()
	p, ok := d.peers[vm]
	if !ok {
		p = &peer{}
		d.peers[vm] = p
	}
	d.withdraw(p)
	p.at, p.inFlight = now, make(map[id.Server]int, len(loads))
	for _, l := range loads {
		p.inFlight[l.Server] += l.InFlight
		if c, ok := d.servers[l.Server]; ok {
			c.others += l.InFlight
			if l.ServiceTime > 0 {
				c.peerWork = l.ServiceTime
			}
			if l.EjectedFor > 0 {
				c.peersEjectedUntil = max(c.peersEjectedUntil, now.Add(min(l.EjectedFor, maxEjection)))
			}
			if at := now.Add(-l.ReportAge); l.HasReport && at > c.reportedAt {
				c.reported, c.reportedAt, c.sinceReport = l.Reported, at, 0
				c.notePace(l.Slowdown)
			}
		}
	}
	for name := range d.services {
		d.wake(name)
	}
}

// withdraw takes back what a VM had said before.
func (d *Dispatcher) withdraw(p *peer) {
	for name, n := range p.inFlight {
		if c, ok := d.servers[name]; ok {
			c.others = max(0, c.others-n)
		}
	}
	p.inFlight = nil
}

// ExpirePeers forgets the load of VMs that have fallen silent.
func (d *Dispatcher) ExpirePeers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Boot()
	for _, p := range d.peers {
		if now.Sub(p.at) > loadFresh {
			d.withdraw(p)
		}
	}
}

// Loads returns what this VM has in flight, and what backend servers have told it lately.
func (d *Dispatcher) Loads() (out []Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Boot()
	mayShare := map[id.Service]bool{}
	for name := range d.services {
		mayShare[name] = d.mayShareEjections(now, name)
	}
	for name, c := range d.servers {
		age := now.Sub(c.heardAt)
		ejected := max(0, c.ejectedUntil.Sub(now))
		if !mayShare[c.Service] {
			ejected = 0
		}
		if c.inFlight > 0 || age < reportFresh || ejected > 0 {
			out = append(out, Load{
				EjectedFor: ejected, Server: name, InFlight: c.inFlight, ServiceTime: c.work, Reported: c.heard, ReportAge: age, HasReport: age < reportFresh, Slowdown: c.pace,
			})
		}
	}
	return out
}

// mayShareEjections reports whether this VM ejections few enough backend servers of a service to tell others.
func (d *Dispatcher) mayShareEjections(now clock.Instant, name id.Service) bool {
	ejected, all := d.countServers(name, func(c *server) bool { return now < c.ejectedUntil })
	return ejected <= max(1, all/ejectedPart)
}

// KeyLoad is the number of requests for a key.
type KeyLoad struct {
	Service id.Service
	Key     fleet.Key
	Count   int
}

// maxKeys bounds the keys that are counted between two reports.
const maxKeys = 4096

func (d *Dispatcher) countKey(demand Demand) {
	counts := d.keys[demand.Service]
	if counts == nil {
		counts = map[fleet.Key]int{}
		d.keys[demand.Service] = counts
	}
	if _, known := counts[demand.Key]; known || len(counts) < maxKeys {
		counts[demand.Key]++
	}
}

// KeyLoads returns the requests by key since the last call.
func (d *Dispatcher) KeyLoads() (out []KeyLoad) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, counts := range d.keys {
		for key, n := range counts {
			out = append(out, KeyLoad{Service: service, Key: key, Count: n})
		}
		clear(counts)
	}
	return out
}

// ServerState is what a VM knows of a backend server, for plans and metrics.
type ServerState struct {
	Incarnation        fleet.Incarnation
	Service            id.Service
	InFlight           int
	PeersInFlight      int
	ServiceTime        time.Duration
	Cold               bool
	Paused             bool
	RefusesConnections bool
	FailureRate        float64
}

// States returns the state of all backend servers.
func (d *Dispatcher) States() (out []ServerState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Boot()
	for _, c := range d.servers {
		out = append(out, ServerState{
			Incarnation: c.Incarnation, Service: c.Service, InFlight: c.inFlight, PeersInFlight: c.others, ServiceTime: c.usual(d.service(c.Service).work),
			Cold: c.isCold(now), Paused: now < c.pausedUntil, RefusesConnections: c.refusedAt > 0, FailureRate: c.failing,
		})
	}
	return out
}
