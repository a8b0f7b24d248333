// Package config defines the operators' configuration: services, routes and failure domains.
//
// One document holds the base and an overlay for each site. An overlay is a
// JSON merge patch (RFC 7396), so it holds only what differs at that site.
// All collections are maps by name, so that a patch can change a single field.
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

// MaxServersPerGroup is the maximum number of backend servers in a group, and so under one lease.
const MaxServersPerGroup = 16

// Document is the configuration of all sites as stored.
type Document struct {
	// Base is the configuration that all sites share.
	Base json.RawMessage
	// Overlays holds, for each site, a merge patch that is applied to Base.
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
	// Out takes the failure domain out of service: its backend servers get no new requests.
	Out bool
}

// Service is a set of backend servers that serve the same requests.
type Service struct {
	Servers map[id.Server]Server
	// Keyed says that the service is sharded by key: each key has one owner among the backend servers.
	Keyed bool
	// Slices is the number of slices (shards) that the key space is divided into.
	Slices int
	// Slots is the upper bound of a backend server's concurrency limit, in requests.
	Slots int
	// Connections is the maximum number of connections that a backend server accepts.
	Connections int
	// ColdSlots is the concurrency limit of a backend server just after its start, in requests.
	ColdSlots int
	// QueuePerServer is the maximum number of queued requests per backend server.
	QueuePerServer int
	// Fenced says that the backend servers check the fence of each request.
	Fenced bool
	// ProbePath is the path of health probes to an idle backend server.
	ProbePath string
	// ProbePeriod is the time between two probes of an idle backend server.
	ProbePeriod unit.Duration
}

// Server is one backend server.
type Server struct {
	// Address is the IP address and port.
	Address       string
	FailureDomain id.Domain
	// Group names the group, and so the lease, that the server belongs to. The default is the service with the
	// failure domain.
	Group id.Group
	// Out takes the backend server out of service: it gets no new requests.
	Out bool
}

// Route maps the requests that match it to a service.
type Route struct {
	Service id.Service
	// Methods lists the HTTP methods that match; an empty list matches all.
	Methods []string
	// Host is the host that matches; if it is empty, all hosts match.
	Host string
	// Path is a pattern as in net/http, for example /plans/{subscriber}.
	Path string
	// Headers lists header fields that a request must have with these values.
	Headers map[string]string
	// Key is the source of the shard key if the service is keyed.
	Key Key
	// Idempotent says that a request may be run more than once.
	Idempotent bool
	// Retries is the maximum number of retries of an idempotent request after an unknown outcome; an attempt that was not
	// run doesn't count.
	Retries int
	// Hedge sends a slow idempotent request to a second backend server while the first attempt is in flight.
	Hedge bool
	// Timeout is the maximum time of a request with all its attempts.
	Timeout unit.Duration
	// Wait is the maximum time in the queue.
	Wait unit.Duration
	// MaxBody is the maximum size of a request's body.
	MaxBody unit.Size
}

// Key is the source of a request's shard key. Exactly one field is set.
type Key struct {
	Header   string
	PathPart string
	Query    string
}

// IsZero reports whether no source is set.
func (k Key) IsZero() bool { return k == Key{} }

// Default values of fields that a configuration leaves out.
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

// Decode decodes a document without validating its sites. Document.Check validates them.
func Decode(data []byte) (doc Document, problems strict.Problems) {
	problems = strict.Decode(data, &doc)
	if len(problems) == 0 && doc.Base == nil {
		problems.Add("Base", "the field is missing")
	}
	return doc, problems
}

// Site returns the configuration of one site, with defaults set, and all its problems.
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

// Check returns the problems of all sites. Paths start with the site's name, or with no name if there are no overlays.
func (d Document) Check() (problems strict.Problems) {
	names := []id.Site{""}
	for name := range d.Overlays {
		names = append(names, name)
	}
	if len(d.Overlays) > 0 {
		// The base alone may be incomplete if overlays complete it.
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
