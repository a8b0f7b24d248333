package fleet

import (
	"crypto/sha256"

	"github.com/hickorylug/hickorylug/state/id"
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
}

// NewCustomers returns an empty index with room for a number of keys.
func NewCustomers(keys int) *Customers {
	return &Customers{byKey: make(map[KeyDigest]int32, keys), byName: map[id.Customer]int32{}}
}

// Add adds a customer with its keys. A key that another customer has already stays with that one.
func (c *Customers) Add(customer Customer, keys ...KeyDigest) {
	at := int32(len(c.list))
	c.list = append(c.list, customer)
	c.byName[customer.Name] = at
	for _, k := range keys {
		if _, taken := c.byKey[k]; !taken {
			c.byKey[k] = at
		}
	}
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
