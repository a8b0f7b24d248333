// Package customers defines the figures about customers that an entry VM serves with its metrics.
//
// A VM has a row for each of its heaviest customers and one for all others. The
// sum of the same field over the rows of all VMs, with the rest of each, is the
// figure of the fleet.
//
// # Usage
//
//	var v struct{ Customers customers.Metrics }
//	err := json.NewDecoder(response.Body).Decode(&v)
package customers

import (
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/id"
)

// Counts are numbers of requests since the VM's start.
type Counts struct {
	// Requests are those with the API key of a customer.
	Requests uint64
	// Admitted are those that weren't refused for their form or the allotment.
	Admitted uint64
	// Served are those for which a backend server's response was forwarded.
	Served uint64
	// Limited are those refused with 429, since the allotment was used up.
	Limited uint64
	// Refused are the others without a backend server's response, by reason.
	Refused map[outcome.Reason]uint64 `json:",omitempty"`
}

// Row holds the figures of one customer.
type Row struct {
	Customer id.Customer
	Counts
	// Missed is the largest number of its requests that are counted in the rest, since the customer had no row then.
	Missed uint64 `json:",omitempty"`
	// RatePerS and Burst are the customer's allotment over all VMs, in requests per second and requests; 0 means no limit.
	RatePerS float64 `json:",omitempty"`
	Burst    float64 `json:",omitempty"`
}

// Allotment is the part of a customer's allotment that a VM has.
type Allotment struct {
	Customer id.Customer
	// RatePerS is the allotment of the customer over all VMs, in requests per second, and Burst its burst in requests.
	RatePerS float64
	Burst    float64
	// SharePerS is the rate at which the VM sends while it has no contact to the granter, in requests per second.
	SharePerS float64
	// Tokens is the number of tokens that the VM holds, and Waiting the number of requests that wait for one.
	Tokens  int
	Waiting int
}

// Metrics are the figures of one VM, as the field Customers of its metrics.
type Metrics struct {
	Rows []Row
	Rest Counts
	// Unauthenticated is the number of requests refused with 401.
	Unauthenticated uint64
	// Allotments holds the customers of the VM that have a limit, the largest share first.
	Allotments []Allotment
	// SuppressedLines is the number of log lines about 401 and 429 that were left out.
	SuppressedLines uint64
}

// Add adds other to c.
func (c *Counts) Add(other *Counts) {
	c.Requests += other.Requests
	c.Admitted += other.Admitted
	c.Served += other.Served
	c.Limited += other.Limited
	for reason, n := range other.Refused {
		c.addRefused(reason, n)
	}
}

func (c *Counts) addRefused(reason outcome.Reason, n uint64) {
	if c.Refused == nil {
		c.Refused = map[outcome.Reason]uint64{}
	}
	c.Refused[reason] += n
}

// Observe counts one request of a customer; the refusal is nil if a backend server's response was forwarded.
func (c *Counts) Observe(refusal *outcome.Error) {
	c.Requests++
	switch {
	case refusal == nil:
		c.Served++
		c.Admitted++
	case refusal.Reason == outcome.AllotmentExhausted:
		c.Limited++
	default:
		c.addRefused(refusal.Reason, 1)
		if !isRefusedForForm(refusal.Reason) {
			c.Admitted++
		}
	}
}

// isRefusedForForm reports whether a request is refused for a reason before it is charged to an allotment.
func isRefusedForForm(reason outcome.Reason) bool {
	switch reason {
	case outcome.BadRequest, outcome.NoKey, outcome.HeaderTooLarge, outcome.BodyTooLarge, outcome.BodyTimeout:
		return true
	default:
		return false
	}
}
