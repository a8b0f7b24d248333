package fleet_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/strict"
)

// entry is a customer of a test configuration with its keys.
type entry struct {
	customer fleet.Customer
	keys     []string
}

func customersOf(entries []entry) *fleet.Customers {
	c := fleet.NewCustomers(len(entries))
	for _, e := range entries {
		var digests []fleet.KeyDigest
		for _, k := range e.keys {
			digests = append(digests, fleet.DigestKey(k))
		}
		c.Add(e.customer, digests...)
	}
	return c
}

func pathsOf(problems strict.Problems) (paths []string) {
	for _, p := range problems {
		paths = append(paths, p.Path)
	}
	return paths
}

// An operator must learn of every mistake of a version from one log line each, with its place; a check that stopped at the first one, or
// that reported a valid customer, would send the operator to the wrong entry.
func TestCheck(t *testing.T) {
	limited := func(name string, rate, burst float64) fleet.Customer {
		return fleet.Customer{Name: id.Customer(name), Allotment: fleet.Allotment{Rate: rate, Burst: burst}}
	}
	tests := map[string]struct {
		entries         []entry
		problems, notes []string
	}{
		"valid customers": {entries: []entry{{limited("a", 0, 0), []string{"k1", "k2", "k1"}}, {limited("b", 10, 5), []string{"k3"}}, {limited("c", 0.1, 1), []string{"k4"}}}},
		"two customers with one key": {
			entries:  []entry{{limited("a", 0, 0), []string{"k1"}}, {limited("b", 0, 0), []string{"k2", "k1"}}, {limited("c", 0, 0), []string{"k1"}}},
			problems: []string{`Tenants[1]("b").ApiKeys`, `Tenants[2]("c").ApiKeys`},
		},
		"two customers with one name": {
			entries:  []entry{{limited("a", 0, 0), []string{"k1"}}, {limited("a", 0, 0), []string{"k2"}}},
			problems: []string{`Tenants[1]("a").Name`},
		},
		"names that a header can't hold": {
			entries:  []entry{{limited("", 0, 0), []string{"k1"}}, {limited("a\r\nKey: b", 0, 0), []string{"k2"}}, {limited("a ", 0, 0), []string{"k3"}}},
			problems: []string{`Tenants[0]("").Name`, `Tenants[1]("a\r\nKey: b").Name`, `Tenants[2]("a ").Name`},
		},
		"allotments": {
			entries: []entry{
				{limited("a", 0.1, 0.4), []string{"k1"}},
				{limited("b", 0, 4), []string{"k2"}},
				{limited("c", -1, 0), []string{"k3"}},
				{limited("d", math.NaN(), 0), []string{"k4"}},
				{limited("e", 1, -1), []string{"k5"}},
			},
			problems: []string{`Tenants[0]("a").RatePerS`, `Tenants[1]("b").Burst`, `Tenants[2]("c").RatePerS`, `Tenants[3]("d").RatePerS`, `Tenants[4]("e").Burst`},
		},
		"a customer without keys is a note": {entries: []entry{{customer: limited("a", 0, 0)}}, notes: []string{`Tenants[0]("a").ApiKeys`}},
		"negative priority": {
			entries:  []entry{{fleet.Customer{Name: "a", Priority: -1, HasPriority: true}, []string{"k1"}}},
			problems: []string{`Tenants[0]("a").Priority`},
		},
		"several at once": {
			entries:  []entry{{limited("a b", 0, 1), []string{"k1"}}, {limited("\x01", 0.01, 0), []string{"k1"}}},
			problems: []string{`Tenants[0]("a b").Burst`, `Tenants[1]("\x01").Name`, `Tenants[1]("\x01").RatePerS`, `Tenants[1]("\x01").ApiKeys`},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := fleet.NewConfiguration(1, []fleet.Route{{Name: "r", Host: "h", Public: true}}, nil, fleet.Limits{})
			c.Customers = customersOf(test.entries)
			f := c.Check(5 * time.Second)
			is.Equal(pathsOf(f.Problems), test.problems)
			is.Equal(pathsOf(f.Notes), test.notes)
		})
	}
}

