package leader

import (
	"maps"
	"math"

	"github.com/hickorylug/hickorylug/coordination/quorum"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// maxProposed bounds the proposed lists whose writes have no known outcome.
const maxProposed = 8

// RecordVoters records the voters that the store has now, as it tells this VM or the leader. A record without members is missing or can't be read.
//
// It keeps the latest record that it knows, also if an older copy of the store
// lacks it, since a former leader may count by it.
func (e *Elector) RecordVoters(now clock.Instant, stored fleet.Voters) {
	e.stored = stored.VotersID
	if !stored.IsAfter(e.voters.VotersID) {
		return
	}
	e.LearnTerm(now, stored.Term)
	e.voters = stored
	isOpen := func(v fleet.Voters) bool { return v.IsAfter(stored.VotersID) }
	e.proposed = filter(e.proposed, isOpen)
}

func filter[T any](all []T, isWanted func(T) bool) (out []T) {
	for _, one := range all {
		if isWanted(one) {
			out = append(out, one)
		}
	}
	return out
}

// Voters returns the latest known record of the voters.
func (e *Elector) Voters() fleet.Voters { return e.voters }

// Propose returns the record of the voters that this VM, as the leader, should write now that these VMs are registered; ok is false if it should
// write none.
//
// The store must accept it only while it has this VM's record of the leader and
// the latest record of the voters. Until the outcome is known, the leader counts by
// both lists: the next one reads one of the two. It writes none before former
// leaders can't count by the latest one any more.
func (e *Elector) Propose(members map[id.VM]id.Domain) (v fleet.Voters, ok bool) {
	if !e.leading || e.followedTerm != e.term {
		return v, false
	}
	last := e.voters.VotersID
	if n := len(e.proposed); n > 0 {
		if last = e.proposed[n-1].VotersID; maps.Equal(members, e.proposed[n-1].Members) {
			return e.proposed[n-1], true
		}
	} else if e.stored == last && last.Term == e.term && maps.Equal(members, e.voters.Members) {
		return v, false
	}
	if len(e.proposed) >= maxProposed {
		return e.proposed[len(e.proposed)-1], true
	}
	v = fleet.Voters{VotersID: fleet.VotersID{Term: e.term, Number: 1}, Members: maps.Clone(members)}
	if last.Term == e.term {
		v.Number = last.Number + 1
	}
	e.proposed = append(e.proposed, v)
	return v, true
}

// Counted returns the lists of VMs of each of which a majority lets this VM act without its lease.
func (e *Elector) Counted() (lists []map[id.VM]id.Domain) {
	if len(e.voters.Members) > 0 {
		lists = append(lists, e.voters.Members)
	}
	for _, v := range e.proposed {
		lists = append(lists, v.Members)
	}
	return lists
}

// hasMajority reports whether some VMs are a majority of each list that this VM counts by. There is none before a list is recorded, since the next
// leader couldn't know it.
func (e *Elector) hasMajority(has func(vm id.VM) bool) bool {
	if len(e.voters.Members) == 0 {
		return false
	}
	for _, members := range e.Counted() {
		if !quorum.HasMajority(members, has) {
			return false
		}
	}
	return true
}

// majorityAt returns the latest time that no VM of some majority of each list is before; ok is false if there is none.
func (e *Elector) majorityAt(times quorum.Times) (at clock.Instant, ok bool) {
	at = math.MaxInt64
	for _, members := range e.Counted() {
		latest, ok := quorum.MajorityAt(members, times)
		if !ok {
			return 0, false
		}
		at = min(at, latest)
	}
	return at, len(e.voters.Members) > 0
}

// missesFormerLists reports whether this VM knows of no list by which a leader of an era before may count: it has first read the store after that came
// back from an older copy, which has no voters, and it has heard no leader since.
func (e *Elector) missesFormerLists() bool {
	isYoung := len(e.list.members) == 0 || e.firstEra > 0
	return e.term.Era() > 0 && len(e.voters.Members) == 0 && isYoung && e.knownTerm.Era() < e.term.Era()
}

// knowsVoters reports whether no former leader can count by other lists than the voters that this VM knows: the store had this record in this
// VM's term, in which no other leader writes, and no leader of a later era or of a build without records was elected after it was written.
func (e *Elector) knowsVoters() bool {
	return e.stored == e.voters.VotersID && e.stored.Term > 0 && e.stored.Term.Era() == e.term.Era() && e.formerTerm <= e.stored.Term
}
