package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/strict"
)

// Configuration is the operators' configuration document, translated from the platform's format.
type Configuration struct {
	// Version increases with each accepted document.
	Version  uint64
	Services map[id.Service]Service
	Limits   Limits
	// Customers are the customers whose callers identify themselves with API keys; nil means that no route asks for a key.
	Customers *Customers
	// SkippedCustomers is the number of customers in the document that can't be used, so that their keys are unknown.
	SkippedCustomers int
	// Unused are the fields of the document that aren't used as they are.
	Unused strict.Problems

	byHost map[string][]*Route
}

// Limits are the limits on requests and connections of callers. Sizes are in bytes.
type Limits struct {
	MaxHeader     int
	MaxBody       int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is a set of backend servers that run the same application.
type Service struct {
	Name       id.Service
	HealthPath string
	// MaxConnections is the number of connections that one backend server accepts from all VMs together.
	MaxConnections int
	// WarmupTime is how long a backend server stays cold after its start.
	WarmupTime time.Duration
	// WarmupRate is the number of requests per second that a cold backend server can run.
	WarmupRate float64
	// Keyed is set if each key is owned exclusively by one backend server.
	Keyed bool
}

// ReportsWarmup reports whether cold backend servers of the service bear fewer requests, and say in health responses that they are cold.
func (s Service) ReportsWarmup() bool { return s.WarmupRate > 0 && s.HealthPath != "" }

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name   id.Route
	Host   string
	Prefix string
	// Idempotent is set if a request may be run more than once.
	Idempotent bool
	// Timeout limits the time until a request is answered.
	Timeout time.Duration
	// Objective is the target latency; a later response is of much less use to the caller.
	Objective time.Duration
	// MaxAttempts limits the number of times that a request is run by backend servers.
	MaxAttempts int
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// Public is set if a request needs no API key although the configuration holds customers.
	Public  bool
	Targets []Target
}

// Target is a service with its weight among the targets of a route.
type Target struct {
	Service id.Service
	Weight  int
}

// NewConfiguration returns a configuration whose routes are indexed by host, with the longest prefix first.
func NewConfiguration(version uint64, routes []Route, services map[id.Service]Service, limits Limits) *Configuration {
	c := &Configuration{Version: version, Services: map[id.Service]Service{}, Limits: limits, byHost: map[string][]*Route{}}
	c.boundLimits()
	for name, s := range services {
		c.boundService(&s)
		c.Services[name] = s
	}
	for i := range routes {
		c.boundRoute(&routes[i])
		host := strings.ToLower(routes[i].Host)
		c.byHost[host] = append(c.byHost[host], &routes[i])
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return -cmp.Compare(len(a.Prefix), len(b.Prefix)) })
	}
	return c
}

// Match returns the route of the host whose prefix is the longest that matches the path. A port in host is ignored.
func (c *Configuration) Match(host, path string) (r *Route, found bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// RouteCount returns the number of routes.
func (c *Configuration) RouteCount() (n int) {
	for _, list := range c.byHost {
		n += len(list)
	}
	return n
}
