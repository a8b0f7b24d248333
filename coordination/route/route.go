// Package route finds the route of a request and the key that the route names.
//
// Of the routes that match, the most particular one wins: one with a host
// before one without, then the one with more literal path parts, then the one
// whose path has no trailing wildcard, then the one with more header fields,
// then the one that names the method.
//
// # Usage
//
//	m := route.NewMatcher(site.Routes)
//	match, err := m.Match(request)
package route

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"strings"

	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
)

// Match is the route of a request.
type Match struct {
	Name  id.Route
	Route config.Route
	parts map[string]string
}

type part struct {
	text string
	// name is the name of a wildcard, or empty for a literal part.
	name string
	rest bool
}

type rule struct {
	name  id.Route
	route config.Route
	parts []part
}

// Matcher finds routes; it is made once for each configuration.
type Matcher struct {
	// rules are in the order in which the first match wins.
	rules []rule
}

// NewMatcher returns a matcher of routes.
func NewMatcher(routes map[id.Route]config.Route) *Matcher {
	m := &Matcher{}
	for name, r := range routes {
		m.rules = append(m.rules, rule{name: name, route: r, parts: parse(r.Path)})
	}
	slices.SortFunc(m.rules, compare)
	return m
}

func parse(path string) (out []part) {
	for text := range strings.SplitSeq(strings.TrimPrefix(path, "/"), "/") {
		p := part{text: text}
		if strings.HasPrefix(text, "{") && strings.HasSuffix(text, "}") {
			p.name = strings.Trim(text, "{}")
			p.rest = strings.HasSuffix(p.name, "...")
			p.name = strings.TrimSuffix(p.name, "...")
		}
		out = append(out, p)
	}
	return out
}

// compare puts the more particular of two rules first.
func compare(a, b rule) int {
	return cmp.Or(
		-cmp.Compare(len(a.route.Host), len(b.route.Host)),
		-cmp.Compare(a.literals(), b.literals()),
		cmp.Compare(a.wildness(), b.wildness()),
		-cmp.Compare(len(a.route.Headers), len(b.route.Headers)),
		-cmp.Compare(min(len(a.route.Methods), 1), min(len(b.route.Methods), 1)),
		cmp.Compare(a.name, b.name),
	)
}

func (r rule) literals() (n int) {
	for _, p := range r.parts {
		if p.name == "" && !p.rest {
			n++
		}
	}
	return n
}

func (r rule) wildness() int {
	if len(r.parts) > 0 && r.parts[len(r.parts)-1].rest {
		return 1
	}
	return 0
}

// Match returns the route of a request, or a refusal.
func (m *Matcher) Match(req *http.Request) (match Match, err error) {
	for _, r := range m.rules {
		if !r.takes(req.Method) {
			continue
		}
		if parts, ok := r.matches(req); ok {
			return Match{Name: r.name, Route: r.route, parts: parts}, nil
		}
	}
	if allowed := m.AllowedMethods(req); len(allowed) > 0 {
		return Match{}, outcome.NotRun(outcome.WrongMethod, "no route takes %s at %s; allowed are %s", req.Method, req.URL.Path, strings.Join(allowed, ", "))
	}
	return Match{}, outcome.NotRun(outcome.NoRoute, "no route matches %s", req.URL.Path)
}

// AllowedMethods returns the methods for which the request would have a route, in order.
func (m *Matcher) AllowedMethods(req *http.Request) (methods []string) {
	for _, r := range m.rules {
		if _, ok := r.matches(req); ok {
			methods = append(methods, r.route.Methods...)
		}
	}
	slices.Sort(methods)
	return slices.Compact(methods)
}

func (r rule) takes(method string) bool {
	return len(r.route.Methods) == 0 || slices.Contains(r.route.Methods, method)
}

func (r rule) matches(req *http.Request) (parts map[string]string, ok bool) {
	if r.route.Host != "" && !strings.EqualFold(r.route.Host, hostOnly(req.Host)) {
		return nil, false
	}
	for name, value := range r.route.Headers {
		if req.Header.Get(name) != value {
			return nil, false
		}
	}
	return r.matchPath(strings.TrimPrefix(req.URL.Path, "/"))
}

func (r rule) matchPath(path string) (parts map[string]string, ok bool) {
	more := true
	for _, p := range r.parts {
		if !more {
			return nil, false
		}
		if p.rest {
			parts = with(parts, p.name, path)
			return parts, true
		}
		var text string
		text, path, more = strings.Cut(path, "/")
		switch {
		case p.name != "" && text == "":
			return nil, false
		case p.name != "":
			parts = with(parts, p.name, text)
		case p.text != text:
			return nil, false
		}
	}
	return parts, !more
}

func with(m map[string]string, name, value string) map[string]string {
	if m == nil {
		m = map[string]string{}
	}
	m[name] = value
	return m
}

func hostOnly(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// Key returns the key that the route names, or a refusal where the request lacks it.
func (m Match) Key(req *http.Request) (key string, err error) {
	source := ""
	switch k := m.Route.Key; {
	case k.Header != "":
		key, source = req.Header.Get(k.Header), "header field "+k.Header
	case k.Query != "":
		key, source = req.URL.Query().Get(k.Query), "query parameter "+k.Query
	default:
		key, source = m.parts[k.PathPart], "path part "+k.PathPart
	}
	if key == "" {
		return "", outcome.NotRun(outcome.NoKey, "route %s takes its key from the %s, which is empty", m.Name, source)
	}
	return key, nil
}
