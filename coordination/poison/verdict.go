package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// Check returns the status of a request at the backend servers of a version.
//
// A request that has crashed processes of other versions only, and none of this
// one, is refused after one crash more, and only for a time: a fault is often
// that of one version. Where it has run to a good end it isn't refused until it
// crashes a process there.
func (l *Ledger) Check(now clock.Instant, f Fingerprint, version id.SoftwareVersion) Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.judge(now, f)
	switch {
	case v.status == Clear:
		return Clear
	case l.isRefused(now, f, version), v.status == Suspect && v.crashes >= crashesToBlock && !l.hasRun(f, version) && !l.hasTurn(now, f):
		return Blocked
	default:
		return Suspect
	}
}

// IsSuspect reports whether any crash is known at which a request was in flight.
func (l *Ledger) IsSuspect(f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.crashesOf[f]) > 0
}

// HasCrashed reports whether a request was in flight at a crashed process of a version.
func (l *Ledger) HasCrashed(f Fingerprint, version id.SoftwareVersion) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasCrashed(f, version)
}

// hasCrashed counts crashes of unknown versions as ones of each version.
func (l *Ledger) hasCrashed(f Fingerprint, version id.SoftwareVersion) bool {
	for p := range l.crashesOf[f] {
		if v := l.crashes[p].version; v == version || v == "" || version == "" {
			return true
		}
	}
	return false
}

// hasRun reports whether a request has run to a good end on a version and crashed no process of it since.
func (l *Ledger) hasRun(f Fingerprint, version id.SoftwareVersion) bool {
	_, ran := l.ranAt[f][version]
	return ran && !l.hasCrashed(f, version)
}

// isRefused reports whether the crashes of a request suffice to refuse it at the backend servers of a version.
func (l *Ledger) isRefused(now clock.Instant, f Fingerprint, version id.SoftwareVersion) bool {
	if l.judge(now, f).status != Blocked || l.hasRun(f, version) {
		return false
	}
	if l.hasCrashed(f, version) {
		return true
	}
	var last clock.Instant
	for p := range l.crashesOf[f] {
		last = max(last, l.crashes[p].at)
	}
	return len(l.crashesOf[f]) >= crashesToBlockAny && now.Sub(last) <= initialBlock
}

const (
	// turn is the time for which one of several requests that share their crashes may run while the others are refused.
	turn = time.Second
	// maxTurns limits the requests that run in turn; more of them would wait for too long.
	maxTurns = 8
)

// hasTurn reports whether a suspect may run now. After each crash that the same requests shared, they run in turn once: the one that crashes
// a process alone, or runs well, tells them apart, so that no innocent one is refused for longer.
func (l *Ledger) hasTurn(now clock.Instant, f Fingerprint) bool {
	begin, end := l.turnOf(f)
	return now >= end || now >= begin && now < begin.Add(turn)
}

// turnOf returns when the turn of a suspect begins, and when those of all suspects have ended.
func (l *Ledger) turnOf(f Fingerprint) (begin, end clock.Instant) {
	var last *crash
	for p := range l.crashesOf[f] {
		if c := l.crashes[p]; last == nil || c.at > last.at {
			last = c
		}
	}
	most, ties := l.mostCrashes(last)
	if len(l.crashesOf[f]) < most || ties > maxTurns {
		return 0, 0
	}
	rank := 0
	for other := range last.suspects {
		if other < f && len(l.crashesOf[other]) == most {
			rank++
		}
	}
	return last.at.Add(time.Duration(rank) * turn), last.at.Add(time.Duration(ties) * turn)
}

// RefusedFor returns how much longer a request is refused that Check has found to be blocked.
func (l *Ledger) RefusedFor(now clock.Instant, f Fingerprint) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.judge(now, f)
	if v.status == Suspect && v.crashes >= crashesToBlock {
		begin, end := l.turnOf(f)
		if begin < now {
			begin = end
		}
		return max(0, begin.Sub(now))
	}
	return max(0, v.until.Sub(now))
}

