package fleet

import (
	"crypto/sha256"

	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/strict"
)

// Allotment is the number of requests that a customer may send to all VMs together. The zero value means no limit.
type Allotment struct {
	// Rate is in requests per second; 0 means no limit.
	Rate float64
	// Burst is the number of requests that may be sent at once after a time without requests.
	Burst float64
}

// IsLimited reports whether the allotment limits anything.
func (a Allotment) IsLimited() bool { return a.Rate > 0 }

// Customer is a party whose callers identify themselves with API keys.
type Customer struct {
	Name id.Customer
	// Priority replaces the priority of the route if HasPriority is set; 0 is the highest.
	Priority    int
	HasPriority bool
	Allotment   Allotment
}

// KeyDigest identifies an API key without revealing it: the first bytes of its SHA-256 hash.
type KeyDigest [16]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:len(KeyDigest{})])
}

// Customers indexes customers by their API keys and names. Its size is proportional to the number of keys, and a lookup doesn't depend
// on it.
type Customers struct {
	list   []Customer
	byKey  map[KeyDigest]int32
	byName map[id.Customer]int32
	// keyCounts holds the number of keys of each customer in list, and shared the keys that a later customer has in common with an earlier one.
	keyCounts []int32
	shared    []sharedKey
	// positions holds the position of each customer of list in the document, which differs from its index after skipped entries.
	positions []int32
	// skipped is the number of entries of the document that can't be used, and skippedProblems says why, for the first maxSkippedProblems.
	skipped         int
	skippedProblems strict.Problems
}

// maxSkippedProblems is the number of skipped entries whose problem is kept; a document of 10 MB may have 100,000 entries.
const maxSkippedProblems = 100

// sharedKey is a key that two customers have, by their indexes in the list of customers. The first one holds it.
type sharedKey struct{ first, second int32 }

// NewCustomers returns an empty index with room for a number of keys.
func NewCustomers(keys int) *Customers {
	return &Customers{byKey: make(map[KeyDigest]int32, keys), byName: map[id.Customer]int32{}}
}

// Add adds a customer with its keys. A key that another customer has already stays with that one.
func (c *Customers) Add(customer Customer, keys ...KeyDigest) {
	at := int32(len(c.list))
	customer.Allotment = customer.Allotment.bounded()
	c.list = append(c.list, customer)
	c.byName[customer.Name] = at
	c.keyCounts = append(c.keyCounts, int32(len(keys)))
	c.positions = append(c.positions, int32(int(at)+c.skipped))
	for _, k := range keys {
		holder, taken := c.byKey[k]
		switch {
		case !taken:
			c.byKey[k] = at
		case holder != at:
			c.shared = append(c.shared, sharedKey{first: holder, second: at})
		}
	}
}

// Skip records that the next entry of the document can't be used, so that Check reports it. The problem must not contain an API key.
func (c *Customers) Skip(name id.Customer, problem string) {
	if len(c.skippedProblems) < maxSkippedProblems {
		c.skippedProblems.Add(customerPath(len(c.list)+c.skipped, name), "the entry isn't used: %s", problem)
	}
	c.skipped++
}

// ByKey returns the customer that holds a key.
func (c *Customers) ByKey(key KeyDigest) (customer *Customer, found bool) {
	at, found := c.byKey[key]
	if !found {
		return nil, false
	}
	return &c.list[at], true
}

// ByName returns the customer with a name.
func (c *Customers) ByName(name id.Customer) (customer *Customer, found bool) {
	at, found := c.byName[name]
	if !found {
		return nil, false
	}
	return &c.list[at], true
}

// All returns all customers in the order of the configuration. The caller must not change them.
func (c *Customers) All() []Customer { return c.list }

// KeyCount returns the number of keys.
func (c *Customers) KeyCount() int { return len(c.byKey) }
