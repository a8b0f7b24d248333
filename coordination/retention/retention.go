// Package retention keeps what an outage of the store, or an older copy of it, would take back for a moment.
//
// Entries of running backend servers expire during an outage. A store that comes
// back from an older copy also lacks entries that are written again shortly
// after, and holds others that had been removed or changed since: a backend
// server that was leaving is listed as ready, one that has left is listed again.
//
// # Usage
//
//	k := retention.NewKeeper()
//	snapshot = k.Keep(now, snapshot, mirror.Snapshot(), now < removalsHeldUntil)
package retention

import (
	"maps"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// retiredTTL is how long a backend server that was leaving or has left is remembered: much longer than a copy of the store is old.
	retiredTTL = 10 * time.Minute
	// maxRetired limits the backend servers that are remembered.
	maxRetired = 4096
)

// retirement is the end of an incarnation of a backend server.
type retirement struct {
	at clock.Instant
	// isDraining says that it announced its end.
	isDraining bool
}

// Keeper holds what is retained. It is not safe for concurrent use.
type Keeper struct {
	servers   map[id.Server]fleet.Server
	peers     map[id.VM]fleet.Peer
	evacuated map[id.Domain]bool
	retired   map[fleet.Incarnation]retirement
	// eraStart is the first position in the present era of the store.
	eraStart id.Revision
}

// NewKeeper returns a keeper that retains nothing.
func NewKeeper() *Keeper {
	return &Keeper{servers: map[id.Server]fleet.Server{}, peers: map[id.VM]fleet.Peer{}, evacuated: map[id.Domain]bool{}, retired: map[fleet.Incarnation]retirement{}}
}

// IsEmpty reports whether nothing is retained that time alone would release.
func (k *Keeper) IsEmpty() bool { return len(k.servers)+len(k.peers)+len(k.evacuated) == 0 }

// Keep returns the next snapshot, given the one before and whether removals are held.
func (k *Keeper) Keep(now clock.Instant, old, next *fleet.Snapshot, holdRemovals bool) *fleet.Snapshot {
	if next.Position.Era() != k.eraStart.Era() || k.eraStart == 0 {
		k.eraStart = next.Position
		if old.Position > 0 {
			k.holdOthers(old)
		}
	}
	out := k.withoutRetired(next)
	k.holdServers(old, out, holdRemovals)
	if !holdRemovals {
		clear(k.peers)
		clear(k.evacuated)
	}
	out = k.withRetained(out)
	k.recordRetired(now, old, out)
	return out
}

// holdOthers retains the VMs and evacuations that an older copy of the store may lack.
func (k *Keeper) holdOthers(old *fleet.Snapshot) {
	maps.Copy(k.peers, old.Peers)
	for domain := range old.Evacuated {
		k.evacuated[domain] = true
	}
}

// holdServers retains the backend servers that are no longer listed while removals are held.
func (k *Keeper) holdServers(old, next *fleet.Snapshot, holdRemovals bool) {
	for name, server := range old.Servers {
		if _, ok := next.Servers[name]; !ok && holdRemovals && !server.Draining {
			k.servers[name] = server
		}
	}
	for name := range k.servers {
		if _, reappeared := next.Servers[name]; reappeared || !holdRemovals {
			delete(k.servers, name)
		}
	}
}

// withRetained returns a snapshot with what is retained.
func (k *Keeper) withRetained(next *fleet.Snapshot) *fleet.Snapshot {
	if k.IsEmpty() {
		return next
	}
	out := *next
	if len(k.servers) > 0 {
		out = *next.WithServers(k.servers)
	}
	if len(k.peers) > 0 {
		out.Peers = maps.Clone(k.peers)
		maps.Copy(out.Peers, next.Peers)
	}
	if len(k.evacuated) > 0 {
		out.Evacuated = maps.Clone(k.evacuated)
		maps.Copy(out.Evacuated, next.Evacuated)
	}
	return &out
}

// withoutRetired returns a snapshot in which backend servers that were leaving still are, and those that had left are missing until they
// write their entry again.
func (k *Keeper) withoutRetired(next *fleet.Snapshot) *fleet.Snapshot {
	var servers map[id.Server]fleet.Server
	for name, server := range next.Servers {
		r, ok := k.retired[server.Incarnation]
		switch {
		case !ok, r.isDraining && server.Draining, server.Revision > k.eraStart:
			continue
		case servers == nil:
			servers = maps.Clone(next.Servers)
		}
		if r.isDraining {
			server.Draining = true
			servers[name] = server
		} else {
			delete(servers, name)
		}
	}
	if servers == nil {
		return next
	}
	out := *next
	out.Servers, out.ByService = servers, fleet.ByService(servers)
	return &out
}

// recordRetired remembers the backend servers that are leaving or have left.
func (k *Keeper) recordRetired(now clock.Instant, old, next *fleet.Snapshot) {
	for _, server := range next.Servers {
		if server.Draining {
			k.retire(now, server.Incarnation, true)
		} else {
			delete(k.retired, server.Incarnation)
		}
	}
	for name, server := range old.Servers {
		if next.Servers[name].Incarnation != server.Incarnation {
			k.retire(now, server.Incarnation, server.Draining)
		}
	}
}

// retire remembers the end of an incarnation.
func (k *Keeper) retire(now clock.Instant, i fleet.Incarnation, isDraining bool) {
	if _, known := k.retired[i]; !known && len(k.retired) >= maxRetired {
		maps.DeleteFunc(k.retired, func(_ fleet.Incarnation, r retirement) bool { return now.Sub(r.at) > retiredTTL })
		if len(k.retired) >= maxRetired {
			return
		}
	}
	k.retired[i] = retirement{at: now, isDraining: isDraining || k.retired[i].isDraining}
}
