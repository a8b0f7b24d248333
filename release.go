package hickorylug

import (
	"context"

	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/coordination/planner"
	"github.com/hickorylug/hickorylug/protocol/peerpb"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
	"github.com/hickorylug/hickorylug/transport/peer"
)

// releasedOwners requests releases from the previous owners of all moving slices, and returns a predicate for those that released.
func (p *plannerLoop) releasedOwners(ctx context.Context, service id.Service, t *table.Table) func(id.Owner) bool {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	sources := planner.Sources(t)
	type result struct {
		owner    id.Owner
		released bool
	}
	results := make(chan result, len(sources))
	for _, owner := range sources {
		p.vm.tasks.Go(ctx, func(ctx context.Context) {
			results <- result{owner: owner, released: p.releaseFromOwner(ctx, service, owner, t)}
		})
	}
	done := map[id.Owner]bool{}
	for range sources {
		r := <-results
		done[r.owner] = r.released
	}
	return func(o id.Owner) bool { return done[o] }
}

// releaseFromOwner reports whether an owner no longer serves the slices that the table moves from it, and requests the release if needed.
func (p *plannerLoop) releaseFromOwner(ctx context.Context, service id.Service, owner id.Owner, t *table.Table) bool {
	view := p.vm.directory.View()
	g := id.Group(owner)
	var exists bool
	if view.Site.Services[service].Keyed {
		g, exists = view.GroupOfServer(service, id.Server(owner))
	} else {
		_, exists = view.Groups[g]
	}
	if !exists {
		return p.isRemovalPropagated(owner)
	}
	record := view.Leases[g]
	if record.IsVacant() {
		// A holder elected after this read loads the table, including the move, before it starts the group.
		item, err := p.vm.platform.Get(ctx, directory.KeyLease(g))
		if err != nil {
			return false
		}
		fresh, err := directory.DecodeLease(item)
		return err == nil && fresh.IsVacant()
	}
	return p.requestRelease(ctx, g, record.Holder, t)
}

// isRemovalPropagated reports whether an owner was removed from the configuration more than removalPropagationTime ago.
func (p *plannerLoop) isRemovalPropagated(owner id.Owner) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.vm.options.Clock.Now()
	since, ok := p.removedAt[owner]
	if !ok {
		p.removedAt[owner] = now
		return false
	}
	return now.Sub(since) > removalPropagationTime
}

// requestRelease asks a lease holder to release moved slices, and reports whether it did.
func (p *plannerLoop) requestRelease(ctx context.Context, g id.Group, holder id.VM, t *table.Table) bool {
	m, err := peer.EncodeTable(p.vm.directory.View().TableRevisions[t.Service], t)
	if err != nil {
		return false
	}
	request := &peerpb.ReleaseRequest{Group: string(g), Table: m}
	var answer *peerpb.ReleaseAnswer
	if holder == p.vm.options.Settings.VM {
		answer, err = p.vm.handleRelease(ctx, request)
	} else if client, dialErr := p.vm.client.Peer(holder); dialErr == nil {
		answer, err = client.Release(ctx, request)
	} else {
		err = dialErr
	}
	if err != nil {
		p.vm.log.Debug("release request failed", "group", g, "holder", holder, "error", err)
		return false
	}
	return answer.GetReleased()
}
