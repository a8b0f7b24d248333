package poison

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// Limits of a ledger.
const (
	// confirmWindow is the time after a request got no answer within which a sign that the process has ended makes it a suspect, unless the
	// process answers. The entry of a silent backend server is removed late if the store is away meanwhile.
	confirmWindow = 30 * time.Second
	// probePeriod is the least time between two probes of the port of a process that breaks connections off.
	probePeriod = 500 * time.Millisecond
	// maxCrashes and maxSuspects limit the crashes that are recorded, and the suspects of each.
	maxCrashes  = 1024
	maxSuspects = 64
	// maxCleared limits the requests that are remembered to have run without a crash, and maxVersions the versions of each.
	maxCleared  = 4096
	maxVersions = 16
	// initialBlock is how long a request is refused that may still be innocent; it doubles with each further crash.
	initialBlock = 30 * time.Second
	// crashesToBlockAny is the number of crashes after which a request is refused although others share the suspicion.
	crashesToBlockAny = 3
)

// crash is the crash of one process.
type crash struct {
	at       clock.Instant
	version  id.SoftwareVersion
	suspects map[Fingerprint]bool
	// own is the part of the suspects that this VM had in flight.
	own []Fingerprint
	// isOwn says that this VM reports the crash, ownAt when it first did, and changedAt when it last learnt of a suspect.
	isOwn            bool
	ownAt, changedAt clock.Instant
	// repeated counts how often this VM has repeated its report, and repeatAt is when it does next.
	repeated int
	repeatAt clock.Instant
}

// flight is a request in flight at a process.
type flight struct {
	count int
	// began is when the latest of count attempts was sent.
	began clock.Instant
}

// unanswered is a request that got no answer from a process.
type unanswered struct{ began, noticed clock.Instant }

// Ledger records which requests were in flight at which crashed processes, as all VMs saw it. It is safe for concurrent use.
//
// The suspects of a crash are a set, so that reports can be merged in any order
// and more than once, and a crash that several VMs saw counts once. A request
// that crashes every process is in all of their sets; others that were in
// flight beside it are in few of them and don't count where it explains the
// crash.
//
// What the VMs remember ends with them, and messages may be lost. So crashes are
// also recorded in the platform's store: the leader writes what it hears, and a
// VM whose own evidence doesn't appear there in time writes it itself.
type Ledger struct {
	options Options

	mu       sync.Mutex
	inFlight map[fleet.Incarnation]map[Fingerprint]flight
	// unanswered holds the requests that got no answer from a process.
	unanswered map[fleet.Incarnation]map[Fingerprint]unanswered
	// attempts counts the entries of inFlight and unanswered by request.
	attempts map[Fingerprint]int
	crashes  map[fleet.Incarnation]*crash
	// crashesOf holds the crashed processes by suspect.
	crashesOf map[Fingerprint]map[fleet.Incarnation]bool
	// ranAt is when a suspect last ran to a good end on a version; older crashes of that version don't count against it.
	ranAt       map[Fingerprint]map[id.SoftwareVersion]clock.Instant
	repeatAllAt clock.Instant
	// stored holds the records in the store, and storedCrashes their number by suspect.
	stored        map[fleet.Incarnation]fleet.Crash
	storedCrashes map[Fingerprint]int
	// changes counts the changes of suspects and records, and recordedChanges is the count up to which the store holds all of them.
	changes, recordedChanges int
	// probedAt is when the port of a process was last probed.
	probedAt map[fleet.Incarnation]clock.Instant
	// refutedAt is when a process answered that was taken for crashed; older signs of its crash don't count.
	refutedAt map[fleet.Incarnation]clock.Instant
}

// NewLedger returns an empty ledger.
func NewLedger(opts ...Option) *Ledger {
	return &Ledger{
		options: newOptions(opts), inFlight: map[fleet.Incarnation]map[Fingerprint]flight{}, unanswered: map[fleet.Incarnation]map[Fingerprint]unanswered{}, attempts: map[Fingerprint]int{},
		crashes: map[fleet.Incarnation]*crash{}, crashesOf: map[Fingerprint]map[fleet.Incarnation]bool{}, ranAt: map[Fingerprint]map[id.SoftwareVersion]clock.Instant{},
		storedCrashes: map[Fingerprint]int{}, refutedAt: map[fleet.Incarnation]clock.Instant{}, probedAt: map[fleet.Incarnation]clock.Instant{},
	}
}

// Begin records that a request is being sent to a process. Exactly one of Answered, Unanswered and End must follow.
func (l *Ledger) Begin(now clock.Instant, p fleet.Incarnation, f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight[p] == nil {
		l.inFlight[p] = map[Fingerprint]flight{}
	}
	known := l.inFlight[p][f]
	if known.count == 0 {
		l.attempts[f]++
	}
	l.inFlight[p][f] = flight{count: known.count + 1, began: now}
}

