// Package backend is what entry VMs and backend servers say to each other beside the callers' requests.
//
// A backend server that checks fences takes grants at PathGrant and compares
// each request's fence, slice and expiry with the newest grant. Expiries are
// readings of the backend server's own clock, so that a message that was
// delayed is over when it is read.
//
// # Usage
//
//	req.Header.Set(backend.HeaderFence, fence.String())
//	req.Header.Set(backend.HeaderExpiry, backend.FormatClock(expiry))
package backend

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// Paths that a backend server serves beside its work.
const (
	PathGrant  = "/.hickorylug/grant"
	PathHealth = "/healthz"
)

// Header fields of requests.
const (
	// HeaderFence is the fence under which the request is sent, as term and version.
	HeaderFence = "Hickorylug-Fence"
	// HeaderKey is the hash of the request's key, in hexadecimal digits.
	HeaderKey = "Hickorylug-Key"
	// HeaderExpiry is the end of the grant in nanoseconds of the backend server's clock.
	HeaderExpiry = "Hickorylug-Expiry"
	// HeaderDeadline is the time that is left for the request, in milliseconds.
	HeaderDeadline = "Hickorylug-Deadline"
)

// Header fields of answers.
const (
	// HeaderBoot tells successive processes of a backend server apart.
	HeaderBoot = "Hickorylug-Boot"
	// HeaderClock is a reading of the backend server's clock in nanoseconds.
	HeaderClock = "Hickorylug-Clock"
	// HeaderNotRun is set to the cause where the backend server refused the request without running it.
	HeaderNotRun = "Hickorylug-Not-Run"
	// HeaderLoad is the backend server's own report of running requests; it may lag.
	HeaderLoad = "Hickorylug-Load"
)

// Causes of a refusal by the backend server itself.
const (
	RefusedFence    = "fence"
	RefusedExpired  = "expired"
	RefusedSlice    = "slice"
	RefusedOverload = "overload"
	RefusedDraining = "draining"
	RefusedDeadline = "deadline"
)

// Grant gives a backend server slices and single keys of a service until it expires.
type Grant struct {
	Service id.Service
	Term    id.Term
	Version id.Version
	// SliceCount is the number of slices of the service.
	SliceCount int
	Slices     []id.Slice
	Keys       []table.Hash
	// Except lists single keys of the granted slices that another backend server owns.
	Except []table.Hash
	// Expiry is in the backend server's clock; 0 asks for a reading and grants nothing yet.
	Expiry clock.Instant
	// Renew extends the grant of the same fence without repeating its slices.
	Renew bool
}

// GrantResponse is a backend server's answer to a grant.
type GrantResponse struct {
	Boot  id.Incarnation
	Clock clock.Instant
	// Accepted is false where the backend server has seen a newer fence.
	Accepted bool
	Newest   id.Fence
}

// FormatClock writes a clock reading for a header field.
func FormatClock(i clock.Instant) string { return strconv.FormatInt(int64(i), 10) }

// ParseClock reads what FormatClock wrote.
func ParseClock(text string) (i clock.Instant, err error) {
	v, err := strconv.ParseInt(text, 10, 64)
	return clock.Instant(v), errors.Wrapf(err, "clock reading %q", text)
}

// FormatKey writes a key's hash for a header field.
func FormatKey(h table.Hash) string { return strconv.FormatUint(uint64(h), 16) }

// ParseKey reads what FormatKey wrote.
func ParseKey(text string) (h table.Hash, err error) {
	v, err := strconv.ParseUint(text, 16, 64)
	return table.Hash(v), errors.Wrapf(err, "key hash %q", text)
}

// ParseFence reads the text of a fence.
func ParseFence(text string) (f id.Fence, err error) {
	defer func() { err = errors.Wrapf(err, "fence %q", text) }()
	term, version, ok := strings.Cut(text, ".")
	if !ok {
		return f, errors.New("a term and a version, separated by a dot, are wanted")
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return f, err
	}
	v, err := strconv.ParseUint(version, 10, 64)
	return id.Fence{Term: id.Term(t), Version: id.Version(v)}, err
}
