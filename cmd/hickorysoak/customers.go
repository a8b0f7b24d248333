package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/standin/worker"
)

// Bounds of what is promised to customers. The last three are written into the settings of the VMs.
const (
	// applyTime is the time within which each VM must apply a new version of the configuration.
	applyTime       = 2500 * time.Millisecond
	allotmentWindow = 5 * time.Second
	allotmentExcess = 0.1
	allotmentSlack  = 20
)

// secret is a part of each API key, by which the logs are searched for keys.
const secret = "s3cr3t"

// limit is an allotment with the time at which the store accepted it. A rate of 0 means no limit.
type limit struct {
	rate, burst float64
	at          time.Time
}

// bound returns the number of requests that may be sent and run within a window.
func (l limit) bound() float64 {
	return (l.rate*allotmentWindow.Seconds()+l.burst)*(1+allotmentExcess) + allotmentSlack
}

// apiKey is the key of a customer. Times are those at which the store accepted the change.
type apiKey struct {
	customer  string
	text      string
	issuedAt  time.Time
	revokedAt time.Time
	// isWithdrawn is set before the store is asked to accept the revocation.
	isWithdrawn bool
}

// customer is a customer of the configuration with its history.
type customer struct {
	name string
	// keys holds all keys, the valid one last.
	keys []*apiKey
	// limits holds all allotments, the present one last.
	limits []limit
}

// customerBook holds the customers of the deployment under test. It is safe for concurrent use.
type customerBook struct {
	mu   sync.Mutex
	list []*customer
}

func newCustomerBook() *customerBook {
	b := &customerBook{}
	add := func(name string, l limit) {
		b.list = append(b.list, &customer{name: name, limits: []limit{l}, keys: []*apiKey{newKey(name, 0)}})
	}
	add("ample", limit{})
	add("large", limit{rate: 40, burst: 20})
	add("small", limit{rate: 8, burst: 4})
	add("tiny", limit{rate: 2})
	return b
}

func newKey(name string, number int) *apiKey {
	return &apiKey{customer: name, text: fmt.Sprintf("%s-%s-%d", name, secret, number)}
}

// tenant is a customer as it is written in the configuration.
type tenant struct {
	Name            string
	Keys            []string `json:"ApiKeys"`
	RatePerS, Burst float64
}

// tenants returns the customers as they are written in the configuration.
func (b *customerBook) tenants() (out []tenant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.list {
		l := c.limits[len(c.limits)-1]
		out = append(out, tenant{Name: c.name, Keys: []string{c.keys[len(c.keys)-1].text}, RatePerS: l.rate, Burst: l.burst})
	}
	return out
}

// identity is what a request says about its sender, and what must follow from it.
type identity struct {
	// key is nil if the configuration has no customers, or for a request on a public route.
	key *apiKey
	// isWrong is set for a key that never existed.
	isWrong  bool
	isPublic bool
	sentAt   time.Time
}