func TestCheckPublicRoutesWithoutCustomers(t *testing.T) {
	is := is.New(t)
	c := fleet.NewConfiguration(1, []fleet.Route{{Name: "r", Host: "b", Public: true}, {Name: "s", Host: "a", Public: true}, {Name: "t", Host: "a"}}, nil, fleet.Limits{})
	f := c.Check(5 * time.Second)
	is.Equal(pathsOf(f.Problems), []string{"Listeners.a.Rules.s.Public", "Listeners.b.Rules.r.Public"})
	is.Equal(len(f.Notes), 0)
}

// A caller can't send a key with such a character, so the customer's requests would all be rejected. What is said about a key must not
// repeat it.
func TestCheckKey(t *testing.T) {
	tests := map[string]struct {
		key   string
		valid bool
	}{
		"usual key":         {key: "zK7-secret_09.~", valid: true},
		"blank inside":      {key: "secret key"},
		"not ASCII":         {key: "secretß"},
		"empty":             {key: ""},
		"trailing tab":      {key: "secret\t"},
		"line break":        {key: "secret\r\nTenant: b"},
		"delete":            {key: "secret\x7f"},
		"as long as can be": {key: strings.Repeat("x", 1024), valid: true},
		"too long":          {key: "secret" + strings.Repeat("x", 1024)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			problem := fleet.CheckKey(test.key)
			is.Equal(problem == "", test.valid)
			is.True(!strings.Contains(problem, "secret"))
		})
	}
}

func TestCheckCustomerName(t *testing.T) {
	tests := map[string]struct {
		name  id.Customer
		valid bool
	}{
		"usual name":     {name: "shop-7", valid: true},
		"blank inside":   {name: "shop 7", valid: true},
		"not ASCII":      {name: "Bäckerei", valid: true},
		"leading blank":  {name: " shop"},
		"line break":     {name: "shop\nKey: b"},
		"zero byte":      {name: "shop\x00"},
		"longer than it": {name: id.Customer(strings.Repeat("x", 257))},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(fleet.CheckCustomerName(test.name) == "", test.valid)
		})
	}
}

// An entry that the decoder skips must be reported at its place, and the places of the entries after it must stay right. The number of
// reports is bounded, since a document may have 100,000 entries.
func TestCheckReportsSkippedEntries(t *testing.T) {
	is := is.New(t)
	c := fleet.NewConfiguration(1, nil, nil, fleet.Limits{})
	c.Customers = fleet.NewCustomers(0)
	c.Customers.Skip("a", "the name is taken")
	c.Customers.Add(fleet.Customer{Name: "b"})
	is.Equal(pathsOf(c.Check(time.Second).Problems), []string{`Tenants[0]("a")`})
	is.Equal(pathsOf(c.Check(time.Second).Notes), []string{`Tenants[1]("b").ApiKeys`})
	for range 1000 {
		c.Customers.Skip("c", "the name is taken")
	}
	problems := c.Check(time.Second).Problems
	is.Equal(len(problems), 101)
	is.Equal(problems[100].Message, "901 more entries can't be used")
}

// A check runs at every VM when a version comes into force, also on the smallest VM with the largest document.
func BenchmarkCheck(b *testing.B) {
	c := fleet.NewConfiguration(1, nil, nil, fleet.Limits{})
	c.Customers = fleet.NewCustomers(100_000)
	for i := range 100_000 {
		name := fmt.Sprint("customer", i)
		c.Customers.Add(fleet.Customer{Name: id.Customer(name), Allotment: fleet.Allotment{Rate: 1}}, fleet.DigestKey(name))
	}
	b.ReportAllocs()
	for b.Loop() {
		c.Check(5 * time.Second)
	}
}
