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

// released asks the old owners of all that moves to let go, and returns which have.
func (p *planning) released(ctx context.Context, service id.Service, t *table.Table) func(id.Owner) bool {
	ctx, cancel := context.WithTimeout(ctx, releaseTime)
	defer cancel()
	sources := planner.Sources(t)
	type result struct {
		owner    id.Owner
		released bool
	}
	results := make(chan result, len(sources))
	for _, owner := range sources {
		p.vm.tasks.Go(ctx, func(ctx context.Context) {
			results <- result{owner: owner, released: p.releaseOwner(ctx, service, owner, t)}
		})
	}
	done := map[id.Owner]bool{}
	for range sources {
		r := <-results
		done[r.owner] = r.released
	}
	return func(o id.Owner) bool { return done[o] }
}

// releaseOwner makes sure that an owner serves nothing that the table moves away from it.
func (p *planning) releaseOwner(ctx context.Context, service id.Service, owner id.Owner, t *table.Table) bool {
	view := p.vm.directory.View()
	g := id.Group(owner)
	var known bool
	if view.Site.Services[service].Keyed {
		g, known = view.GroupOfServer(service, id.Server(owner))
	} else {
		_, known = view.Groups[g]
	}
	if !known {
		return p.goneFor(owner)
	}
	record := view.Leases[g]
	if record.IsVacant() {
		// A holder that comes after this read reads the table, and with it the move.
		item, err := p.vm.platform.Get(ctx, directory.KeyLease(g))
		if err != nil {
			return false
		}
		fresh, err := directory.DecodeLease(item)
		return err == nil && fresh.IsVacant()
	}
	return p.askRelease(ctx, g, record.Holder, t)
}

// goneFor reports whether an owner has been out of the configuration long enough for every VM to know.
func (p *planning) goneFor(owner id.Owner) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.vm.options.Clock.Now()
	since, ok := p.removed[owner]
	if !ok {
		p.removed[owner] = now
		return false
	}
	return now.Sub(since) > removedWait
}

func (p *planning) askRelease(ctx context.Context, g id.Group, holder id.VM, t *table.Table) bool {
	m, err := peer.EncodeTable(p.vm.directory.View().TableRevisions[t.Service], t)
	if err != nil {
		return false
	}
	request := &peerpb.ReleaseRequest{Group: string(g), Table: m}
	var answer *peerpb.ReleaseAnswer
	if holder == p.vm.options.Settings.VM {
		answer, err = p.vm.release(ctx, request)
	} else if client, dialErr := p.vm.client.Peer(holder); dialErr == nil {
		answer, err = client.Release(ctx, request)
	} else {
		err = dialErr
	}
	if err != nil {
		p.vm.log.Debug("a release was not answered", "group", g, "holder", holder, "error", err)
		return false
	}
	return answer.GetReleased()
}
