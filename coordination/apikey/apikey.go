// Package apikey decides which customer sent a request, by the API key in its header.
//
// The text of a Rejection never holds the key, so it may be logged and sent to callers.
//
// # Usage
//
//	customer, rejection := apikey.Identify(configuration, route, r.Header.Values("Key"), apikey.Current)
//	switch {
//	case rejection.IsTemporary():
//		// 503: the configuration may be out of date.
//	case rejection != apikey.Accepted:
//		// 401
//	case customer == nil:
//		// The route needs no key.
//	}
package apikey

import (
	"github.com/hickorylug/hickorylug/state/fleet"
)

// MaxKeyBytes is the maximum length of an API key in bytes. It bounds the cost of hashing the keys of unknown callers.
const MaxKeyBytes = 1 << 10

// Freshness says how far a configuration may be out of date.
type Freshness int

// Degrees of Freshness.
const (
	// Current means that a key missing from the configuration doesn't exist.
	Current Freshness = iota
	// MayLackKeys means that a key missing from the configuration may be a new one.
	MayLackKeys
	// MayHoldRevokedKeys means that, in addition, no key of the configuration may be relied on.
	MayHoldRevokedKeys
)

// Rejection is why a request is not served, as a text for the caller.
type Rejection string

// Rejections of a request.
const (
	// Accepted means that the request is not rejected.
	Accepted  Rejection = ""
	Missing   Rejection = "an API key is needed"
	Empty     Rejection = "the API key is empty"
	Repeated  Rejection = "there is more than one API key"
	TooLong   Rejection = "the API key is too long"
	Malformed Rejection = "the API key has a character that is not visible ASCII"
	Unknown   Rejection = "the API key is unknown"
	// MayBeNew and MayBeRevoked depend on the age of the configuration, so that a later or another attempt may succeed.
	MayBeNew     Rejection = "the API key is unknown, but the configuration may be out of date"
	MayBeRevoked Rejection = "the API key may have been revoked, since the configuration may be out of date"
)

// IsTemporary reports whether the request may be accepted once the configuration is known to be current.
func (r Rejection) IsTemporary() bool { return r == MayBeNew || r == MayBeRevoked }

// Identify returns the customer that sent a request on a route. The values are those of the header field for API keys. The customer is
// nil if the request is rejected or needs no key.
func Identify(c *fleet.Configuration, route *fleet.Route, values []string, f Freshness) (customer *fleet.Customer, rejection Rejection) {
	if c.Customers == nil || route.Public {
		return nil, Accepted
	}
	if rejection := check(values); rejection != Accepted {
		return nil, rejection
	}
	if f == MayHoldRevokedKeys {
		return nil, MayBeRevoked
	}
	customer, found := c.Customers.ByKey(fleet.DigestKey(values[0]))
	switch {
	case found:
		return customer, Accepted
	case f == Current:
		return nil, Unknown
	default:
		return nil, MayBeNew
	}
}

// check checks the form of a key. It doesn't change the key: a key with a blank is another key than the one without it.
func check(values []string) Rejection {
	switch {
	case len(values) == 0:
		return Missing
	case len(values) > 1:
		return Repeated
	case values[0] == "":
		return Empty
	case len(values[0]) > MaxKeyBytes:
		return TooLong
	}
	for _, b := range []byte(values[0]) {
		if b <= ' ' || b > '~' {
			return Malformed
		}
	}
	return Accepted
}
