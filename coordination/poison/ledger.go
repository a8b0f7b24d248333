package poison

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
)

// Limits of a ledger.
const (
	// confirmWindow is the time after a request got no answer within which a sign that the process has ended makes it a suspect: longer
	// than it takes until the entry of a silent backend server is removed or its replacement has registered.
	confirmWindow = 5 * time.Second
	// maxCrashes and maxSuspects limit the crashes that are recorded, and the suspects of each.
	maxCrashes  = 1024
	maxSuspects = 64
	// maxCleared limits the requests that are remembered to have run without a crash.
	maxCleared = 4096
	// initialBlock is how long a request is refused that may still be innocent; it doubles with each further crash.
	initialBlock = 30 * time.Second
	// crashesToBlockAny is the number of crashes after which a request is refused although others share the suspicion.
	crashesToBlockAny = 3
	// firstRepeat and secondRepeat are the times after which a VM repeats a report, since messages may be lost.
	firstRepeat  = 500 * time.Millisecond
	secondRepeat = 1500 * time.Millisecond
	// repeatAllPeriod is the time between two reports of all crashes with a repeated suspect, for VMs that have started since.
	repeatAllPeriod = 2 * time.Second
	// maxRepeated limits the crashes in such a report.
	maxRepeated = 32
)

// Report tells other VMs of the crash of a process, or that requests have run without a crash.
type Report struct {
	// Process is the process that has crashed; it is empty in a report of Cleared alone.
	Process fleet.Incarnation
	// Age is the time since the crash.
	Age time.Duration
	// Suspects are requests that the sender had in flight there.
	Suspects []Fingerprint
	// Cleared are requests that have run without a crash, although they were suspects.
	Cleared []Fingerprint
	// IsRepeated says that this VM has already sent the report, or that it comes from others.
	IsRepeated bool
}

// crash is the crash of one process.
type crash struct {
	at       clock.Instant
	suspects map[Fingerprint]bool
	// own is the part of the suspects that this VM had in flight, and repeated counts how often it has repeated its report.
	own      []Fingerprint
	isOwn    bool
	repeated int
	ownAt    clock.Instant
}

// Ledger records which requests were in flight at which crashed processes, as all VMs saw it. It is safe for concurrent use.
//
// The suspects of a crash are a set, so that reports can be merged in any order
// and more than once, and a crash that several VMs saw counts once. A request
// that crashes every process is in all of their sets; others that were in
// flight beside it are in few of them and don't count where it explains the
// crash.
type Ledger struct {
	options Options

	mu       sync.Mutex
	inFlight map[fleet.Incarnation]map[Fingerprint]int
	// unanswered holds the requests that got no answer from a process, with the time at which that was noticed.
	unanswered map[fleet.Incarnation]map[Fingerprint]clock.Instant
	crashes    map[fleet.Incarnation]*crash
	// crashesOf holds the crashed processes by suspect.
	crashesOf map[Fingerprint]map[fleet.Incarnation]bool
	// clearedAt is when a suspect last ran without a crash; older crashes don't count against it.
	clearedAt   map[Fingerprint]clock.Instant
	repeatAllAt clock.Instant
}

// NewLedger returns an empty ledger.
func NewLedger(opts ...Option) *Ledger {
	return &Ledger{
		options: newOptions(opts), inFlight: map[fleet.Incarnation]map[Fingerprint]int{}, unanswered: map[fleet.Incarnation]map[Fingerprint]clock.Instant{},
		crashes: map[fleet.Incarnation]*crash{}, crashesOf: map[Fingerprint]map[fleet.Incarnation]bool{}, clearedAt: map[Fingerprint]clock.Instant{},
	}
}

// Begin records that a request is being sent to a process. Exactly one of Answered, Unanswered and End must follow.
func (l *Ledger) Begin(p fleet.Incarnation, f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight[p] == nil {
		l.inFlight[p] = map[Fingerprint]int{}
	}
	l.inFlight[p][f]++
}

// endLocked removes a request in flight.
func (l *Ledger) endLocked(p fleet.Incarnation, f Fingerprint) {
	if l.inFlight[p][f]--; l.inFlight[p][f] <= 0 {
		delete(l.inFlight[p], f)
	}
	if len(l.inFlight[p]) == 0 {
		delete(l.inFlight, p)
	}
}

