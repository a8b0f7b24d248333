// Package leader elects the entry VM that watches the store for all VMs and grants keys.
//
// The leader holds a record in the store under a lease. While the store is
// unreachable, the leader continues without renewing the lease for as long as
// most VMs report that they can't reach the store either, since another VM
// can't have acquired the lease unnoticed then. A report counts from when the
// leader sent the heartbeat that it answers, and a VM that knows of a later leader
// doesn't count.
//
// Most VMs are a majority (package quorum) of the voters, a list that the leader
// has recorded in the store. The next leader reads it there, so it knows by which
// VMs a former one may act, also if it has started after that one was cut off.
//
// The package uses no sockets, and its callers pass the time.
//
// # Usage
//
//	e := leader.NewElector("vm1", now)
//	e.RecordVoters(now, stored)
//	e.Won(now, term)
//	if e.Leads(now) {
//		grant()
//	}
package leader

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// Leases, periods and timeouts of the election.
const (
	// LeaseTTL is the TTL of the lease on the leader's record; a failed leader is replaced after it.
	LeaseTTL = 1200 * time.Millisecond
	// RenewPeriod is the time between two renewals; the lease survives the loss of three in a row.
	RenewPeriod = 300 * time.Millisecond
	// HeartbeatPeriod is the time between two heartbeats of the leader.
	HeartbeatPeriod = 150 * time.Millisecond
	// LeaderTimeout is the time without a heartbeat of the leader after which VMs watch the store themselves and campaign.
	LeaderTimeout = 600 * time.Millisecond
	// campaignDelayPerRank staggers the campaigns of the candidates, so that usually only one writes the leader's record.
	campaignDelayPerRank = 120 * time.Millisecond
	// maxRank limits the campaign delay of the last candidates.
	maxRank = 30
	// peerTimeout is the time without a heartbeat after which a VM counts as unreachable: three heartbeat periods of a follower.
	peerTimeout = 1200 * time.Millisecond
)

// Elector holds the state of the election as one VM sees it. It is not safe for concurrent use.
type Elector struct {
	self id.VM

	// term is the term of this VM's last leadership, and leaseFrom when its lease was last renewed; leading says that it has not ended.
	term      id.Revision
	leaseFrom clock.Instant
	leading   bool
	// uncertain says that the lease may end without notice.
	uncertain bool

	// knownTerm, knownLeader and knownAt are the term, sender and time of the last heartbeat of another leader.
	knownTerm   id.Revision
	knownLeader id.VM
	knownAt     clock.Instant
	peers       map[id.VM]peer
	// highestTerm is the highest known term, also of a leader that isn't heard, and stamp the newest stamp that was read.
	highestTerm id.Revision
	stamp       Stamp
	// followedSince is since when VMs that follow followedTerm are known to block each majority of former leaders.
	followedTerm  id.Revision
	followedSince clock.Instant
	// voters is the latest known record of the voters, stored the one that the store has, and proposed are later ones of this VM whose writes have
	// no known outcome.
	voters   fleet.Voters
	stored   fleet.VotersID
	proposed []fleet.Voters
	// secondTerm is the second highest known term, and formerTerm the highest one before this VM's last leadership.
	secondTerm, formerTerm id.Revision
	// list is the present list of the registered VMs, and earlierLists those before it that a former leader may still count.
	list         memberList
	earlierLists []memberList
	// firstEra is the era of the store in which this VM first knew a list.
	firstEra id.Era
	// startedAt is when the elector was created, and wonAt when this VM last became the leader.
	startedAt, wonAt clock.Instant
	// waitStart is when the wait for a leader's heartbeat began; CampaignFailed and Resigned move it so that the next campaign begins
	// at the right time.
	waitStart clock.Instant
}

// NewElector returns the elector of a VM that does not lead. The wait for heartbeats of a leader begins at now.
func NewElector(self id.VM, now clock.Instant) *Elector {
	return &Elector{self: self, peers: map[id.VM]peer{}, waitStart: now, startedAt: now}
}

// Resigned records that a VM leaves; if it led, candidates need not wait for LeaderTimeout.
func (e *Elector) Resigned(now clock.Instant, from id.VM) {
	delete(e.peers, from)
	if from == e.knownLeader {
		e.knownAt, e.knownLeader = 0, ""
		e.waitStart = now.Add(-LeaderTimeout)
	}
}

