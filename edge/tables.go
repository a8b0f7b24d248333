package edge

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// plan changes the table of a service where necessary, with one write at a time.
func (k *keyManager) plan(ctx context.Context, now clock.Instant, s *fleet.Snapshot, name id.Service) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.writeInFlight || k.edge.storeStaleness() > outageThreshold {
		return
	}
	t := s.Tables[name]
	if t == nil && now.Sub(k.lastAppearedAt) < firstTableDelay {
		return
	}
	current, isLost := t, t != nil && !k.latest[name]
	if isLost {
		// Grants may have been made under the table that is lost.
		if !k.edge.haveFormerGrantsExpired(now) {
			return
		}
		current = ownership.Refence(name, t, max(s.Leader.Term, t.Revision))
	}
	next, changed := k.nextTable(now, current, name, k.candidates(now, s, name))
	if !changed && !isLost {
		return
	}
	k.tableChangedAt[name] = now
	k.writeInFlight = true
	k.edge.tasks.Go(ctx, func(ctx context.Context) { k.writeTable(ctx, s.Leader.Term, t, next) })
}

// settleRetryPeriod is the time between two writes of settle; each call is priced.
const settleRetryPeriod = 300 * time.Millisecond

// knowsTables reports whether this VM, as the leader, knows the latest key tables.
func (k *keyManager) knowsTables() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name := range k.edge.snapshot.Load().Tables {
		if !k.latest[name] {
			return false
		}
	}
	return k.continues || k.settled
}

// recordTables records of which services this VM knows the latest key table: it was read in this leadership, in which no other VM writes.
func (k *keyManager) recordTables(s *fleet.Snapshot) {
	for name, t := range s.Tables {
		if !t.Unreadable && !t.Unsaved {
			k.latest[name] = true
		}
	}
}

// settle brings the key tables of the store up to date after it came back from an older copy; ready is false while no keys may be granted.
//
// A leader that led on knows the latest tables and stores them again. Any other
// one can't know which grants were made under tables that are lost. It waits
// until they have expired, and begins with fences above theirs.
func (k *keyManager) settle(ctx context.Context, now clock.Instant, s *fleet.Snapshot) (ready bool) {
	expired := k.edge.haveFormerGrantsExpired(now)
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.SettledEra >= s.Leader.Term.Era() {
		k.settled = true
		return true
	}
	if !k.continues && !expired {
		return false
	}
	if k.writeInFlight || now.Sub(k.settleTriedAt) < settleRetryPeriod {
		return k.continues
	}
	k.settleTriedAt, k.writeInFlight = now, true
	for name, service := range s.Configuration.Services {
		if t := s.Tables[name]; service.Keyed && (t != nil && t.Unsaved || !k.continues && !k.refenced[name]) {
			k.edge.tasks.Go(ctx, func(ctx context.Context) { k.restoreTable(ctx, s.Leader.Term, name, t) })
			return k.continues
		}
	}
	k.edge.tasks.Go(ctx, func(ctx context.Context) { k.writeSettledEra(ctx, s.Leader.Term) })
	return k.continues
}

// restoreTable stores a key table that an older copy of the store lacks, with new fences if it may not be the latest one.
func (k *keyManager) restoreTable(ctx context.Context, term id.Revision, name id.Service, t *fleet.Table) {
	next := t
	k.mu.Lock()
	if !k.continues && !k.refenced[name] {
		next = ownership.Refence(name, t, term)
	}
	k.mu.Unlock()
	if k.writeTable(ctx, term, t, next) {
		k.mu.Lock()
		k.refenced[name] = true
		k.mu.Unlock()
	}
}

// writeSettledEra records in the store that the key tables of this era are up to date.
func (k *keyManager) writeSettledEra(ctx context.Context, term id.Revision) {
	e := k.edge
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := e.store.Write(ctx, []platform.Condition{{Key: platform.KeyLeader(), Revision: term}}, platform.Put{Key: platform.KeySettledEra(), Value: platform.EncodeEra(term.Era())})
	k.mu.Lock()
	k.writeInFlight = false
	k.mu.Unlock()
	if err != nil {
		e.log.Warn("recording that the key tables are up to date failed", "era", uint64(term.Era()), "error", err)
		return
	}
	e.log.Info("the key tables are up to date after a restoration of the store", "era", uint64(term.Era()))
	e.notify(e.resync)
}

// limitRequests computes the limits of the requests for keys whose owners are overloaded.
func (k *keyManager) limitRequests(now clock.Instant, s *fleet.Snapshot, name id.Service) {
	k.mu.Lock()
	defer k.mu.Unlock()
	meter, t := k.load[name], s.Tables[name]
	if now.Sub(k.limitedAt[name]) < admissionPeriod {
		return
	}
	k.limitedAt[name] = now
	delete(k.admissions, name)
	if meter != nil && t != nil && now.Sub(k.leadingSince) > firstRebalanceDelay {
		k.admissions[name] = ownership.Admissions(t, k.candidates(now, s, name), meter.Rates())
	}
}

