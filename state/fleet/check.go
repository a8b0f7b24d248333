package fleet

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/strict"
)

// Greatest lengths of a customer's name, which is sent with each of its requests, and of an API key, in bytes.
const (
	maxCustomerNameBytes = 256
	maxKeyBytes          = 1024
)

// CheckCustomerName returns what prevents a name from being sent to backend servers as the value of a header field (RFC 9110, section 5.5),
// or "" if nothing does.
func CheckCustomerName(name id.Customer) (problem string) {
	text := string(name)
	if problem := checkLength(text, maxCustomerNameBytes); problem != "" {
		return problem
	}
	if strings.Trim(text, " ") != text {
		return "begins or ends with a blank, which HTTP removes"
	}
	for _, b := range []byte(text) {
		if b < ' ' || b == 0x7f {
			return fmt.Sprintf("has the control character 0x%02x", b)
		}
	}
	return ""
}

// CheckKey returns what prevents an API key from being accepted in a caller's header, or "" if nothing does. The result doesn't contain
// the key.
func CheckKey(key string) (problem string) {
	if problem := checkLength(key, maxKeyBytes); problem != "" {
		return problem
	}
	for _, b := range []byte(key) {
		if b <= ' ' || b > '~' {
			return "has a character that is not visible ASCII"
		}
	}
	return ""
}

func checkLength(text string, allowed int) (problem string) {
	switch {
	case text == "":
		return "is empty"
	case len(text) > allowed:
		return fmt.Sprintf("has %d bytes; %d are allowed", len(text), allowed)
	default:
		return ""
	}
}

// Findings are the results of a check of a configuration.
type Findings struct {
	// Problems are mistakes; the configuration is in force all the same.
	Problems strict.Problems
	// Notes are settings that may be meant as they are.
	Notes strict.Problems
}

// Check returns all problems of the customers and public routes. Paths are those of the operators' document. The window is the time over
// which allotments are measured.
func (c *Configuration) Check(window time.Duration) (f Findings) {
	f.Problems = slices.Clone(c.Unused)
	if c.Customers == nil {
		c.checkPublicRoutes(&f)
		return f
	}
	c.Customers.check(&f, window)
	return f
}

// checkPublicRoutes reports the public routes of a configuration without customers, in which every route is public.
func (c *Configuration) checkPublicRoutes(f *Findings) {
	for _, host := range slices.Sorted(maps.Keys(c.byHost)) {
		for _, r := range c.byHost[host] {
			if r.Public {
				f.Problems.Add(fmt.Sprintf("Listeners.%s.Rules.%s.Public", host, r.Name), "the route is public, but no route needs a key without Tenants")
			}
		}
	}
}

func (c *Customers) check(f *Findings, window time.Duration) {
	f.Problems = append(f.Problems, c.skippedProblems...)
	if unnamed := c.skipped - len(c.skippedProblems); unnamed > 0 {
		f.Problems.Add("Tenants", "%d more entries can't be used", unnamed)
	}
	for i := range c.list {
		c.checkCustomer(f, int32(i), window)
	}
	for _, k := range c.shared {
		f.Problems.Add(c.path(k.second)+".ApiKeys", "a key belongs to %s already, which keeps it", c.path(k.first))
	}
}

func (c *Customers) checkCustomer(f *Findings, index int32, window time.Duration) {
	customer := &c.list[index]
	// Paths are made only for findings: a document may have 100,000 customers.
	if problem := CheckCustomerName(customer.Name); problem != "" {
		f.Problems.Add(c.path(index)+".Name", "the name %s; it is sent to backend servers in a header", problem)
	}
	if last := c.byName[customer.Name]; last != index {
		f.Problems.Add(c.path(last)+".Name", "%s has this name already", c.path(index))
	}
	if c.keyCounts[index] == 0 {
		f.Notes.Add(c.path(index)+".ApiKeys", "the customer has no key, so none of its requests is accepted")
	}
	if customer.HasPriority && customer.Priority < 0 {
		f.Problems.Add(c.path(index)+".Priority", "%d is negative; 0 is the highest priority", customer.Priority)
	}
	if field, problem := customer.Allotment.check(window); problem != "" {
		f.Problems.Add(c.path(index)+field, "%s", problem)
	}
}

// path returns the place of a customer, by its index in the list, in the operators' document.
func (c *Customers) path(index int32) string {
	return customerPath(int(c.positions[index]), c.list[index].Name)
}

// customerPath returns the place of a customer by its position in the operators' document. The name is quoted because it may hold any characters.
func customerPath(position int, name id.Customer) string {
	return fmt.Sprintf("Tenants[%d](%q)", position, name)
}

// check returns what is wrong with an allotment and in which field, or "" if nothing is.
func (a Allotment) check(window time.Duration) (field, problem string) {
	switch {
	case !isAmount(a.Rate):
		return ".RatePerS", fmt.Sprintf("%v is not a number of requests per second; 0 means no limit", a.Rate)
	case !isAmount(a.Burst):
		return ".Burst", fmt.Sprintf("%v is not a number of requests", a.Burst)
	case a.Rate == 0 && a.Burst > 0:
		return ".Burst", fmt.Sprintf("a burst of %v without RatePerS limits nothing", a.Burst)
	case a.IsLimited() && a.Rate*window.Seconds()+a.Burst < 1:
		return ".RatePerS", fmt.Sprintf("%v per second with a burst of %v is less than one request in %s", a.Rate, a.Burst, window)
	default:
		return "", ""
	}
}

// isAmount reports whether a number can be a rate or burst.
func isAmount(n float64) bool { return n >= 0 && !math.IsInf(n, 1) }
