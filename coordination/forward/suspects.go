package forward

import (
	"time"

	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// confirmTime is the time within which a refused connection shows that a backend server has crashed.
const confirmTime = 1500 * time.Millisecond

// suspects are the requests that a backend server had when its connections broke.
type suspects struct {
	at           clock.Instant
	fingerprints map[poison.Fingerprint]bool
}

// maxSuspects bounds the suspects of one crash; a backend server runs few requests at once.
const maxSuspects = 64

func (f *Forwarder) fingerprint(r *Request) poison.Fingerprint {
	return poison.FingerprintOf(string(r.Service), r.Method, r.Target, r.Body)
}

// convicted returns the refusal of a request that has crashed several backend servers.
func (f *Forwarder) convicted(r *Request) *outcome.Error {
	if f.options.Poison.IsEmpty() || f.options.Poison.Check(f.options.Clock.Boot(), f.fingerprint(r)) != poison.Blocked {
		return nil
	}
	return outcome.NotRun(outcome.NoServer, "this request has crashed each backend server that ran it")
}

// suspect notes a request whose connection broke.
func (f *Forwarder) suspect(server id.Server, p poison.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Boot()
	s := f.suspects[server]
	if s == nil || now.Sub(s.at) > confirmTime {
		s = &suspects{at: now, fingerprints: map[poison.Fingerprint]bool{}}
		f.suspects[server] = s
	}
	if len(s.fingerprints) < maxSuspects {
		s.fingerprints[p] = true
	}
}

// acquit forgets the suspects of a backend server that answers again.
func (f *Forwarder) acquit(server id.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.suspects) > 0 {
		delete(f.suspects, server)
	}
}

// confirm counts a crash against the suspects of a backend server.
func (f *Forwarder) confirm(server id.Server) {
	f.mu.Lock()
	s := f.suspects[server]
	delete(f.suspects, server)
	f.mu.Unlock()
	now := f.options.Clock.Boot()
	if s == nil || now.Sub(s.at) > confirmTime {
		return
	}
	for p := range s.fingerprints {
		f.options.OnCrash(p, f.options.Poison.RecordCrash(now, p))
	}
}

// RecordRestart counts a backend server's restart against the requests that it had.
func (f *Forwarder) RecordRestart(server id.Server) { f.confirm(server) }
