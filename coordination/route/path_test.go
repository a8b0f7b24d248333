package route_test

import (
	"net/url"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/route"
)

// An encoded slash chose another route, as if it separated segments.
func TestPath(t *testing.T) {
	tests := map[string]struct{ target, want string }{
		"plain":                        {"/plans/7?q=%2F", "/plans/7"},
		"an encoded slash":             {"/plans/renewals%2F2026", "/plans/renewals%2F2026"},
		"an encoded slash, small":      {"/plans/renewals%2f2026", "/plans/renewals%2F2026"},
		"an encoded slash at the end":  {"/plans%2F", "/plans%2F"},
		"an encoded slash at first":    {"/%2Fplans/7", "/%2Fplans/7"},
		"an encoded percent sign":      {"/plans/renewals%252F2026", "/plans/renewals%2F2026"},
		"an encoded letter":            {"/%70lans/7", "/plans/7"},
		"encoded beside a slash":       {"/%70lans%2F7", "/plans%2F7"},
		"not ASCII":                    {"/pl%C3%A4ne/7", "/pläne/7"},
		"empty segments":               {"//plans//7", "//plans//7"},
		"dot segments":                 {"/plans/../renewals/./7", "/plans/../renewals/./7"},
		"encoded dot segments":         {"/plans/%2E%2e/renewals/7", "/plans/../renewals/7"},
		"encoded dots and slash":       {"/plans/%2E%2E%2Frenewals/7", "/plans/..%2Frenewals/7"},
		"a path in absolute form":      {"http://a.example/plans/renewals%2F2026", "/plans/renewals%2F2026"},
		"no path in the absolute form": {"http://a.example", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u, err := url.ParseRequestURI(test.target)
			is.NoErr(err)
			is.Equal(route.Path(u), test.want)
		})
	}
}