// Leader returns the last known leader and its term; fresh says that it is this VM or that its heartbeat is newer than LeaderTimeout.
func (e *Elector) Leader(now clock.Instant) (vm id.VM, term id.Revision, fresh bool) {
	if e.leading {
		return e.self, e.term, true
	}
	return e.knownLeader, e.knownTerm, e.knownLeader != "" && now.Sub(e.knownAt) < LeaderTimeout
}

// ShouldCampaign reports whether the VM should try to write the leader's record.
//
// Rank is the VM's position among the candidates, from 0.
func (e *Elector) ShouldCampaign(now clock.Instant, rank int) bool {
	if _, _, fresh := e.Leader(now); fresh {
		return false
	}
	return now.Sub(e.waitStart) >= LeaderTimeout+time.Duration(min(rank, maxRank))*campaignDelayPerRank
}

// CampaignFailed records that the leader's record could not be written, which delays the next campaign.
func (e *Elector) CampaignFailed(now clock.Instant) {
	e.waitStart = now.Add(-LeaderTimeout + campaignDelayPerRank)
}

// Won records that this VM has written the leader's record of a term, under a lease opened at the given time. It doesn't lead if a later term is
// known already.
func (e *Elector) Won(begun clock.Instant, term id.Revision) {
	// This VM may have read its own record already.
	if e.formerTerm = e.highestTerm; e.formerTerm >= term {
		e.formerTerm = e.secondTerm
	}
	e.highestTerm, e.proposed = max(e.highestTerm, term), nil
	e.leading, e.uncertain, e.term, e.leaseFrom, e.wonAt = term == e.highestTerm, false, term, begun, begun
}

// Renewed records that the store has renewed the lease, by a call that was sent at the given time.
func (e *Elector) Renewed(sent clock.Instant) {
	e.leaseFrom = max(e.leaseFrom, sent)
	e.expireLists(sent)
	if e.followedTerm == e.term {
		// Former leaders have gone, and a later one can't have a list that ended before.
		e.earlierLists = nil
	}
}

// LeaseEnded records that the lease has ended.
func (e *Elector) LeaseEnded(now clock.Instant) {
	if e.leading {
		e.leading, e.waitStart = false, now
	}
}

// EraEnded records that the store came back from an older copy, so that the lease may be gone. A VM that led campaigns again at once.
func (e *Elector) EraEnded(now clock.Instant) {
	if e.leading {
		e.leading, e.waitStart = false, now.Add(-LeaderTimeout-time.Duration(maxRank)*campaignDelayPerRank)
	}
}

// MarkUncertain records that the lease may end without notice: a call to end it got no answer and may still be executed.
//
// The VM then leads only while the store is unreachable for most VMs; a renewal
// no longer proves that the lease continues.
func (e *Elector) MarkUncertain() { e.uncertain = true }

// Term returns the term of this VM's last leadership.
func (e *Elector) Term() id.Revision { return e.term }

// Leads reports whether the VM may act as the leader now.
func (e *Elector) Leads(now clock.Instant) bool { return e.Basis(now) != NoBasis }

// isStoreUnreachable reports whether a majority of the voters has recently called the store and got no answer; this VM is always counted as one of
// them. None of them knows a later term, since that would have ended the leadership.
func (e *Elector) isStoreUnreachable(now clock.Instant) bool {
	return e.hasMajority(func(vm id.VM) bool { return vm == e.self || now < e.peers[vm].reportUntil })
}

// SilentFor returns for how long no heartbeat of a VM has reached this leader. VMs send heartbeats to the leader only, so the time
// before it won doesn't count.
func (e *Elector) SilentFor(now clock.Instant, vm id.VM) time.Duration {
	return now.Sub(max(e.peers[vm].at, e.wonAt, e.startedAt))
}

// IsReachable reports whether a heartbeat of a VM came within peerTimeout.
func (e *Elector) IsReachable(now clock.Instant, vm id.VM) bool {
	p, ok := e.peers[vm]
	return ok && now.Sub(p.at) < peerTimeout
}

// HasMajority reports whether a majority of the voters, this VM included, is reachable and follows this VM's term; none does once a later one is
// known.
func (e *Elector) HasMajority(now clock.Instant) bool {
	return e.highestTerm <= e.term && e.hasMajority(func(vm id.VM) bool {
		return vm == e.self || e.IsReachable(now, vm) && e.peers[vm].follows(e.term)
	})
}
