package directory

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
)

// Group is the set of backend servers that one lease covers.
type Group struct {
	Name          id.Group
	Service       id.Service
	FailureDomain id.Domain
	// Out says that the failure domain is taken out.
	Out     bool
	Servers map[id.Server]config.Server
}

// AcceptsRequests reports whether the group has a backend server that may get new work.
func (g Group) AcceptsRequests() bool {
	if g.Out {
		return false
	}
	for _, s := range g.Servers {
		if !s.Out {
			return true
		}
	}
	return false
}

func groupsOf(site config.Site) (groups map[id.Group]Group, byService map[id.Service][]id.Group) {
	groups = map[id.Group]Group{}
	byService = map[id.Service][]id.Group{}
	for name, service := range site.Services {
		for n, server := range service.Servers {
			g, ok := groups[server.Group]
			if !ok {
				g = Group{
					Name:          server.Group,
					Service:       name,
					FailureDomain: server.FailureDomain,
					Out:           site.FailureDomains[server.FailureDomain].Out,
					Servers:       map[id.Server]config.Server{},
				}
				byService[name] = append(byService[name], g.Name)
			}
			g.Servers[n] = server
			groups[server.Group] = g
		}
		slices.Sort(byService[name])
	}
	return groups, byService
}

func homesOf(groups map[id.Group]Group) map[id.Group]id.Domain {
	homes := map[id.Group]id.Domain{id.Planner: ""}
	for name, g := range groups {
		homes[name] = g.FailureDomain
	}
	return homes
}

// SortedGroups returns the names of all groups in order.
func (v *View) SortedGroups() []id.Group {
	return slices.SortedFunc(maps.Keys(v.Groups), cmp.Compare)
}

// GroupOfServer returns the group of a service's backend server.
func (v *View) GroupOfServer(service id.Service, server id.Server) (g id.Group, ok bool) {
	s, ok := v.Site.Services[service].Servers[server]
	return s.Group, ok
}
