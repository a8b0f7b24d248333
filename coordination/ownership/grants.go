package ownership

import (
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

// grantID identifies a grant in flight.
type grantID struct {
	key      rangeKey
	fence    fleet.Fence
	issuedAt clock.Instant
}

// grants records the grants that this leader has sent to one holder.
type grants struct {
	inFlight map[grantID]bool
	// lastAt is when the latest grant was issued that the backend server may have taken, and unansweredAt the latest such one that it
	// didn't answer, which it may still take.
	lastAt, unansweredAt clock.Instant
}

// issued records that a grant is sent.
func (g *grants) issued(grant grantID) { g.inFlight[grant] = true }

// ended records the outcome of a grant.
func (g *grants) ended(grant grantID, outcome Outcome) {
	delete(g.inFlight, grant)
	switch outcome {
	case Unanswered:
		g.unansweredAt = max(g.unansweredAt, grant.issuedAt)
		g.lastAt = max(g.lastAt, grant.issuedAt)
	case Done:
		g.lastAt = max(g.lastAt, grant.issuedAt)
	case Refused, Undelivered:
	}
}

// latest returns when the latest grant was issued that the backend server may take or have taken; 0 if there is none.
func (g *grants) latest() (at clock.Instant) {
	if g == nil {
		return 0
	}
	at = g.lastAt
	for grant := range g.inFlight {
		at = max(at, grant.issuedAt)
	}
	return at
}

// isInDoubt reports whether the backend server may still take a grant that it hasn't answered.
func (g *grants) isInDoubt(now clock.Instant) bool {
	return g != nil && (len(g.inFlight) > 0 || g.unansweredAt > 0 && now <= g.unansweredAt.Add(maxHoldTime))
}

// isOver reports whether no grant of this leader can matter any more.
func (g *grants) isOver(now clock.Instant) bool {
	return len(g.inFlight) == 0 && now > g.lastAt.Add(maxHoldTime)
}
