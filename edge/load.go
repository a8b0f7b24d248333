package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/ratelimit"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/transport/gossip"
)

// Periods and limits of load reports.
const (
	// loadReportPeriod is the time between two load reports to the VMs that prefer the same backend servers, if they are at most maxFullRatePeers.
	loadReportPeriod = 40 * time.Millisecond
	// loadKeepAlive is the maximum time between two load reports while there is no load to report.
	loadKeepAlive = 250 * time.Millisecond
	// maxFullRatePeers is the number of such VMs above which the period of load reports grows in proportion to their number.
	maxFullRatePeers = 5
	// groupReportPeriod is the time between two load reports in a failure domain that is divided into groups: its VMs have few requests
	// each, and each report wakes its receivers.
	groupReportPeriod = 110 * time.Millisecond
	// crossDomainLoadPeriod is the time between two load reports to other failure domains; their traffic is priced by the byte.
	crossDomainLoadPeriod = 160 * time.Millisecond
	// crossDomainSampleSize limits the number of VMs that receive such a report.
	crossDomainSampleSize = 8
	// maxCrossDomainVMs is the number of VMs in other failure domains above which they get no load reports: in a larger fleet, too few
	// reports reach each of them while they are valid.
	maxCrossDomainVMs = 3 * crossDomainSampleSize
	// keyReportPeriod is the time between two reports of request counts per key to the leader.
	keyReportPeriod = 300 * time.Millisecond
	// maxKeysPerMessage limits the number of keys in one message.
	maxKeysPerMessage = 300
)

// reportLoad sends this VM's load to the VMs that prefer the same backend servers and to a sample of the other failure domains, and
// request counts per key to the leader, until the context ends.
func (e *Edge) reportLoad(ctx context.Context) error {
	var sentAt, crossDomainSentAt, keysSentAt clock.Instant
	sentEmpty := true
	for {
		e.dispatcher.ExpirePeers()
		e.dispatcher.Tick()
		e.announceRequestLimits()
		e.announceDepartures()
		e.announceWarmups()
		nearby := e.neighbourAddresses()
		now := e.clock.Boot()
		loads := e.dispatcher.Loads()
		if len(loads) > 0 || !sentEmpty || now.Sub(sentAt) >= loadKeepAlive {
			sentAt, sentEmpty = now, len(loads) == 0
			m := e.withSender(gossip.Message{Load: loadMessage(loads)})
			e.sendTo(m, nearby...)
			if now.Sub(crossDomainSentAt) >= crossDomainLoadPeriod {
				crossDomainSentAt = now
				if remote := e.crossDomainLoads(loads); len(remote) > 0 {
					e.sendTo(e.withSender(gossip.Message{Load: loadMessage(remote)}), e.sampleOtherDomains()...)
				}
			}
		}
		if now.Sub(keysSentAt) >= keyReportPeriod {
			keysSentAt = now
			e.reportKeyLoads(now)
		}
		period := loadReportPeriod * time.Duration(max(maxFullRatePeers, len(nearby))) / maxFullRatePeers
		if e.dispatcher.IsDivided() {
			period = groupReportPeriod
		}
		select {
		case <-e.clock.After(period - rand.N(period/8)):
		case <-ctx.Done():
			return nil
		}
	}
}

// announceRequestLimits tells all VMs what this VM has newly observed of the request limits of backend servers.
func (e *Edge) announceRequestLimits() {
	news := e.dispatcher.RequestLimitNews()
	if len(news) == 0 {
		return
	}
	m := e.withSender(gossip.Message{RequestLimits: make([]gossip.RequestLimit, len(news))})
	for i, n := range news {
		m.RequestLimits[i] = gossip.RequestLimit{Server: n.Incarnation.Server, Born: n.Incarnation.Born, Rate: float64(n.Rate), Age: int(n.Age.Milliseconds())}
	}
	e.announce(m)
}

// applyRequestLimits records what another VM has observed of the request limits of backend servers.
func (e *Edge) applyRequestLimits(limits []gossip.RequestLimit) {
	if len(limits) == 0 {
		return
	}
	news := make([]dispatch.LimitNews, len(limits))
	for i, l := range limits {
		news[i] = dispatch.LimitNews{Incarnation: fleet.Incarnation{Server: l.Server, Born: l.Born}, Rate: ratelimit.Rate(l.Rate), Age: time.Duration(l.Age) * time.Millisecond}
	}
	e.dispatcher.ApplyRequestLimitNews(news)
}

// neighbourAddresses returns the addresses of the VMs that prefer the same backend servers as this one.
func (e *Edge) neighbourAddresses() (out []string) {
	peers := e.snapshot.Load().Peers
	for _, vm := range e.dispatcher.Neighbours() {
		if p, ok := peers[vm]; ok {
			out = append(out, p.Address)
		}
	}
	return out
}

// crossDomainLoads returns the loads that other failure domains need: of backend servers outside this VM's domain, of keyed services, and of ejected ones.
func (e *Edge) crossDomainLoads(loads []dispatch.Load) (out []dispatch.Load) {
	s := e.snapshot.Load()
	for _, l := range loads {
		server := s.Servers[l.Server]
		if server.Domain != e.settings.FailureDomain || s.Tables[server.Service] != nil || l.EjectedFor > 0 {
			out = append(out, l)
		}
	}
	return out
}

// sampleOtherDomains returns the addresses of a random sample of VMs in other failure domains, or none in a large fleet.
func (e *Edge) sampleOtherDomains() []string {
	remote := e.peerAddresses(func(p fleet.Peer) bool { return p.Domain != e.settings.FailureDomain })
	if len(remote) > maxCrossDomainVMs {
		return nil
	}
	rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	return remote[:min(len(remote), crossDomainSampleSize)]
}

func loadMessage(loads []dispatch.Load) *gossip.Load {
	m := &gossip.Load{Servers: make([]gossip.ServerLoad, len(loads))}
	for i, l := range loads {
		m.Servers[i] = gossip.ServerLoad{Server: l.Server, InFlight: l.InFlight, ServiceTime: int(l.ServiceTime.Milliseconds()), Slowdown: int(l.Slowdown), HasReport: l.HasReport, EjectedFor: int(l.EjectedFor.Milliseconds())}
		if l.HasReport {
			m.Servers[i].Reported, m.Servers[i].ReportAge = l.Reported, int(l.ReportAge.Milliseconds())
		}
	}
	return m
}

// reportKeyLoads sends the request counts per key to the leader.
func (e *Edge) reportKeyLoads(now clock.Instant) {
	counts, paces := e.dispatcher.KeyLoads(), e.dispatcher.Paces(e.pacesSentAt)
	e.pacesSentAt = now
	if len(counts) == 0 && len(paces) == 0 {
		return
	}
	e.mu.Lock()
	vm, _, fresh := e.elector.Leader(now)
	e.mu.Unlock()
	if !fresh {
		return
	}
	m := e.withSender(gossip.Message{})
	for _, c := range counts[:min(len(counts), maxKeysPerMessage)] {
		if vm == e.settings.VM {
			e.keys.addLoad(c.Service, c.Key, c.Count)
			continue
		}
		m.Keys = append(m.Keys, gossip.KeyCount{Service: c.Service, Key: c.Key, Count: c.Count})
	}
	for _, p := range paces[:min(len(paces), maxKeysPerMessage)] {
		m.Paces = append(m.Paces, gossip.Pace{Server: p.Server, Slowdown: p.Slowdown})
	}
	if vm == e.settings.VM {
		e.keys.addPaces(m.Paces)
		return
	}
	e.sendToVM(vm, m)
}
