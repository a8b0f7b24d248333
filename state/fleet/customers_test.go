package fleet_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// A key must identify only the customer that holds it, also where two customers claim the same key: requests would otherwise be
// charged to another customer.
func TestCustomersByKey(t *testing.T) {
	c := fleet.NewCustomers(3)
	c.Add(fleet.Customer{Name: "a"}, fleet.DigestKey("k1"), fleet.DigestKey("k2"))
	c.Add(fleet.Customer{Name: "b"}, fleet.DigestKey("k2"), fleet.DigestKey("k3"))
	tests := map[string]struct {
		key   string
		want  id.Customer
		found bool
	}{
		"known key":                    {key: "k1", want: "a", found: true},
		"key of two customers":         {key: "k2", want: "a", found: true},
		"other key of the second":      {key: "k3", want: "b", found: true},
		"unknown key":                  {key: "k4"},
		"empty key":                    {key: ""},
		"known key with a blank added": {key: "k1 "},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			customer, found := c.ByKey(fleet.DigestKey(test.key))
			is.Equal(found, test.found)
			if found {
				is.Equal(customer.Name, test.want)
			}
		})
	}
}