// loadForRebalance returns the load of a service when a rebalance is due, or nil.
func (k *keyManager) loadForRebalance(now clock.Instant, name id.Service) ownership.Load {
	if now.Sub(k.leadingSince) <= firstRebalanceDelay || now.Sub(k.rebalancedAt[name]) < rebalancePeriod {
		return nil
	}
	k.rebalancedAt[name] = now
	if meter := k.load[name]; meter != nil {
		return meter.Rates()
	}
	return ownership.Load{}
}

// nextTable returns the next table of a service; changed is false where no write is necessary now.
func (k *keyManager) nextTable(now clock.Instant, t *fleet.Table, name id.Service, candidates []ownership.Candidate) (next *fleet.Table, changed bool) {
	load := k.loadForRebalance(now, name)
	if t == nil {
		return ownership.Plan(name, nil, candidates, load)
	}
	next, moved, settled := k.granter.Revise(now, t, candidates, load)
	return next, moved || settled && now.Sub(k.tableChangedAt[name]) > settledMoveWriteDelay
}

const (
	// minServiceTimeDivisor and maxServiceTimeFactor limit a backend server's assumed service time relative to the median.
	minServiceTimeDivisor = 2
	maxServiceTimeFactor  = 16
	// normalPace is the pace of a backend server on a usual machine, in percent.
	normalPace = 100
	// defaultServiceTime is used while no service time is known.
	defaultServiceTime = 100 * time.Millisecond
)

func medianServiceTime(serviceTimes map[id.Server]time.Duration) time.Duration {
	if len(serviceTimes) == 0 {
		return defaultServiceTime
	}
	sorted := slices.Sorted(maps.Values(serviceTimes))
	return max(sorted[len(sorted)/2], time.Millisecond)
}

// candidates returns the backend servers of a service with their capacities, in requests per second.
func (k *keyManager) candidates(now clock.Instant, s *fleet.Snapshot, name id.Service) (out []ownership.Candidate) {
	cold := map[id.Server]bool{}
	serviceTimes := map[id.Server]time.Duration{}
	for _, st := range k.edge.dispatcher.States() {
		if st.Service == name {
			cold[st.Incarnation.Server], serviceTimes[st.Incarnation.Server] = st.Cold, st.ServiceTime
		}
	}
	normal, limits := k.edge.dispatcher.ServiceTime(name), k.edge.dispatcher.RequestLimits()
	for _, n := range s.ByService[name] {
		if pace, ok := k.paces[n]; ok {
			serviceTimes[n] = time.Duration(float64(normal) * pace / normalPace)
		}
	}
	median := medianServiceTime(serviceTimes)
	for _, n := range s.ByService[name] {
		server := s.Servers[n]
		serviceTime := min(max(serviceTimes[n], median/minServiceTimeDivisor), maxServiceTimeFactor*median)
		capacity := float64(server.Slots) / serviceTime.Seconds()
		if limit, ok := limits[n]; ok {
			capacity = min(capacity, float64(limit))
		}
		out = append(out, ownership.Candidate{
			Incarnation: server.Incarnation, Eligible: s.Usable(server) && !k.isLost(now, server.Incarnation), Warm: !cold[n],
			Capacity: capacity,
		})
	}
	return out
}

// writeTable writes a table to the store, on condition that this VM's term is still current and the table is unchanged.
func (k *keyManager) writeTable(ctx context.Context, term id.Revision, old, next *fleet.Table) (done bool) {
	e := k.edge
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer func() {
		k.mu.Lock()
		k.writeInFlight = false
		k.mu.Unlock()
		e.notify(e.replan)
	}()
	value, err := fleet.EncodeTable(next)
	if err != nil {
		e.log.Error("a key table could not be encoded", "service", string(next.Service), "error", err)
		return false
	}
	revision := id.Revision(0)
	if old != nil {
		revision = old.Revision
	}
	key := platform.KeyTable(next.Service)
	written, err := e.store.Write(ctx, []platform.Condition{{Key: key, Revision: revision}, {Key: platform.KeyLeader(), Revision: term}}, platform.Put{Key: key, Value: value})
	if err != nil {
		e.log.Warn("writing a key table failed", "service", string(next.Service), "fence", int64(next.Fence), "error", err)
		<-e.clock.After(minRetryPause)
		return false
	}
	e.applyWritten(written, fleet.Item{Key: key, Value: bytes.Clone(value)})
	e.log.Info("key table written", "service", string(next.Service), "ranges", len(next.Ranges), "fence", int64(next.Fence), "revision", written.Number(), "era", uint64(written.Era()))
	return true
}