// pick returns the identity of a caller's next request: usually the valid key of the caller's customer.
func (b *customerBook) pick(random *rand.Rand, caller int) identity {
	if b == nil {
		return identity{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.list[caller%len(b.list)]
	switch n := random.IntN(20); {
	case n == 0:
		return identity{key: &apiKey{text: "wrong-" + secret}, isWrong: true}
	case n == 1:
		return identity{isPublic: true}
	case n <= 3:
		return identity{key: c.keys[random.IntN(len(c.keys))]}
	default:
		return identity{key: c.keys[len(c.keys)-1]}
	}
}

// probe returns the identity of a request that is always served.
func (b *customerBook) probe() identity {
	if b == nil {
		return identity{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.list {
		if c.limits[0].rate == 0 {
			return identity{key: c.keys[len(c.keys)-1]}
		}
	}
	return identity{}
}

// waitUntilCustomersAreServed adds a violation for each customer of which no request is served within serveTimeout after the last fault.
func (e *environment) waitUntilCustomersAreServed(r *result) {
	client := &http.Client{Timeout: callerTimeout}
	for _, c := range e.customers.list {
		status, deadline := 0, time.Now().Add(serveTimeout)
		for n := 0; status != http.StatusOK && time.Now().Before(deadline); n++ {
			q := request{id: fmt.Sprintf("customer-%s-%d", c.name, n), key: n * 997 % 65536, identity: identity{key: c.keys[len(c.keys)-1]}}
			status = e.sendRequest(client, r, e.vms[n%len(e.vms)], q)
			time.Sleep(50 * time.Millisecond)
		}
		if status != http.StatusOK {
			r.addViolation("customer %s isn't served %s after the last fault", c.name, serveTimeout)
		}
	}
}

// sign adds the identity to a request. A caller on a public route sends a key and a name that must not be passed on.
func (i *identity) sign(h http.Header) {
	i.sentAt = time.Now()
	switch {
	case i.isPublic:
		h.Set("Key", "public-"+secret)
		h.Set("Tenant", "large")
		h.Set(worker.HeaderExpectedCustomer, worker.Public)
	case i.key != nil:
		h.Set("Key", i.key.text)
		h.Set("Tenant", "forged")
		h.Set(worker.HeaderExpectedCustomer, i.key.customer)
		h.Set(worker.HeaderSentAt, fmt.Sprint(i.sentAt.UnixMicro()))
	}
}

// violation returns what is wrong with the status of the response to a request, or "" if nothing is.
func (b *customerBook) violation(i identity, status int) string {
	if b == nil || i.key == nil {
		return ""
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	k, now := i.key, time.Now()
	switch {
	case status == http.StatusOK && i.isWrong:
		return "was served with a key that never existed"
	case status == http.StatusOK && !k.revokedAt.IsZero() && i.sentAt.Sub(k.revokedAt) > applyTime:
		return fmt.Sprintf("was served %s after its key was revoked", i.sentAt.Sub(k.revokedAt))
	case status == http.StatusUnauthorized && !i.isWrong && !k.isWithdrawn && i.sentAt.Sub(k.issuedAt) > applyTime:
		return fmt.Sprintf("was refused with 401 %s after its key was issued", now.Sub(k.issuedAt))
	default:
		return ""
	}
}

// revoke replaces the key of a random customer by a new one. The store can be reached by VMs that aren't cut off until every VM must have
// applied the change.
func (e *environment) revoke(random *rand.Rand) {
	e.changeCustomer(random, func(c *customer) (accepted func(at time.Time)) {
		old, next := c.keys[len(c.keys)-1], newKey(c.name, len(c.keys))
		old.isWithdrawn, next.issuedAt = true, time.Now()
		c.keys = append(c.keys, next)
		return func(at time.Time) { old.revokedAt, next.issuedAt = at, at }
	})
}

// changeAllotment halves or doubles the allotment of a random customer, except that of the probes.
func (e *environment) changeAllotment(random *rand.Rand) {
	factor := []float64{0.5, 2}[random.IntN(2)]
	e.changeCustomer(random, func(c *customer) (accepted func(at time.Time)) {
		l := c.limits[len(c.limits)-1]
		if l.rate*factor > 1 {
			l.rate, l.burst = l.rate*factor, l.burst*factor
		}
		l.at = time.Now()
		c.limits = append(c.limits, l)
		return func(at time.Time) { c.limits[len(c.limits)-1].at = at }
	})
}

// changeCustomer changes a random customer and writes the configuration. The change is called with the book locked, and what it returns
// once the store has accepted the configuration. No outage of the store begins before each VM must have applied it.
func (e *environment) changeCustomer(random *rand.Rand, change func(c *customer) (accepted func(at time.Time))) {
	e.storeUse.Lock()
	defer e.storeUse.Unlock()
	e.mu.Lock()
	e.customers.mu.Lock()
	accepted := change(e.customers.list[random.IntN(len(e.customers.list))])
	e.customers.mu.Unlock()
	e.writeConfiguration(time.Second)
	e.mu.Unlock()
	e.customers.mu.Lock()
	accepted(time.Now())
	e.customers.mu.Unlock()
	time.Sleep(applyTime)
}

// checkAllotments adds a violation for each customer that exceeded its allotment in a window, and returns the largest use of each, in
// percent of what is allowed.
func (e *environment) checkAllotments(r *result) (summary string) {
	var out []string
	for _, c := range e.customers.list {
		runs, highest := e.journal.RunsOf(c.name), 0.0
		for _, p := range c.periods() {
			most := worker.MaxInWindow(runs, allotmentWindow, p.begin, p.end)
			highest = max(highest, 100*float64(most)/p.bound)
			if float64(most) > p.bound {
				r.addViolation("customer %s: %d requests in %s, %.1f are allowed", c.name, most, allotmentWindow, p.bound)
			}
		}
		if highest > 0 {
			out = append(out, fmt.Sprintf("%s %.0f %%", c.name, highest))
		}
	}
	return "largest use of allotments: " + strings.Join(out, ", ")
}

// period is a time in which all windows that begin in it have the same bound.
type period struct {
	begin, end time.Time
	bound      float64
}

// periods returns the periods of a customer with a limit. A window's bound is that of the highest limit that a VM may have applied in it: a
// limit is in use from its acceptance until each VM must have applied the next one.
func (c *customer) periods() (out []period) {
	if c.limits[0].rate == 0 {
		return nil
	}
	distantFuture := time.Now().Add(time.Hour)
	usedUntil := func(n int) time.Time {
		if n+1 == len(c.limits) {
			return distantFuture
		}
		return c.limits[n+1].at.Add(applyTime)
	}
	borders := []time.Time{{}, distantFuture}
	for n, l := range c.limits[1:] {
		borders = append(borders, l.at.Add(-allotmentWindow), usedUntil(n))
	}
	slices.SortFunc(borders, time.Time.Compare)
	for i, begin := range borders[:len(borders)-1] {
		p := period{begin: begin, end: borders[i+1]}
		for n, l := range c.limits {
			if !l.at.After(begin.Add(allotmentWindow)) && usedUntil(n).After(begin) {
				p.bound = max(p.bound, l.bound())
			}
		}
		out = append(out, p)
	}
	return out
}

// checkLogs adds a violation for each VM whose log holds an API key.
func (e *environment) checkLogs(r *result) {
	for _, v := range e.vms {
		data, err := os.ReadFile(v.log.Name())
		if err != nil || bytes.Contains(data, []byte(secret)) {
			r.addViolation("the log of %s holds an API key, or can't be read: %v", v.name, err)
		}
	}
}
