// Package clearance decides right before a request is written whether it may still be sent.
//
// Between the choice of a backend server and the first byte on its connection
// lie waits: a dial, another VM, the processor. What was true when the backend
// server was chosen may have changed since. A request that is withheld has
// certainly not been sent.
//
// # Usage
//
//	if v := clearance.Decide(clearance.Facts{HasCallerLeft: left}); v != clearance.Granted {
//		// Keep the connection.
//	}
package clearance

// Facts are what a request rests on at the time of the decision.
type Facts struct {
	// HasCallerLeft says that the caller no longer waits for the answer.
	HasCallerLeft bool
}

// Verdict says whether a request may be sent, or why not.
type Verdict int

// Verdicts, the first that applies.
const (
	Granted Verdict = iota
	// CallerLeft means that nobody waits for the answer.
	CallerLeft
)

// Decide returns the verdict on a request that is about to be written.
func Decide(f Facts) Verdict {
	if f.HasCallerLeft {
		return CallerLeft
	}
	return Granted
}

// String returns the verdict for the log.
func (v Verdict) String() string { return [...]string{"granted", "the caller has left"}[v] }
