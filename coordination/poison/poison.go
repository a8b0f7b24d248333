// Package poison detects requests that crash each backend server that runs them.
//
// Every request in flight at a backend server that crashes is a suspect.
//
// A Tracker serves a fleet in which one VM sends all requests to a backend
// server. Suspects run one at a time there, so that the next crash can be
// counted against one request alone. After the second crash, requests with the
// same fingerprint are refused for a time.
//
// A Ledger serves a fleet in which all VMs send to all backend servers. It
// merges what each VM saw of each crash. VMs tell each other by messages, and
// record crashes in the platform's store, which outlives them.
//
// # Usage
//
//	t := poison.NewTracker()
//	switch t.Check(now, fingerprint) {
//	case poison.Blocked:
//		// Refuse as not run.
//	case poison.Suspect:
//		// Run while no other suspect is running.
//	}
//
//	l := poison.NewLedger(poison.WithOnReport(announce))
//	l.Begin(now, process, fingerprint)
//	if l.Unanswered(now, process, fingerprint, began, true) { // the connection broke
//		// Probe the port.
//	}
//	l.RecordCrash(now, server, false)  // the port is closed: announces the suspects
//	l.Merge(now, report)               // at the other VMs
//	l.Unrecorded(now, wall, leads)     // the records to be written to the store
//	l.Restore(now, wall, records)      // at all VMs, also those that start later
package poison

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// Limits of the tracker.
const (
	// crashesToBlock is the number of crashes after which a request is refused.
	crashesToBlock = 2
	// maxFingerprints limits the number of suspect and blocked requests that are recorded.
	maxFingerprints = 4096
	// defaultRetention is the time after a request's last crash for which its crashes count.
	defaultRetention = 10 * time.Minute
)

// Fingerprint is a hash that is the same for equal requests.
type Fingerprint = id.Fingerprint

// FingerprintOf returns the fingerprint of a request with the given prefix of its body.
func FingerprintOf(service, method, target string, body []byte) Fingerprint {
	h := xxhash.New()
	for _, text := range []string{service, method, target} {
		// A hash's Write returns no error.
		_, _ = h.WriteString(text)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return Fingerprint(h.Sum64())
}

// Status is how a request has to be handled.
type Status int

// Statuses of requests.
const (
	// Clear means that no crash was counted against the request.
	Clear Status = iota
	// Suspect means that the request may have crashed a backend server and has to run while no other suspect is running.
	Suspect
	// Blocked means that the request has to be refused.
	Blocked
)

// record holds the crashes that were counted against a fingerprint.
type record struct {
	crashes   int
	lastCrash clock.Instant
}

// Tracker counts crashes by fingerprint; it is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	retention time.Duration
	records   map[Fingerprint]record
}

// NewTracker returns a tracker without suspects.
func NewTracker() *Tracker {
	return &Tracker{retention: defaultRetention, records: map[Fingerprint]record{}}
}

// IsEmpty reports whether there is no suspect, so that callers can skip computing fingerprints.
func (t *Tracker) IsEmpty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records) == 0
}

// Check returns the status of a fingerprint.
func (t *Tracker) Check(now clock.Instant, f Fingerprint) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[f]
	switch {
	case !ok:
		return Clear
	case now.Sub(r.lastCrash) > t.retention:
		delete(t.records, f)
		return Clear
	case r.crashes >= crashesToBlock:
		return Blocked
	default:
		return Suspect
	}
}

// RecordCrash counts a crash against a fingerprint and returns its crashes so far, or 0 if the tracker is full.
func (t *Tracker) RecordCrash(now clock.Instant, f Fingerprint) (crashes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	r := t.records[f]
	if r.crashes == 0 && len(t.records) >= maxFingerprints {
		return 0
	}
	r.crashes, r.lastCrash = r.crashes+1, now
	t.records[f] = r
	return r.crashes
}

// MergeCrashes raises the crashes of a fingerprint to the number that another VM has counted.
func (t *Tracker) MergeCrashes(now clock.Instant, f Fingerprint, crashes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	r := t.records[f]
	if crashes > r.crashes && (r.crashes > 0 || len(t.records) < maxFingerprints) {
		t.records[f] = record{crashes: crashes, lastCrash: now}
	}
}

// ClearSuspect drops a suspect after a backend server has run it without a crash; a blocked fingerprint stays blocked.
func (t *Tracker) ClearSuspect(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records[f].crashes < crashesToBlock {
		delete(t.records, f)
	}
}

// expire drops the records whose retention has ended.
func (t *Tracker) expire(now clock.Instant) {
	for f, r := range t.records {
		if now.Sub(r.lastCrash) > t.retention {
			delete(t.records, f)
		}
	}
}
