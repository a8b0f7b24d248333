package poison

import (
	"maps"
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// Report tells other VMs of the crash of a process, or that requests have run without a crash.
type Report struct {
	// Process is the process that has crashed; it is empty in a report of Cleared alone.
	Process fleet.Incarnation
	// Version is the version of the process's software, or that on which Cleared have run; earlier builds send none.
	Version id.SoftwareVersion
	// Age is the time since the crash.
	Age time.Duration
	// Suspects are requests that the sender had in flight there.
	Suspects []Fingerprint
	// Cleared are requests that have run without a crash, although they were suspects.
	Cleared []Fingerprint
	// IsRepeated says that this VM has already sent the report, or that it comes from others.
	IsRepeated bool
	// IsForLeader says that only the leader needs the report, which records the crash for all VMs.
	IsForLeader bool
}

const (
	// repeatPeriod is the time between two reports of the same evidence while the store doesn't hold it, since messages may be lost. After
	// quickRepeats it is slowRepeatPeriod, and after maxRepeatTime no report follows.
	repeatPeriod     = 500 * time.Millisecond
	quickRepeats     = 6
	slowRepeatPeriod = 2 * time.Second
	maxRepeatTime    = time.Minute
	// repeatsToAll is the number of repeats of which one goes to all VMs, for the time that nobody records.
	repeatsToAll = 4
	// maxSignRepeats limits the repeats of a report without suspects, which only says that the process has ended.
	maxSignRepeats = 2
	// repeatAllPeriod is the time between two reports of all crashes with a repeated suspect that the store doesn't hold, for VMs that have
	// started since.
	repeatAllPeriod = 2 * time.Second
	// maxRepeated limits the crashes in such a report.
	maxRepeated = 32
)

// Merge adds the report of another VM, and reports the requests that this VM had in flight at the process. It returns the suspects that
// were not known.
func (l *Ledger) Merge(now clock.Instant, r Report) (added []Fingerprint) {
	added, own := l.mergeReport(now, r)
	if own != nil {
		l.options.OnReport(*own)
	}
	return added
}

// mergeReport is Merge without the report, which it returns if one is due.
func (l *Ledger) mergeReport(now clock.Instant, r Report) (added []Fingerprint, own *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range r.Cleared {
		l.clear(f, r.Version, now.Add(-r.Age))
	}
	if r.Process.Server == "" {
		return nil, nil
	}
	return l.mergeCrash(now, r.Process, r.Version, now.Add(-r.Age), r.Suspects)
}

// mergeCrash adds a crash with suspects that others have found. It returns the suspects that were not known and, if this VM has suspects of
// its own to add, a report of them.
func (l *Ledger) mergeCrash(now clock.Instant, p fleet.Incarnation, version id.SoftwareVersion, at clock.Instant, suspects []Fingerprint) (added []Fingerprint, own *Report) {
	c, isNew := l.crashes[p], false
	if c == nil {
		c, isNew = l.addCrash(now, p, version, at), true
	}
	if c == nil {
		return nil, nil
	}
	if c.version == "" {
		// The first report came from an earlier build.
		c.version = version
	}
	for _, f := range suspects {
		if l.addSuspect(p, c, f, c.at) {
			added = append(added, f)
			c.changedAt = now
		}
	}
	if !isNew || len(c.own) == 0 {
		return added, nil
	}
	c.isOwn = true
	return added, &Report{Process: p, Version: c.version, Age: now.Sub(c.at), Suspects: slices.Clone(c.own)}
}

// Repeat reports again what other VMs may have missed. The leader also repeats what others have reported while the store is away.
func (l *Ledger) Repeat(now clock.Instant, leads bool) {
	for _, r := range l.dueReports(now, leads) {
		l.options.OnReport(r)
	}
}

// dueReports returns the reports to repeat.
func (l *Ledger) dueReports(now clock.Instant, leads bool) (due []Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	repeatAll := leads && now.Sub(l.repeatAllAt) >= repeatAllPeriod
	if repeatAll {
		l.repeatAllAt = now
	}
	for p, c := range l.crashes {
		switch {
		case c.isOwn && now >= c.repeatAt && l.mustRepeat(now, p, c):
			c.repeated++
			c.repeatAt = now.Add(repeatPeriod)
			if c.repeated >= quickRepeats {
				c.repeatAt = now.Add(slowRepeatPeriod)
			}
			due = append(due, Report{Process: p, Version: c.version, Age: now.Sub(c.at), Suspects: slices.Clone(c.own), IsRepeated: true, IsForLeader: c.repeated%repeatsToAll != 0})
		case repeatAll && len(due) < maxRepeated && l.hasRepeatedSuspect(c):
			suspects := slices.Collect(maps.Keys(c.suspects))
			if !l.isStored(p, suspects) {
				due = append(due, Report{Process: p, Version: c.version, Age: now.Sub(c.at), Suspects: suspects, IsRepeated: true})
			}
		}
	}
	return due
}

// mustRepeat reports whether the other VMs may not know yet what this VM has reported of a crash.
func (l *Ledger) mustRepeat(now clock.Instant, p fleet.Incarnation, c *crash) bool {
	if len(c.own) == 0 {
		_, isRecorded := l.stored[p]
		return !isRecorded && c.repeated < maxSignRepeats
	}
	return now.Sub(c.ownAt) < maxRepeatTime && !l.isStored(p, c.remaining(c.own))
}
