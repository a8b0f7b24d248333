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

// plan changes the table of a service where that is needed, by one write at a time.
func (k *keys) plan(ctx context.Context, now clock.Instant, s *fleet.Snapshot, name id.Service) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.writing || k.edge.newsAge() > outageAfter {
		return
	}
	t := s.Tables[name]
	if t == nil && now.Sub(k.appeared) < gatherTime {
		return
	}
	next, changed := k.next(now, t, name, k.candidates(now, s, name))
	if !changed {
		return
	}
	k.settled[name] = now
	k.writing = true
	k.edge.tasks.Go(ctx, func(ctx context.Context) { k.write(ctx, s.Leader.Term, t, next) })
}

// loadOf returns the load of a service where it is time to balance it, or nil.
func (k *keys) loadOf(now clock.Instant, name id.Service) ownership.Load {
	if now.Sub(k.began) <= balanceAfter || now.Sub(k.planned[name]) < balancePeriod {
		return nil
	}
	k.planned[name] = now
	if load := k.load[name]; load != nil {
		return load
	}
	return ownership.Load{}
}

// next returns the next table of a service; changed is false where there is no need to write it now.
func (k *keys) next(now clock.Instant, t *fleet.Table, name id.Service, candidates []ownership.Candidate) (next *fleet.Table, changed bool) {
	load := k.loadOf(now, name)
	if t == nil {
		return ownership.Plan(name, nil, candidates, load)
	}
	next, moved, settled := k.granter.Revise(t, candidates, load)
	return next, moved || settled && now.Sub(k.settled[name]) > settleAfter
}

const (
	// fastest and slowest bound what is believed of a backend server's work time, as a part and a multiple of the median.
	fastest = 2
	slowest = 16
	// unknownWork stands for the work time while none is known.
	unknownWork = 100 * time.Millisecond
)

func medianOf(works map[id.Server]time.Duration) time.Duration {
	if len(works) == 0 {
		return unknownWork
	}
	sorted := slices.Sorted(maps.Values(works))
	return max(sorted[len(sorted)/2], time.Millisecond)
}

// candidates returns the backend servers of a service with what they bear.
func (k *keys) candidates(now clock.Instant, s *fleet.Snapshot, name id.Service) (out []ownership.Candidate) {
	cold := map[id.Server]bool{}
	works := map[id.Server]time.Duration{}
	for _, st := range k.edge.dispatcher.States() {
		if st.Service == name {
			cold[st.Incarnation.Server], works[st.Incarnation.Server] = st.Cold, st.ServiceTime
		}
	}
	median := medianOf(works)
	for _, n := range s.ByService[name] {
		server := s.Servers[n]
		work := min(max(works[n], median/fastest), slowest*median)
		out = append(out, ownership.Candidate{
			Incarnation: server.Incarnation, Eligible: s.Usable(server) && !k.lost(now, server.Incarnation), Warm: !cold[n],
			Capacity: float64(server.Slots) / work.Seconds(),
		})
	}
	return out
}

// write makes a table the store's, as long as nobody else leads.
func (k *keys) write(ctx context.Context, term id.Revision, before, next *fleet.Table) {
	e := k.edge
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer func() {
		k.mu.Lock()
		k.writing = false
		k.mu.Unlock()
		e.poke(e.replan)
	}()
	value, err := fleet.EncodeTable(next)
	if err != nil {
		e.log.Error("a key table can't be encoded", "service", string(next.Service), "error", err)
		return
	}
	revision := id.Revision(0)
	if before != nil {
		revision = before.Revision
	}
	key := platform.KeyTable(next.Service)
	written, err := e.store.Write(ctx, []platform.Condition{{Key: key, Revision: revision}, {Key: platform.KeyLeader(), Revision: term}}, platform.Put{Key: key, Value: value})
	if err != nil {
		e.log.Warn("a key table was not written", "service", string(next.Service), "fence", int64(next.Fence), "error", err)
		<-e.clock.After(shortRetry)
		return
	}
	e.storeAnswered()
	item := fleet.Item{Key: key, Value: bytes.Clone(value), Revision: written}
	u := fleet.Update{From: written - 1, To: written, Items: []fleet.Item{item}}
	e.mirror.Apply(u)
	e.publish()
	e.poke(e.pass)
	e.log.Info("key table written", "service", string(next.Service), "ranges", len(next.Ranges), "fence", int64(next.Fence), "revision", uint64(written))
}
