package forward

import (
	"time"

	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// crashConfirmWindow is the time after a broken connection within which a refused connection confirms that the backend server crashed.
const crashConfirmWindow = 1500 * time.Millisecond

// suspects are the requests that a backend server was running when its connections broke.
type suspects struct {
	startedAt    clock.Instant
	fingerprints map[poison.Fingerprint]bool
}

// maxSuspects limits the suspects of one crash; a backend server runs few requests at once.
const maxSuspects = 64

// fingerprint returns the fingerprint of a request for the poison tracker.
func (f *Forwarder) fingerprint(r *Request) poison.Fingerprint {
	return poison.FingerprintOf(string(r.Service), r.Method, r.Target, r.Body)
}

// refusePoisonous returns the refusal of a request that has crashed several backend servers, or nil.
func (f *Forwarder) refusePoisonous(r *Request) *outcome.Error {
	if f.options.Poison.IsEmpty() || f.options.Poison.Check(f.options.Clock.Boot(), f.fingerprint(r)) != poison.Blocked {
		return nil
	}
	return outcome.NotRun(outcome.NoServer, "this request has crashed each backend server that ran it: fingerprint %d", f.fingerprint(r))
}

// addSuspect records a request whose connection broke.
func (f *Forwarder) addSuspect(server id.Server, p poison.Fingerprint) {
	f.options.OnSuspect(server, p)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Boot()
	s := f.suspects[server]
	if s == nil || now.Sub(s.startedAt) > crashConfirmWindow {
		s = &suspects{startedAt: now, fingerprints: map[poison.Fingerprint]bool{}}
		f.suspects[server] = s
	}
	if len(s.fingerprints) < maxSuspects {
		s.fingerprints[p] = true
	}
}

// clearSuspects drops the suspects of a backend server that has answered since.
func (f *Forwarder) clearSuspects(server id.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.suspects) > 0 {
		delete(f.suspects, server)
	}
}

// recordCrash counts a crash of a backend server against its suspects.
func (f *Forwarder) recordCrash(server id.Server) {
	f.mu.Lock()
	s := f.suspects[server]
	delete(f.suspects, server)
	f.mu.Unlock()
	now := f.options.Clock.Boot()
	if s == nil || now.Sub(s.startedAt) > crashConfirmWindow {
		return
	}
	for p := range s.fingerprints {
		f.options.OnCrash(p, f.options.Poison.RecordCrash(now, p))
	}
}

// RecordRestart counts the restart of a backend server as a crash against its suspects.
func (f *Forwarder) RecordRestart(server id.Server) { f.recordCrash(server) }
