package forward

import (
	"context"
	"net/http"

	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// fingerprint returns the fingerprint of a request for the ledger of crashes.
func (f *Forwarder) fingerprint(r *Request) poison.Fingerprint {
	return poison.FingerprintOf(string(r.Service), r.Method, r.Target, r.Body)
}

// followCrashes sets the versions that the next attempt must or should avoid, since the request has crashed backend servers that run them.
// It returns the refusal of a request that no version may run, or nil.
func (f *Forwarder) followCrashes(s *requestState) *outcome.Error {
	ledger := f.options.Crashes
	s.excluded, s.avoided = nil, nil
	if !ledger.IsSuspect(s.fingerprint) {
		return nil
	}
	now, versions := f.options.Clock.Boot(), f.dispatcher.Versions(s.request.Service)
	for _, v := range versions {
		switch {
		case ledger.Check(now, s.fingerprint, v) == poison.Blocked:
			s.excluded = append(s.excluded, v)
		case ledger.HasCrashed(s.fingerprint, v):
			s.avoided = append(s.avoided, v)
		}
	}
	if len(versions) > 0 && len(s.excluded) == len(versions) {
		return f.refusePoisonous(s)
	}
	return nil
}

// mayRun reports whether the backend servers of a version may run the request, which may have changed while it was queued.
func (f *Forwarder) mayRun(s *requestState, version id.SoftwareVersion) bool {
	return f.options.Crashes.Check(f.options.Clock.Boot(), s.fingerprint, version) != poison.Blocked
}

// refusePoisonous returns the refusal of a request that has crashed several backend servers.
func (f *Forwarder) refusePoisonous(s *requestState) *outcome.Error {
	ledger := f.options.Crashes
	return outcome.NotRun(outcome.NoServer, "this request has crashed each backend server that ran it: fingerprint %d, crashes %d", s.fingerprint, ledger.Crashes(s.fingerprint)).
		WithRetryAfter(ledger.RefusedFor(f.options.Clock.Boot(), s.fingerprint))
}

// recordSigns records what the result of an attempt says of a crash of the process.
func (f *Forwarder) recordSigns(ctx context.Context, s *requestState, w *writing, reply *Reply, failure *Failure) {
	server := w.slot.Server
	ledger, now, process := f.options.Crashes, f.options.Clock.Boot(), server.Incarnation
	switch {
	case failure != nil && !failure.Sent:
		w.end()
		if failure.Refused {
			f.RecordCrash(server)
		}
		return
	case failure == nil && reply.Misplaced:
		w.end()
		return
	}
	// The ledger ends the attempt itself.
	w.isInFlight = false
	if failure == nil {
		ledger.Answered(now, process, server.Version, s.fingerprint, w.since, !reply.NotRun && reply.Answer.Status < http.StatusInternalServerError)
		return
	}
	probe := ledger.Unanswered(now, process, s.fingerprint, w.since, ctx.Err() == nil && !failure.Abandoned)
	f.options.OnSuspect(process.Server, s.fingerprint)
	if probe {
		f.options.Probe(server)
	}
}

// RecordCrash records that the port of a backend server is closed.
func (f *Forwarder) RecordCrash(s fleet.Server) {
	f.options.Crashes.RecordCrash(f.options.Clock.Boot(), s, false)
}

// FollowServers records the processes that have ended between two snapshots without having announced it: their entry is gone, or a
// process that started later has registered under their id or at their address.
//
// An entry at the address counts when it appears. It may come from another
// writer, and the process that goes on answering must not count as ended again
// at each later change.
func (f *Forwarder) FollowServers(old, next *fleet.Snapshot) {
	if fleet.IsSameMap(old.Servers, next.Servers) {
		return
	}
	before, latest := latestStarts(old), latestStarts(next)
	now := f.options.Clock.Boot()
	for name, s := range old.Servers {
		present, isPresent := next.Servers[name]
		isReplaced := latest[s.Address] > s.Born && before[s.Address] <= s.Born
		if !s.Draining && (!isPresent || present.Born > s.Born || isReplaced) {
			f.options.Crashes.RecordCrash(now, s, true)
		}
	}
}

// latestStarts returns the latest start time of the backend servers at each address.
func latestStarts(s *fleet.Snapshot) map[string]fleet.StartTime {
	latest := make(map[string]fleet.StartTime, len(s.Servers))
	for _, server := range s.Servers {
		latest[server.Address] = max(latest[server.Address], server.Born)
	}
	return latest
}
