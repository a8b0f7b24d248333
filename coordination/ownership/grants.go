package ownership

import (
	"maps"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// holder is a backend server that may hold keys of a service.
//
// It has no start time: calls reach whatever process has the server's id, so
// grants for a former one may have been taken by its successor. It has no fence:
// a range gets a new one when it is merged with its neighbour or refused, while
// its owner still holds the keys under the old one.
type holder struct {
	service id.Service
	server  id.Server
}

// grantID identifies a grant among those of its holder.
type grantID struct {
	key      rangeKey
	fence    fleet.Fence
	issuedAt clock.Instant
}

// grants records the grants that this leader has sent to one holder.
type grants struct {
	// open holds the grants that are in flight or weren't answered, which the backend server may still take.
	open map[grantID]*openGrant
	// lastAt is the time from which the hold of the latest grant counts that the backend server has taken.
	lastAt clock.Instant
}

// openGrant is a grant without answer.
type openGrant struct {
	// inFlight says that the call hasn't ended, so that it may yet be written.
	inFlight bool
	// heldFrom is the time from which MaxHoldTime is counted.
	heldFrom clock.Instant
}

// ended records the outcome of a grant, and the time from which MaxHoldTime is counted for it.
func (g *grants) ended(grant grantID, outcome Outcome, heldFrom clock.Instant) {
	if outcome != Unanswered {
		delete(g.open, grant)
	} else if o := g.open[grant]; o != nil {
		*o = openGrant{heldFrom: heldFrom}
	}
	if outcome == Done {
		g.lastAt = max(g.lastAt, heldFrom)
	}
}

// isInFlight reports whether a call that grants one of the keys of a range hasn't ended.
func (g *grants) isInFlight(key rangeKey) bool {
	if g == nil {
		return false
	}
	for grant, o := range g.open {
		if o.inFlight && grant.key.overlaps(key) {
			return true
		}
	}
	return false
}

// latest returns from when the hold of the latest grant counts that the backend server may take or have taken; 0 if there is none.
func (g *grants) latest() (at clock.Instant) {
	if g == nil {
		return 0
	}
	at = g.lastAt
	for _, o := range g.open {
		at = max(at, o.heldFrom)
	}
	return at
}

// isInDoubt reports whether the backend server may still take an earlier grant for one of the keys of a range.
func (g *grants) isInDoubt(key rangeKey) bool {
	if g == nil {
		return false
	}
	for grant := range g.open {
		if grant.key.overlaps(key) {
			return true
		}
	}
	return false
}

// expire forgets the grants whose time has passed, and reports whether none is left.
func (g *grants) expire(now clock.Instant) (isOver bool) {
	maps.DeleteFunc(g.open, func(_ grantID, o *openGrant) bool { return !o.inFlight && now > o.heldFrom.Add(MaxHoldTime) })
	return len(g.open) == 0 && now > g.lastAt.Add(MaxHoldTime)
}
