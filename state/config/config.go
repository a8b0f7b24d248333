// Package config is the operators' configuration: services, routes and failure domains.
//
// One document holds the base and an overlay for each site. An overlay is a
// JSON merge patch (RFC 7396), so it states only what differs at that site.
// Everything is a map by name, so that a patch can reach a single field.
//
// # Usage
//
//	doc, problems := config.Decode(data)
//	if err := problems.Err(); err != nil {
//		return err
//	}
//	site, problems := doc.Site("noor")
package config

import (
	"encoding/json"
	"fmt"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/strict"
	"github.com/hickorylug/hickorylug/state/unit"
)

// MaxServersPerGroup is the number of backend servers that one lease may cover.
const MaxServersPerGroup = 16

// Document is the whole configuration as it is kept in the store.
type Document struct {
	// Base holds what all sites have in common.
	Base json.RawMessage
	// Overlays holds a merge patch for each site.
	Overlays map[id.Site]json.RawMessage
}

// Site is the configuration of one site, with its overlay applied.
type Site struct {
	FailureDomains map[id.Domain]FailureDomain
	Services       map[id.Service]Service
	Routes         map[id.Route]Route
}

// FailureDomain is a set of VMs and backend servers that fail together.
type FailureDomain struct {
	// Out takes the failure domain out: its backend servers get no new work.
	Out bool
}

// Service is a set of backend servers that do the same work.
type Service struct {
	Servers map[id.Server]Server
	// Keyed divides the service by key: each key has one owner among the backend servers.
	Keyed bool
	// Slices is the number of ranges that the key space is divided into.
	Slices int
	// Slots is the number of requests that a backend server runs at once.
	Slots int
	// Connections is the number of connections that a backend server accepts.
	Connections int
	// ColdSlots is the number of requests at once that a backend server bears just after its start.
	ColdSlots int
	// QueuePerServer is the number of requests that may wait for each backend server.
	QueuePerServer int
	// Fenced says that the backend servers check the fence of each request.
	Fenced bool
	// ProbePath is requested to learn whether an idle backend server is up.
	ProbePath string
	// ProbePeriod is the time between two probes of an idle backend server.
	ProbePeriod unit.Duration
}

// Server is one backend server.
type Server struct {
	// Address is the IP number and port.
	Address       string
	FailureDomain id.Domain
	// Group names the lease that covers the server; by default, service and failure domain.
	Group id.Group
	// Out takes the backend server out: it gets no new work.
	Out bool
}

// Route binds a kind of request to a service.
type Route struct {
	Service id.Service
	// Methods lists the HTTP methods that match; an empty list matches all.
	Methods []string
	// Host matches the request's host, where it is given.
	Host string
	// Path is a pattern as in net/http, for example /plans/{subscriber}.
	Path string
	// Headers must all be present with these values.
	Headers map[string]string
	// Key says where the key of a keyed service is found.
	Key Key
	// Idempotent says that a request may be run more than once.
	Idempotent bool
	// Retries is the number of times that an idempotent request may be sent again.
	Retries int
	// Hedge sends a second copy of a slow idempotent request to another backend server.
	Hedge bool
	// Timeout bounds the whole request.
	Timeout unit.Duration
	// Wait bounds the time in the queue.
	Wait unit.Duration
	// MaxBody bounds the request's body.
	MaxBody unit.Size
}

// Key says where a request's key is found; exactly one field is set.
type Key struct {
	Header   string
	PathPart string
	Query    string
}

// IsZero reports whether no source is named.
func (k Key) IsZero() bool { return k == Key{} }

// Default values of what a configuration leaves out.
const (
	DefaultSlices      = 1024
	DefaultSlots       = 4
	DefaultConnections = 55
	DefaultColdSlots   = 1
	DefaultQueue       = 16
	DefaultProbePeriod = 5 * time.Second
	DefaultTimeout     = 5 * time.Second
	DefaultWait        = 500 * time.Millisecond
	DefaultMaxBody     = 8 << 20
)

// Decode reads a document and checks its outer form; Check looks at every site.
func Decode(data []byte) (doc Document, problems strict.Problems) {
	problems = strict.Decode(data, &doc)
	if len(problems) == 0 && doc.Base == nil {
		problems.Add("Base", "the field is missing")
	}
	return doc, problems
}

// Site returns the configuration of one site and everything that is wrong with it.
func (d Document) Site(name id.Site) (site Site, problems strict.Problems) {
	merged := []byte(d.Base)
	if overlay, ok := d.Overlays[name]; ok {
		out, err := jsonpatch.MergePatch(d.Base, overlay)
		if err != nil {
			problems.Add(fmt.Sprintf("Overlays.%s", name), "not a merge patch: %v", err)
			return site, problems
		}
		merged = out
	}
	problems = strict.Decode(merged, &site)
	site.setDefaults()
	problems = append(problems, site.Check()...)
	return site, problems
}

// Check returns everything that is wrong at any site, each path beginning with the site's name.
func (d Document) Check() (problems strict.Problems) {
	names := []id.Site{""}
	for name := range d.Overlays {
		names = append(names, name)
	}
	if len(d.Overlays) > 0 {
		// A base that overlays complete need not stand alone.
		names = names[1:]
	}
	for _, name := range names {
		_, found := d.Site(name)
		for _, p := range found {
			if name != "" {
				p.Path = fmt.Sprintf("site %s: %s", name, p.Path)
			}
			problems = append(problems, p)
		}
	}
	return problems
}

func (s *Site) setDefaults() {
	for name, service := range s.Services {
		service.setDefaults(name)
		s.Services[name] = service
	}
	for name, route := range s.Routes {
		route.setDefaults()
		s.Routes[name] = route
	}
}

func (s *Service) setDefaults(name id.Service) {
	setDefault(&s.Slices, DefaultSlices)
	setDefault(&s.Slots, DefaultSlots)
	setDefault(&s.Connections, DefaultConnections)
	setDefault(&s.ColdSlots, DefaultColdSlots)
	setDefault(&s.QueuePerServer, DefaultQueue)
	setDefault(&s.ProbePath, "/healthz")
	setDefault(&s.ProbePeriod, unit.Duration(DefaultProbePeriod))
	for n, server := range s.Servers {
		setDefault(&server.Group, id.GroupOf(name, server.FailureDomain))
		s.Servers[n] = server
	}
}

func (r *Route) setDefaults() {
	setDefault(&r.Timeout, unit.Duration(DefaultTimeout))
	setDefault(&r.Wait, unit.Duration(DefaultWait))
	setDefault(&r.MaxBody, DefaultMaxBody)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
