package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/protocol/customers"
	"github.com/hickorylug/hickorylug/protocol/outcome"
)

// startVM starts a stand-in for the metrics of an entry VM and returns its address. Each reading returns the next of the values, and the
// last one again.
func startVM(t *testing.T, values ...customers.Metrics) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"InFlight": 3, "Customers": values[0]})
		values = values[min(1, len(values)-1):]
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func admitted(n uint64) customers.Counts {
	return customers.Counts{Requests: n + 5, Admitted: n, Served: n - 1, Limited: 5, Refused: map[outcome.Reason]uint64{outcome.Overloaded: 1}}
}

// The answer to "we get 429" is the use of the whole fleet beside the allotment, so the sums must hold every VM that was read, and a VM
// that gave no figures must be named.
func TestFleetReport(t *testing.T) {
	is := is.New(t)
	allotment := func(share float64, tokens int) []customers.Allotment {
		return []customers.Allotment{{Customer: "shop", RatePerS: 20, Burst: 10, SharePerS: share, Tokens: tokens}}
	}
	a := startVM(t, customers.Metrics{Rows: []customers.Row{{Customer: "shop", Counts: admitted(100)}}},
		customers.Metrics{Rows: []customers.Row{{Customer: "shop", Counts: admitted(120)}, {Customer: "bank", Counts: admitted(3)}}, Allotments: allotment(12, 3), Unauthenticated: 4})
	b := startVM(t, customers.Metrics{Rows: []customers.Row{{Customer: "shop", Counts: admitted(50)}}},
		customers.Metrics{Rows: []customers.Row{{Customer: "shop", Counts: admitted(60), Missed: 7}}, Rest: admitted(9), Allotments: allotment(8, 1), Unauthenticated: 6})
	gone := "127.0.0.1:1"
	vms := []string{a, b, gone}
	r := newFleetReport(readVMs(vms), readVMs(vms), 2*time.Second)
	is.Equal(len(r.Errors), 1)
	is.True(r.Errors[gone] != "")
	is.Equal(r.Unauthenticated, uint64(10))
	is.Equal(r.Rest.Admitted, uint64(9))
	is.Equal(len(r.Customers), 2)
	shop := r.Customers[0]
	is.Equal(string(shop.Customer), "shop")
	is.Equal(shop.RatePerS, 20.0)
	is.Equal(shop.Total.Admitted, uint64(180))
	is.Equal(shop.Total.Limited, uint64(10))
	is.Equal(shop.Total.UsePerS, 15.0)
	is.Equal(shop.Total.SharePerS, 20.0)
	is.Equal(shop.Total.Tokens, 4)
	is.Equal(shop.Missed, uint64(7))
	is.Equal(shop.AtVMs[b].UsePerS, 5.0)

	var table, perVM strings.Builder
	is.NoErr(r.write(&table))
	is.NoErr(r.writeVMs(&perVM))
	fields := strings.Fields(strings.Split(table.String(), "\n")[1])
	is.Equal(fields, []string{"shop", "20", "10", "15.0", "190", "180", "178", "10", "overloaded", "2", "2", "20.0", "4"})
	is.True(strings.Contains(perVM.String(), "rate 20/s, burst 10, use 15.0/s"))
	is.True(strings.Contains(perVM.String(), a) && strings.Contains(perVM.String(), b))
}
