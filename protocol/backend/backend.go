// Package backend defines the control protocol between entry VMs and backend servers.
//
// A backend server that checks fences receives grants at PathGrant and compares
// each request's fence, slice and expiry with the newest grant. Expiries are
// times of the backend server's own clock, so that a message that was delayed
// beyond its expiry is recognized as expired when it arrives.
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

// Paths of control requests to a backend server.
const (
	PathGrant  = "/.hickorylug/grant"
	PathHealth = "/healthz"
)

// Header fields of requests to backend servers.
const (
	// HeaderFence is the fencing token of the request, in the form TERM.VERSION.
	HeaderFence = "Hickorylug-Fence"
	// HeaderKey is the hash of the request's shard key, in hexadecimal digits.
	HeaderKey = "Hickorylug-Key"
	// HeaderExpiry is the expiry of the grant, in nanoseconds of the backend server's clock.
	HeaderExpiry = "Hickorylug-Expiry"
	// HeaderAttempt identifies one attempt at sending a request. Responses repeat it, so that a late copy of a response isn't taken for the
	// response to a later request on the same connection.
	HeaderAttempt = "Hickorylug-Attempt"
	// HeaderDeadline is the time left until the request's deadline, in milliseconds.
	HeaderDeadline = "Hickorylug-Deadline"
)

// Header fields of responses from backend servers.
const (
	// HeaderBoot is the incarnation of the backend server's process; it changes with each restart.
	HeaderBoot = "Hickorylug-Boot"
	// HeaderClock is the current time of the backend server's clock, in nanoseconds.
	HeaderClock = "Hickorylug-Clock"
	// HeaderNotRun is the cause if the backend server refused the request without running it.
	HeaderNotRun = "Hickorylug-Not-Run"
	// HeaderLoad is the number of requests in flight that the backend server reports. It may be stale.
	HeaderLoad = "Hickorylug-Load"
)

// Causes for which a backend server refuses a request, as sent in HeaderNotRun.
const (
	RefusedFence    = "fence"
	RefusedExpired  = "expired"
	RefusedSlice    = "slice"
	RefusedOverload = "overload"
	RefusedDraining = "draining"
	RefusedDeadline = "deadline"
)

// Grant is a call that grants slices and isolated keys of a service to a backend server until it expires.
type Grant struct {
	Service id.Service
	Term    id.Term
	Version id.Version
	// SliceCount is the number of slices of the service.
	SliceCount int
	Slices     []id.Slice
	// Keys lists the hashes of isolated keys that are granted beside the slices.
	Keys []table.Hash
	// Except lists the hashes of isolated keys of the granted slices that another backend server owns.
	Except []table.Hash
	// Expiry is a time of the backend server's clock. With 0 the call only reads that clock and grants nothing.
	Expiry clock.Instant
	// Renew extends the grant with the same fence. The call then doesn't repeat the slices.
	Renew bool
}

// GrantResponse is a backend server's response to a grant call.
type GrantResponse struct {
	Boot  id.Incarnation
	Clock clock.Instant
	// Accepted says that the grant is in force. It is false if the backend server has seen a newer fence.
	Accepted bool
	// Newest is the newest fence that the backend server has seen.
	Newest id.Fence
}

// FormatClock formats a time of a backend server's clock for a header field.
func FormatClock(i clock.Instant) string { return strconv.FormatInt(int64(i), 10) }

// ParseClock parses the output of FormatClock.
func ParseClock(text string) (i clock.Instant, err error) {
	v, err := strconv.ParseInt(text, 10, 64)
	return clock.Instant(v), errors.Wrapf(err, "parse clock time %q", text)
}

// FormatKey formats the hash of a key for a header field.
func FormatKey(h table.Hash) string { return strconv.FormatUint(uint64(h), 16) }

// ParseKey parses the output of FormatKey.
func ParseKey(text string) (h table.Hash, err error) {
	v, err := strconv.ParseUint(text, 16, 64)
	return table.Hash(v), errors.Wrapf(err, "parse key hash %q", text)
}

// ParseFence parses a fence in the form TERM.VERSION.
func ParseFence(text string) (f id.Fence, err error) {
	defer func() { err = errors.Wrapf(err, "parse fence %q", text) }()
	term, version, ok := strings.Cut(text, ".")
	if !ok {
		return f, errors.New("expected a term and a version separated by a dot")
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return f, err
	}
	v, err := strconv.ParseUint(version, 10, 64)
	return id.Fence{Term: id.Term(t), Version: id.Version(v)}, err
}
