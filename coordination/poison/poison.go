// Package poison recognises a request that kills each backend server that runs it.
//
// Every request in flight when a backend server dies is a suspect. Suspects
// run one at a time, so that the next death convicts one request alone. After
// the second death the fingerprint is refused for a while.
//
// # Usage
//
//	t := poison.NewTracker()
//	switch t.Check(now, fingerprint) {
//	case poison.Blocked:
//		// Refuse as not run.
//	case poison.Suspect:
//		// Run while no other suspect runs.
//	}
package poison

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorylug/hickorylug/state/clock"
)

// Limits of the tracker.
const (
	// deathsToConvict is the number of deaths after which a request is refused.
	deathsToConvict = 2
	// maxFingerprints bounds the memory of suspects and convicts.
	maxFingerprints = 4096
	// defaultRemember is the time for which a death counts.
	defaultRemember = 10 * time.Minute
)

// Fingerprint identifies equal requests.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request with the beginning of its body.
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

// Status is what is to be done with a request.
type Status int

// The verdicts.
const (
	Clear Status = iota
	Suspect
	Blocked
)

type record struct {
	deaths int
	at     clock.Instant
}

// Tracker counts deaths by fingerprint; it is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	remember time.Duration
	records  map[Fingerprint]record
}

// NewTracker returns a tracker that knows no suspect.
func NewTracker() *Tracker {
	return &Tracker{remember: defaultRemember, records: map[Fingerprint]record{}}
}

// IsEmpty reports whether there is no suspect, so that no fingerprint need be made.
func (t *Tracker) IsEmpty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records) == 0
}

// Check returns the verdict on a fingerprint.
func (t *Tracker) Check(now clock.Instant, f Fingerprint) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[f]
	switch {
	case !ok:
		return Clear
	case now.Sub(r.at) > t.remember:
		delete(t.records, f)
		return Clear
	case r.deaths >= deathsToConvict:
		return Blocked
	default:
		return Suspect
	}
}

// RecordCrash counts a death against a fingerprint and returns the deaths so far.
func (t *Tracker) RecordCrash(now clock.Instant, f Fingerprint) (deaths int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	r := t.records[f]
	if r.deaths == 0 && len(t.records) >= maxFingerprints {
		return 0
	}
	r.deaths, r.at = r.deaths+1, now
	t.records[f] = r
	return r.deaths
}

// MergeCrashes takes over what another VM has counted.
func (t *Tracker) MergeCrashes(now clock.Instant, f Fingerprint, deaths int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	r := t.records[f]
	if deaths > r.deaths && (r.deaths > 0 || len(t.records) < maxFingerprints) {
		t.records[f] = record{deaths: deaths, at: now}
	}
}

// ClearSuspect clears a suspect that a backend server has survived.
func (t *Tracker) ClearSuspect(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records[f].deaths < deathsToConvict {
		delete(t.records, f)
	}
}

func (t *Tracker) expire(now clock.Instant) {
	for f, r := range t.records {
		if now.Sub(r.at) > t.remember {
			delete(t.records, f)
		}
	}
}
