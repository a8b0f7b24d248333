// Package route matches requests to routes and extracts the shard key of a request.
//
// Of the routes that match, the most specific one wins: a route with a host
// precedes one without, then the route with more literal path segments, then
// the one without a trailing wildcard, then the one with more header fields,
// then the one that lists the method.
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

// Match is a route that matches a request, with the values of its path wildcards.
type Match struct {
	Name       id.Route
	Route      config.Route
	pathValues map[string]string
}

// segment is one part of a route's path pattern, between two slashes.
type segment struct {
	text string
	// name is the name of a wildcard, or empty for a literal segment.
	name string
	// trailing says that the wildcard matches the rest of the path, as in {name...}.
	trailing bool
}

// rule is a route with its parsed path pattern.
type rule struct {
	name     id.Route
	route    config.Route
	segments []segment
}

// Matcher matches requests to the routes of one configuration. It is immutable and safe for concurrent use.
type Matcher struct {
	// rules are sorted from the most to the least specific; the first match wins.
	rules []rule
}

// NewMatcher returns a Matcher for the routes.
func NewMatcher(routes map[id.Route]config.Route) *Matcher {
	m := &Matcher{}
	for name, r := range routes {
		m.rules = append(m.rules, rule{name: name, route: r, segments: parsePath(r.Path)})
	}
	slices.SortFunc(m.rules, compareSpecificity)
	return m
}

func parsePath(path string) (out []segment) {
	for text := range strings.SplitSeq(strings.TrimPrefix(path, "/"), "/") {
		s := segment{text: text}
		if strings.HasPrefix(text, "{") && strings.HasSuffix(text, "}") {
			s.name = strings.Trim(text, "{}")
			s.trailing = strings.HasSuffix(s.name, "...")
			s.name = strings.TrimSuffix(s.name, "...")
		}
		out = append(out, s)
	}
	return out
}

// compareSpecificity orders the more specific of two rules first. Names break ties, so that all VMs use the same order.
func compareSpecificity(a, b rule) int {
	return cmp.Or(
		-cmp.Compare(len(a.route.Host), len(b.route.Host)),
		-cmp.Compare(a.literalSegments(), b.literalSegments()),
		cmp.Compare(a.trailingWildcards(), b.trailingWildcards()),
		-cmp.Compare(len(a.route.Headers), len(b.route.Headers)),
		-cmp.Compare(min(len(a.route.Methods), 1), min(len(b.route.Methods), 1)),
		cmp.Compare(a.name, b.name),
	)
}

func (r rule) literalSegments() (n int) {
	for _, s := range r.segments {
		if s.name == "" && !s.trailing {
			n++
		}
	}
	return n
}

// trailingWildcards returns 1 if the path ends with a trailing wildcard, else 0.
func (r rule) trailingWildcards() int {
	if len(r.segments) > 0 && r.segments[len(r.segments)-1].trailing {
		return 1
	}
	return 0
}

// Match returns the route of a request. The error is an outcome.Error with reason WrongMethod or NoRoute.
func (m *Matcher) Match(req *http.Request) (match Match, err error) {
	for _, r := range m.rules {
		if !r.allowsMethod(req.Method) {
			continue
		}
		if values, ok := r.matches(req); ok {
			return Match{Name: r.name, Route: r.route, pathValues: values}, nil
		}
	}
	if allowed := m.AllowedMethods(req); len(allowed) > 0 {
		return Match{}, outcome.NotRun(outcome.WrongMethod, "no route takes %s at %s; allowed are %s", req.Method, req.URL.Path, strings.Join(allowed, ", "))
	}
	return Match{}, outcome.NotRun(outcome.NoRoute, "no route matches %s", req.URL.Path)
}

// AllowedMethods returns the methods that routes accept for the request's host, header and path, sorted.
func (m *Matcher) AllowedMethods(req *http.Request) (methods []string) {
	for _, r := range m.rules {
		if _, ok := r.matches(req); ok {
			methods = append(methods, r.route.Methods...)
		}
	}
	slices.Sort(methods)
	return slices.Compact(methods)
}

func (r rule) allowsMethod(method string) bool {
	return len(r.route.Methods) == 0 || slices.Contains(r.route.Methods, method)
}

// matches reports whether the request matches in everything but the method, and returns the values of path wildcards.
func (r rule) matches(req *http.Request) (values map[string]string, ok bool) {
	if r.route.Host != "" && !strings.EqualFold(r.route.Host, stripPort(req.Host)) {
		return nil, false
	}
	for name, value := range r.route.Headers {
		if req.Header.Get(name) != value {
			return nil, false
		}
	}
	return r.matchPath(strings.TrimPrefix(Path(req.URL), "/"))
}

func (r rule) matchPath(path string) (values map[string]string, ok bool) {
	more := true
	for _, s := range r.segments {
		if !more {
			return nil, false
		}
		if s.trailing {
			values = withValue(values, s.name, path)
			return values, true
		}
		var text string
		text, path, more = strings.Cut(path, "/")
		switch {
		case s.name != "" && text == "":
			return nil, false
		case s.name != "":
			values = withValue(values, s.name, text)
		case s.text != text:
			return nil, false
		}
	}
	return values, !more
}

func withValue(m map[string]string, name, value string) map[string]string {
	if m == nil {
		m = map[string]string{}
	}
	m[name] = value
	return m
}

func stripPort(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// Key returns the request's shard key, read from where the route says. The error is an outcome.Error with reason NoKey.
func (m Match) Key(req *http.Request) (key string, err error) {
	source := ""
	switch k := m.Route.Key; {
	case k.Header != "":
		key, source = req.Header.Get(k.Header), "header field "+k.Header
	case k.Query != "":
		key, source = req.URL.Query().Get(k.Query), "query parameter "+k.Query
	default:
		key, source = m.pathValues[k.PathPart], "path part "+k.PathPart
	}
	if key == "" {
		return "", outcome.NotRun(outcome.NoKey, "route %s takes its key from the %s, which is empty", m.Name, source)
	}
	return key, nil
}
