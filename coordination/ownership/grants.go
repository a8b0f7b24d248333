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
	open map[grantID]bool
	// lastAt is when the latest grant was issued that the backend server may have taken.
	lastAt clock.Instant
}

// ended records the outcome of a grant.
func (g *grants) ended(grant grantID, outcome Outcome) {
	if outcome != Unanswered {
		delete(g.open, grant)
	}
	if outcome == Done {
		g.lastAt = max(g.lastAt, grant.issuedAt)
	}
}

// latest returns when the latest grant was issued that the backend server may take or have taken; 0 if there is none.
func (g *grants) latest() (at clock.Instant) {
	if g == nil {
		return 0
	}
	at = g.lastAt
	for grant := range g.open {
		at = max(at, grant.issuedAt)
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
	maps.DeleteFunc(g.open, func(grant grantID, _ bool) bool { return now > grant.issuedAt.Add(MaxHoldTime) })
	return len(g.open) == 0 && now > g.lastAt.Add(MaxHoldTime)
}
