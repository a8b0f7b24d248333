package edge

import (
	"bytes"
	"context"
	"time"

	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// votersPeriod is the least time between two writes of the voters. Each call is priced, and VMs that start together register one by one.
const votersPeriod = time.Second

// recordVoters records the voters of the store for the election.
func (e *Edge) recordVoters(stored *fleet.Voters) {
	if stored == nil {
		stored = &fleet.Voters{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.elector.RecordVoters(e.clock.Boot(), *stored)
}

// proposeVoters writes the registered VMs as voters if the elector wants it and the store answers, at most once in each votersPeriod.
func (e *Edge) proposeVoters(ctx context.Context, now clock.Instant) {
	if now.Sub(e.votersTriedAt) < votersPeriod || !e.knowsFormerGone() || e.storeStaleness() > outageThreshold {
		return
	}
	e.votersTriedAt = now
	stored, members := e.snapshot.Load().Voters, e.members()
	e.mu.Lock()
	next, wanted := e.elector.Propose(members)
	e.mu.Unlock()
	if !wanted {
		return
	}
	before := id.Revision(0)
	if stored != nil {
		before = stored.Revision
	}
	e.tasks.Go(ctx, func(ctx context.Context) { e.writeVoters(ctx, before, next) })
}

// writeVoters writes the voters in place of those at a revision of the store, on condition that their term is still current.
//
// With both conditions, no write takes effect after a later one or after the next
// leader has read the voters.
func (e *Edge) writeVoters(ctx context.Context, before id.Revision, next fleet.Voters) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := fleet.EncodeVoters(next)
	if err != nil {
		e.log.Error("the voters could not be encoded", "error", err)
		return
	}
	key := platform.KeyVoters()
	conditions := []platform.Condition{{Key: key, Revision: before}, {Key: platform.KeyLeader(), Revision: next.Term}}
	written, err := e.store.Write(ctx, conditions, platform.Put{Key: key, Value: value})
	if err != nil {
		e.log.Warn("recording the voters failed", "term", next.Term.Number(), "number", next.Number, "error", err)
		return
	}
	e.applyWritten(written, fleet.Item{Key: key, Value: bytes.Clone(value)})
	e.log.Info("voters are recorded", "term", next.Term.Number(), "number", next.Number, "count", len(next.Members))
}
