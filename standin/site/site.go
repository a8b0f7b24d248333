// Package site defines the two deployments that the demonstrations and measurements use, and builds their configurations.
//
// # Usage
//
//	plan := site.Noor()
//	config := plan.Config(func(s id.Server) string { return addresses[s] })
package site

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/unit"
)

// Plan describes the size and the services of a deployment.
type Plan struct {
	Site     id.Site
	Domains  []id.Domain
	VMs      int
	Services []Service
	// Connections is the number of connections that a backend server accepts.
	Connections int
	// ProbeTime is the time a backend server takes to answer a health probe.
	ProbeTime time.Duration
}

// Service describes one service of a deployment.
type Service struct {
	Name    id.Service
	Servers int
	Keyed   bool
	Fenced  bool
	// Slices is the number of slices; 0 means the default.
	Slices int
	Routes map[id.Route]config.Route
}

// slotsPerServer is the number of requests that a backend server runs concurrently in both deployments.
const slotsPerServer = 4

// Noor returns the deployment of Noor al-Layl: three failure domains, four services.
func Noor() Plan {
	return Plan{
		Site: "noor", Domains: []id.Domain{"amman", "irbid", "zarqa"}, VMs: 10,
		Connections: 130, ProbeTime: 6 * time.Millisecond,
		Services: []Service{
			{Name: "plans", Servers: 10, Keyed: true, Fenced: true, Routes: map[id.Route]config.Route{
				"plan-view":   readRoute("/plans/{subscriber}", "subscriber"),
				"plan-change": writeRoute("/plans/{subscriber}/changes", "subscriber"),
			}},
			{Name: "renewals", Servers: 6, Routes: map[id.Route]config.Route{
				"renew": writeRoute("/renewals", ""), "cancel": writeRoute("/cancellations", ""),
			}},
			{Name: "installations", Servers: 8, Routes: map[id.Route]config.Route{
				"installation-view": hedgedRoute("/installations/{record}"),
			}},
			{Name: "deliveries", Servers: 9, Routes: map[id.Route]config.Route{
				"delivery-view": hedgedRoute("/deliveries/{day}"),
			}},
		},
	}
}

// Ardlarach returns the deployment of Ardlarach Software: four failure domains, four services.
func Ardlarach() Plan {
	return Plan{
		Site: "ardlarach", Domains: []id.Domain{"islay", "jura", "mull", "skye"}, VMs: 11,
		Connections: 55,
		Services: []Service{
			{Name: "sheets", Servers: 8, Routes: map[id.Route]config.Route{
				"sheet-view": hedgedRoute("/sheets/{site}"),
			}},
			{Name: "bookings", Servers: 8, Routes: map[id.Route]config.Route{
				"book": writeRoute("/bookings", ""),
			}},
			{Name: "archive", Servers: 10, Keyed: true, Fenced: true, Routes: map[id.Route]config.Route{
				"reading-view": readRoute("/archive/{site}", "site"),
				"reading-file": writeRoute("/archive/{site}/readings", "site"),
			}},
			{Name: "certificates", Servers: 8, Routes: map[id.Route]config.Route{
				"certify": writeRoute("/certificates", ""), "history-view": hedgedRoute("/certificates/{site}"),
			}},
		},
	}
}

// ByName returns the deployment with the given name, noor or ardlarach.
func ByName(name string) (p Plan, err error) {
	switch name {
	case "noor":
		return Noor(), nil
	case "ardlarach":
		return Ardlarach(), nil
	default:
		return p, errors.Newf("unknown deployment %q: want noor or ardlarach", name)
	}
}

// readRoute returns a route for idempotent reads; key names the path part with the key, or is empty.
func readRoute(path, key string) config.Route {
	return config.Route{
		Methods: []string{"GET"}, Path: path, Key: config.Key{PathPart: key}, Idempotent: true, Retries: 2,
		Timeout: unit.Duration(5 * time.Second), Wait: unit.Duration(2 * time.Second),
	}
}

// hedgedRoute returns a route for idempotent reads without a key that may be hedged.
func hedgedRoute(path string) config.Route {
	r := readRoute(path, "")
	r.Hedge = true
	return r
}

// writeRoute returns a route for writes, which run at most once; key names the path part with the key, or is empty.
func writeRoute(path, key string) config.Route {
	return config.Route{
		Methods: []string{"POST"}, Path: path, Key: config.Key{PathPart: key},
		Timeout: unit.Duration(5 * time.Second), Wait: unit.Duration(2 * time.Second),
	}
}

// ServerName returns the name of the n-th backend server of a service, counted from 0.
func ServerName(s id.Service, n int) id.Server {
	return id.Server(fmt.Sprintf("%s-%d", s, n+1))
}

// DomainOf returns the failure domain of the n-th VM or backend server, counted from 0.
func (p Plan) DomainOf(n int) id.Domain { return p.Domains[n%len(p.Domains)] }

// Config returns the site configuration; address returns the address of each backend server.
func (p Plan) Config(address func(id.Server) string) config.Site {
	site := config.Site{
		FailureDomains: map[id.Domain]config.FailureDomain{},
		Services:       map[id.Service]config.Service{},
		Routes:         map[id.Route]config.Route{},
	}
	for _, d := range p.Domains {
		site.FailureDomains[d] = config.FailureDomain{}
	}
	for _, s := range p.Services {
		service := config.Service{
			Servers: map[id.Server]config.Server{}, Keyed: s.Keyed, Fenced: s.Fenced, Slices: s.Slices,
			Slots: slotsPerServer, Connections: p.Connections,
		}
		for n := range s.Servers {
			name := ServerName(s.Name, n)
			service.Servers[name] = config.Server{Address: address(name), FailureDomain: p.DomainOf(n)}
		}
		site.Services[s.Name] = service
		for name, r := range s.Routes {
			r.Service = s.Name
			site.Routes[name] = r
		}
	}
	return site
}

// EncodeAccepted returns a configuration as it is encoded in the store, marked as accepted with an ID and a time.
func EncodeAccepted(c config.Site, change string, at time.Time) (value []byte, err error) {
	defer func() { err = errors.Wrap(err, "encode configuration") }()
	base, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	document, err := json.Marshal(config.Document{Base: base})
	if err != nil {
		return nil, err
	}
	return json.Marshal(config.Accepted{Change: change, Operator: "stand-in", At: at, Document: document})
}