// Answered records the answer to a request that began at the given time; succeeded says that the process ran it to a good end.
//
// Only an answer to a request that was sent after the signs of a crash refutes
// them: others may have been written before it.
func (l *Ledger) Answered(now clock.Instant, p fleet.Incarnation, f Fingerprint, began clock.Instant, succeeded bool) {
	l.mu.Lock()
	l.endLocked(p, f)
	l.refute(p, began)
	var cleared []Fingerprint
	if succeeded && len(l.crashesOf[f]) > 0 && l.status(now, f) != Blocked {
		l.clear(f, now)
		cleared = []Fingerprint{f}
	}
	l.mu.Unlock()
	if cleared != nil {
		l.options.OnReport(Report{Cleared: cleared})
	}
}

// End records the end of a request that says nothing of the process.
func (l *Ledger) End(p fleet.Incarnation, f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endLocked(p, f)
}

// Unanswered records that a request was sent to a process and got no answer.
func (l *Ledger) Unanswered(now clock.Instant, p fleet.Incarnation, f Fingerprint) {
	l.mu.Lock()
	l.endLocked(p, f)
	if c := l.crashes[p]; c != nil {
		added := l.addSuspect(p, c, f)
		if added {
			c.own, c.isOwn, c.ownAt, c.repeated = append(c.own, f), true, now, 0
		}
		l.mu.Unlock()
		if added {
			l.options.OnReport(Report{Process: p, Age: now.Sub(c.at), Suspects: []Fingerprint{f}})
		}
		return
	}
	defer l.mu.Unlock()
	l.expire(now)
	if l.unanswered[p] == nil {
		l.unanswered[p] = map[Fingerprint]clock.Instant{}
	}
	if len(l.unanswered[p]) < maxSuspects {
		l.unanswered[p][f] = now
	}
}

// RecordCrash records a sign that a process has ended without notice: its port is closed, another process has taken its place, or its
// entry is gone. If isPublic is set, the other VMs see the sign too, and are told of the suspects only.
func (l *Ledger) RecordCrash(now clock.Instant, p fleet.Incarnation, isPublic bool) {
	l.mu.Lock()
	if l.crashes[p] != nil {
		l.mu.Unlock()
		return
	}
	c := l.addCrash(now, p, now)
	if c == nil {
		l.mu.Unlock()
		return
	}
	c.isOwn = !isPublic || len(c.own) > 0
	report, isOwn := Report{Process: p, Suspects: slices.Clone(c.own)}, c.isOwn
	l.mu.Unlock()
	if isOwn {
		l.options.OnReport(report)
	}
}

// Merge adds the report of another VM, and reports the requests that this VM had in flight at the process. It returns the suspects that
// were not known.
func (l *Ledger) Merge(now clock.Instant, r Report) (added []Fingerprint) {
	l.mu.Lock()
	for _, f := range r.Cleared {
		if l.status(now, f) != Blocked {
			l.clear(f, now.Add(-r.Age))
		}
	}
	if r.Process.Server == "" {
		l.mu.Unlock()
		return nil
	}
	c, isNew := l.crashes[r.Process], false
	if c == nil {
		c, isNew = l.addCrash(now, r.Process, now.Add(-r.Age)), true
	}
	if c == nil {
		l.mu.Unlock()
		return nil
	}
	for _, f := range r.Suspects {
		if l.addSuspect(r.Process, c, f) {
			added = append(added, f)
		}
	}
	c.isOwn = c.isOwn || isNew && len(c.own) > 0
	report := Report{Process: r.Process, Age: now.Sub(c.at), Suspects: slices.Clone(c.own)}
	l.mu.Unlock()
	if isNew && len(report.Suspects) > 0 {
		l.options.OnReport(report)
	}
	return added
}

// addCrash records a crash with the suspects of this VM; it returns nil if there is no room.
func (l *Ledger) addCrash(now clock.Instant, p fleet.Incarnation, at clock.Instant) *crash {
	l.expire(now)
	if len(l.crashes) >= maxCrashes {
		l.options.OnDrop(p, Full, nil)
		return nil
	}
	c := &crash{at: at, ownAt: now, suspects: map[Fingerprint]bool{}}
	l.crashes[p] = c
	for f := range l.inFlight[p] {
		if l.addSuspect(p, c, f) {
			c.own = append(c.own, f)
		}
	}
	for f := range l.unanswered[p] {
		if l.addSuspect(p, c, f) {
			c.own = append(c.own, f)
		}
	}
	delete(l.unanswered, p)
	return c
}

