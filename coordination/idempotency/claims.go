package idempotency

import (
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// Bounds of the claims that a successor keeps for a group.
const (
	maxClaims   = 100_000
	claimMemory = 2 * time.Minute
)

// Claim announces to a group's first successor that a request is about to be run.
type Claim struct {
	Group id.Group
	Term  id.Term
	// CompleteSince is the time from which the holder has announced every request to this successor.
	CompleteSince time.Time
	// Identity is the hash of the request's identity.
	Identity table.Hash
}

// PreviousClaims is what a successor knows of the requests of the holder before it.
type PreviousClaims struct {
	// CompleteSince is the time of creation from which every identity that was run is in Claimed.
	CompleteSince time.Time
	Claimed       map[table.Hash]bool
}

type claimed struct {
	identity table.Hash
	at       time.Time
}

type groupClaims struct {
	term  id.Term
	since time.Time
	known map[table.Hash]bool
	// order has the oldest claim first.
	order []claimed
}

// Claims is what a VM keeps as first successor of other holders; it is safe for concurrent use.
//
// It spares callers an unknown outcome after the loss of a holder: what was
// not claimed was not run, and may be.
type Claims struct {
	startedAt time.Time
	mu        sync.Mutex
	groups    map[id.Group]*groupClaims
}

// NewClaims returns the claims of a process that started at a time.
func NewClaims(startedAt time.Time) *Claims {
	return &Claims{startedAt: startedAt, groups: map[id.Group]*groupClaims{}}
}

// Add keeps a claim; it is false for one of an older term, whose request must not be run.
func (c *Claims) Add(now time.Time, claim Claim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.groups[claim.Group]
	if ok && claim.Term < g.term {
		return false
	}
	if !ok {
		g = &groupClaims{known: map[table.Hash]bool{}}
		c.groups[claim.Group] = g
	}
	// A process that has started since may have lost earlier claims.
	g.term, g.since = claim.Term, later(g.since, later(claim.CompleteSince, c.startedAt))
	if !g.known[claim.Identity] {
		g.known[claim.Identity] = true
		g.order = append(g.order, claimed{identity: claim.Identity, at: now})
	}
	for len(g.order) > maxClaims || len(g.order) > 0 && now.Sub(g.order[0].at) > claimMemory {
		g.since = later(g.since, g.order[0].at)
		delete(g.known, g.order[0].identity)
		g.order = g.order[1:]
	}
	return true
}

// PopPrevious returns the claims of the term before, for the VM that takes the lease over; it forgets them.
func (c *Claims) PopPrevious(g id.Group, term id.Term) (in PreviousClaims, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept, ok := c.groups[g]
	delete(c.groups, g)
	if !ok || kept.term+1 != term {
		return in, false
	}
	return PreviousClaims{CompleteSince: kept.since, Claimed: kept.known}, true
}
