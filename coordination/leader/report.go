package leader

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// ReportTTL is how long another VM's report that it can't reach the store counts, from when the leader sent the heartbeat that the report
	// answers. A report is at most 0.2 s of the leader's heartbeats and 0.45 s of the follower's old, and each of the two may be lost once; the
	// rest is for the network. It is well below the 2.5 s after which keys lapse without a leader.
	ReportTTL = 1300 * time.Millisecond
	// unstampedReportTTL is the same for the reports of builds that send no stamps, from when the report is read.
	unstampedReportTTL = 700 * time.Millisecond
)

// Stamp is the time at which a leader sent a heartbeat. Followers send the newest one back, so that the leader knows the age of their
// reports by its own clock.
type Stamp struct {
	// Term identifies the leader: no two have the same one.
	Term id.Revision `cbor:"1,keyasint,omitempty"`
	// SentAt is a reading of the leader's clock, which means nothing to others.
	SentAt clock.Instant `cbor:"2,keyasint,omitempty"`
}

// isNewer reports whether the stamp is from a later leader, or from a later heartbeat of the same one.
func (s Stamp) isNewer(other Stamp) bool {
	return s.Term > other.Term || s.Term == other.Term && s.SentAt > other.SentAt
}

// Heartbeat is what the election needs of another VM's heartbeat.
type Heartbeat struct {
	// Leading says that the VM leads in Term.
	Leading bool
	Term    id.Revision
	// Position is the revision of the store up to which the VM knows it.
	Position id.Revision
	// StoreUnreachable says that the VM called the store and got no answer.
	//
	// Stale store updates alone don't count as unreachable. Otherwise a leader that
	// is partitioned from the store would continue to lead, since the updates of all
	// other VMs come from it and become stale too.
	StoreUnreachable bool
	// KnownTerm is the highest term of a leader that the VM knows of.
	KnownTerm id.Revision
	// Stamp is the VM's own if it holds the term, or else the newest one that it has read; nil if its build sends neither stamps nor KnownTerm.
	Stamp *Stamp
}

// peer is what is known of another VM by its heartbeats.
type peer struct {
	// at is when its last heartbeat was read.
	at clock.Instant
	// reportUntil is until when its report counts that it can't reach the store.
	reportUntil clock.Instant
	// reportFrom is when the heartbeat of reportTerm was sent that its last such report answers.
	reportTerm id.Revision
	reportFrom clock.Instant
	// knownTerm is the highest term that the VM knew at its last heartbeat, if stamped says that its build tells it.
	knownTerm id.Revision
	stamped   bool
	// followedSince is since when the VM is known to follow followedTerm, the last term of this VM.
	followedTerm  id.Revision
	followedSince clock.Instant
}

// follows reports whether the VM knows a term and no later one. VMs whose build doesn't tell it are taken to.
func (p peer) follows(term id.Revision) bool { return !p.stamped || p.knownTerm == term }

// RecordHeartbeat records a heartbeat of another VM. A heartbeat that knows a term after this VM's own ends this VM's leadership for good.
func (e *Elector) RecordHeartbeat(now clock.Instant, from id.VM, h Heartbeat) {
	e.LearnTerm(now, h.KnownTerm)
	if h.Leading {
		e.LearnTerm(now, h.Term)
	}
	if h.Stamp != nil {
		e.LearnTerm(now, h.Stamp.Term)
		if h.Stamp.isNewer(e.stamp) {
			e.stamp = *h.Stamp
		}
	}
	e.peers[from] = e.peers[from].after(now, h, e.term)
	if h.Leading && h.Term == e.highestTerm {
		e.knownTerm, e.knownLeader, e.knownAt, e.waitStart = h.Term, from, now, now
		e.forgetLists(h.Position)
	}
}

// after returns what is known of a VM after a heartbeat; term is the last one of the VM that reads it.
func (p peer) after(now clock.Instant, h Heartbeat, term id.Revision) peer {
	p.at, p.knownTerm, p.stamped = now, h.KnownTerm, h.Stamp != nil
	switch {
	case !h.StoreUnreachable:
		p.reportUntil = 0
	case h.Stamp == nil:
		p.reportUntil = now.Add(unstampedReportTTL)
	case h.Stamp.Term == term:
		p.reportUntil = max(p.reportUntil, h.Stamp.SentAt.Add(ReportTTL))
		p.reportTerm, p.reportFrom = term, h.Stamp.SentAt
	}
	if p.follows(term) && p.followedTerm != term {
		p.followedTerm, p.followedSince = term, now
	}
	return p
}

// LearnTerm records that a VM was elected in a term. If it is after this VM's own, this VM's leadership has ended for good.
func (e *Elector) LearnTerm(now clock.Instant, term id.Revision) {
	if term > e.highestTerm {
		e.highestTerm, term = term, e.highestTerm
	}
	if term < e.highestTerm {
		e.secondTerm = max(e.secondTerm, term)
	}
	if e.leading && e.highestTerm > e.term {
		e.leading, e.waitStart = false, now
	}
}

// KnownTerm returns the highest known term of a leader.
func (e *Elector) KnownTerm() id.Revision { return e.highestTerm }

// Stamp returns the stamp for a heartbeat that is sent now. A leader stamps its heartbeats also while it may not act, since it may act again
// once enough VMs report that they can't reach the store.
func (e *Elector) Stamp(now clock.Instant) Stamp {
	if e.leading {
		return Stamp{Term: e.term, SentAt: now}
	}
	return e.stamp
}