// endLocked removes a request in flight.
func (l *Ledger) endLocked(p fleet.Incarnation, f Fingerprint) {
	known := l.inFlight[p][f]
	if known.count--; known.count > 0 {
		l.inFlight[p][f] = known
		return
	}
	l.forgetAttempt(f)
	delete(l.inFlight[p], f)
	if len(l.inFlight[p]) == 0 {
		delete(l.inFlight, p)
	}
}

// forgetAttempt counts one entry of a request less.
func (l *Ledger) forgetAttempt(f Fingerprint) {
	if l.attempts[f]--; l.attempts[f] <= 0 {
		delete(l.attempts, f)
	}
}

// forgetUnanswered drops the requests without an answer from a process that match.
func (l *Ledger) forgetUnanswered(p fleet.Incarnation, matches func(u unanswered) bool) {
	for f, u := range l.unanswered[p] {
		if matches(u) {
			l.forgetAttempt(f)
			delete(l.unanswered[p], f)
		}
	}
	if len(l.unanswered[p]) == 0 {
		delete(l.unanswered, p)
	}
}

// Answered records the answer of a process of a version to a request that began at the given time; succeeded says that the process ran it to
// a good end.
//
// Only an answer to a request that was sent after the signs of a crash refutes
// them: others may have been written before it.
func (l *Ledger) Answered(now clock.Instant, p fleet.Incarnation, version id.SoftwareVersion, f Fingerprint, began clock.Instant, succeeded bool) {
	if l.recordAnswer(now, p, version, f, began, succeeded) {
		l.options.OnReport(Report{Version: version, Cleared: []Fingerprint{f}})
	}
}

// recordAnswer is Answered without the report; isNews says that one is due.
func (l *Ledger) recordAnswer(now clock.Instant, p fleet.Incarnation, version id.SoftwareVersion, f Fingerprint, began clock.Instant, succeeded bool) (isNews bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endLocked(p, f)
	l.refute(p, began)
	isNews = succeeded && len(l.crashesOf[f]) > 0 && !l.hasRun(f, version)
	// A crash of another process at which it is under way, or unanswered, isn't due to it either.
	if isNews || succeeded && l.attempts[f] > 0 {
		l.clear(f, version, now)
	}
	return isNews
}

// End records the end of a request that says nothing of the process.
func (l *Ledger) End(p fleet.Incarnation, f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endLocked(p, f)
}

// Unanswered records that a request was sent to a process at the given time and got no answer; broken says that its connection broke
// before its time had run out. probe says that the process's port has to be probed: a closed one confirms the crash before this VM or others
// may forget the request.
func (l *Ledger) Unanswered(now clock.Instant, p fleet.Incarnation, f Fingerprint, began clock.Instant, broken bool) (probe bool) {
	probe, report := l.recordUnanswered(now, p, f, began, broken)
	if report != nil {
		l.options.OnReport(*report)
	}
	return probe
}

// recordUnanswered is Unanswered without the report, which it returns if one is due.
func (l *Ledger) recordUnanswered(now clock.Instant, p fleet.Incarnation, f Fingerprint, began clock.Instant, broken bool) (probe bool, report *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endLocked(p, f)
	if c := l.crashes[p]; c != nil {
		if !l.addSuspect(p, c, f, began) {
			return false, nil
		}
		c.own, c.isOwn, c.ownAt, c.changedAt = append(c.own, f), true, now, now
		c.repeated, c.repeatAt = 0, now.Add(repeatPeriod)
		return false, &Report{Process: p, Version: c.version, Age: now.Sub(c.at), Suspects: []Fingerprint{f}}
	}
	l.expire(now)
	if l.unanswered[p] == nil {
		l.unanswered[p] = map[Fingerprint]unanswered{}
	}
	if _, known := l.unanswered[p][f]; known || len(l.unanswered[p]) < maxSuspects {
		if !known {
			l.attempts[f]++
		}
		l.unanswered[p][f] = unanswered{began: began, noticed: now}
	}
	probedAt, probed := l.probedAt[p]
	if !broken || probed && now.Sub(probedAt) < probePeriod {
		return false, nil
	}
	l.probedAt[p] = now
	return true, nil
}

// RecordCrash records a sign that a process has ended without notice: its port is closed, another process has taken its place, or its
// entry is gone. If isPublic is set, the other VMs see the sign too, and are told of the suspects only.
func (l *Ledger) RecordCrash(now clock.Instant, s fleet.Server, isPublic bool) {
	if report := l.addOwnCrash(now, s, isPublic); report != nil {
		l.options.OnReport(*report)
	}
}

// addOwnCrash is RecordCrash without the report, which it returns if one is due.
func (l *Ledger) addOwnCrash(now clock.Instant, s fleet.Server, isPublic bool) (report *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := s.Incarnation
	if l.crashes[p] != nil {
		return nil
	}
	c := l.addCrash(now, p, s.Version, now)
	if c == nil {
		return nil
	}
	if c.isOwn = !isPublic || len(c.own) > 0; !c.isOwn {
		return nil
	}
	return &Report{Process: p, Version: c.version, Suspects: slices.Clone(c.own)}
}

