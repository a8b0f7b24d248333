package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// copyAttempts is the number of attempts at copying the store's items from other VMs.
	copyAttempts = 3
	// copyTimeout limits one attempt, and copyPause is the time between two: a VM that starts at the same moment has no items yet, and the
	// others hear of a change with some delay.
	copyTimeout = 250 * time.Millisecond
	copyPause   = 80 * time.Millisecond
	// maxSources is the number of VMs among which the source of a copy is drawn.
	maxSources = 3
)

// readWhole reads all items of the store.
//
// Hundreds of VMs that start together would read the same pages. So a VM that
// isn't among the strongest reads the first page only, which lists the other
// VMs, and copies the items from one of those. The copy replaces the other pages
// only if it is as recent as the first one.
func (e *Edge) readWhole(ctx context.Context) (u fleet.Update, err error) {
	first, more, err := e.store.ReadFirst(ctx)
	if err != nil || !more {
		return first, err
	}
	if u, ok := e.copyFromPeer(ctx, first); ok {
		return u, nil
	}
	return e.store.ReadRest(ctx, first)
}

// copyFromPeer returns a copy of the items from one of the VMs that the first page lists; ok is false if none has a recent copy.
func (e *Edge) copyFromPeer(ctx context.Context, first fleet.Update) (u fleet.Update, ok bool) {
	sources := copySources(listedPeers(first), e.settings.VM, e.settings.FailureDomain, e.strength())
	for n := 0; n < copyAttempts && len(sources) > 0; n++ {
		if n > 0 {
			<-e.clock.After(copyPause)
		}
		source := sources[rand.IntN(len(sources))]
		copyCtx, cancel := context.WithTimeout(ctx, copyTimeout)
		u, err := e.socket.Fetch(copyCtx, source.Address, 0)
		cancel()
		switch {
		case err != nil:
			e.log.Info("another VM gave no copy of the store", "from", string(source.VM), "error", err)
		case u.To >= first.To && (u.Whole || u.From == 0):
			u = platform.WithoutKeys(u)
			u.Whole = true
			e.log.Info("the store was copied from another VM", "from", string(source.VM), "position", u.To.Number(), "wanted", first.To.Number())
			return u, true
		}
	}
	return u, false
}

// listedPeers returns the registered VMs among some items.
func listedPeers(u fleet.Update) map[id.VM]fleet.Peer {
	items, keys := map[string]fleet.Item{}, make([]string, 0, len(u.Items))
	for _, i := range u.Items {
		items[i.Key] = i
		keys = append(keys, i.Key)
	}
	return platform.Decode(&fleet.Snapshot{}, items, keys).Peers
}

// copySources returns the strongest VMs of a failure domain, or of all if there is none, as sources of a copy. It returns none to a VM that
// is itself about as strong, so that some VMs read the store.
func copySources(peers map[id.VM]fleet.Peer, self id.VM, domain id.Domain, strength float64) (sources []fleet.Peer) {
	most := 0.0
	for vm, p := range peers {
		if vm == self {
			continue
		}
		most = max(most, p.Strength)
		if p.Domain == domain {
			sources = append(sources, p)
		}
	}
	if strength >= minRelayStrength*most {
		return nil
	}
	if len(sources) == 0 {
		for vm, p := range peers {
			if vm != self {
				sources = append(sources, p)
			}
		}
	}
	sortByStrength(sources)
	return sources[:min(len(sources), maxSources)]
}
