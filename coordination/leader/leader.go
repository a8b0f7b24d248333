// Package leader decides which entry VM watches the store for all and grants keys.
//
// The leader holds a record in the store under a lease. Where the store is
// away, the leader goes on as long as most VMs say that they can't reach it
// either: nobody can have taken the lease over unseen. The decisions have no
// sockets and no clock of their own.
//
// # Usage
//
//	e := leader.NewElector("vm1")
//	e.Won(now, term)
//	if e.Leads(now) {
//		grant()
//	}
package leader

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// Times of leadership.
const (
	// LeaseTTL is the store's lease of the leader's record; a lost leader is replaced after it.
	LeaseTTL = 1200 * time.Millisecond
	// RenewPeriod renews the lease often enough that three renewals may be lost.
	RenewPeriod = 300 * time.Millisecond
	// HeartbeatPeriod is the time between two heartbeats of the leader.
	HeartbeatPeriod = 150 * time.Millisecond
	// LeaderTimeout is how long a heartbeat counts; after it, VMs watch the store themselves.
	LeaderTimeout = 600 * time.Millisecond
	// rankDelay separates the candidates, so that mostly one writes.
	rankDelay = 120 * time.Millisecond
	// maxRank bounds the delay of the last candidate.
	maxRank = 30
	// peerFresh is how long after its last heartbeat a VM counts as heard: three periods of a follower.
	peerFresh = 1200 * time.Millisecond
	// awayFresh is how long it counts that another VM doesn't reach the store: a period of a follower and some delay.
	awayFresh = 700 * time.Millisecond
)

// heard is what another VM has last said.
type heard struct {
	at clock.Instant
	// away says that the VM tried to reach the store and got no answer.
	away bool
}

// Elector is the leadership as one VM knows it; it is not safe for concurrent use.
type Elector struct {
	self id.VM

	term      id.Revision
	confirmed clock.Instant
	leading   bool
	// doubted says that the lease may end unseen.
	doubted bool

	known     id.Revision
	knownFrom id.VM
	knownAt   clock.Instant
	peers     map[id.VM]heard
	silent    clock.Instant
}

// NewElector returns the elector of a VM that leads nothing; now begins the wait for a leader.
func NewElector(self id.VM, now clock.Instant) *Elector {
	return &Elector{self: self, peers: map[id.VM]heard{}, silent: now}
}

// RecordHeartbeat notes a heartbeat of another VM; away says that it tried to reach the store in vain.
//
// News of the store that only grow old don't count as away: a leader that is cut
// off from the store would go on, since all others wait for its news.
func (e *Elector) RecordHeartbeat(now clock.Instant, from id.VM, leading bool, term id.Revision, away bool) {
	e.peers[from] = heard{at: now, away: away}
	if !leading || term < e.known || term < e.term {
		return
	}
	if term > e.term {
		e.leading = false
	}
	e.known, e.knownFrom, e.knownAt, e.silent = term, from, now, now
}

// Resigned notes that the leader has resigned.
func (e *Elector) Resigned(now clock.Instant, from id.VM) {
	delete(e.peers, from)
	if from == e.knownFrom {
		e.knownAt, e.knownFrom = 0, ""
		e.silent = now.Add(-LeaderTimeout)
	}
}

// Leader returns the VM that leads, where its heartbeats are fresh.
func (e *Elector) Leader(now clock.Instant) (vm id.VM, term id.Revision, fresh bool) {
	if e.leading {
		return e.self, e.term, true
	}
	return e.knownFrom, e.known, e.knownFrom != "" && now.Sub(e.knownAt) < LeaderTimeout
}

// ShouldCampaign reports whether the VM should try to write the leader's record.
//
// Rank is the VM's place among the candidates.
func (e *Elector) ShouldCampaign(now clock.Instant, rank int) bool {
	if _, _, fresh := e.Leader(now); fresh {
		return false
	}
	return now.Sub(e.silent) >= LeaderTimeout+time.Duration(min(rank, maxRank))*rankDelay
}

// CampaignFailed notes that the record could not be written, so that the next try waits.
func (e *Elector) CampaignFailed(now clock.Instant) {
	e.silent = now.Add(-LeaderTimeout + rankDelay)
}

// Won notes that the record of a term was written, under a lease that began at the given time.
func (e *Elector) Won(begun clock.Instant, term id.Revision) {
	e.leading, e.doubted, e.term, e.confirmed = true, false, term, begun
}

// Renewed notes that the store has renewed the lease, by a call sent at the given time.
func (e *Elector) Renewed(sent clock.Instant) { e.confirmed = max(e.confirmed, sent) }

// LeaseEnded notes that the lease has ended.
func (e *Elector) LeaseEnded(now clock.Instant) {
	if e.leading {
		e.leading, e.silent = false, now
	}
}

// MarkUncertain notes that the lease may end unseen: a call to end it was not answered and may be carried out later.
//
// The VM leads on only while the store is away; a renewal proves nothing any more.
func (e *Elector) MarkUncertain() { e.doubted = true }

// Term returns the term of this VM's leadership.
func (e *Elector) Term() id.Revision { return e.term }

// Leads reports whether the VM may act as the leader now.
//
// Members are the registered VMs, this one included.
func (e *Elector) Leads(now clock.Instant, members []id.VM) bool {
	if !e.leading {
		return false
	}
	return !e.doubted && now.Sub(e.confirmed) < LeaseTTL || e.storeIsAway(now, members)
}

// storeIsAway reports whether most VMs have said lately that they tried to reach the store in vain.
func (e *Elector) storeIsAway(now clock.Instant, members []id.VM) bool {
	away := 0
	for _, m := range members {
		p, ok := e.peers[m]
		if m == e.self || ok && now.Sub(p.at) < awayFresh && p.away {
			away++
		}
	}
	return 2*away > len(members)
}

// IsReachable reports whether a VM has been heard of lately.
func (e *Elector) IsReachable(now clock.Instant, vm id.VM) bool {
	p, ok := e.peers[vm]
	return ok && now.Sub(p.at) < peerFresh
}

// HasMajority reports whether most VMs have been heard of lately.
func (e *Elector) HasMajority(now clock.Instant, members []id.VM) bool {
	near := 0
	for _, m := range members {
		if m == e.self || e.IsReachable(now, m) {
			near++
		}
	}
	return 2*near > len(members)
}
