// Package clearance decides right before a request is written whether it may still be sent.
//
// Between the choice of a backend server and the first byte on its connection
// lie waits: a dial, another VM, the processor. What was true when the backend
// server was chosen may have changed since. A request that is withheld has
// certainly not been sent.
//
// # Usage
//
//	v := clearance.Decide(now, clearance.Facts{HasCallerLeft: left, Deadline: deadline})
//	if v != clearance.Granted {
//		// Keep the connection. If v.IsOfServer(), another backend server may be tried.
//	}
package clearance

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
)

// MinTime is the least time to the deadline with which a request is sent.
const MinTime = 20 * time.Millisecond

// Facts are what a request rests on at the time of the decision.
type Facts struct {
	// HasCallerLeft says that the caller no longer waits for the answer.
	HasCallerLeft bool
	// Deadline is the end of the caller's or the route's timeout.
	Deadline clock.Instant
	// IsStopping says that this VM stops and the request may outlast it.
	IsStopping bool
	// IsCrashing says that the request has crashed backend servers that run the same version of the software.
	IsCrashing bool
	// IsServerOut says that the backend server is no longer in use: it leaves, its failure domain is evacuated, it has been replaced, it
	// wants no requests, or it no longer owns the request's key.
	IsServerOut bool
}

// Verdict says whether a request may be sent, or why not.
type Verdict int

// Verdicts, the first that applies.
const (
	Granted Verdict = iota
	// CallerLeft means that nobody waits for the answer.
	CallerLeft
	// TooLate means that too little time is left.
	TooLate
	// Stopping means that the request may outlast this VM.
	Stopping
	// Crashing means that the request may crash the backend server.
	Crashing
	// ServerOut means that the backend server is no longer in use.
	ServerOut
)

// Decide returns the verdict on a request that is about to be written.
func Decide(now clock.Instant, f Facts) Verdict {
	switch {
	case f.HasCallerLeft:
		return CallerLeft
	case f.Deadline.Sub(now) < MinTime:
		return TooLate
	case f.IsStopping:
		return Stopping
	case f.IsCrashing:
		return Crashing
	case f.IsServerOut:
		return ServerOut
	default:
		return Granted
	}
}

// IsOfServer reports whether the verdict speaks against this backend server only, so that another one may run the request.
func (v Verdict) IsOfServer() bool { return v == Crashing || v == ServerOut }

// String returns the verdict for the log.
func (v Verdict) String() string {
	return [...]string{"granted", "the caller has left", "no time is left", "this VM stops", "the request crashes backend servers", "the backend server is out of use"}[v]
}