// verdict is what the crashes of a request say of it.
type verdict struct {
	status Status
	// crashes is the number of crashes that count.
	crashes int
	// until is the end of a refusal.
	until clock.Instant
}

// judge returns the verdict on a request, whatever the version that would run it.
//
// A crash counts against the suspects with the most crashes only. A request that
// is the only one of these at two crashes is refused, for a shorter time if it
// may be a coincidence. A request that shares the suspicion each time is refused
// after a third crash.
//
// Crashes close together count once if another process crashed among them that
// didn't have the request: they have a common cause, such as the loss of a rack.
func (l *Ledger) judge(now clock.Instant, f Fingerprint) verdict {
	counted, alone := 0, 0
	var last clock.Instant
	for _, c := range l.sortedCrashes(now, f) {
		most, ties := l.mostCrashes(c)
		if len(l.crashesOf[f]) < most {
			continue
		}
		isOfBurst := counted > 0 && c.at.Sub(last) <= burstTime && l.isBesideOthers(c, f)
		last = c.at
		if isOfBurst {
			continue
		}
		counted++
		if ties == 1 {
			alone++
		}
	}
	block := time.Duration(0)
	switch {
	case alone >= crashesToBlock && counted >= crashesToBlockAny:
		block = defaultRetention
	case alone >= crashesToBlock || counted >= crashesToBlockAny:
		block = min(initialBlock<<min(counted-crashesToBlock, 8), defaultRetention)
	}
	switch {
	case counted == 0:
		return verdict{status: Clear}
	case block > 0 && now.Sub(last) <= block:
		return verdict{status: Blocked, crashes: counted, until: last.Add(block)}
	default:
		return verdict{status: Suspect, crashes: counted}
	}
}

// burstTime is the time between two crashes that may have a common cause.
const burstTime = time.Second

// sortedCrashes returns the crashes of a request that still count, the oldest first.
func (l *Ledger) sortedCrashes(now clock.Instant, f Fingerprint) (out []*crash) {
	for p := range l.crashesOf[f] {
		if c := l.crashes[p]; now.Sub(c.at) <= defaultRetention {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
	return out
}

// isBesideOthers reports whether a process that didn't have the request crashed at about the same time.
func (l *Ledger) isBesideOthers(c *crash, f Fingerprint) bool {
	for _, other := range l.crashes {
		if !other.suspects[f] && other.at.Sub(c.at).Abs() <= burstTime {
			return true
		}
	}
	return false
}

// mostCrashes returns the highest number of crashes among the suspects of a crash, and how many suspects have it.
func (l *Ledger) mostCrashes(c *crash) (most, ties int) {
	for f := range c.suspects {
		switch n := len(l.crashesOf[f]); {
		case n > most:
			most, ties = n, 1
		case n == most:
			ties++
		}
	}
	return most, ties
}

// hasRepeatedSuspect reports whether a suspect of a crash has several crashes.
func (l *Ledger) hasRepeatedSuspect(c *crash) bool {
	most, _ := l.mostCrashes(c)
	return most >= crashesToBlock
}

// Stats are the numbers of what a ledger holds.
type Stats struct {
	// Crashes is the number of crashed processes, and Suspects that of the requests that were in flight at one of them.
	Crashes, Suspects int
	// Blocked is the number of requests that are refused at the moment.
	Blocked int
	// Unconfirmed is the number of processes that left a request unanswered and may have crashed.
	Unconfirmed int
}

// Stats returns the numbers of what the ledger holds.
func (l *Ledger) Stats(now clock.Instant) Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Stats{Crashes: len(l.crashes), Suspects: len(l.crashesOf), Unconfirmed: len(l.unanswered)}
	for f := range l.crashesOf {
		if l.judge(now, f).status == Blocked {
			s.Blocked++
		}
	}
	return s
}

// Crashes returns the number of crashed processes at which a request was in flight.
func (l *Ledger) Crashes(f Fingerprint) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.crashesOf[f])
}
