package config

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/strict"
)

// Upper limits of configured values.
const (
	maxSlices  = 65536
	maxSlots   = 1024
	maxRetries = 5
)

// Check returns all problems of the site, each with its path.
func (s Site) Check() (problems strict.Problems) {
	s.checkServices(&problems)
	s.checkAddresses(&problems)
	for _, name := range sortedKeys(s.Routes) {
		s.checkRoute(&problems, "Routes."+string(name), s.Routes[name])
	}
	s.checkShadowed(&problems)
	return problems
}

func (s Site) checkServices(problems *strict.Problems) {
	groups := map[id.Group]id.Service{}
	for _, name := range sortedKeys(s.Services) {
		service := s.Services[name]
		path := "Services." + string(name)
		checkRange(problems, path+".Slices", service.Slices, 1, maxSlices)
		checkRange(problems, path+".Slots", service.Slots, 1, maxSlots)
		checkRange(problems, path+".ColdSlots", service.ColdSlots, 1, service.Slots)
		checkRange(problems, path+".QueuePerServer", service.QueuePerServer, 0, 1<<20)
		if service.Slots > service.Connections {
			problems.Add(path+".Connections", "%d connections are too few for %d slots; each slot needs at least one connection", service.Connections, service.Slots)
		}
		s.checkServers(problems, path, name, groups)
		if len(service.Servers) > 0 && !s.hasActiveServer(service) {
			problems.Add(path+".Servers", "every backend server is taken out; leave at least one failure domain in service")
		}
	}
}

// hasActiveServer reports whether a service has a backend server that accepts new requests.
func (s Site) hasActiveServer(service Service) bool {
	for _, server := range service.Servers {
		if !server.Out && !s.FailureDomains[server.FailureDomain].Out {
			return true
		}
	}
	return false
}

func (s Site) checkServers(problems *strict.Problems, path string, name id.Service, groups map[id.Group]id.Service) {
	size := map[id.Group]int{}
	domain := map[id.Group]id.Domain{}
	servers := s.Services[name].Servers
	for _, n := range sortedKeys(servers) {
		server := servers[n]
		serverPath := path + ".Servers." + string(n)
		if _, err := netip.ParseAddrPort(server.Address); err != nil {
			problems.Add(serverPath+".Address", "%q is not an IP address with a port, such as 10.0.0.7:8080", server.Address)
		}
		if _, ok := s.FailureDomains[server.FailureDomain]; !ok {
			problems.Add(serverPath+".FailureDomain", "no failure domain %q; known are %s", server.FailureDomain, joinNames(s.FailureDomains))
		}
		if owner, ok := groups[server.Group]; ok && owner != name {
			problems.Add(serverPath+".Group", "group %q belongs to service %q already", server.Group, owner)
		}
		if d, ok := domain[server.Group]; ok && d != server.FailureDomain {
			problems.Add(serverPath+".Group", "group %q has backend servers in failure domain %q already; all servers of a group must be in one failure domain", server.Group, d)
		}
		groups[server.Group], domain[server.Group] = name, server.FailureDomain
		if size[server.Group]++; size[server.Group] == MaxServersPerGroup+1 {
			problems.Add(serverPath+".Group", "group %q has more than %d backend servers; divide it into several groups", server.Group, MaxServersPerGroup)
		}
	}
}

func (s Site) checkAddresses(problems *strict.Problems) {
	seen := map[string]string{}
	for _, name := range sortedKeys(s.Services) {
		servers := s.Services[name].Servers
		for _, n := range sortedKeys(servers) {
			addressPath := fmt.Sprintf("Services.%s.Servers.%s.Address", name, n)
			address := servers[n].Address
			if first, ok := seen[address]; ok {
				problems.Add(addressPath, "%s is the address of %s already", address, first)
				continue
			}
			seen[address] = strings.TrimSuffix(addressPath, ".Address")
		}
	}
}

func (s Site) checkRoute(problems *strict.Problems, path string, r Route) {
	service, known := s.Services[r.Service]
	if !known {
		problems.Add(path+".Service", "no service %q; known are %s", r.Service, joinNames(s.Services))
	}
	if !strings.HasPrefix(r.Path, "/") {
		problems.Add(path+".Path", "%q does not begin with /", r.Path)
	}
	for _, m := range r.Methods {
		if m != strings.ToUpper(m) || m == "" {
			problems.Add(path+".Methods", "%q is not an HTTP method in upper case", m)
		}
	}
	checkKey(problems, path, r, known && service.Keyed)
	checkRange(problems, path+".Retries", r.Retries, 0, maxRetries)
	if !r.Idempotent && r.Retries > 0 {
		problems.Add(path+".Retries", "requests of a route that is not idempotent can't be retried; set Idempotent or leave Retries out")
	}
	if !r.Idempotent && r.Hedge {
		problems.Add(path+".Hedge", "requests of a route that is not idempotent can't be hedged; set Idempotent or leave Hedge out")
	}
	if r.Wait > r.Timeout {
		problems.Add(path+".Wait", "%s is longer than the Timeout of %s", r.Wait, r.Timeout)
	}
}

func checkKey(problems *strict.Problems, path string, r Route, keyed bool) {
	sources := 0
	for _, v := range []string{r.Key.Header, r.Key.PathPart, r.Key.Query} {
		if v != "" {
			sources++
		}
	}
	switch {
	case keyed && sources != 1:
		problems.Add(path+".Key", "service %q is keyed; set exactly one of Header, PathPart and Query", r.Service)
	case !keyed && sources > 0:
		problems.Add(path+".Key", "service %q is not keyed; leave Key out", r.Service)
	case r.Key.PathPart != "" && !strings.Contains(r.Path, "{"+r.Key.PathPart+"}") && !strings.Contains(r.Path, "{"+r.Key.PathPart+"...}"):
		problems.Add(path+".Key.PathPart", "the path %q has no part {%s}", r.Path, r.Key.PathPart)
	}
}

// checkShadowed reports routes that, for at least one method, match exactly the same requests as another route, which
// takes precedence.
func (s Site) checkShadowed(problems *strict.Problems) {
	seen := map[string]id.Route{}
	for _, name := range sortedKeys(s.Routes) {
		r := s.Routes[name]
		methods := slices.Clone(r.Methods)
		if len(methods) == 0 {
			methods = []string{"*"}
		}
		for _, m := range methods {
			signature := fmt.Sprintf("%s %s%s %v", m, r.Host, pathShape(r.Path), sortedHeaders(r.Headers))
			if first, ok := seen[signature]; ok {
				problems.Add("Routes."+string(name), "matches the same requests as route %q, which takes precedence", first)
				break
			}
			seen[signature] = name
		}
	}
}

// pathShape removes the names of the path's wildcards, since they don't affect matching.
func pathShape(path string) string {
	parts := strings.Split(path, "/")
	for i, p := range parts {
		if strings.HasPrefix(p, "{") && strings.HasSuffix(p, "...}") {
			parts[i] = "{...}"
		} else if strings.HasPrefix(p, "{") {
			parts[i] = "{}"
		}
	}
	return strings.Join(parts, "/")
}

func sortedHeaders(headers map[string]string) (out []string) {
	for _, k := range sortedKeys(headers) {
		out = append(out, strings.ToLower(k)+"="+headers[k])
	}
	return out
}

func checkRange(problems *strict.Problems, path string, v, low, high int) {
	if v < low || v > high {
		problems.Add(path, "%d is not between %d and %d", v, low, high)
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func joinNames[K ~string, V any](m map[K]V) string {
	out := make([]string, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, string(k))
	}
	return strings.Join(out, ", ")
}
