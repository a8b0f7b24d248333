package dispatch

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// peerLoadTTL is how long another VM's report of its requests in flight is used.
	peerLoadTTL = 400 * time.Millisecond
	// ownAnswerTTL is how long an answer of a backend server to this VM overrides ejections by other VMs.
	ownAnswerTTL = time.Second
)

// peer is the last load report of another VM.
type peer struct {
	receivedAt clock.Instant
	inFlight   map[id.Server]int
}

// Load is a VM's view of one backend server, as VMs report it to each other.
type Load struct {
	Server      id.Server
	InFlight    int
	ServiceTime time.Duration
	// Reported is the number of requests in the backend server's last load report; it is valid if HasReport is set.
	Reported  int
	ReportAge time.Duration
	HasReport bool
	// Slowdown is the current service time on the backend server's machine, in percent of the usual one; 0 means unknown.
	Slowdown float64
	// EjectedFor is the remaining time for which the reporting VM ejects the backend server, because most of its answers were failures;
	// 0 means not ejected, or not shared.
	EjectedFor time.Duration
}

// UpdatePeer replaces the load report of another VM.
func (d *Dispatcher) UpdatePeer(vm id.VM, loads []Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Boot()
	p, ok := d.peers[vm]
	if !ok {
		p = &peer{}
		d.peers[vm] = p
	}
	d.removePeerLoads(p)
	p.receivedAt, p.inFlight = now, make(map[id.Server]int, len(loads))
	for _, l := range loads {
		p.inFlight[l.Server] += l.InFlight
		if c, ok := d.servers[l.Server]; ok {
			c.peersInFlight += l.InFlight
			if l.ServiceTime > 0 {
				c.peerServiceTime = l.ServiceTime
			}
			if l.EjectedFor > 0 {
				c.peersEjectedUntil = max(c.peersEjectedUntil, now.Add(min(l.EjectedFor, maxEjection)))
			}
			if at := now.Add(-l.ReportAge); l.HasReport && at > c.reportedAt {
				c.reported, c.reportedAt, c.sinceReport = l.Reported, at, 0
				c.recordSlowdown(l.Slowdown)
			}
		}
	}
	for name := range d.services {
		d.wake(name)
	}
}

// removePeerLoads subtracts the last load report of a VM.
func (d *Dispatcher) removePeerLoads(p *peer) {
	for name, n := range p.inFlight {
		if c, ok := d.servers[name]; ok {
			c.peersInFlight = max(0, c.peersInFlight-n)
		}
	}
	p.inFlight = nil
}

// ExpirePeers drops the load reports that are older than peerLoadTTL.
func (d *Dispatcher) ExpirePeers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Boot()
	for _, p := range d.peers {
		if now.Sub(p.receivedAt) > peerLoadTTL {
			d.removePeerLoads(p)
		}
	}
}

// Loads returns this VM's requests in flight, fresh load reports and ejections, by backend server. Where the failure domain is divided,
// it omits the backend servers that the neighbours don't prefer, unless they are ejected.
func (d *Dispatcher) Loads() (out []Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Boot()
	for name, c := range d.servers {
		age := now.Sub(c.ownReportedAt)
		ejected := max(0, c.ejectedUntil.Sub(now))
		if c.inFlight == 0 && age >= reportTTL && ejected == 0 {
			continue
		}
		if ejected > 0 && !d.canShareEjections(now, c.Service) {
			ejected = 0
		}
		if ejected == 0 && !d.isOfInterest(c) {
			continue
		}
		if c.inFlight > 0 || age < reportTTL || ejected > 0 {
			out = append(out, Load{
				EjectedFor: ejected, Server: name, InFlight: c.inFlight, ServiceTime: c.serviceTime, Reported: c.ownReported, ReportAge: age, HasReport: age < reportTTL, Slowdown: c.slowdown,
			})
		}
	}
	return out
}

// isOfInterest reports whether this VM's neighbours need its requests in flight at a backend server.
//
// The owner of a key gets requests from all VMs of a large fleet, of which the
// neighbours are a small part. Its own load reports tell more.
func (d *Dispatcher) isOfInterest(c *server) bool {
	if d.division.Groups() == 1 {
		return true
	}
	return d.snapshot.Tables[c.Service] == nil && d.preference(c.Service).prefers(c)
}

// canShareEjections reports whether this VM ejects few enough backend servers of a service to report the ejections to other VMs.
func (d *Dispatcher) canShareEjections(now clock.Instant, name id.Service) bool {
	ejected, all := countServers(d.preference(name), func(c *server) bool { return now < c.ejectedUntil })
	return ejected <= max(1, all/sharedEjectionDivisor)
}

// KeyLoad is the number of requests for a key since the last report; retries are not counted.
type KeyLoad struct {
	Service id.Service
	Key     fleet.Key
	Count   int
}

// maxCountedKeys limits the keys that are counted between two reports.
const maxCountedKeys = 4096

// countKey counts a request for its key, unless it is a new key beyond maxCountedKeys.
func (d *Dispatcher) countKey(demand Demand) {
	counts := d.keyCounts[demand.Service]
	if counts == nil {
		counts = map[fleet.Key]int{}
		d.keyCounts[demand.Service] = counts
	}
	if _, known := counts[demand.Key]; known || len(counts) < maxCountedKeys {
		counts[demand.Key]++
	}
}

// KeyLoads returns the number of requests by key since the last call.
func (d *Dispatcher) KeyLoads() (out []KeyLoad) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, counts := range d.keyCounts {
		for key, n := range counts {
			out = append(out, KeyLoad{Service: service, Key: key, Count: n})
		}
		clear(counts)
	}
	return out
}

// Pace is the service time on the machine of a backend server that owns keys, in percent of the usual one, at its last report to this VM.
type Pace struct {
	Server   id.Server
	Slowdown int
}

// Paces returns the paces of the owners of keys that reported to this VM since a time.
//
// Each VM of a large fleet hears of an owner of keys every half minute, so only
// the reports to all VMs together tell how fast it is.
func (d *Dispatcher) Paces(since clock.Instant) (out []Pace) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, c := range d.servers {
		if c.slowdown > 0 && c.ownReportedAt >= since && d.snapshot.Tables[c.Service] != nil {
			out = append(out, Pace{Server: name, Slowdown: int(c.slowdown)})
		}
	}
	return out
}

// ServiceTime returns the average service time of a service's requests at a pace of 100 %.
func (d *Dispatcher) ServiceTime(name id.Service) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.service(name).serviceTime
}

// ServerState is a VM's view of a backend server, for rebalancing and metrics.
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

// States returns the view of all backend servers.
func (d *Dispatcher) States() (out []ServerState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Boot()
	for _, c := range d.servers {
		out = append(out, ServerState{
			Incarnation: c.Incarnation, Service: c.Service, InFlight: c.inFlight, PeersInFlight: c.peersInFlight, ServiceTime: c.averageServiceTime(d.service(c.Service).serviceTime),
			Cold: c.isCold(now), Paused: now < c.pausedUntil || d.pauses.left(now, c.Incarnation) > 0, RefusesConnections: c.refusedAt > 0, FailureRate: c.failureRate,
		})
	}
	return out
}
