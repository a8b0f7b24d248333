// Package reach detects that this VM reaches no backend server while others may.
//
// Failed connections and silence only raise a suspicion: backend servers also
// fail by themselves, often a whole failure domain of them. Connections that are
// opened to some backend servers of all failure domains at the same time confirm
// or refute it, and later show when the links are back.
//
// # Usage
//
//	d := reach.NewDetector(reach.WithClock(c))
//	d.RecordDial("s1", false)
//	if d.NeedsProbe() {
//		reached := probe(reach.Sample(servers, reach.ProbeCount, rand.IntN))
//		changed := d.RecordProbes(reached, reach.ProbeCount)
//	}
//	if d.IsCutOff() {
//		// Send through another VM.
//	}
package reach

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// ProbeCount is the number of backend servers that are probed at the same time.
	ProbeCount = 4
	// ProbeTimeout limits the time of a probe. It allows for no lost packet, as one probe of several has to succeed.
	ProbeTimeout = 300 * time.Millisecond
	// maxProbeDelay is how much longer probes may take. Beyond it this VM had no processor when their time ran out, so that it may have missed
	// what had come.
	maxProbeDelay = ProbeTimeout / 10
	// minSuspects is the number of backend servers that must have failed in a row, or are silent, before the VM itself is suspected.
	minSuspects = 2
	// suspicionTime is how long a failed connection supports a suspicion.
	suspicionTime = 2 * time.Second
	// silence is how long requests must have waited, without any answer to this VM meanwhile, before they support a suspicion.
	silence = 700 * time.Millisecond
	// probePeriod is the least time between two probes of a suspicion, and cutOffProbePeriod that while the VM is cut off.
	probePeriod       = time.Second
	cutOffProbePeriod = 250 * time.Millisecond
)

// neverProbed is a time that lies longer ago than any period.
const neverProbed = clock.Instant(math.MinInt64 / 2)

// Detector decides whether this VM reaches any backend server. It is safe for concurrent use.
type Detector struct {
	options Options

	mu sync.Mutex
	// failed holds when connections to backend servers failed, since the last one that succeeded.
	failed map[id.Server]clock.Instant
	// waiting holds the start of each request that waits for an answer.
	waiting    map[*Wait]bool
	answeredAt clock.Instant
	probedAt   clock.Instant
	// probing is set from NeedsProbe until the result of the probes.
	probing bool
	cutOff  bool
}

// Wait is a request that waits for an answer of a backend server.
type Wait struct {
	server  id.Server
	since   clock.Instant
	abandon func()
}

// NewDetector returns a detector of a VM that isn't cut off.
func NewDetector(opts ...Option) *Detector {
	return &Detector{options: newOptions(opts), failed: map[id.Server]clock.Instant{}, waiting: map[*Wait]bool{}, probedAt: neverProbed}
}

// RecordDial records whether a connection to a backend server could be opened.
func (d *Detector) RecordDial(server id.Server, opened bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if opened {
		clear(d.failed)
		return
	}
	d.failed[server] = d.options.Clock.Boot()
}

// Begin records that a request was sent to a backend server; End must be called with the result. abandon is called if the VM is cut off
// and its open connections hang as well, so that no answer can come. It must not call the detector.
func (d *Detector) Begin(server id.Server, abandon func()) *Wait {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := &Wait{server: server, since: d.options.Clock.Boot(), abandon: abandon}
	d.waiting[w] = true
	return w
}

// Answered records that the beginning of a response has come; the request waits for its end from now on.
func (d *Detector) Answered(w *Wait) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answeredAt = d.options.Clock.Boot()
	w.since = d.answeredAt
}

// End records that a request no longer waits; answered says that its backend server has answered.
func (d *Detector) End(w *Wait, answered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, w)
	if answered {
		d.answeredAt = d.options.Clock.Boot()
	}
}

// NeedsProbe reports whether backend servers should be probed now. Probes count as made then.
func (d *Detector) NeedsProbe() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Boot()
	period := probePeriod
	if d.cutOff {
		period = cutOffProbePeriod
	}
	if now.Sub(d.probedAt) < period || !d.cutOff && !d.isSuspected(now) && !d.isSilent(now) {
		return false
	}
	d.probedAt, d.probing = now, true
	return true
}

// RecordProbes records how many of the probed backend servers were reached. It reports whether the VM is newly cut off, or no longer.
//
// One backend server that is reached refutes a suspicion. Half of them end a
// cut, since links that come back may fail again at first. That probes which
// took too long have failed says nothing; they may be made again at once.
func (d *Detector) RecordProbes(reached, probed int) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before, now := d.cutOff, d.options.Clock.Boot()
	isLate := d.probing && now.Sub(d.probedAt) > ProbeTimeout+maxProbeDelay
	d.probing = false
	switch {
	case d.cutOff:
		d.cutOff = 2*reached < probed || probed == 0
	default:
		d.cutOff = reached == 0 && probed >= minSuspects
	}
	if isLate && d.cutOff {
		d.cutOff, d.probedAt = before, neverProbed
		return false
	}
	if reached > 0 && !d.cutOff {
		clear(d.failed)
	}
	d.abandonHanging(now)
	return d.cutOff != before
}

// abandonHanging ends the requests that hang while the VM is cut off. Open connections that live on have brought an answer lately.
func (d *Detector) abandonHanging(now clock.Instant) {
	if !d.cutOff || now.Sub(d.answeredAt) < silence {
		return
	}
	for w := range d.waiting {
		if now.Sub(w.since) >= silence {
			w.abandon()
		}
	}
}

// IsCutOff reports whether this VM reaches no backend server.
func (d *Detector) IsCutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutOff
}

// IsSuspected reports whether failed connections may be the fault of this VM's links.
func (d *Detector) IsSuspected() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutOff || d.isSuspected(d.options.Clock.Boot())
}

func (d *Detector) isSuspected(now clock.Instant) bool {
	n := 0
	for server, at := range d.failed {
		if now.Sub(at) > suspicionTime {
			delete(d.failed, server)
			continue
		}
		n++
	}
	return n >= minSuspects
}

// isSilent reports whether requests to several backend servers have waited for long without any answer to this VM.
func (d *Detector) isSilent(now clock.Instant) bool {
	if now.Sub(d.answeredAt) < silence {
		return false
	}
	silent := map[id.Server]bool{}
	for w := range d.waiting {
		if now.Sub(w.since) >= silence {
			silent[w.server] = true
		}
	}
	return len(silent) >= minSuspects
}

// Sample returns up to n backend servers of as many failure domains as possible, drawn by random.
func Sample(servers []fleet.Server, n int, random func(n int) int) (out []fleet.Server) {
	rest := slices.Clone(servers)
	for i := len(rest) - 1; i > 0; i-- {
		j := random(i + 1)
		rest[i], rest[j] = rest[j], rest[i]
	}
	for len(out) < n && len(rest) > 0 {
		taken := map[id.Domain]bool{}
		rest = slices.DeleteFunc(rest, func(s fleet.Server) bool {
			if len(out) == n || taken[s.Domain] {
				return false
			}
			taken[s.Domain] = true
			out = append(out, s)
			return true
		})
	}
	return out
}
