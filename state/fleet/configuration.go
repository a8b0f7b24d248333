package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hickorylug/hickorylug/state/id"
)

// Configuration is the operators' document in the product's own terms.
type Configuration struct {
	// Version rises with each accepted document.
	Version  uint64
	Services map[id.Service]Service
	Limits   Limits

	byHost map[string][]*Route
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeader     int
	MaxBody       int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is a set of backend servers that do the same work.
type Service struct {
	Name       id.Service
	HealthPath string
	// MaxConnections is what one backend server accepts from all VMs together.
	MaxConnections int
	// WarmupTime is how long a started backend server stays cold.
	WarmupTime time.Duration
	// WarmupRate is the number of requests per second that a cold backend server bears.
	WarmupRate float64
	// Keyed says that keys are owned exclusively.
	Keyed bool
}

// Route binds the requests of a host and path prefix to services.
type Route struct {
	Name   id.Route
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most.
	Objective time.Duration
	// MaxAttempts bounds the backend servers that run one request.
	MaxAttempts int
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	Targets  []Target
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service id.Service
	Weight  int
}

// NewConfiguration indexes routes by host and longest prefix.
func NewConfiguration(version uint64, routes []Route, services map[id.Service]Service, limits Limits) *Configuration {
	c := &Configuration{Version: version, Services: services, Limits: limits, byHost: map[string][]*Route{}}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.byHost[host] = append(c.byHost[host], &routes[i])
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return -cmp.Compare(len(a.Prefix), len(b.Prefix)) })
	}
	return c
}

// Match returns the route of a host with the longest prefix of the path.
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