// addCrash records a crash with the suspects of this VM; it returns nil if the crash is refuted.
func (l *Ledger) addCrash(now clock.Instant, p fleet.Incarnation, version id.SoftwareVersion, at clock.Instant) *crash {
	l.expire(now)
	if refuted, ok := l.refutedAt[p]; ok && at <= refuted {
		return nil
	}
	if len(l.crashes) >= maxCrashes {
		l.dropCrash(l.leastCrash(), Full)
	}
	c := &crash{at: at, version: version, ownAt: now, changedAt: now, repeatAt: now.Add(repeatPeriod), suspects: map[Fingerprint]bool{}}
	l.crashes[p] = c
	for f, flight := range l.inFlight[p] {
		if l.addSuspect(p, c, f, flight.began) {
			c.own = append(c.own, f)
		}
	}
	for f, u := range l.unanswered[p] {
		if l.addSuspect(p, c, f, u.began) {
			c.own = append(c.own, f)
		}
	}
	l.forgetUnanswered(p, func(unanswered) bool { return true })
	return c
}

// leastCrash returns the process whose crash says least: one without a repeated suspect if there is any, and the oldest of these.
func (l *Ledger) leastCrash() (least fleet.Incarnation) {
	var found *crash
	foundRepeated := false
	for p, c := range l.crashes {
		repeated := l.hasRepeatedSuspect(c)
		if found == nil || foundRepeated && !repeated || foundRepeated == repeated && c.at < found.at {
			least, found, foundRepeated = p, c, repeated
		}
	}
	return least
}

// addSuspect adds a suspect to a crash and reports whether it is new. A request that has run to a good end on the same version since it was
// sent to the process isn't one.
func (l *Ledger) addSuspect(p fleet.Incarnation, c *crash, f Fingerprint, began clock.Instant) bool {
	if c.suspects[f] || len(c.suspects) >= maxSuspects {
		return false
	}
	if ran, ok := l.ranAt[f][c.version]; ok && ran >= began {
		return false
	}
	c.suspects[f] = true
	l.changes++
	if l.crashesOf[f] == nil {
		l.crashesOf[f] = map[fleet.Incarnation]bool{}
	}
	l.crashesOf[f][p] = true
	return true
}

// refute drops the signs of a crash that are older than the beginning of a request that the process has answered.
func (l *Ledger) refute(p fleet.Incarnation, began clock.Instant) {
	l.forgetUnanswered(p, func(u unanswered) bool { return u.noticed < began })
	if c := l.crashes[p]; c != nil && c.at < began {
		l.dropCrash(p, Refuted)
		l.refutedAt[p] = began
	}
}

func (l *Ledger) dropCrash(p fleet.Incarnation, cause Cause) {
	suspects := slices.Collect(maps.Keys(l.crashes[p].suspects))
	for _, f := range suspects {
		l.acquit(p, f)
	}
	delete(l.crashes, p)
	l.options.OnDrop(p, cause, suspects)
}

// acquit removes a crash from those of a suspect.
func (l *Ledger) acquit(p fleet.Incarnation, f Fingerprint) {
	delete(l.crashesOf[f], p)
	if len(l.crashesOf[f]) == 0 {
		delete(l.crashesOf, f)
	}
}

// clear records that a suspect has run to a good end on a version, and drops the crashes of that version up to then from its crashes.
func (l *Ledger) clear(f Fingerprint, version id.SoftwareVersion, at clock.Instant) {
	for p := range l.crashesOf[f] {
		if c := l.crashes[p]; c.version == version && c.at <= at {
			delete(c.suspects, f)
			l.changes++
			l.acquit(p, f)
			l.options.OnDrop(p, RanWell, []Fingerprint{f})
		}
	}
	ran := l.ranAt[f]
	if ran == nil {
		if len(l.ranAt) >= maxCleared {
			return
		}
		ran = map[id.SoftwareVersion]clock.Instant{}
		l.ranAt[f] = ran
	}
	if before, known := ran[version]; known || len(ran) < maxVersions {
		ran[version] = max(before, at)
		if !known {
			l.changes++
		}
	}
}

// expire drops what is too old to count.
func (l *Ledger) expire(now clock.Instant) {
	for p, c := range l.crashes {
		if now.Sub(c.at) > defaultRetention {
			l.dropCrash(p, Expired)
		}
	}
	for p := range l.unanswered {
		l.forgetUnanswered(p, func(u unanswered) bool { return now.Sub(u.noticed) > confirmWindow })
	}
	for p, at := range l.probedAt {
		if now.Sub(at) > probePeriod {
			delete(l.probedAt, p)
		}
	}
	for p, at := range l.refutedAt {
		if now.Sub(at) > defaultRetention {
			delete(l.refutedAt, p)
		}
	}
	for f, versions := range l.ranAt {
		maps.DeleteFunc(versions, func(_ id.SoftwareVersion, at clock.Instant) bool { return now.Sub(at) > defaultRetention })
		if len(versions) == 0 {
			delete(l.ranAt, f)
		}
	}
}
