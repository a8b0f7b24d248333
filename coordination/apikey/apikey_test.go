package apikey_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/apikey"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// newConfiguration returns a configuration with the customer "acme", whose key is "k1".
func newConfiguration() *fleet.Configuration {
	c := fleet.NewConfiguration(1, nil, nil, fleet.Limits{})
	c.Customers = fleet.NewCustomers(1)
	c.Customers.Add(fleet.Customer{Name: "acme"}, fleet.DigestKey("k1"))
	return c
}

// A request must be served only for the customer whose key it carries, and a key that may be valid must not be called unknown: the
// caller would give up for good.
func TestIdentify(t *testing.T) {
	longest := strings.Repeat("k", apikey.MaxKeyBytes)
	tests := map[string]struct {
		values    []string
		public    bool
		keyless   bool
		freshness apikey.Freshness
		customer  id.Customer
		want      apikey.Rejection
	}{
		"a known key":                            {values: []string{"k1"}, customer: "acme"},
		"an unknown key":                         {values: []string{"k2"}, want: apikey.Unknown},
		"no key":                                 {want: apikey.Missing},
		"an empty key":                           {values: []string{""}, want: apikey.Empty},
		"the same key twice":                     {values: []string{"k1", "k1"}, want: apikey.Repeated},
		"two keys in one value":                  {values: []string{"k1,k1"}, want: apikey.Unknown},
		"a blank before the key":                 {values: []string{" k1"}, want: apikey.Malformed},
		"a blank after the key":                  {values: []string{"k1 "}, want: apikey.Malformed},
		"a scheme before the key":                {values: []string{"Bearer k1"}, want: apikey.Malformed},
		"a control character":                    {values: []string{"k1\x7f"}, want: apikey.Malformed},
		"a character beyond ASCII":               {values: []string{"k1é"}, want: apikey.Malformed},
		"another case":                           {values: []string{"K1"}, want: apikey.Unknown},
		"the longest key":                        {values: []string{longest}, want: apikey.Unknown},
		"a key that is too long":                 {values: []string{longest + "k"}, want: apikey.TooLong},
		"a known key, stale":                     {values: []string{"k1"}, freshness: apikey.MayLackKeys, customer: "acme"},
		"an unknown key, stale":                  {values: []string{"k2"}, freshness: apikey.MayLackKeys, want: apikey.MayBeNew},
		"no key, stale":                          {freshness: apikey.MayLackKeys, want: apikey.Missing},
		"a malformed key, stale":                 {values: []string{"k 2"}, freshness: apikey.MayLackKeys, want: apikey.Malformed},
		"a known key, perhaps revoked":           {values: []string{"k1"}, freshness: apikey.MayHoldRevokedKeys, want: apikey.MayBeRevoked},
		"an unknown key, perhaps revoked":        {values: []string{"k2"}, freshness: apikey.MayHoldRevokedKeys, want: apikey.MayBeRevoked},
		"a public route":                         {public: true},
		"a public route with a known key":        {values: []string{"k1"}, public: true},
		"a public route, perhaps revoked":        {public: true, freshness: apikey.MayHoldRevokedKeys},
		"a configuration without customers":      {values: []string{"k2"}, keyless: true},
		"a stale configuration without customer": {keyless: true, freshness: apikey.MayHoldRevokedKeys},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newConfiguration()
			if test.keyless {
				c.Customers = nil
			}
			customer, rejection := apikey.Identify(c, &fleet.Route{Public: test.public}, test.values, test.freshness)
			is.Equal(rejection, test.want)
			is.Equal(customer != nil, test.customer != "")
			if customer != nil {
				is.Equal(customer.Name, test.customer)
			}
		})
	}
}

// A configuration with an empty list of customers must reject all keys. It is not one without customers.
func TestNoCustomers(t *testing.T) {
	is := is.New(t)
	c := newConfiguration()
	c.Customers = fleet.NewCustomers(0)
	_, rejection := apikey.Identify(c, &fleet.Route{}, []string{"k1"}, apikey.Current)
	is.Equal(rejection, apikey.Unknown)
}

// Only rejections that depend on the age of the configuration may be answered with 503, which tells callers to try again.
func TestIsTemporary(t *testing.T) {
	is := is.New(t)
	for _, r := range []apikey.Rejection{apikey.Missing, apikey.Empty, apikey.Repeated, apikey.TooLong, apikey.Malformed, apikey.Unknown} {
		is.True(!r.IsTemporary())
	}
	is.True(apikey.MayBeNew.IsTemporary())
	is.True(apikey.MayBeRevoked.IsTemporary())
}

// The cost of a lookup must not depend on the number of customers.
func BenchmarkIdentify(b *testing.B) {
	for name, customers := range map[string]int{"75": 75, "100000": 100_000} {
		b.Run(name, func(b *testing.B) {
			c := fleet.NewConfiguration(1, nil, nil, fleet.Limits{})
			c.Customers = fleet.NewCustomers(customers)
			keys := make([][]string, customers)
			for i := range keys {
				key := strings.Repeat(string(rune('a'+i%26)), 20) + strconv.Itoa(i)
				keys[i] = []string{key}
				c.Customers.Add(fleet.Customer{Name: id.Customer(key)}, fleet.DigestKey(key))
			}
			route := &fleet.Route{}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if customer, _ := apikey.Identify(c, route, keys[i%customers], apikey.Current); customer == nil {
					b.Fatal("the key is not found")
				}
			}
		})
	}
}
