package route_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/route"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
)

var routes = map[id.Route]config.Route{
	"view":    {Methods: []string{"GET"}, Path: "/plans/{who}", Key: config.Key{PathPart: "who"}},
	"mine":    {Methods: []string{"GET"}, Path: "/plans/mine", Key: config.Key{Header: "Who"}},
	"search":  {Path: "/plans", Key: config.Key{Query: "who"}},
	"files":   {Path: "/files/{rest...}"},
	"beta":    {Path: "/plans/{who}", Headers: map[string]string{"X-Stage": "beta"}},
	"partner": {Host: "partner.example", Path: "/plans/{who}"},
}

func TestMatch(t *testing.T) {
	tests := map[string]struct {
		method, url string
		header      http.Header
		wanted      id.Route
		reason      outcome.Reason
	}{
		"wildcard":          {method: "GET", url: "/plans/7", wanted: "view"},
		"literal first":     {method: "GET", url: "/plans/mine", wanted: "mine"},
		"query":             {method: "POST", url: "/plans?who=7", wanted: "search"},
		"trailing wildcard": {method: "GET", url: "/files/a/b/c", wanted: "files"},
		"empty trailing":    {method: "GET", url: "/files/", wanted: "files"},
		"header first":      {method: "GET", url: "/plans/7", header: http.Header{"X-Stage": {"beta"}}, wanted: "beta"},
		"host first":        {method: "GET", url: "http://partner.example:8080/plans/7", header: http.Header{"X-Stage": {"beta"}}, wanted: "partner"},
		"wrong method":      {method: "DELETE", url: "/plans/7", reason: outcome.WrongMethod},
		"no route":          {method: "GET", url: "/nothing", reason: outcome.NoRoute},
		"empty wildcard":    {method: "GET", url: "/plans/", reason: outcome.NoRoute},
		"extra segment":     {method: "GET", url: "/plans/7/8", reason: outcome.NoRoute},
	}
	m := route.NewMatcher(routes)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			r := httptest.NewRequest(test.method, test.url, nil)
			for k, v := range test.header {
				r.Header[k] = v
			}
			match, err := m.Match(r)
			if test.reason != "" {
				i.Equal(outcome.FromError(err).Reason, test.reason)
				i.Equal(outcome.FromError(err).Outcome, outcome.KindNotRun)
				return
			}
			i.NoErr(err)
			i.Equal(match.Name, test.wanted)
		})
	}
}

func TestKey(t *testing.T) {
	i := is.New(t)
	m := route.NewMatcher(routes)
	for url, header := range map[string]string{"/plans/seven": "", "/plans/mine": "seven", "/plans?who=seven": ""} {
		r := httptest.NewRequest(http.MethodGet, url, nil)
		r.Header.Set("Who", header)
		match, err := m.Match(r)
		i.NoErr(err)
		key, err := match.Key(r)
		i.NoErr(err)
		i.Equal(key, "seven")
	}
	r := httptest.NewRequest(http.MethodGet, "/plans/mine", nil)
	match, err := m.Match(r)
	i.NoErr(err)
	_, err = match.Key(r)
	i.Equal(outcome.FromError(err).Reason, outcome.NoKey)
}

func FuzzMatch(f *testing.F) {
	f.Add("GET", "/plans/7?who=x", "a.example")
	f.Add("POST", "//plans//", "")
	f.Add("X", "/files/%2f..", "[::1]:80")
	m := route.NewMatcher(routes)
	f.Fuzz(func(t *testing.T, method, target, host string) {
		r, err := http.NewRequest(method, "http://h"+"/"+strings.TrimPrefix(target, "/"), nil)
		if err != nil {
			t.Skip()
		}
		r.Host = host
		if match, err := m.Match(r); err == nil {
			if len(match.Route.Methods) > 0 && match.Route.Methods[0] != r.Method {
				t.Fatalf("route %s matched, but does not allow method %s", match.Name, method)
			}
			if !match.Route.Key.IsZero() {
				_, _ = match.Key(r)
			}
		}
	})
}
