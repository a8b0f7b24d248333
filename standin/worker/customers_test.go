package worker_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/standin/worker"
)

// The soak relies on the worker to find a VM that passes a key on or names another customer.
func TestWorkerChecksCustomers(t *testing.T) {
	tests := map[string]struct {
		header   map[string]string
		violated string
	}{
		"own customer":                 {header: map[string]string{worker.HeaderExpectedCustomer: "a", "Tenant": "a"}},
		"no customers":                 {header: map[string]string{"Tenant": "a", "Key": "k"}},
		"public route":                 {header: map[string]string{worker.HeaderExpectedCustomer: worker.Public}},
		"customer on a public route":   {header: map[string]string{worker.HeaderExpectedCustomer: worker.Public, "Tenant": "a"}, violated: "as one of customer"},
		"another customer":             {header: map[string]string{worker.HeaderExpectedCustomer: "a", "Tenant": "b"}, violated: "as one of customer"},
		"customer is missing":          {header: map[string]string{worker.HeaderExpectedCustomer: "a"}, violated: "as one of customer"},
		"the key is passed on":         {header: map[string]string{worker.HeaderExpectedCustomer: "a", "Tenant": "a", "Key": "k"}, violated: "with an API key"},
		"an empty key is passed on":    {header: map[string]string{worker.HeaderExpectedCustomer: "a", "Tenant": "a", "Key": ""}, violated: "with an API key"},
		"the key of a public request ": {header: map[string]string{worker.HeaderExpectedCustomer: worker.Public, "Key": "k"}, violated: "with an API key"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j := worker.NewJournal()
			w := worker.New("i-1", "plans", j, worker.WithServiceTime(0))
			r := httptest.NewRequest(http.MethodGet, "/view/x", nil)
			for field, value := range test.header {
				r.Header.Set(field, value)
			}
			r.Header.Set(worker.HeaderSentAt, strconv.FormatInt(time.Now().UnixMicro(), 10))
			w.ServeHTTP(httptest.NewRecorder(), r)
			violations := strings.Join(j.Violations(), "\n")
			is.Equal(violations != "", test.violated != "")
			is.True(strings.Contains(violations, test.violated))
		})
	}
}

// A request counts in a window only if it was sent and has arrived within it; a wrong count would hide an allotment that is exceeded, or
// report one that isn't.
func TestMaxInWindow(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(sent, reached float64) worker.CustomerRun {
		return worker.CustomerRun{SentAt: start.Add(time.Duration(sent * float64(time.Second))), ReachedAt: start.Add(time.Duration(reached * float64(time.Second)))}
	}
	tests := map[string]struct {
		runs       []worker.CustomerRun
		begin, end float64
		want       int
	}{
		"none":                        {end: 100},
		"all in one window":           {runs: []worker.CustomerRun{at(4, 4), at(0, 1), at(2, 5)}, end: 100, want: 3},
		"two windows":                 {runs: []worker.CustomerRun{at(0, 0), at(4, 4), at(6, 6), at(8, 8), at(12, 12)}, end: 100, want: 3},
		"held up on its way":          {runs: []worker.CustomerRun{at(0, 6), at(1, 2), at(2, 3)}, end: 100, want: 2},
		"windows that begin too late": {runs: []worker.CustomerRun{at(0, 0), at(6, 6), at(7, 7), at(8, 8)}, end: 6, want: 1},
		"windows that begin before":   {runs: []worker.CustomerRun{at(0, 0), at(1, 1), at(2, 2), at(8, 8)}, begin: 3, end: 100, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			begin, end := at(test.begin, test.end).SentAt, at(test.begin, test.end).ReachedAt
			is.Equal(worker.MaxInWindow(test.runs, 5*time.Second, begin, end), test.want)
		})
	}
}