// addSuspect adds a suspect to a crash and reports whether it is new.
func (l *Ledger) addSuspect(p fleet.Incarnation, c *crash, f Fingerprint) bool {
	if c.suspects[f] || len(c.suspects) >= maxSuspects {
		return false
	}
	if cleared, ok := l.clearedAt[f]; ok && cleared >= c.at {
		return false
	}
	c.suspects[f] = true
	if l.crashesOf[f] == nil {
		l.crashesOf[f] = map[fleet.Incarnation]bool{}
	}
	l.crashesOf[f][p] = true
	return true
}

// refute drops the signs of a crash that are older than the beginning of a request that the process has answered.
func (l *Ledger) refute(p fleet.Incarnation, began clock.Instant) {
	for f, at := range l.unanswered[p] {
		if at < began {
			delete(l.unanswered[p], f)
		}
	}
	if len(l.unanswered[p]) == 0 {
		delete(l.unanswered, p)
	}
	if c := l.crashes[p]; c != nil && c.at < began {
		l.dropCrash(p, Refuted)
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

// clear drops the crashes up to a time from those of a suspect.
func (l *Ledger) clear(f Fingerprint, at clock.Instant) {
	for p := range l.crashesOf[f] {
		if c := l.crashes[p]; c.at <= at {
			delete(c.suspects, f)
			l.acquit(p, f)
			l.options.OnDrop(p, RanWell, []Fingerprint{f})
		}
	}
	if _, known := l.clearedAt[f]; known || len(l.clearedAt) < maxCleared {
		l.clearedAt[f] = max(l.clearedAt[f], at)
	}
}

// expire drops what is too old to count.
func (l *Ledger) expire(now clock.Instant) {
	for p, c := range l.crashes {
		if now.Sub(c.at) > defaultRetention {
			l.dropCrash(p, Expired)
		}
	}
	for p, list := range l.unanswered {
		for f, at := range list {
			if now.Sub(at) > confirmWindow {
				delete(list, f)
			}
		}
		if len(list) == 0 {
			delete(l.unanswered, p)
		}
	}
	for f, at := range l.clearedAt {
		if now.Sub(at) > defaultRetention {
			delete(l.clearedAt, f)
		}
	}
}

// Check returns the status of a request.
func (l *Ledger) Check(now clock.Instant, f Fingerprint) Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status(now, f)
}

// status returns the status of a request.
//
// A crash counts against the suspects with the most crashes only. A request that
// is the only one of these at two crashes is refused, for a shorter time if it
// may be a coincidence. A request that shares the suspicion each time is refused
// after a third crash.
func (l *Ledger) status(now clock.Instant, f Fingerprint) Status {
	counted, alone := 0, 0
	var last clock.Instant
	for p := range l.crashesOf[f] {
		c := l.crashes[p]
		if now.Sub(c.at) > defaultRetention {
			continue
		}
		most, ties := l.mostCrashes(c)
		if len(l.crashesOf[f]) < most {
			continue
		}
		counted++
		if ties == 1 {
			alone++
		}
		last = max(last, c.at)
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
		return Clear
	case block > 0 && now.Sub(last) <= block:
		return Blocked
	default:
		return Suspect
	}
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

// Repeat reports again what other VMs may have missed; all says that this VM also repeats what others have reported.
func (l *Ledger) Repeat(now clock.Instant, all bool) {
	l.mu.Lock()
	var due []Report
	repeatAll := all && now.Sub(l.repeatAllAt) >= repeatAllPeriod
	if repeatAll {
		l.repeatAllAt = now
	}
	for p, c := range l.crashes {
		age := now.Sub(c.ownAt)
		switch {
		case c.isOwn && (c.repeated == 0 && age >= firstRepeat || c.repeated == 1 && age >= secondRepeat):
			c.repeated++
			due = append(due, Report{Process: p, Age: now.Sub(c.at), Suspects: slices.Clone(c.own), IsRepeated: true})
		case repeatAll && len(due) < maxRepeated && l.hasRepeatedSuspect(c):
			r := Report{Process: p, Age: now.Sub(c.at), IsRepeated: true}
			for f := range c.suspects {
				r.Suspects = append(r.Suspects, f)
			}
			due = append(due, r)
		}
	}
	l.mu.Unlock()
	for _, r := range due {
		l.options.OnReport(r)
	}
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
		if l.status(now, f) == Blocked {
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
