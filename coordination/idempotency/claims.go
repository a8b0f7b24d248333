package idempotency

import (
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// Bounds of the claims that a successor stores for a group.
const (
	maxClaims      = 100_000
	claimRetention = 2 * time.Minute
)

// Claim announces to the preferred successor of a group's lease holder that a request is about to be run.
type Claim struct {
	Group id.Group
	Term  id.Term
	// CompleteSince is the time from which the holder has sent a claim of every request to this successor.
	CompleteSince time.Time
	// Identity is the hash of the request's identity.
	Identity table.Hash
}

// PreviousClaims holds the claims of the previous lease holder that a successor has stored.
type PreviousClaims struct {
	// CompleteSince is the earliest time of creation from which all identities that were run are in Claimed.
	CompleteSince time.Time
	Claimed       map[table.Hash]bool
}

// timedClaim is a claimed identity and the time at which its claim was added.
type timedClaim struct {
	identity table.Hash
	addedAt  time.Time
}

// groupClaims holds the claims of one group.
type groupClaims struct {
	term          id.Term
	completeSince time.Time
	identities    map[table.Hash]bool
	// order holds the claims, the oldest first.
	order []timedClaim
}

// Claims holds the claims that a VM stores as the preferred successor of lease holders; it is safe for concurrent use.
//
// After the loss of a holder, claims avoid unknown outcomes: a request that was
// not claimed was not run, so that the successor may run it.
type Claims struct {
	startedAt time.Time
	mu        sync.Mutex
	groups    map[id.Group]*groupClaims
}

// NewClaims returns the claims of a process that started at the given time.
func NewClaims(startedAt time.Time) *Claims {
	return &Claims{startedAt: startedAt, groups: map[id.Group]*groupClaims{}}
}

// Add stores a claim. It returns false for a claim of an older term, whose request must not be run.
func (c *Claims) Add(now time.Time, claim Claim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.groups[claim.Group]
	if ok && claim.Term < g.term {
		return false
	}
	if !ok {
		g = &groupClaims{identities: map[table.Hash]bool{}}
		c.groups[claim.Group] = g
	}
	// Claims that were added before the start of this process are lost.
	g.term, g.completeSince = claim.Term, later(g.completeSince, later(claim.CompleteSince, c.startedAt))
	if !g.identities[claim.Identity] {
		g.identities[claim.Identity] = true
		g.order = append(g.order, timedClaim{identity: claim.Identity, addedAt: now})
	}
	for len(g.order) > maxClaims || len(g.order) > 0 && now.Sub(g.order[0].addedAt) > claimRetention {
		g.completeSince = later(g.completeSince, g.order[0].addedAt)
		delete(g.identities, g.order[0].identity)
		g.order = g.order[1:]
	}
	return true
}

// PopPrevious removes a group's claims and returns them to the holder of the given term; ok is false unless they are of
// the term before it.
func (c *Claims) PopPrevious(g id.Group, term id.Term) (previous PreviousClaims, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	claims, ok := c.groups[g]
	delete(c.groups, g)
	if !ok || claims.term+1 != term {
		return previous, false
	}
	return PreviousClaims{CompleteSince: claims.completeSince, Claimed: claims.identities}, true
}
