// Package site makes the configurations of the two deployments that the demonstrations and measurements use.
//
// # Usage
//
//	plan := site.Noor()
//	document, err := plan.Document(addresses)
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

// Plan describes a deployment.
type Plan struct {
	Site     id.Site
	Domains  []id.Domain
	VMs      int
	Services []Service
	// Connections is the number of connections that a backend server accepts.
	Connections int
	// ProbeTime is the time that a probe costs a backend server.
	ProbeTime time.Duration
}

// Service describes one service of a deployment.
type Service struct {
	Name    id.Service
	Servers int
	Keyed   bool
	Fenced  bool
	// Slices is the number of slices; 0 leaves it to the default.
	Slices int
	Routes map[id.Route]config.Route
}

// slots is the number of requests that a backend server runs at once at both deployments.
const slots = 4

// Noor is the deployment of Noor al-Layl: three failure domains, four services.
func Noor() Plan {
	return Plan{
		Site: "noor", Domains: []id.Domain{"amman", "irbid", "zarqa"}, VMs: 10,
		Connections: 130, ProbeTime: 6 * time.Millisecond,
		Services: []Service{
			{Name: "plans", Servers: 10, Keyed: true, Fenced: true, Routes: map[id.Route]config.Route{
				"plan-view":   read("/plans/{subscriber}", "subscriber"),
				"plan-change": once("/plans/{subscriber}/changes", "subscriber"),
			}},
			{Name: "renewals", Servers: 6, Routes: map[id.Route]config.Route{
				"renew": once("/renewals", ""), "cancel": once("/cancellations", ""),
			}},
			{Name: "installations", Servers: 8, Routes: map[id.Route]config.Route{
				"installation-view": hedged("/installations/{record}"),
			}},
			{Name: "deliveries", Servers: 9, Routes: map[id.Route]config.Route{
				"delivery-view": hedged("/deliveries/{day}"),
			}},
		},
	}
}

// Ardlarach is the deployment of Ardlarach Software: four failure domains, four services.
func Ardlarach() Plan {
	return Plan{
		Site: "ardlarach", Domains: []id.Domain{"islay", "jura", "mull", "skye"}, VMs: 11,
		Connections: 55,
		Services: []Service{
			{Name: "sheets", Servers: 8, Routes: map[id.Route]config.Route{
				"sheet-view": hedged("/sheets/{site}"),
			}},
			{Name: "bookings", Servers: 8, Routes: map[id.Route]config.Route{
				"book": once("/bookings", ""),
			}},
			{Name: "archive", Servers: 10, Keyed: true, Fenced: true, Routes: map[id.Route]config.Route{
				"reading-view": read("/archive/{site}", "site"),
				"reading-file": once("/archive/{site}/readings", "site"),
			}},
			{Name: "certificates", Servers: 8, Routes: map[id.Route]config.Route{
				"certify": once("/certificates", ""), "history-view": hedged("/certificates/{site}"),
			}},
		},
	}
}

// ByName returns the deployment of a name.
func ByName(name string) (p Plan, err error) {
	switch name {
	case "noor":
		return Noor(), nil
	case "ardlarach":
		return Ardlarach(), nil
	default:
		return p, errors.Newf("no deployment %q; known are noor and ardlarach", name)
	}
}

func read(path, key string) config.Route {
	return config.Route{
		Methods: []string{"GET"}, Path: path, Key: config.Key{PathPart: key}, Idempotent: true, Retries: 2,
		Timeout: unit.Duration(5 * time.Second), Wait: unit.Duration(2 * time.Second),
	}
}

func hedged(path string) config.Route {
	r := read(path, "")
	r.Hedge = true
	return r
}

func once(path, key string) config.Route {
	return config.Route{
		Methods: []string{"POST"}, Path: path, Key: config.Key{PathPart: key},
		Timeout: unit.Duration(5 * time.Second), Wait: unit.Duration(2 * time.Second),
	}
}

// ServerName returns the name of a service's backend server with a number from 0.
func ServerName(s id.Service, n int) id.Server {
	return id.Server(fmt.Sprintf("%s-%d", s, n+1))
}

// DomainOf returns the failure domain of what has a number from 0.
func (p Plan) DomainOf(n int) id.Domain { return p.Domains[n%len(p.Domains)] }

// Config returns the configuration of the site with the backend servers' addresses.
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
			Slots: slots, Connections: p.Connections,
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

// EncodeAccepted returns a configuration as it is kept in the store.
func EncodeAccepted(c config.Site, change string, at time.Time) (value []byte, err error) {
	defer func() { err = errors.Wrap(err, "encode the configuration") }()
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
