// Package fleet is what an entry VM knows of its deployment: configuration, backend servers and key ownership.
//
// A Mirror replicates the items of the platform's store. Every item carries
// the store's revision, which only rises, so that updates may come from the
// store or from another VM, in any order and more than once. Readers get an
// immutable Snapshot.
//
// # Usage
//
//	m := fleet.NewMirror(decoder)
//	m.Apply(fleet.Update{From: 12, To: 14, Items: items})
//	s := m.Snapshot()
//	route, found := s.Configuration.Match("shop.example", "/plans/7")
package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/state/id"
)

// StartTime tells successive lives of a backend server under one id apart, in Unix milliseconds of its start.
type StartTime int64

// Incarnation is one life of a backend server: a process that was started once.
type Incarnation struct {
	Server id.Server
	Born   StartTime
}

// Server is what a backend server has last said of itself.
type Server struct {
	Incarnation
	Service id.Service
	Address string
	Domain  id.Domain
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining says that it leaves and must get no new work.
	Draining bool
	// WarmupLeft is how long it stays cold, counted from the revision that said so.
	WarmupLeft time.Duration
	// Revision is the store's revision of the entry.
	Revision id.Revision
}

// Snapshot is the state of a mirror at one moment; nothing in it changes.
type Snapshot struct {
	// Position is the store's revision up to which the snapshot is complete.
	Position id.Revision
	// Configuration is nil until one is known.
	Configuration *Configuration
	Servers       map[id.Server]Server
	// ByService lists the backend servers of a service, in the order of their ids.
	ByService map[id.Service][]id.Server
	// Evacuated holds the failure domains that get no work.
	Evacuated map[id.Domain]bool
	// Tables holds the key ownership of the services that are divided by key.
	Tables map[id.Service]*Table
	// Peers holds the entry VMs that are registered.
	Peers map[id.VM]Peer
	// Leader is the VM that coordinates, or nil where the record is absent.
	Leader *Leader
}

// Peer is the registration of an entry VM.
type Peer struct {
	VM          id.VM
	Domain      id.Domain
	Address     string
	Incarnation id.Incarnation
	// Strength orders the VMs by what their machines can do; the strongest lead.
	Strength float64 `json:",omitempty"`
}

// Leader is the record of the VM that watches the store and grants keys.
type Leader struct {
	VM          id.VM
	Incarnation id.Incarnation
	// Term is the store's revision of the record; it rises with each leader.
	Term id.Revision
}

// Usable reports whether new work may go to a backend server.
func (s *Snapshot) Usable(server Server) bool {
	return !server.Draining && !s.Evacuated[server.Domain]
}

// WithServers returns a snapshot that has further backend servers.
func (s *Snapshot) WithServers(more map[id.Server]Server) *Snapshot {
	out := *s
	out.Servers = maps.Clone(s.Servers)
	maps.Copy(out.Servers, more)
	out.ByService = ByService(out.Servers)
	return &out
}

// ByService returns the names of each service's backend servers, in order.
func ByService(servers map[id.Server]Server) map[id.Service][]id.Server {
	out := map[id.Service][]id.Server{}
	for name, s := range servers {
		out[s.Service] = append(out[s.Service], name)
	}
	for _, names := range out {
		slices.Sort(names)
	}
	return out
}
